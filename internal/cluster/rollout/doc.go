// Package rollout implements the agreement on policy versions: a change of policy takes effect at
// all gatherers or at none, even while some of them are down.
//
// The package is a deterministic core without sockets, clocks or goroutines. The host steps it with
// messages, ticks and completions of disk writes; the core returns messages to send, data to save,
// documents to validate and documents to put in force. Random numbers come from the generator that
// the host passes in. One to seven gatherers are voters, which agree by raft (go.etcd.io/raft/v3).
// Every gatherer, voter or not, needs a lease to admit queries.
//
// The package owns the sequence of versions, the open proposal, the roster of gatherers that may
// have a lease, the set of voters, and the decision whether a query may be admitted now. Times are
// microseconds of a node's own clock, which never runs backwards and keeps running while the
// process is stopped.
//
// # Guarantees
//
//  1. Versions form one sequence; each is a complete document with a number and a hash. A proposal
//     names the version that it replaces; of two proposals that replace the same version at most
//     one is committed.
//  2. No query is admitted under version n, anywhere, after any query was admitted under n+1,
//     anywhere. Queries in flight keep the terms that they were admitted under.
//  3. A proposal that a live gatherer rejects is in force nowhere, and its proposer learns which
//     gatherer rejected it and why.
//  4. A gatherer that is down or partitioned delays a change by at most a lease and a pause, and
//     admits nothing under the old version once the new one can be in force. After a restart it
//     learns which version is in force before it admits anything.
//  5. A version that was reported in force survives the crash of any minority, and of all processes
//     at once as long as their disks survive.
//  6. Without a reachable majority of the voters nothing changes, and no query is admitted once the
//     leases have expired. The exception is a version with the keep flag: gatherers continue to
//     admit queries under it without a lease, and the next change then needs an answer from every
//     gatherer on the roster.
//  7. A vote belongs to a disk, never to a name: a voter that returns without its disk no longer
//     votes under its old id.
//
// # Regions
//
// With Config.Region each region has an agreement of its own, whose voters grant the leases of the
// region's gatherers. A global agreement decides the versions, and its lease holders are the
// regions: this is two-phase commit over replicated groups. Without regions rules 1 to 7 apply as
// they are. With regions:
//
//  8. Within a region rules 1 to 7 hold fully, whatever is partitioned.
//  9. A region that has a lease from the global agreement is joined: rules 2 and 3 hold over all
//     joined regions together.
//  10. A region without that lease is isolated: it keeps its version, and reports itself isolated.
//     Only then does rule 2 not apply, and only between that region and the others. The region
//     aborts an undecided proposal in its own log, which ends the pause; the fact that it had
//     prepared the proposal is in its log too.
//  11. An isolated region rejoins by a change of its own to the newest version that it learns of:
//     that version is validated, paused for and put in force in the complete region, or not at
//     all.
//  12. A proposer learns which regions have reported its version in force, and which have not and
//     have no lease.
//  13. Each region's part of the budgets belongs to the version. Parts change only once all regions
//     have paused and have the version in force. The part that one region gives up is given to
//     another only with the next version: whichever versions are in force where, all parts add up
//     to at most the budget.
//
// # Assumptions
//
// Clocks differ in speed by no more than Config.Drift. Voters' disks keep what Saved confirmed. At
// most one process of a name runs at a time, and none after an operator has declared it gone. Admit
// is called when a query is admitted, on the goroutine that admits it. docs/ROLLOUT.md has the
// argument for the guarantees.
//
// # Non-goals
//
// The package must not decide by a local timeout how a change ended, admit a query without a lease,
// or treat the membership view as proof that a gatherer is gone.
//
// # Concurrency and errors
//
// Nothing here is safe for concurrent use. An error of Saved, SavedGlobal or New means that stored
// data does not fit the code: the node must not be used any more.
package rollout
