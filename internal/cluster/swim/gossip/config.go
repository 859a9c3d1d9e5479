package gossip

import (
	"errors"
	"net/netip"
	"saffronquay/internal/cluster/swim"
	"time"
)

// Config holds the settings of a driver.
type Config struct {
	Core   swim.Config // if its Address is not set, it is the one that Listen resolves to
	Listen netip.AddrPort
	Allow  []netip.Prefix  // addresses that senders and members may have; empty allows all
	Seed   uint64          // of the core's random decisions
	OnView func(swim.View) // if not nil, is called with each view that differs, on Run's goroutine; it must not block
}

// Limits and times of the driver.
const (
	inboxSize       = 1024                   // datagrams that wait for the core
	maxDrain        = 256                    // datagrams that are handled before a tick
	maxOutgoing     = 16                     // exchanges that this process has open at a time
	maxIncoming     = 32                     // exchanges that others have open with it at a time
	exchangeTimeout = 2 * time.Second        // of an exchange
	callTimeout     = 1 * time.Second        // for the core to answer a call
	viewInterval    = 100 * time.Millisecond // between calls of OnView, at least
	sizeInterval    = 1 * time.Second        // between checks of the effective size while nothing happens
	bindAttempts    = 32                     // attempts to find a port that is free for both UDP and TCP
	readBuffer      = 64 << 10               // bytes; a longer datagram is truncated, and dropped by its checksum
	leaveTimeout    = 10 * time.Second       // for the announcement of a departure
)

// ErrClosed is returned by calls to a driver that has ended, or did not answer within a second.
var ErrClosed = errors.New("gossip: the view is closed or late")
