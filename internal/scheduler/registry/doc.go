// Package registry keeps which workers exist. The services are divided among ShardCount shards, each with a replica group of its own.
//
// # What it owns
//
// Registry is the replicated state of one shard: its workers, the ids of workers that have left, and the holder of the right to send orders to
// the workers. Only changes go through the shard's log: a worker that is new, drains, reports other weights, another service, address or
// capacity, is lost or has left. Each change is published to a feed.Table with the log's index as its offset.
//
// HeartbeatHandler decides on heartbeats at the process that leads the shard's group, the owner. LivenessTracker follows the times of the
// heartbeats there. Those times are not replicated: a new owner treats every known worker as heard from at the moment it takes over, so a
// change of owner alone never declares a worker lost.
//
// # What it must not know
//
// The package has no clock, socket or file, and does not know how its group elects a leader. The caller passes the time, the epoch and whether
// it has the lease, proposes the returned commands to the shard's log, and answers the worker only after they are committed.
//
// # Concurrency and errors
//
// Apply, Snapshot and Restore belong to the goroutine of the replica. The queries of Registry and the methods of HeartbeatHandler may be called
// from any goroutine. LivenessTracker has no lock; HeartbeatHandler guards its own. A command that cannot be decoded changes nothing. Only
// Restore returns an error: the snapshot cannot be read, and the state before it stays.
package registry
