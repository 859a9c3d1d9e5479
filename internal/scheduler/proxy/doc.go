// Package proxy is the role that takes the requests of clients and trainers on an edge machine. It forwards requests and streams to workers,
// passes batch jobs on to the owners of their shards, and executes items of batch jobs (package batchrunner).
//
// The package owns the HTTP interface: routes, statuses, texts and header fields. Which worker gets a request, and whether a failed request
// may be sent again, is decided by packages routing and forward; neither knows of clients. Configuration, workers, placements and members come
// from the agent of the machine (package feed). The proxy goes on with what it knows while the agent is out of touch.
//
// # Which status a client gets
//
// The text of the answer identifies the place in the code. A 503 of the proxy's handlers, readiness excepted, always has Retry-After and promises that the request has not run
// and will not run because of this call; 502 and 504 promise nothing. A read is harmless, so that every failed one gets 503.
//
//	status  text                                       cause                                                         decided in
//	503     no configuration is known yet              the process has just started, or its agent is not in touch    handle
//	503     no worker takes the request now            no worker of the route's services is eligible; or all that    failureStatus
//	                                                   were tried rejected the request or could not be reached, or
//	                                                   its time ended before one took it
//	503     batch jobs can't be kept yet               the placement of the shards is not known                      submitJob
//	503     batch jobs can't be kept now               no replica of the shard was called, or each one refused the   submitJob
//	                                                   connection or answered that the call had no effect
//	503     batch jobs can't be read yet               the placement of the shards is not known                      handleJob
//	503     the batch job can't be read now            no replica answered in time                                   readJob
//	503     items can't be read yet                    the placement is not known                                    readItemBody
//	503     the item can't be read now                 the owner did not answer in time                              readItemBody
//	503     the batch job can't be ended now           no call was sent, or each one had no effect                   cancelJob
//	502     no worker has answered the request whole   a worker may have run the request, none answered              failureStatus
//	502     the worker's answer broke off              the error answer to a stream's request was incomplete         copyErrorBody
//	502     internal error                             a panic of the program, counted in panics_total                handle
//	504     the time of the request is over            a worker may have run the request, and the deadline passed    failureStatus
//	                                                   or the last attempt timed out
//	504     the batch job may have been taken          a call brought no clear answer: a lost one, or one that was   submitJob
//	                                                   cut off by the timeout
//	504     the end of the batch job is not certain    the owner did not confirm the cancellation in time            cancelJob
//	500     (an error)                                 a page of results could not be encoded                        writePage
//	405     want GET or DELETE                         another method for a batch job                                handleJob
//	405     want GET                                   another method for an item                                    readItemBody
//	404     no such route, batch job or item           the configuration in force has no route for it, or the owner   handle, jobs.go
//	                                                   does not have it
//	400     Request-Id: is missing                                                                                   forwardRequest
//	400     Last-Event-Id: ...                         the route's streams can't be continued                        forwardStream
//	400     a batch job is a POST with a Request-Id                                                                  submitJob
//	400     (an error)                                 the batch job is malformed                                    submitJob
//	202     (empty)                                    the batch job is stored by a majority                         submitJob
//
// Package outcome says which errors prove that a request has not run. Every other status is a worker's: 500 too, where the request may not be
// sent to another worker. A worker's 503, 429 and 408 never reach the client, since they would promise that the request has not run: with
// Not-Executed they count as rejections, without it as failures (502). What is not HTTP is answered by the HTTP server and doesn't come here.
//
// A stream's status is sent with the head of the worker's answer. What fails later closes the connection without the end of the body, so that
// the client sees that the stream is incomplete.
//
// The readiness address answers GET /api/readyz for the platform: 503 while the process drains or knows no configuration, otherwise 200.
//
// # Why did this request get 503
//
// For "no worker takes the request now" look at the metrics of the proxy that answered: refusals_total has the rejections by worker and cause
// (not_executed: full, loading weights, or out of time in its queue), tries_total with verdict="not run" the attempts that no worker ran. If
// neither has grown, routing had no worker to choose: those of the route's services that are registered all drain, or lack the model. A request
// whose Deadline-Ms is above 0 but not above answerMargin gets this 503 too and is counted in neither metric. A 503 with a text that the table lacks is of the
// HTTP server, or of a steward (package controlplane).
//
// # Concurrency
//
// The HTTP server calls the handlers concurrently. The configuration is replaced atomically; a request uses the one that it began with. The
// fields policies and policyCalls are guarded by a mutex, the routing table and the client of the owners by their own.
package proxy
