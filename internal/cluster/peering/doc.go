// Package peering carries what gatherers of one fleet agree on: versions of the policy and shares of budgets (packages rollout and share,
// which decide all of it). The view of the fleet is carried by package gossip, whose types stand here under their old names for those
// that use both.
//
// It promises that nothing here blocks the engine or a client, that queues are bounded and every call on a socket has a deadline.
package peering
