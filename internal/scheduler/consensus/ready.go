package consensus

import (
	"math"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Ready is what the driver has to do, in this order: persist HardState, Chunks, Snapshot and Entries with one sync; send Messages; apply
// Restore and then Committed. Nil and empty fields need nothing.
type Ready struct {
	HardState *rpc.HardState
	Chunks    []*rpc.SnapshotPiece // of a snapshot that is being received; number 0 begins a new one and discards those before
	Snapshot  *rpc.Snapshot        // all chunks of it have been returned; it replaces all of the log
	Entries   []*rpc.Entry         // they replace all entries of the log at and after the index of the first one
	Messages  []*rpc.Message       // the driver fills in the data of released entries and of chunks
	Restore   *rpc.Snapshot        // replaces the state of the state machine
	Committed []*rpc.Entry         // for the state machine, in order
}

// MustSync reports whether something has to be on disk before the messages are sent.
func (r *Ready) MustSync() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Chunks) > 0 || len(r.Entries) > 0
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return !r.MustSync() && len(r.Messages) == 0 && r.Restore == nil && len(r.Committed) == 0
}

// Ready returns what the driver has to do, and counts it as done: the driver must not call the core again before it has persisted the result.
// Messages that follow from the result itself, such as the heartbeat with a new commit index, come with the next Ready.
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
	ready.Chunks, ready.Snapshot, ready.Restore = c.unstableChunks, c.receivedToStore, c.receivedToApply
	c.unstableChunks, c.receivedToStore, c.receivedToApply = nil, nil, nil
	if c.firstUnstable != 0 {
		ready.Entries = c.log.from(c.firstUnstable, math.MaxInt)
		c.firstUnstable = 0
		ready.HardState = c.hardState() // with the commit index, so that a restarted replica can apply the entries up to it immediately
	}
	ready.Messages = c.messages
	c.messages = nil
	if c.role == leader && len(ready.Entries) > 0 {
		c.advanceCommit() // a single voter commits here; in larger groups the followers' replies do it
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

// ReleaseData removes the data of the entries between two indexes, both included, from memory. The driver calls it for entries that it has
// applied and holds on disk. If such an entry has to be sent, it comes out of Ready without its data, its field Stored says how long the data
// is, and the driver fills the data in. Entries that Ready has not returned as committed keep their data.
func (c *Core) ReleaseData(from, to uint64) {
	for index := from; index <= to && index <= c.deliveredIndex; index++ {
		c.log.releaseData(index)
	}
}
