// Package worker speaks HTTP/1.1 with workers: it sends a request over a kept or new connection and reads the answer, complete or event by event.
// It sends every request exactly one time; whether another attempt follows is package forward's decision.
//
//   - call.go: what is sent; pool.go: kept connections; answer.go: the answer and what becomes of its connection;
//   - body.go: the framings of a body; events.go: the events of a stream.
//
// # Which connections are kept
//
// A connection serves one call at a time. It is kept for the next one only if the answer's body was read to its end, no bytes follow it, the request
// was sent completely, the context has not ended, and the worker did not ask to close it. A call that is given up gives up its connection, so that a
// late answer never meets another call. A kept connection on which anything has arrived is closed, not used.
//
// # Errors
//
// Every error of Pool.Do is an *outcome.Error that says whether the request may have run. Errors while the body is read are plain: the request may
// have run. A body that breaks off never ends in io.EOF; of a body without a length, the close of the connection is the end.
//
// # Concurrency
//
// A Pool is safe for concurrent use. An Answer belongs to one goroutine, which must call Close or Discard. The end of the context of Do also ends the
// reading of the body. A long request is written by a goroutine of its own, which ends at the latest when the connection is closed.
package worker
