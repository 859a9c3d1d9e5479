// Package admission decides which team's query starts next, and which queries are queued or
// rejected.
//
// It is weighted fair queueing by predicted work over a tree of contracts. The number of parts in
// flight at the servers is bounded, so that a team that sends too much fills its own queue here and
// not the shared queues at the servers.
//
// A Gate owns the queued queries, the started queries, and the usage of each team. It does not
// choose servers or evaluate their load: that is the task of the decision module, which sees a
// query only after it has started here. The package does no input or output and reads no clock;
// times are microseconds passed in by the caller. A Gate is not safe for concurrent use.
// docs/CONTRACTS.md describes the alternatives that were considered.
package admission
