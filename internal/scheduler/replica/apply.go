package replica

import (
	"maps"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

func (e *Engine) apply(g *group, r *consensus.Ready) {
	if r.Restore != nil {
		if !e.check(g.machine.Restore(r.Restore.Index, e.cfg.Store.State(g.name))) {
			return
		}
		g.applied = r.Restore.Index
		g.stripped = r.Restore.Index
		e.answerOld(g)
	}
	for _, entry := range r.Committed {
		var result []byte
		if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
			whole, err := e.whole(g, entry)
			if !e.check(err) {
				return
			}
			result = g.machine.Apply(whole.Index, whole.Data)
		}
		g.applied = entry.Index
		if w, ok := g.waiters[entry.Index]; ok {
			delete(g.waiters, entry.Index)
			if w.epoch == entry.Epoch {
				w.done(Proposed{Outcome: rpc.Outcome_DONE, Result: result})
			} else {
				w.done(Proposed{Outcome: rpc.Outcome_NOT_LEADER}) // another entry stands in its place
			}
		}
	}
	if !g.core.IsLeader() && len(g.waiters) > 0 {
		for _, index := range slices.Sorted(maps.Keys(g.waiters)) { // in a fixed order, so that a simulation repeats
			g.waiters[index].done(Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
			delete(g.waiters, index)
		}
	}
	e.strip(g)
}

// answerOld answers waiters whose entries a snapshot has passed over.
func (e *Engine) answerOld(g *group) {
	for _, index := range slices.Sorted(maps.Keys(g.waiters)) {
		if index <= g.applied {
			g.waiters[index].done(Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
			delete(g.waiters, index)
		}
	}
}

// fill gives a message's entries and piece the data that lies on disk only. It returns false where that can't be read.
func (e *Engine) fill(g *group, m *rpc.Message) bool {
	for i, entry := range m.Entries {
		whole, err := e.whole(g, entry)
		if err != nil {
			e.cfg.Log.Error("entry can't be read", "group", g.name, "index", entry.Index, "error", err)
			return false
		}
		m.Entries[i] = whole
	}
	if m.Piece != nil {
		piece, err := e.cfg.Store.Piece(g.name, m.Piece.Number)
		if err != nil {
			e.cfg.Log.Error("piece of a snapshot can't be read", "group", g.name, "piece", m.Piece.Number, "error", err)
			return false
		}
		m.Piece = piece
	}
	return true
}

// whole returns an entry with its data.
func (e *Engine) whole(g *group, entry *rpc.Entry) (*rpc.Entry, error) {
	if entry.Stored == 0 {
		return entry, nil
	}
	return e.cfg.Store.Entry(g.name, entry.Index)
}

// strip drops the data of entries that are applied from memory, but for the newest, which slower replicas still have to be sent.
func (e *Engine) strip(g *group) {
	if g.applied > g.stripped+2*keptEntries {
		to := g.applied - keptEntries
		g.core.ReleaseData(g.stripped+1, to)
		g.stripped = to
	}
}
