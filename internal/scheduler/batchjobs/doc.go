// Package batchjobs stores trainers' batch jobs and schedules their items.
//
// Jobs are partitioned into shards by host. Each shard has a replica group whose state machine is
// State: the accepted jobs, the results with their positions, and the jobs that have ended. The owner
// of a shard, which is the replica with the leader lease, runs a Scheduler: it grants items to
// gatherers under leases and returns the results to commit. Service connects both to the replicas of
// a process and serves the gatherers' calls.
//
// The package owns the state of jobs and leases. It must not know how items are sent to workers, how
// results are scored, or where replicas are placed.
//
// Guarantees: an item gets at most one result, and a committed result never changes its position. An
// item may run more than once, because a lease is lost with its gatherer; only the first committed
// result counts.
//
// Concurrency: State and Service are safe for concurrent use, except for the methods of
// replica.StateMachine, which must be called from the replica's goroutine only. Scheduler is pure and
// has no lock: its caller serializes the calls and passes the time. All times of Scheduler and State
// are milliseconds of a monotonic clock.
//
// Errors: calls return an rpc.Outcome. A process that does not own the shard returns the address of
// the leader if it is known. OUTCOME_UNKNOWN means that the command may still be committed; all
// commands are idempotent and may be proposed again.
package batchjobs
