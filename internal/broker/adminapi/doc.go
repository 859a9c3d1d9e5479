// Package adminapi implements the admin endpoint of the broker without its sockets: the calls that
// an operator sends (Call), the state of the process from start to shutdown (Lifecycle), and the
// metrics that the call stats prints (Metrics).
//
// The endpoint uses a line protocol: a client sends one line of at most MaxCall bytes per
// connection and gets one answer, either "YES ..." or "NO ..." or lines of text that end with
// "END". Operators' programs parse the names of calls, the answers and the names of metrics, so
// these never change.
//
// The package opens no socket, starts no goroutine and imports no other package of the broker:
// package transport feeds it bytes, and package server implements Program. A Call must be used by
// one goroutine only; Lifecycle and Metrics are safe for concurrent use.
package adminapi
