package replica

import (
	"cmp"

	"saffronquay/internal/system/consensus"
	"saffronquay/internal/system/rpc"
)

func (h *Host) apply(g *group, r *consensus.Ready) {
	if r.Restore != nil {
		h.check(g.machine.Restore(r.Restore.Index, r.Restore.State))
		g.applied = r.Restore.Index
		h.answerOld(g)
	}
	for _, entry := range r.Committed {
		var result []byte
		if entry.Kind == rpc.EntryKind_ENTRY_COMMAND {
			whole, err := h.whole(g, entry)
			if !h.check(err) {
				return
			}
			result = g.machine.Apply(whole.Index, whole.Data)
		}
		g.applied = entry.Index
		if w, ok := g.waiters[entry.Index]; ok {
			delete(g.waiters, entry.Index)
			if w.epoch == entry.Epoch {
				w.done <- Proposed{Outcome: rpc.Outcome_DONE, Result: result}
			} else {
				w.done <- Proposed{Outcome: rpc.Outcome_NOT_LEADER} // another entry stands in its place
			}
		}
	}
	if !g.core.IsLeader() && len(g.waiters) > 0 {
		for index, w := range g.waiters {
			w.done <- Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
			delete(g.waiters, index)
		}
	}
	h.strip(g)
	h.compact(g)
}

// answerOld answers waiters whose entries a snapshot has passed over.
func (h *Host) answerOld(g *group) {
	for index, w := range g.waiters {
		if index <= g.applied {
			w.done <- Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
			delete(g.waiters, index)
		}
	}
}

// fill gives a message's entries the data that lies on disk only. It returns false where that can't be read.
func (h *Host) fill(g *group, m *rpc.Message) bool {
	for i, entry := range m.Entries {
		whole, err := h.whole(g, entry)
		if err != nil {
			h.cfg.Log.Error("entry can't be read", "group", g.name, "index", entry.Index, "error", err)
			return false
		}
		m.Entries[i] = whole
	}
	return true
}

// whole returns an entry with its data.
func (h *Host) whole(g *group, entry *rpc.Entry) (*rpc.Entry, error) {
	if entry.Stored == 0 {
		return entry, nil
	}
	return h.cfg.Store.Entry(g.name, entry.Index)
}

// strip drops the data of entries that are applied from memory, but for the newest, which slower replicas still have to be sent.
func (h *Host) strip(g *group) {
	if g.applied > g.stripped+2*keptEntries {
		to := g.applied - keptEntries
		g.core.Strip(g.stripped+1, to)
		g.stripped = to
	}
}

// compact replaces the log by a snapshot of the state once the log is much longer than that.
func (h *Host) compact(g *group) {
	least := cmp.Or(h.cfg.SnapshotBytes, snapshotBytes)
	if g.logBytes < least && g.core.LogLength() < snapshotEntries {
		return
	}
	state, err := g.machine.Snapshot()
	if err != nil || g.logBytes < int64(len(state)) && g.core.LogLength() < snapshotEntries {
		g.logBytes = min(g.logBytes, least/2) // later
		return
	}
	snapshot := g.core.Compact(g.applied, state)
	if snapshot == nil {
		return
	}
	if h.persist([]Save{{Group: g.name, Snapshot: snapshot}}) {
		g.logBytes = 0
	}
}
