// Package forward sends a request to workers, with retries, until an answer can be passed on, no
// further attempt is allowed, or the deadline has passed.
//
// # Processing of a request
//
//   - forward.go: the loop over attempts. A service of the route is drawn by weight; the others
//     are used only if it has no worker.
//   - attempts.go: Attempts decides whether another attempt is allowed. It is a pure state
//     machine that the simulation uses as well.
//   - attempt.go: one attempt with its timeout: dial, send, read, and record the result in the
//     routing table.
//   - answer.go: decides which answers belong to the request and can be passed on, and which are
//     rejections.
//   - request.go and result.go: the input and the output.
//
// Package outcome documents which errors allow another attempt and which status a client gets.
//
// # Scope
//
// The package owns the attempts of a request. It chooses no worker (package routing does), keeps no
// connections (package worker does) and does not deal with clients: package proxy turns a Result
// into a status.
//
// # Concurrency and errors
//
// A Forwarder is safe for concurrent use. A Request must not change until its call has returned. A
// Result belongs to one goroutine, which must call Release, even after an error. Result.Err is
// ErrNoWorker, an *outcome.Error, or an error that reports a worker's status 500; callers act on
// Result.Outcome and outcome.IsTimeout.
package forward
