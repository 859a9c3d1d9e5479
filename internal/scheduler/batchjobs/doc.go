// Package batchjobs keeps trainers' batch jobs and schedules their items.
//
// Jobs are divided into shards by host. Each shard has a replica group whose state machine is State: which jobs were accepted, which
// results have which positions, and which jobs have ended. The owner of a shard, the replica that has the leader lease, runs a Scheduler: it
// grants items to gatherers under leases and returns the results that have to be committed. Service ties both to the replicas of a
// process and answers the calls of the gatherers.
//
// The package owns the state of jobs and leases. It must not know how items are sent to workers, how results are scored, or where
// replicas are placed.
//
// Guarantees: an item gets at most one result, and a committed result never changes its position. An item may run more than once:
// a lease is lost with its gatherer, and only the first committed result counts.
//
// Concurrency: State and Service are safe for concurrent use, except the methods of replica.StateMachine, which belong to the replica's
// goroutine. Scheduler is pure and has no lock: its caller serialises the calls and gives the time. All times of Scheduler and State are
// milliseconds of a clock that never steps.
//
// Errors: calls answer with an rpc.Outcome. A call to a process that does not own the shard names the leader where it is known.
// OUTCOME_UNKNOWN means that the command may still be committed; every command may be proposed again without harm.
package batchjobs
