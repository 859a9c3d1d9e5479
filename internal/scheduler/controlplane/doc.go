// Package controlplane implements the role `steward` of the rollout scheduler: the controller that
// runs on each core machine.
//
// It runs this machine's replicas of the directory (configuration, weight versions, placements,
// retirements) and of the registry's shards (workers), and the HTTP endpoint for the operator, the
// trainers and the workers. Work that only one process may do requires a leader's lease, which at
// most one process has at a time:
//   - the leader of the directory decides on the placement of replicas, and drains storage
//     machines;
//   - the leader of a registry shard declares its workers lost, and sends them orders to load
//     weights.
//
// The package connects other packages and does not contain their decisions: package replica
// implements consensus, placement the choice of machines, registry the evaluation of heartbeats,
// weights the choice of orders, and feed the delivery of changes.
//
// Concurrency: HTTP requests and calls of other processes run on goroutines of their servers. In
// addition there is one control loop, and one dispatcher for each registry shard. Run waits for
// them for a limited time at shutdown.
//
// Errors: a request that is not committed by a majority in time is answered with 503. It may have
// been committed nevertheless; the client may send the same request again. The role returns an
// error only if it cannot start, or if its disk fails.
package controlplane
