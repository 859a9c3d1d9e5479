package gossip

import (
	"errors"
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"time"
)

// Config holds the settings of a driver.
type Config struct {
	Core   swim.Config // if its Address is not set, the address that Listen resolves to is used
	Listen netip.AddrPort
	Allow  []netip.Prefix  // addresses that senders and members may have; empty allows all
	Seed   uint64          // of the core's random number generator
	OnView func(swim.View) // if not nil, is called with each changed view, on Run's goroutine; it must not block
}

// Limits and timeouts of the driver.
const (
	inboxSize       = 1024                   // datagrams queued for the core
	maxDrain        = 256                    // datagrams handled before a tick
	maxOutgoing     = 16                     // concurrent exchanges opened by this process
	maxIncoming     = 32                     // concurrent exchanges opened by other processes
	exchangeTimeout = 2 * time.Second        // for a complete exchange
	callTimeout     = 1 * time.Second        // for the core to run a call
	viewInterval    = 100 * time.Millisecond // minimum time between calls of OnView
	sizeInterval    = 1 * time.Second        // between checks of the effective size without events
	bindAttempts    = 32                     // attempts to find a port that is free for both UDP and TCP
	readBufferBytes = 64 << 10               // a longer datagram is truncated, and dropped by its checksum
	leaveTimeout    = 10 * time.Second       // for the announcement of a departure
)

// ErrClosed is returned by calls to a driver that has stopped, or does not respond within a second.
var ErrClosed = errors.New("gossip: driver is stopped or not responding")
