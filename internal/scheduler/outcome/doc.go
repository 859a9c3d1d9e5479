// Package outcome classifies failed requests by whether a worker may have run them. The outcome
// determines whether another attempt is allowed and which status the client gets. The package makes
// neither decision itself: package forward decides on attempts, package proxy on statuses. It
// imports no other package of the project, has no state and is safe for concurrent use.
//
// # Errors and outcomes
//
// Package worker sets the outcome of connection failures, package forward that of answers that must
// not be passed on:
//
//	NotRun      no connection could be opened within the dial timeout
//	NotRun      a write failed before the first byte of a request of up to 16 KiB was written
//	            (a longer one: MayHaveRun)
//	NotRun      the worker answered 421, or any status with the header Not-Executed
//	MayHaveRun  a write failed after some bytes, or the answer did not arrive or was truncated
//	MayHaveRun  the attempt's timeout or the request's deadline passed after the connection was open
//	MayHaveRun  the answer belongs to another request, or is a success without a Response-Stamp
//	MayHaveRun  the answer has no Request-Id, and is a success or came on a reused connection
//	MayHaveRun  the worker answered 408, 429 or 503 without the header Not-Executed
//	Ran         the worker answered 500
//
// # Outcomes and further attempts
//
//	            Route.Idempotent                     other routes
//	NotRun      until 4 attempts were not run        until 4 attempts were not run
//	MayHaveRun  until maxAttempts attempts may       never
//	            have run
//	Ran         until maxAttempts attempts may       never
//	            have run
//
// Idempotent routes are those of the types idempotent and deployment, and resumable streams. Two
// paths have their own rules: a stream that is interrupted after its head (package proxy,
// stream.go), and items of batch jobs, which are sent to another worker after any failure except a
// worker's 500 and 422 (package batchrunner, attempt.go and item.go).
//
// # Outcomes and the client's status
//
// The outcome of a request is NotRun only if that of every attempt was. If no answer can be passed
// on, package proxy answers:
//
//	NotRun                                  503 with Retry-After: the request has not run, the client
//	                                        may send it again
//	MayHaveRun or Ran, last error TimedOut  504: the request may have run
//	MayHaveRun or Ran, any other error      502: the request may have run
//
// A worker's answer 500 is passed on unchanged if no other attempt is allowed.
package outcome
