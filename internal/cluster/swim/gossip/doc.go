// Package gossip carries what the members of a fleet tell each other: datagrams and full exchanges for the view of the fleet (package
// fleet, which decides all of it). It owns one UDP socket, one TCP listener and the goroutine that owns the core.
//
// It promises that nothing here blocks its callers, that queues are bounded and every call on a socket has a deadline, and that what
// comes from addresses that are not allowed is dropped and counted before it is read. It must never decide who is alive, nor know
// senders by the addresses that their datagrams come from.
package gossip
