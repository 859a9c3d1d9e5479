// Package peering carries, between the gatherers of one fleet, the agreement on versions of the policy and the division of budgets. Packages rollout and
// quota decide all of it; this package owns the sockets, the links to other gatherers and the goroutine that steps a rollout.Node.
//
// A PolicyNode has one goroutine, Run, that owns the rollout.Node. Others reach it through bounded queues: messages of other gatherers, calls, and the
// completions of work that is done beside it (disk, judging of documents). Nothing here blocks the engine or a client. Every call on a socket has a deadline.
//
// The view of the fleet is carried by package gossip, whose types are repeated here for those that use both.
package peering
