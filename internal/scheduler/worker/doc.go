// Package worker is an HTTP/1.1 client for workers: it sends a request over an idle or new
// connection and reads the answer, at once or event by event. It sends every request exactly once;
// package forward decides on further attempts.
//
//   - call.go: the request; pool.go: idle connections; answer.go: the answer, and whether its
//     connection is kept;
//   - body.go: the framings of a body; events.go: the events of a stream.
//
// # Connection reuse
//
// A connection serves one call at a time. It is kept for the next call only if the answer's body
// was read to its end, no bytes follow it, the request was sent completely, the context has not
// ended, and the worker did not announce to close it. The connection of a cancelled call is closed,
// so that a late answer never reaches another call. An idle connection on which bytes have arrived
// is closed, not used.
//
// A worker may send a second answer late, where the next answer on the connection is due. Its
// Request-Id tells it from the answer to another request, but not from the answer to a further
// attempt of the same request. Therefore a connection never carries a request again that is among
// the last maxCarried on it.
//
// # Errors
//
// Every error of Pool.Do is an *outcome.Error that reports whether the request may have run. Errors
// from reading the body are not of that type; the request may have run then. A truncated body never
// ends in io.EOF; a body without a length ends when the connection is closed.
//
// # Concurrency
//
// A Pool is safe for concurrent use. An Answer belongs to one goroutine, which must call Close or
// Discard. The end of the context of Do also makes reads of the body fail. A large request is
// written by a separate goroutine, which ends when the connection is closed at the latest.
package worker
