package replica

import (
	"errors"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// readyBatch is what the cores of several groups returned from Ready. It is persisted with one sync, then sent and applied.
type readyBatch struct {
	writes []GroupWrite
	tasks  []readyTask
}

// readyTask is what has to be sent and applied for one group.
type readyTask struct {
	group *group
	ready consensus.Ready
}

// processReady carries out what the cores of all dirty groups return from Ready. It reports whether there may be more to do, which is not so
// if the disk did not take it.
func (e *Engine) processReady() (more bool) {
	batch := &readyBatch{}
	for _, name := range e.names {
		g := e.groups[name]
		if !g.dirty {
			continue
		}
		g.dirty = false
		ready := g.core.Ready()
		if ready.Empty() {
			e.publishStatus(g)
			continue
		}
		batch.tasks = append(batch.tasks, readyTask{g, ready})
		if ready.MustSync() {
			batch.writes = append(batch.writes, e.groupWrite(g, &ready))
		}
	}
	if len(batch.tasks) == 0 {
		return false
	}
	e.pending = batch
	return e.flush()
}

// groupWrite returns what has to be persisted of what a core returned, and counts it.
func (e *Engine) groupWrite(g *group, ready *consensus.Ready) GroupWrite {
	if ready.Snapshot != nil {
		g.logBytes = 0
		e.counts.SnapshotsReceived++
	}
	for _, entry := range ready.Entries {
		g.logBytes += int64(len(entry.Data))
	}
	return GroupWrite{
		Group:     g.name,
		HardState: ready.HardState,
		Chunks:    ready.Chunks,
		Snapshot:  ready.Snapshot,
		Received:  ready.Snapshot != nil,
		Entries:   ready.Entries,
	}
}

// flush persists the pending batch, if there is one, and then sends and applies it. It returns false if the disk did not take it or the
// engine has ended.
func (e *Engine) flush() bool {
	batch := e.pending
	if batch == nil {
		return true
	}
	if len(batch.writes) > 0 && !e.persist(batch.writes) {
		return false
	}
	e.pending = nil
	e.withdrawLeadership(batch)
	e.send(batch)
	for _, task := range batch.tasks {
		e.apply(task.group, &task.ready)
		task.group.dirty = true
		e.publishStatus(task.group)
	}
	return e.err == nil
}

// withdrawLeadership tells readers that this replica no longer leads groups whose leadership it has given up, before the messages leave that have
// another one elected: until then its lease would seem to last. It is not for replicas that follow another leader, whose status must not be newer
// than what they have applied.
func (e *Engine) withdrawLeadership(batch *readyBatch) {
	for _, task := range batch.tasks {
		g := task.group
		if leaderID, _ := g.core.Leader(); leaderID == "" && g.status.Load().Leader && !g.core.IsLeader() {
			e.publishStatus(g)
		}
	}
}

// persist stores writes durably. It returns false if the disk did not take them, so that the caller has to repeat them, or if the engine
// has ended.
func (e *Engine) persist(writes []GroupWrite) bool {
	err := e.cfg.Store.Persist(writes)
	if errors.Is(err, ErrCorrupt) {
		return e.stopOnError(err)
	}
	if err != nil {
		e.cfg.Log.Error("write to disk failed", "error", err)
	}
	return err == nil
}

// send passes the messages of a batch on, in one call for each address.
func (e *Engine) send(batch *readyBatch) {
	outgoing := map[string][]*rpc.Message{}
	var addresses []string // the keys of outgoing, in the order of their first messages
	for _, task := range batch.tasks {
		e.learnAddresses(task.group.core.Membership())
		for _, m := range task.ready.Messages {
			address := e.addresses[m.To]
			if address == "" || !e.loadData(task.group, m) {
				continue
			}
			if outgoing[address] == nil {
				addresses = append(addresses, address)
			}
			outgoing[address] = append(outgoing[address], m)
		}
	}
	for _, address := range addresses {
		e.cfg.Send(address, outgoing[address])
	}
}

// learnAddresses notes the addresses of a group's members.
func (e *Engine) learnAddresses(membership *rpc.Membership) {
	for _, replica := range slices.Concat(membership.GetVoters(), membership.GetLearners(), membership.GetOutgoing()) {
		e.addresses[replica.Id] = replica.Address
	}
}

// loadData fills the data in that a message's entries and chunk have on disk only. It returns false if that can't be read: the message is
// not sent then.
func (e *Engine) loadData(g *group, m *rpc.Message) bool {
	for i, entry := range m.Entries {
		loaded, err := e.loadEntry(g, entry)
		if err != nil {
			e.cfg.Log.Error("entry can't be read", "group", g.name, "index", entry.Index, "error", err)
			return false
		}
		m.Entries[i] = loaded
	}
	if m.Piece != nil {
		chunk, err := e.cfg.Store.Chunk(g.name, m.Piece.Number)
		if err != nil {
			e.cfg.Log.Error("snapshot chunk can't be read", "group", g.name, "chunk", m.Piece.Number, "error", err)
			return false
		}
		m.Piece = chunk
	}
	return true
}

// loadEntry returns an entry with its data.
func (e *Engine) loadEntry(g *group, entry *rpc.Entry) (*rpc.Entry, error) {
	if entry.Stored == 0 {
		return entry, nil
	}
	return e.cfg.Store.Entry(g.name, entry.Index)
}
