package peering

import (
	"saffronquay/internal/cluster/swim/gossip"
	"time"
)

const (
	inbox   = 1024            // messages that wait for the core of the policy
	askedIn = 1 * time.Second // that the core's owner may take to answer a call
)

// The driver of the view of the fleet.
type (
	// Config is what a gatherer's part in a fleet is made of.
	Config = gossip.Config
	// Peers is a running part in a fleet.
	Peers = gossip.Driver
	// Counts are what core and driver of the view count.
	Counts = gossip.Counts
)

// ErrClosed says that a driver has ended, or is too late to answer.
var ErrClosed = gossip.ErrClosed

// Open opens the sockets of a view.
var Open = gossip.Open
