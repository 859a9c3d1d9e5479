// Package membership tracks which other processes of the scheduler are alive.
//
// Package swim implements the protocol (probes, indirect probes, suspicion) and package gossip its
// driver. This package supplies names, addresses and intervals, and publishes views in the
// scheduler's types. A view may be wrong while the network is partitioned: placement and routing
// may depend on it, consensus never does.
//
// A Membership is safe for concurrent use.
package membership
