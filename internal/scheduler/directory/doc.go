// Package directory is the state machine of the shard that stores the operator's configuration. In
// addition, the shard's log determines the latest named version of each model's weights, the
// placement of every replica group, the machines to drain, and for which models one version of the
// weights must generate all tokens of a text.
//
// # Responsibilities
//
// Directory is a replica.StateMachine: it applies the commands of the log in order and depends on
// nothing else, so all replicas reach the same state. Each change that other processes use is
// published to a feed.Table as an event with the log index as its offset.
//
// # Dependencies
//
// The package does not know the replica group's leader, has no clock, and opens no sockets or
// files. Package controlplane decides who may propose a command and how its result is returned to
// the operator. Package configuration interprets configurations.
//
// # Configuration updates
//
// An operator's update contains the version that it is based on. Of two updates based on the same
// version, the first one in the log is accepted and the second one is rejected with
// DIRECTORY_CONFLICT. An update may be resent after a lost response: Directory records the digests
// of accepted updates, and acknowledges a known one without applying it again. The number of
// records is bounded. An update whose version is not above the highest dropped one is answered with
// DIRECTORY_UNCERTAIN, because the directory no longer knows whether it was accepted.
//
// # Concurrency and errors
//
// Apply, Snapshot and Restore are called from the replica's goroutine. The queries are safe for
// concurrent use; they reflect what this replica has applied, which may lag behind the leader. A
// command that cannot be decoded or executed has no effect, and its result contains the reason.
// Only Restore returns an error: if the snapshot cannot be read, the previous state is retained.
package directory
