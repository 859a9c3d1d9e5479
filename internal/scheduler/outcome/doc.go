// Package outcome classifies a request that has failed by one question: may a worker have run it? Whether another attempt is allowed, and which
// status the client gets, follow from the answer. The package decides neither itself: package forward decides on attempts, package proxy on
// statuses. It imports nothing of the project, holds no state and is safe for concurrent use.
//
// # Which errors give which outcome
//
// Package worker sets the outcome of failures of the connection, package forward that of answers it can't pass on:
//
//	NotRun      no connection could be opened within the dial timeout
//	NotRun      writing failed before the first byte of a request of up to 16 KiB was written (a longer one: MayHaveRun)
//	NotRun      the worker answered 421, or any status with the header Not-Executed
//	MayHaveRun  a write failed after some bytes, or the answer did not arrive or broke off
//	MayHaveRun  the attempt's timeout or the request's deadline passed after the connection was there
//	MayHaveRun  the answer belongs to another request, or is a success without a Response-Stamp
//	MayHaveRun  the worker answered 408, 429 or 503 without the header Not-Executed
//	Ran         the worker answered 500
//
// # Which outcome allows another attempt
//
//	            Route.Idempotent                     other routes
//	NotRun      until 4 attempts were not run        until 4 attempts were not run
//	MayHaveRun  until maxAttempts attempts may       never
//	            have run
//	Ran         until maxAttempts attempts may       never
//	            have run
//
// Idempotent are the routes of the types idempotent and deployment, and resumable streams. Two paths have rules of their own: a stream that
// breaks off after its head (package proxy, stream.go), and items of batch jobs, which go to another worker after everything but a worker's 500 and 422
// (package batchrunner, attempt.go and item.go).
//
// # Which status the client gets
//
// The outcome of a request is NotRun only if every attempt's was. Where no answer can be passed on, package proxy answers:
//
//	NotRun                                 503 with Retry-After: the request has not run, the client may send it again
//	MayHaveRun or Ran, last error TimedOut  504: the request may have run
//	MayHaveRun or Ran, any other error      502: the request may have run
//
// An answer 500 of a worker is passed on as it is where no other attempt is allowed.
package outcome
