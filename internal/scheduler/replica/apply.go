package replica

import (
	"maps"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

func (e *Engine) apply(g *group, r *consensus.Ready) {
	if r.Restore != nil {
		if !e.check(g.machine.Restore(r.Restore.Index, e.cfg.Store.SnapshotState(g.name))) {
			return
		}
		g.applied = r.Restore.Index
		g.released = r.Restore.Index
		e.completeSkipped(g)
	}
	for _, entry := range r.Committed {
		var result []byte
		if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
			whole, err := e.loadEntry(g, entry)
			if !e.check(err) {
				return
			}
			result = g.machine.Apply(whole.Index, whole.Data)
		}
		g.applied = entry.Index
		if w, ok := g.waiters[entry.Index]; ok {
			delete(g.waiters, entry.Index)
			if w.epoch == entry.Epoch {
				w.done(ProposalResult{Outcome: rpc.Outcome_DONE, Result: result})
			} else {
				w.done(ProposalResult{Outcome: rpc.Outcome_NOT_LEADER}) // another entry stands in its place
			}
		}
	}
	if !g.core.IsLeader() && len(g.waiters) > 0 {
		for _, index := range slices.Sorted(maps.Keys(g.waiters)) { // in a fixed order, so that a simulation repeats
			g.waiters[index].done(ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
			delete(g.waiters, index)
		}
	}
	e.releaseData(g)
}

// answerOld answers waiters whose entries a snapshot has passed over.
func (e *Engine) completeSkipped(g *group) {
	for _, index := range slices.Sorted(maps.Keys(g.waiters)) {
		if index <= g.applied {
			g.waiters[index].done(ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
			delete(g.waiters, index)
		}
	}
}

// fill gives a message's entries and piece the data that lies on disk only. It returns false where that can't be read.
func (e *Engine) loadData(g *group, m *rpc.Message) bool {
	for i, entry := range m.Entries {
		whole, err := e.loadEntry(g, entry)
		if err != nil {
			e.cfg.Log.Error("entry can't be read", "group", g.name, "index", entry.Index, "error", err)
			return false
		}
		m.Entries[i] = whole
	}
	if m.Piece != nil {
		chunk, err := e.cfg.Store.Chunk(g.name, m.Piece.Number)
		if err != nil {
			e.cfg.Log.Error("piece of a snapshot can't be read", "group", g.name, "piece", m.Piece.Number, "error", err)
			return false
		}
		m.Piece = chunk
	}
	return true
}

// whole returns an entry with its data.
func (e *Engine) loadEntry(g *group, entry *rpc.Entry) (*rpc.Entry, error) {
	if entry.Stored == 0 {
		return entry, nil
	}
	return e.cfg.Store.Entry(g.name, entry.Index)
}

// strip drops the data of entries that are applied from memory, but for the newest, which slower replicas still have to be sent.
func (e *Engine) releaseData(g *group) {
	if g.applied > g.released+2*cachedEntries {
		to := g.applied - cachedEntries
		g.core.ReleaseData(g.released+1, to)
		g.released = to
	}
}
