// Package storage implements the role `store` of the rollout scheduler: a storage node, which stores
// batch jobs.
//
// It runs this machine's replicas of the batch job shards, serves gatherers for the shards that it
// owns, applies the placements of the control plane, and reports the demand of the open jobs of its
// shards to all controllers. It must not know how jobs are scheduled (package batchjobs) or how
// replicas reach consensus (package replica).
//
// Concurrency: calls run on goroutines of the server; the replicas, the maintenance of the jobs and the
// client of the feed have one each. Run waits for them for a bounded time when it stops.
//
// Errors: Run returns an error only if the role cannot start or its disk fails. Results that were
// acknowledged to a gatherer are committed.
package storage
