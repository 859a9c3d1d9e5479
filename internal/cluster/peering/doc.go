// Package peering is the transport of the agreement on policy versions and of the division of
// budgets between the gatherers of one fleet. The protocols are implemented by packages rollout and
// quota; this package owns the sockets, the links to other gatherers and the goroutine that steps a
// rollout.Node.
//
// The rollout.Node of a PolicyNode is owned by the goroutine of Run. Other goroutines reach it
// through bounded queues: messages of other gatherers, calls, and completions of asynchronous work
// (disk writes and validation of documents). Nothing here blocks the engine or a client. Every call
// on a socket has a deadline.
//
// Package gossip transports the view of the fleet. Its types are aliased here for callers that use
// both packages.
package peering
