// Package controlplane is the role `steward` of the rollout scheduler: the controller that runs on each core machine.
//
// It owns this machine's replicas of the directory (configuration, weight versions, placements, retirements) and of the registry's shards
// (workers), and the HTTP endpoint of the operator, the trainers and the workers. Work that only one process may do is bound to a
// leader's lease, which no two processes have at a time:
//   - the leader of the directory decides where replicas belong, and empties storage machines;
//   - the leader of a registry shard declares its workers lost, and sends them their orders to load weights.
//
// The package wires others together and must not know how they decide: agreement is of package replica, the choice of machines of
// placement, the judgement of heartbeats of registry, the choice of orders of weights, the delivery of changes of feed.
//
// Concurrency: calls over HTTP and of other processes run on goroutines of their servers. Besides them there is one control loop, and one
// dispatcher for each registry shard. Run waits for them for a bounded time.
//
// Errors: a call that no majority answers in time is answered 503, and may have been committed all the same; the same call may be sent
// again. The role itself ends by an error only where it can't start, or where its disk fails.
package controlplane
