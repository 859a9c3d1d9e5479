// Package swim keeps one gatherer's view of its fleet: which members are alive, suspected, dead or have left, and since when. It is the SWIM protocol with
// the Lifeguard extensions, as a pure core: it is fed with datagrams, frames and ticks, and returns datagrams to send, exchanges to open and events. It has
// no socket, clock, goroutine or source of randomness other than the seeded one that it is given. Package gossip drives it over the network; package
// simulation runs many cores in virtual time.
//
// A Core owns the table of members, the suspicions, the queue of records to gossip, and this process's own incarnation. It is not safe for concurrent use.
// Times are microseconds of a clock that never runs backwards.
//
// # States
//
// A member is suspected when another one has had no ack from it, neither directly nor through indirect probes; dead when that was not refuted in time; left
// when it announced its departure, or an operator had a dead member forgotten. Of two records of one name the later start prevails; within a start
// leaving is final, then the higher incarnation prevails, then the worse state. The order is total, so views that have merged the same records agree,
// whatever the order and however often the records arrived.
//
// The digest of a view covers the members that are alive or suspected: name, start and revision of their metadata. A fleet has converged when all live
// processes have the same digest and it is that of exactly the live processes. A suspicion that comes and goes does not change it.
//
// # Sizes
//
// AliveCount is the number of members that are alive or suspected now. EffectiveSize also counts those that have been dead for less than
// Config.CountDeadFor, so that a part of a partitioned fleet counts the other part for that long. Whoever divides a budget among the fleet divides
// by EffectiveSize.
//
// # Guarantees
//
// A view is never changed by bytes that fail their checksum, name another fleet, or come from or point to an address that is not allowed. In a fleet of three
// or more no member is declared dead by a single accuser before the longest suspicion is over. A process that was stopped or starved accuses no member until it
// has had acks again. Nothing grows without bound: members, gossip, relays and accusers have limits. A step costs O(records in the datagram + log
// suspicions); only an exchange, a new pass of probes and View walk over all members.
//
// # Errors
//
// A message that is dropped is reported by one of the Err variables, which work with errors.Is, and is counted.
//
// # What it must not do
//
// Decide what a query or a policy may do. A view may be wrong for as long as a partition lasts; safety is never built on it.
package swim
