// Package membership informs a process which other processes of the scheduler are alive.
//
// The protocol is package swim's (probes, indirect probes, suspicion) and its driver is package gossip. This package supplies names, addresses
// and periods, and publishes views in the scheduler's terms. A view may be wrong while the network is partitioned: placement and routing
// may follow it, agreement never depends on it.
//
// A Membership is safe for concurrent use.
package membership
