// Package transport carries the internal protocol (package rpc, over twirp) between the processes
// of the scheduler: each process has one Client and one Server, over HTTP/1.1 with fasthttp. It
// also opens sockets for other parts of the scheduler.
//
// The package is independent of the meaning of calls and never retries: a call is sent at most
// once, so that the caller can decide whether a retry is safe.
//
// Client, Server and the functions are safe for concurrent use. After an error of Client.Do the
// call may or may not have been executed, unless the error wraps ErrNotSent.
package transport
