// Package transport carries the internal protocol (package rpc, over twirp) between the processes of the scheduler: one Client and one Server
// for each process, over HTTP/1.1 of fasthttp. It also opens the sockets that other parts of the scheduler need.
//
// The package knows nothing of the calls' meaning, and repeats none: a call is sent at most once, so that the caller may decide whether a
// repetition is harmless.
//
// Client, Server and the functions may be used by any goroutine. An error of Client.Do says nothing of whether the call was executed,
// unless it is ErrNotSent.
package transport
