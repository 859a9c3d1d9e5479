// Package gossip is the driver of package swim: it runs one core over the network. It transports
// the datagrams and the push-pull exchanges by which the members of a fleet update their views; all
// decisions about them are made by the core.
//
// A Driver owns one UDP socket, one TCP listener, the goroutine of Run, which owns the core, one
// goroutine for each socket, and one for each open exchange. Stop waits for all of them. The
// goroutine of a SetMetadata call ends within a second.
//
// Callers are blocked for at most a second. Queues are bounded, every exchange has a deadline, and
// messages from an address that is not allowed are dropped and counted before they are decoded.
// Datagrams and exchanges that fail are counted, not reported: the protocol repeats them.
//
// The package must not decide which members are alive, nor identify senders by the source addresses
// of their datagrams.
package gossip
