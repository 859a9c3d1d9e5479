// Package batchclient calls the owners of the batch job shards.
//
// It owns a process's view of the shards' replicas: their placement, their zones and the last known
// leaders. The view may be outdated; a replica that does not own a shard names the leader, to which
// the client redirects the call. The package is independent of what a call does.
//
// Concurrency: a Client is safe for concurrent use. It starts no goroutines.
//
// Errors: Call returns ErrUnavailable if no attempt can have taken effect, otherwise
// ErrOutcomeUnknown.
package batchclient
