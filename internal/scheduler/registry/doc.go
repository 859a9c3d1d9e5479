// Package registry is the replicated state of the known workers. The services are divided among
// ShardCount shards, each with its own replica group.
//
// # Responsibilities
//
// Registry is the replicated state of one shard: its workers, the ids of workers that have left,
// and the holder of the right to send orders to the workers. Only changes are written to the
// shard's log: a worker that is new, drains, reports different weights, service, address, zone or
// capacity, is lost or has left. Each change is published to a feed.Table with the log index as its
// offset.
//
// HeartbeatHandler decides on heartbeats at the process that leads the shard's group, the owner.
// LivenessTracker records the times of heartbeats there. Those times are not replicated: a new
// owner treats every known worker as seen at the time of the takeover, so a change of the owner
// alone never declares a worker lost.
//
// # Dependencies
//
// The package has no clock, opens no sockets or files, and does not know how its group elects a
// leader. The caller passes the time, the epoch and whether it has the lease, proposes the returned
// commands to the shard's log, and replies to the worker only after they are committed.
//
// # Concurrency and errors
//
// Apply, Snapshot and Restore are called from the replica's goroutine. The queries of Registry and
// the methods of HeartbeatHandler are safe for concurrent use. LivenessTracker has no lock;
// HeartbeatHandler guards its own. A command that cannot be decoded has no effect. Only Restore
// returns an error: if the snapshot cannot be read, the previous state is retained.
package registry
