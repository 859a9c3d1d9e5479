// Package batchclient calls the owners of the batch job shards.
//
// It owns what a process knows of the shards' replicas: their placement, their zones and who led last. That knowledge may be outdated; a
// replica that does not own a shard names the leader, and the client follows. It must not know what a call does.
//
// Concurrency: a Client is safe for concurrent use. It starts no goroutines.
//
// Errors: Call returns ErrUnavailable where no attempt can have taken effect, ErrOutcomeUnknown otherwise.
package batchclient
