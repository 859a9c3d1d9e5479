// Package rollout has a change of policy take hold everywhere or nowhere, also while gatherers are down. It is a pure core: stepped with
// messages, ticks and the word that something is on disk, it returns messages, what is to be saved, documents to judge and documents to
// put in force. No socket, no clock, no goroutine, no chance but the seeded one. Three to seven gatherers are voters, who agree by raft
// (go.etcd.io/raft/v3); every gatherer, a voter or not, holds a lease.
//
// It owns the line of versions, the open proposal, the roster of who may have a lease, who votes, and whether a query may be let in now. Times are microseconds of
// a node's own clock, which never runs backwards and counts on while the process is stopped.
//
// # Everywhere or nowhere
//
//  1. Versions form one line; each is a whole document with number and hash. A proposal names the version that it replaces; of two on
//     one version at most one wins.
//  2. No query is let in under version n, anywhere, after any query was let in under n+1, anywhere. Queries that are in keep their terms.
//  3. A proposal that a live gatherer turns down is in force nowhere, and its proposer is told who and why.
//  4. A gatherer that is down or cut off holds a change up for a lease and a moment at most, and lets nothing in under the old version
//     once the new one can be in force. Back again, it learns what is in force before it lets anything in.
//  5. What was told to be in force survives the crash of any minority, and of all at once with their disks.
//  6. Where no majority of the voters is reached, nothing changes, and once leases are over nothing is let in; but a version that keeps goes
//     on to be let in under, and then a change needs the word of every gatherer of the roster.
//  7. A vote is a disk's, never a name's: who comes back without its disk votes no more under its old id.
//
// # Regions
//
// With Config.Region each region's voters agree by themselves and give its gatherers their leases; a global agreement decides the versions,
// and its holders are the regions: two-phase commit over replicated groups. Without regions rules 1 to 7 stand as they are. With them:
//
//  8. Within a region rules 1 to 7 hold whole, whatever is cut.
//  9. A region that has its lease from the global agreement is part of the whole: rules 2 and 3 hold over all such regions together.
//  10. A region that has none goes on under the version that it has, and says so. Only then does rule 2 give way, and only between it and the
//     others. What it held for it gives up in its own log; what it has promised before that is in its log, too.
//  11. It comes back by a change of its own, to the newest version that it hears of: judged, held and put in force there as a whole, or not.
//  12. A proposer is told the regions that have said that its version is in force there, and those that have not and hold no lease.
//  13. What each region has of a budget belongs to the version. It changes only where all hold and have the version in force, and what one
//     gives up another has with the version after: whichever versions are in force where, all together have the whole at most.
//
// # What it assumes
//
// Clocks differ in speed by no more than Config.Drift. Voters' disks keep what Saved said that they do. One process of a name runs at a time,
// and none that an operator has said to be gone. Admission is looked at when a query is let in, on the goroutine that lets it in. docs/ROLLOUT.md has the argument.
//
// # What it must never do
//
// Decide by a time-out of its own how a change ended; let a query in without a lease; take the view of the fleet for a proof that
// somebody is gone.
package rollout
