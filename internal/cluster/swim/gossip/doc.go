// Package gossip is the driver of package swim: it runs one core over the network. It carries the datagrams and the push-pull exchanges by which the members of
// a fleet keep their views; the core decides everything about them.
//
// A Driver owns one UDP socket, one TCP listener, the goroutine Run that owns the core, one goroutine for each socket, and one for each open exchange. Stop
// waits for all of them. The goroutine of a SetMetadata ends within a second.
//
// Callers are blocked for a second at most. Queues are bounded, every exchange has a deadline, and what comes from an address that is not allowed is dropped
// and counted before it is decoded. Datagrams and exchanges that fail are counted, not reported: the protocol repeats them.
//
// The package must not decide which members are alive, nor identify senders by the source addresses of their datagrams.
package gossip
