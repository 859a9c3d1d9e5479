// Package rollout makes a change of policy take effect at all gatherers or at none, also while some of them are down. It is a pure core: it is
// stepped with messages, ticks and completions of disk writes, and returns messages, data to save, documents to validate and documents to put
// in force. It has no socket, no clock and no goroutine; random draws come from the generator that it is given. Three to seven gatherers are
// voters, who agree by raft (go.etcd.io/raft/v3). Every gatherer, voter or not, holds a lease.
//
// The package owns the sequence of versions, the open proposal, the roster of who may have a lease, the set of voters, and the decision whether
// a query may be admitted now. Times are microseconds of a node's own clock, which never runs backwards and counts on while the process is
// stopped.
//
// # Guarantees
//
//  1. Versions form one sequence; each is a complete document with a number and a hash. A proposal names the version that it replaces; of two
//     proposals for one version at most one wins.
//  2. No query is admitted under version n, anywhere, after any query was admitted under n+1, anywhere. Queries in flight keep their terms.
//  3. A proposal that a live gatherer rejects is in force nowhere, and its proposer learns who rejected it and why.
//  4. A gatherer that is down or partitioned delays a change by at most a lease and a pause, and admits nothing under the old version
//     once the new one can be in force. When it returns, it learns what is in force before it admits anything.
//  5. What was reported to be in force survives the crash of any minority, and of all processes at once while their disks last.
//  6. Where no majority of the voters is reachable nothing changes, and once leases are over nothing is admitted. The exception is a version with
//     the keep flag: gatherers go on admitting under it without a lease, and then a change needs an answer from every gatherer on the roster.
//  7. A vote belongs to a disk, never to a name: a voter that returns without its disk no longer votes under its old id.
//
// # Regions
//
// With Config.Region each region's voters agree by themselves and give its gatherers their leases. A global agreement decides the versions;
// its lease holders are the regions: two-phase commit over replicated groups. Without regions rules 1 to 7 apply as they are. With them:
//
//  8. Within a region rules 1 to 7 hold fully, whatever is partitioned.
//  9. A region that has its lease from the global agreement is joined: rules 2 and 3 hold over all joined regions together.
//  10. A region without that lease goes on under the version that it has, and reports itself isolated. Only then does rule 2 give way, and only
//     between that region and the others. It ends the pause for an undecided proposal in its own log; that it had prepared is in its log too.
//  11. It rejoins by a change of its own to the newest version that it learns of: validated, paused for and put in force in the complete region,
//     or not at all.
//  12. A proposer is told which regions have reported its version in force, and which have not and hold no lease.
//  13. Each region's part of the budgets belongs to the version. It changes only where all regions have paused and have the version in force. What
//     one region gives up another gets only with the next version: whichever versions are in force where, all parts add up to at most the budget.
//
// # Assumptions
//
// Clocks differ in speed by no more than Config.Drift. Voters' disks keep what Saved confirmed. One process of a name runs at a time, and none that
// an operator has declared gone. Admit is called when a query is admitted, on the goroutine that admits it. docs/ROLLOUT.md has the argument.
//
// # What it must not do
//
// Decide by a timeout of its own how a change ended; admit a query without a lease; treat the membership view as proof that a gatherer is gone.
//
// # Concurrency and errors
//
// Nothing here may be used by several goroutines at once. An error of Saved, SavedGlobal or New means that stored data does not fit the code: the
// node must not be used any more.
package rollout
