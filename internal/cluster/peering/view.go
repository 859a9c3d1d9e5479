package peering

import "saffronquay/internal/cluster/swim/gossip"

// The driver of the view of the fleet, for callers that use both drivers.
type (
	// Config configures a gatherer's part in the view.
	Config = gossip.Config
	// Peers is a running part in the view.
	Peers = gossip.Driver
	// Counts are the counters of the view's core and driver.
	Counts = gossip.Counts
)

// ErrClosed is returned when a driver has ended, or did not answer in time.
var ErrClosed = gossip.ErrClosed

// Open opens the sockets of a view.
var Open = gossip.Open
