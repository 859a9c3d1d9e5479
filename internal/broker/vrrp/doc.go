// Package vrrp implements the Virtual Router VirtualRouter Protocol, version 3 (RFC 9568), for
// IPv4: its state machine and its advertisements. Names and states are those of the RFC.
//
// The package has no socket and reads no clock: a driver calls the Machine with the time and with
// received advertisements, and sends what the Machine returns. Times are microseconds of a
// monotonic clock; intervals are centiseconds, as on the wire. A Machine is not safe for concurrent
// use. Append returns an error for an advertisement that cannot be encoded, Parse for one that the
// RFC requires to be discarded.
package vrrp
