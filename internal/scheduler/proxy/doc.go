// Package proxy is the role that serves the requests of clients and trainers on an edge machine. It
// forwards requests and streams to workers, passes batch jobs on to the owners of their shards, and
// executes items of batch jobs (package batchrunner).
//
// The package owns the HTTP interface: routes, statuses, texts and header fields. Packages routing
// and forward decide which worker gets a request and whether a failed request is retried; neither
// deals with clients. Configuration, workers, placements and members come from the agent of the
// machine (package feed). While the agent is unreachable, the proxy continues with the state that
// it has.
//
// # Statuses
//
// The text of an answer identifies its place in the code, in parentheses below. Every 503 of the
// proxy's handlers, except that of the readiness check, has the header Retry-After and guarantees
// that the request has not run and will not run because of this call; 502 and 504 guarantee
// nothing. Reads have no effect, so that a failed read gets 503.
//
// 503 with Retry-After:
//
//   - "no configuration is known yet" (dispatch): the process has just started, or
//     can't reach its agent.
//   - "process is stopping" (dispatch): the request arrived when the process only finished those in
//     flight. Another proxy serves it.
//   - "no worker available for the request" (failureStatus): no worker of the route's services is
//     eligible, or all workers that were attempted rejected the request or could not be reached,
//     or the deadline passed before a worker accepted it.
//   - "batch job not stored: shard placement not known yet" (submitJob).
//   - "batch job not stored: shard owner unavailable" (submitJob): no replica of the shard was
//     called, or each one refused the connection or answered that the call had no effect.
//   - "batch job not available: shard placement not known yet" (handleJob).
//   - "batch job not read: no answer from the shard owner" (readJob): no replica answered in time.
//   - "batch job not cancelled: shard owner unavailable" (cancelJob): no call was sent, or each
//     one had no effect.
//   - "item not read: shard placement not known yet" (readItemBody).
//   - "item not read: no answer from the shard owner" (readItemBody): the owner did not answer in
//     time.
//
// 504:
//
//   - "request timed out; it may have run" (failureStatus): a worker may have run the request,
//     and the deadline passed or the last attempt timed out.
//   - "submission not confirmed by the shard owner; the batch job may have been stored"
//     (submitJob): the answer to a call was lost, unclear, or not received before the timeout.
//   - "cancellation not confirmed by the shard owner; the batch job may have been cancelled"
//     (cancelJob): the owner did not confirm the cancellation in time.
//
// 502:
//
//   - "no complete answer from a worker; the request may have run" (failureStatus): a worker may
//     have run the request, and none sent a complete answer.
//   - "incomplete error answer from the worker" (copyErrorBody): the error answer to a stream's
//     request was truncated.
//   - "internal error" (handle): a panic in the program, counted in panics_total.
//
// Other statuses:
//
//   - 500 with the text of an error (writePage): a page of results could not be encoded.
//   - 405 "method not allowed: want GET or DELETE" (handleJob): another method for a batch job.
//   - 405 "method not allowed: want GET" (readItemBody): another method for an item.
//   - 404 "no such route" (dispatch): the configuration in force has no route for the request.
//   - 404 "no such batch job" and "no such item" (jobs.go): the owner does not have it.
//   - 400 "missing Request-Id header" (forwardRequest).
//   - 400 "Last-Event-Id header not allowed: ..." (forwardStream): the route's streams are not
//     resumable.
//   - 400 "batch job must be a POST request ..." and "host and path of a batch job must be UTF-8"
//     (submitJob).
//   - 400 with the text of an error (submitJob): the batch job is malformed.
//   - 202 without text (submitJob): the batch job is stored by a majority.
//
// Package outcome documents which errors prove that a request has not run. Every other status is a
// worker's, including a 500 after which the request may not be retried. A worker's 503, 429 and 408
// never reach the client, since they would imply that the request has not run: with the header
// Not-Executed they count as rejections, without it as failures (502). The HTTP server itself
// answers malformed HTTP; such requests never reach the handlers.
//
// A stream's status is sent with the head of the worker's answer. A later failure closes the
// connection without terminating the body, so that the client detects the incomplete stream.
//
// The readiness address answers GET /api/readyz for the platform: 503 while the process drains or
// has no configuration, otherwise 200.
//
// # Troubleshooting 503
//
// For "no worker available for the request", look at the metrics of the proxy that answered:
// refusals_total counts the rejections by worker and cause (not_executed: at capacity, loading
// weights, or deadline passed in its queue), and tries_total with verdict="not run" counts the
// attempts that no worker ran. If neither has grown, routing had no worker to choose: all
// registered workers of the route's services are draining or lack the model. A request whose
// Deadline-Ms is positive but at most answerMargin also gets this 503 and is counted in neither
// metric. A 503 with a text that is not listed above comes from the HTTP server or from a steward
// (package controlplane).
//
// # Concurrency
//
// The HTTP server calls the handlers concurrently. The configuration is replaced atomically; a
// request uses the same configuration from start to end. The fields policies and policyCalls are
// guarded by a mutex; the routing table and the client of the owners have their own locks.
package proxy
