// Package consensus is the agreement protocol of a replica group, a variant of Raft: leader election with pre-votes, log replication,
// snapshots that are sent in chunks, and membership changes of one replica at a time.
//
// # State machine and driver
//
// Core is a pure state machine. It has no clock, sockets or files and starts no goroutines. Its driver (package replica) calls Tick with the
// time, Step with each message that arrives, and Propose or ProposeMembership on behalf of the program. After any of these calls the driver
// calls Ready until the result is Empty, and carries each result out in this order:
//
//  1. Persist HardState, Chunks, Snapshot and Entries with one sync, if MustSync says that there is something to persist.
//  2. Send Messages. They acknowledge and promise what step 1 has put on disk, so none may leave earlier.
//  3. Apply Restore to the state machine, then Committed in order.
//
// Ready assumes that the driver succeeds: the core already counts the returned entries as stored on this replica. The driver must not call
// the core again before step 1 is done, however long that takes. Messages may be lost, delayed, repeated or reordered.
//
// Two kinds of data stay on the driver's disk and out of the core. The driver fills them into a message just before it is sent: the data of
// entries that were given to ReleaseData, and the data of snapshot chunks.
//
// # Guarantees
//
// At most one replica leads an epoch. An entry that came out of Ready.Committed on one replica is never lost or replaced, as long as a
// majority of the voters keep their disks. Committed entries come out in the order of their indexes, without gaps except those that a Restore
// covers. A committed entry may come out again after a restart, from the newest snapshot on.
//
// A leader that HasLease may answer reads from its own state: no other replica can have been elected yet.
//
// A leader that is about to leave calls TransferLeadership: it gives its lease up before the message leaves that has the most advanced voter start an
// election at once. The driver has to stop answering under the lease before it sends the messages of that Ready.
//
// # Time
//
// Times are milliseconds of a clock of this process that never runs backwards. Clocks of different replicas are not compared, but they must
// run at about the same rate: the lease is 65 % of the shortest election timeout, and that margin is all that covers a difference.
//
// # Epochs and identities
//
// An epoch is the period of one leader (Raft's term). It never decreases, so its number serves as a fencing token.
//
// A replica's id is bound to a disk. A machine that has lost its disk must take a new id, because it no longer knows its votes and
// acknowledgements. Under the new id it counts towards no majority until the group's leader has sent it the log and has had it admitted as a
// voter.
//
// # Concurrency and errors
//
// A Core is for one goroutine. A proposal that returns an error has had no effect; ErrNotLeader and ErrBusy say why. Messages of another
// group or for another replica, and those of earlier epochs, are ignored or rejected and cause no error.
package consensus
