package replica

import (
	"errors"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// readyBatch is the Ready results of the cores of several groups. It is persisted with one sync,
// then sent and applied.
type readyBatch struct {
	writes []GroupWrite
	tasks  []readyTask
}

// readyTask is a Ready result of one group to send and apply.
type readyTask struct {
	group *group
	ready consensus.Ready
}

// processReady processes the Ready results of the cores of all dirty groups. It reports whether
// there may be more to process, which is not the case if a write failed.
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

// groupWrite returns the part of a Ready result that has to be persisted, and updates the
// statistics.
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

// flush persists the pending batch, if there is one, and then sends and applies it. It returns
// false if the write failed or the engine has stopped.
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

// withdrawLeadership publishes the end of this replica's leadership of groups that it has
// transferred, before it sends the messages that start the elections: until then readers would rely
// on its lease. It skips replicas that follow another leader, whose status must not be newer than
// what they have applied.
func (e *Engine) withdrawLeadership(batch *readyBatch) {
	for _, task := range batch.tasks {
		g := task.group
		if leaderID, _ := g.core.Leader(); leaderID == "" && g.status.Load().Leader && !g.core.IsLeader() {
			e.publishStatus(g)
		}
	}
}

// persist stores writes durably. It returns false if the write failed, so that the caller has to
// retry it, or if the engine has stopped.
func (e *Engine) persist(writes []GroupWrite) bool {
	err := e.cfg.Store.Persist(writes)
	if errors.Is(err, ErrCorrupt) {
		return e.stopOnError(err)
	}
	if err != nil {
		e.cfg.Log.Error("failed to persist replica state", "error", err)
	}
	return err == nil
}

// send sends the messages of a batch, with one call for each address.
func (e *Engine) send(batch *readyBatch) {
	outgoing := map[string][]*rpc.Message{}
	var addresses []string // the keys of outgoing, in order of their first message
	for _, task := range batch.tasks {
		e.recordAddresses(task.group.core.Membership())
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

// recordAddresses records the addresses of a group's members.
func (e *Engine) recordAddresses(membership *rpc.Membership) {
	for _, replica := range slices.Concat(membership.GetVoters(), membership.GetLearners(), membership.GetOutgoing()) {
		e.addresses[replica.Id] = replica.Address
	}
}

// loadData loads the data of a message's entries and chunk that is on disk only. It returns false
// if the data cannot be read: the message is not sent then.
func (e *Engine) loadData(g *group, m *rpc.Message) bool {
	for i, entry := range m.Entries {
		loaded, err := e.loadEntry(g, entry)
		if err != nil {
			e.cfg.Log.Error("failed to read log entry", "group", g.name, "index", entry.Index, "error", err)
			return false
		}
		m.Entries[i] = loaded
	}
	if m.Piece != nil {
		chunk, err := e.cfg.Store.Chunk(g.name, m.Piece.Number)
		if err != nil {
			e.cfg.Log.Error("failed to read snapshot chunk", "group", g.name, "chunk", m.Piece.Number, "error", err)
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
