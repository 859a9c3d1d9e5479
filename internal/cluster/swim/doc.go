// Package swim maintains one gatherer's view of its fleet: which members are alive, suspected, dead
// or have left, and since when. It implements the SWIM protocol with the Lifeguard extensions as a
// deterministic state machine: the input is datagrams, frames and ticks, the output datagrams to
// send, exchanges to open and events. It has no socket, clock, goroutine or source of randomness
// other than the seeded one that New receives. Package gossip drives it over the network; package
// simulation runs many cores in virtual time.
//
// A Core owns the table of members, the suspicions, the queue of records to gossip, and this
// process's own incarnation. It is not safe for concurrent use. Times are microseconds of a
// monotonic clock.
//
// # States
//
// A member is suspected when another member received no ack from it, neither directly nor through
// indirect probes; dead when the suspicion was not refuted in time; left when it announced its
// departure, or when an operator removed a dead member with Forget. Of two records of one name the
// later start prevails; within a start, Left is final, then the higher incarnation prevails, then
// the worse state. The order is total, so views that have merged the same records agree, regardless
// of the order and number of deliveries.
//
// The digest of a view covers the members that are alive or suspected: name, start and revision of
// their metadata. A fleet has converged when all live processes have the same digest and it is that
// of exactly the live processes. A suspicion that starts and is cleared does not change it.
//
// # Sizes
//
// AliveCount is the number of members that are alive or suspected now. EffectiveSize also counts
// those that have been dead for less than Config.CountDeadFor, so that one side of a network
// partition counts the other side for that long. Callers that divide a budget among the fleet
// divide by EffectiveSize.
//
// # Guarantees
//
// A view is never changed by bytes that fail their checksum, name another fleet, or come from or
// point to an address that is not allowed. In a fleet of three or more no member is declared dead
// by a single accuser before the maximum suspicion timeout has passed. A process that was stopped
// or starved accuses no member until it has received acks again. Members, gossip, relays and
// accusers are bounded. A step costs O(records in the datagram + log suspicions); only an exchange,
// a new probe round and View iterate over all members.
//
// # Errors
//
// A dropped message is counted and reported as one of the Err variables, which work with errors.Is.
//
// # Non-goals
//
// The package does not decide what a query or a policy may do. A view may be wrong for as long as a
// partition lasts, so safety must not depend on it.
package swim
