package consensus

import (
	"math"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Ready is the work for the driver, in this order: persist HardState, Chunks, Snapshot and Entries
// with one sync; send Messages; apply Restore and then Committed. Nil and empty fields require
// nothing.
type Ready struct {
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of an incoming snapshot; number 0 starts a new one and discards earlier chunks
	Snapshot  *rpc.Snapshot        // complete: all its chunks have been returned; replaces the entire log
	Entries   []*rpc.Entry         // replace all entries of the log from the index of the first one on
	Messages  []*rpc.Message       // the driver loads the data of released entries and of chunks
	Restore   *rpc.Snapshot        // replaces the state of the state machine
	Committed []*rpc.Entry         // for the state machine, in order
}

// MustSync reports whether something has to be persisted before the messages are sent.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Chunks) > 0 || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0
}

// Ready returns the work for the driver and counts it as done: the driver must not call the core
// again before it has persisted the result. Messages caused by the result itself, such as the
// heartbeat with a new commit index, are returned by the next Ready.
func (c *Core) Ready() Ready {
	var ready Ready
	if c.role == leader {
		c.forEachPeer(func(id string, peer *progress) {
			if peer.next <= c.log.lastIndex() {
				c.replicate(id, peer, entriesOnly)
			}
		})
	}
	if c.hardStateChanged {
		ready.HardState = c.hardState()
		c.hardStateChanged = false
	}
	ready.Chunks, ready.Snapshot, ready.Restore = c.unstableChunks, c.snapshotToPersist, c.snapshotToRestore
	c.unstableChunks, c.snapshotToPersist, c.snapshotToRestore = nil, nil, nil
	if c.firstUnstable != 0 {
		ready.Entries = c.log.from(c.firstUnstable, math.MaxInt)
		c.firstUnstable = 0
		ready.HardState = c.hardState() // includes the commit index, so that a restarted replica can apply entries up to it immediately
	}
	ready.Messages = c.messages
	c.messages = nil
	if c.role == leader && len(ready.Entries) > 0 {
		c.advanceCommit() // commits in a group with one voter; in larger groups the followers' replies do
	}
	if c.deliveredIndex < c.commit {
		ready.Committed = slices.Clone(c.log.entries[c.deliveredIndex-c.log.snapshotIndex : c.commit-c.log.snapshotIndex])
		c.deliveredIndex = c.commit
	}
	return ready
}

func (c *Core) hardState() *rpc.HardState {
	return &rpc.HardState{Epoch: c.epoch, Vote: c.vote, Commit: c.commit}
}

// ReleaseData drops the data of the entries in [from, to] from memory. The driver calls it for
// entries that it has applied and has on disk. If such an entry has to be sent, Ready returns it
// without its data and with the length of the data in Stored, and the driver loads the data.
// Entries that Ready has not returned as committed keep their data.
func (c *Core) ReleaseData(from, to uint64) {
	for index := from; index <= to && index <= c.deliveredIndex; index++ {
		c.log.releaseData(index)
	}
}
