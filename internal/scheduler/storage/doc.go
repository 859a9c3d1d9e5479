// Package storage is the role `store` of the rollout scheduler: a storage node, which keeps batch jobs.
//
// It owns this machine's replicas of the batch job shards, answers gatherers for the shards whose owner it is, follows the placements that
// the control plane delivers, and reports to all controllers what the open jobs of its shards need. It must not know how jobs are
// scheduled (package batchjobs) nor how replicas agree (package replica).
//
// Concurrency: calls run on goroutines of the server; the replicas, the maintenance of the jobs and the tail of the feed have one each. Run
// waits for them for a bounded time, but for the tail.
//
// Errors: the role ends by an error only where it can't start, or where its disk fails. What it acknowledged to a gatherer is committed.
package storage
