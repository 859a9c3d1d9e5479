// Package consensus is the agreement protocol of a replica group: leader election with pre-votes, log replication, snapshots, and
// membership changes of one replica at a time. It is a pure state machine. It has no clock, sockets or files: the driver (package
// replica) tells it the time and what arrived, persists what Ready returns, and only then sends the messages that Ready returns.
//
// Times are milliseconds of a clock that never runs backwards. An epoch is the period of one leader; it never decreases, and so its
// number serves as a fencing token.
//
// A replica's id is bound to a disk. A machine that has lost its disk must take a new id, because it no longer knows what it has
// promised. Under the new id it neither votes nor counts until the group's leader has caught it up and has had it admitted as a voter.
package consensus
