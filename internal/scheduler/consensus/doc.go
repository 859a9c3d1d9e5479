// Package consensus implements the consensus protocol of a replica group, a variant of Raft: leader
// election with pre-votes, log replication, snapshots that are transferred in chunks, leadership
// transfer, and membership changes of one replica at a time.
//
// # State machine and driver
//
// Core is a deterministic state machine. It has no clock, opens no sockets or files and starts no
// goroutines. Its driver (package replica) calls Tick with the time, Step with each message
// received, and Propose or ProposeMembership on behalf of the application. After any of these calls
// the driver calls Ready until the result is Empty, and processes each result in this order:
//
//  1. Persist HardState, Chunks, Snapshot and Entries with one sync, if MustSync reports that there
//     is something to persist.
//  2. Send Messages. They acknowledge or promise what step 1 persisted, so none may be sent
//     earlier.
//  3. Apply Restore to the state machine, then Committed in order.
//
// Ready assumes that the driver succeeds: the core already counts the returned entries as persisted
// on this replica. The driver must not call the core again before step 1 has completed, however
// long that takes. Messages may be lost, delayed, duplicated or reordered.
//
// Two kinds of data are kept on the driver's disk and not in the core. The driver loads them into a
// message just before it is sent: the data of entries passed to ReleaseData, and the data of
// snapshot chunks.
//
// # Guarantees
//
// At most one replica is leader in an epoch. An entry returned in Ready.Committed by one replica is
// never lost or replaced, as long as a majority of the voters keep their disks. Committed entries
// are returned in index order, without gaps except those covered by a Restore. A committed entry
// may be returned again after a restart, starting after the newest snapshot.
//
// A leader for which HasLease is true may serve reads from its own state: no other replica can have
// been elected yet.
//
// A leader that is shutting down calls TransferLeadership: it gives up its lease before it sends
// the message that makes the most up-to-date voter start an election immediately. The driver must
// stop serving reads under the lease before it sends the messages of that Ready.
//
// # Time
//
// Times are milliseconds of a monotonic clock of this process. Clocks of different replicas are not
// compared, but they must run at about the same rate: the lease is 65 % of the shortest election
// timeout, and only that margin covers clock drift.
//
// # Epochs and identities
//
// An epoch is the period of one leader (Raft's term). It never decreases, so its number serves as a
// fencing token.
//
// A replica id is bound to a disk. A machine that has lost its disk must use a new id, because it
// no longer has its votes and acknowledgements. Under the new id it counts towards no quorum until
// the group's leader has sent it the log and has promoted it to voter.
//
// # Concurrency and errors
//
// A Core is not safe for concurrent use. A proposal that returns an error has no effect;
// ErrNotLeader and ErrBusy give the reason. Messages of another group or for another replica, and
// those of earlier epochs, are ignored or rejected and cause no error.
package consensus
