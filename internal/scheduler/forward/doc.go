// Package forward sends one request to workers until an answer can be passed on, no further attempt is allowed, or the deadline has passed.
//
// # The course of a request
//
//   - forward.go: the loop over attempts. A route's service is drawn by its weights; the others serve only when it has no worker.
//   - attempts.go: Attempts decides whether another attempt is allowed. It is a pure state machine that the simulation uses as well.
//   - attempt.go: one attempt: dial, send, read, with its timeout; its result goes into the routing table.
//   - answer.go: which answers belong to the request and can be passed on, and which are rejections.
//   - request.go and result.go: what goes in and what comes out.
//
// Which errors allow another attempt, and which status a client gets, is listed in package outcome.
//
// # What it owns and what it must not know
//
// The package owns the attempts of a request. It chooses no worker (package routing does), keeps no connection (package worker does) and knows
// nothing of clients: package proxy turns a Result into a status.
//
// # Concurrency and errors
//
// A Forwarder is safe for concurrent use. A Request must not change until its call has returned. A Result belongs to one goroutine, which calls
// Release, also after an error. Result.Err is ErrNoWorker, an *outcome.Error, or an error that says that a worker answered 500; the caller acts
// on Result.Outcome and outcome.IsTimeout.
package forward
