// Package admission decides which team's query starts next, which one is queued, and which one is rejected.
//
// It is weighted fair queueing by predicted work over a tree of contracts. Only a bounded number of parts is out at the servers at a time, so that a team that sends
// too much fills its own queue here and not the common queues at the servers.
//
// A Gate owns what is queued, what is out, and the usage of each team. It never chooses a server and never judges the load of servers: that is the decision
// module's task, which sees a query only after it has started here. The package does no input or output and reads no clock; times are microseconds that the
// caller gives. A Gate is not safe for concurrent use. docs/CONTRACTS.md has the alternatives that were considered.
package admission
