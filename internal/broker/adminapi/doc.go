// Package adminapi is the admin endpoint of the broker, without its sockets: the calls that an operator sends (Call), the state of the process between start
// and shutdown (Lifecycle), and the metrics that the call stats prints (Metrics).
//
// The endpoint is a line protocol: a connection carries one line of MaxCall bytes at most and gets one answer. The answer is "YES ..." or "NO ...", or lines
// of text that end with "END". Names of calls, words of answers and names of metrics are read by operators' programs and never change.
//
// The package opens no socket, starts no goroutine and knows no other package of the broker: package transport feeds it bytes, and package server implements
// Program. A Call belongs to one goroutine; Lifecycle and Metrics may be used by any.
package adminapi
