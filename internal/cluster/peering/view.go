package peering

import "saffronquay/internal/cluster/swim/gossip"

// Aliases of package gossip's types, for callers that use both packages.
type (
	// Config configures a gatherer's part in the view of the fleet.
	Config = gossip.Config
	// Peers runs a gatherer's part in the view of the fleet.
	Peers = gossip.Driver
	// Counts are the counters of the view of the fleet.
	Counts = gossip.Counts
)

// ErrClosed is returned by calls to a node or driver that has ended, or did not answer in time.
var ErrClosed = gossip.ErrClosed

// Open opens the sockets of a gatherer's part in the view of the fleet.
var Open = gossip.Open
