// Package swim is one gatherer's view of the others: who is there, who is held for dead, and since when. It is membership by gossip in
// the manner of SWIM with what Lifeguard adds, as a pure core: fed with datagrams, frames and ticks, it returns datagrams to send,
// exchanges to open and events. No socket, no clock, no goroutine, no source of chance but the seeded one that it is given. A driver
// (package peers) moves the bytes; package model under this one plays many cores in virtual time.
//
// It owns the table of members, the suspicions, the news that still have to be told, and this process's own incarnation. Times are
// microseconds of a clock that never runs backwards.
//
// # What it means
//
// A member is alive, suspected, dead or left. It is alive for one view when it, or one who heard it, has said so last; suspected when
// some member had no answer from it, directly or through others; dead when nobody refuted that in time; left when it said so itself,
// or an operator said so of a dead one. Of two records of one name that of the later start prevails; within a start leaving is final,
// then the higher incarnation prevails, then the worse state. That order is total, so every view that has heard the same records is the
// same, in whatever order, however often they came.
//
// The digest of a view is of the members that are alive or suspected: name, start, revision of what they tell of themselves. A fleet is
// settled when all live processes have the same digest, and it is the truth: the digest of exactly the live processes. A suspicion that
// comes and goes does not unsettle it.
//
// Alive is how many members are alive or suspected now, this one with them. Reckon is Alive and those that have been dead for less than
// Config.Reckon: a part of a split fleet counts the other one in for that long, so no sum that is divided by it doubles in a partition
// sooner. Whoever divides something among the fleet divides by Reckon.
//
// # Promises
//
// A view is never changed by bytes that fail their checksum, name another fleet, or come from or point to an address that is not
// allowed. No member is held for dead by one accuser's word alone before the longest time of suspicion; a process that was stopped or
// starved accuses nobody until it has had answers again. Nothing grows without bound: members, news, relays and accusers have limits.
// A step costs O(records in the datagram + log suspicions); only an exchange, a new round of probes and View walk over all members.
//
// # What it must never do
//
// Decide what a query or a policy may do: it tells who is there, and may be wrong for as long as a partition lasts. Safety is never
// built on it.
package swim
