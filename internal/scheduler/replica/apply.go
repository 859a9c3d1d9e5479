package replica

import (
	"maps"
	"math"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// apply passes a received snapshot and committed entries to a group's state machine, and completes
// the proposals decided by them. It stops the engine if their data cannot be read.
func (e *Engine) apply(g *group, ready *consensus.Ready) {
	if ready.Restore != nil && !e.restore(g, ready.Restore) {
		return
	}
	for _, entry := range ready.Committed {
		if !e.applyEntry(g, entry) {
			return
		}
	}
	if !g.core.IsLeader() {
		g.abandonWaiters(math.MaxUint64)
	}
	g.releaseData()
}

// restore sets a group's state machine to the snapshot in its store. Proposals at indexes covered
// by the snapshot are abandoned: whether the snapshot includes them is unknown.
func (e *Engine) restore(g *group, snapshot *rpc.Snapshot) bool {
	if !e.stopOnError(g.machine.Restore(snapshot.Index, e.cfg.Store.SnapshotState(g.name))) {
		return false
	}
	g.applied = snapshot.Index
	g.released = snapshot.Index
	g.abandonWaiters(g.applied)
	return true
}

// applyEntry applies a committed entry and completes the proposal waiting at its index.
func (e *Engine) applyEntry(g *group, entry *rpc.Entry) bool {
	var result []byte
	if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
		loaded, err := e.loadEntry(g, entry)
		if !e.stopOnError(err) {
			return false
		}
		result = g.machine.Apply(loaded.Index, loaded.Data)
	}
	g.applied = entry.Index
	w, ok := g.waiters[entry.Index]
	if !ok {
		return true
	}
	delete(g.waiters, entry.Index)
	if w.epoch == entry.Epoch {
		w.done(ProposalResult{Outcome: rpc.Outcome_DONE, Result: result})
	} else {
		w.done(ProposalResult{Outcome: rpc.Outcome_NOT_LEADER}) // another leader's entry was committed at the index
	}
	return true
}

// abandonWaiters completes the proposals up to index last, whose outcome this replica will not
// learn, with OUTCOME_UNKNOWN. It does so in index order, so that simulations are deterministic.
func (g *group) abandonWaiters(last uint64) {
	for _, index := range slices.Sorted(maps.Keys(g.waiters)) {
		if index <= last {
			g.waiters[index].done(ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
			delete(g.waiters, index)
		}
	}
}

// releaseData drops the data of applied entries from memory, except for the latest cachedEntries to
// 2*cachedEntries of them.
func (g *group) releaseData() {
	if g.applied > g.released+2*cachedEntries {
		last := g.applied - cachedEntries
		g.core.ReleaseData(g.released+1, last)
		g.released = last
	}
}
