package rollout

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxUnansweredBatches is the number of unanswered leadership checks above which the oldest is
	// dropped.
	maxUnansweredBatches = 64
	// maxEagerBatches is the number of unanswered leadership checks up to which each request starts
	// a check at once.
	maxEagerBatches = 8
	// compactKeepDivisor sets how many entries stay in the log at a compaction, for voters that lag
	// a little: CompactAfter divided by this.
	compactKeepDivisor = 10
)

// scheduleCampaign sets a random time to campaign, one to two election timeouts from now.
func (v *voter) scheduleCampaign(now int64) {
	v.campaignAt = now + v.cfg.ElectionTimeout + v.rng.Int64N(v.cfg.ElectionTimeout)
}

// nextTick returns when tick is due.
func (v *voter) nextTick() int64 {
	at := v.tickAt
	if !v.isLeader {
		at = min(at, v.campaignAt)
	}
	return at
}

// tick sends heartbeats or campaigns if due, and advances the open proposal.
func (v *voter) tick(now int64) {
	if now >= v.tickAt {
		v.tickAt = now + v.cfg.HeartbeatInterval
		v.expireSnapshots(now)
		if v.isLeader {
			v.raftNode.Tick() // heartbeats
			v.confirmLeadership()
		}
	}
	if !v.isLeader && now >= v.campaignAt {
		v.scheduleCampaign(now)
		_ = v.raftNode.Campaign() // if raft refuses, this voter campaigns again later
	}
	v.advance(now)
}

// expireSnapshots reports snapshots that were sent an election timeout ago to raft as failed, since
// they may be lost. Raft ignores the report for a snapshot that has arrived.
func (v *voter) expireSnapshots(now int64) {
	for id, at := range v.snapshotSentAt {
		if now-at > v.cfg.ElectionTimeout {
			delete(v.snapshotSentAt, id)
			v.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
		}
	}
}

// step handles a raft message of another voter. Vote requests are ignored while a leader is heard,
// so that a voter that was partitioned does not disrupt the term.
func (v *voter) step(now int64, from string, identity uint64, m *pb.Message) error {
	if v.confState == nil {
		v.introducer = &wire.Member{Name: from, Id: m.GetFrom(), Identity: identity}
	} else if x := v.state.voterByID(m.GetFrom()); x == nil || x.Name != from || x.Identity != identity && !v.cfg.Bugs.VoteByName {
		return fmt.Errorf("rollout: raft message of voter %d from unexpected sender %s with disk identity %x", m.GetFrom(), from, identity)
	}
	if m.GetTo() != v.id {
		return fmt.Errorf("rollout: raft message for another voter %d", m.GetTo())
	}
	v.heardFrom[m.GetFrom()] = now
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if v.saving && m.GetType() == pb.MsgSnap {
			// Raft would apply the snapshot's voters at once, and then older ones from the entries
			// being saved; the leader retries.
			return nil
		}
		if m.GetTerm() >= v.raftNode.BasicStatus().HardState.GetTerm() {
			v.leaderHeardAt = now
			v.scheduleCampaign(now)
		}
	case pb.MsgPreVote, pb.MsgVote:
		if now-v.leaderHeardAt < v.cfg.ElectionTimeout*9/10 && v.raftNode.BasicStatus().SoftState.Lead != raft.None {
			return nil
		}
	}
	return v.raftNode.Step(m)
}

// confirmLeadership starts a check that a majority still accepts this voter as leader (raft's
// ReadIndex). It covers all requests that have arrived and are not covered yet.
func (v *voter) confirmLeadership() {
	if !v.isActiveLeader() {
		return
	}
	v.leadershipCheck++
	v.readBatches[v.leadershipCheck] = v.unconfirmed
	v.unconfirmed = nil
	v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.leadershipCheck))
	if len(v.readBatches) > maxUnansweredBatches {
		delete(v.readBatches, slices.Min(slices.Collect(maps.Keys(v.readBatches)))) // the senders retry
	}
}

// takeSave returns the data to save, or nil if nothing has changed or a write is in progress.
func (v *voter) takeSave() *Save {
	if s := v.initialSave; s != nil && !v.saving {
		v.saving = true
		return s
	}
	if v.saving || !v.raftNode.HasReady() {
		return nil
	}
	v.pendingReady, v.saving = v.raftNode.Ready(), true
	s := &Save{ID: v.id, Entries: v.pendingReady.Entries}
	if !raft.IsEmptyHardState(v.pendingReady.HardState) {
		s.HardState = v.pendingReady.HardState
	}
	if !raft.IsEmptySnap(v.pendingReady.Snapshot) {
		s.Snapshot = v.pendingReady.Snapshot
	}
	return s
}

// handleSaved continues after the data returned by takeSave is on disk: it queues raft's messages
// and applies committed entries. A non-nil snapshot replaces the stored log up to its index.
func (v *voter) handleSaved(now int64) (snapshot *pb.Snapshot, err error) {
	ready := v.pendingReady
	v.pendingReady, v.saving = raft.Ready{}, false
	if v.initialSave != nil {
		v.initialSave = nil
		v.advance(now)
		return nil, nil
	}
	if err := v.store(ready); err != nil {
		return nil, err
	}
	if err := v.queueRaftMessages(now, ready.Messages); err != nil {
		return nil, err
	}
	v.updateLeadership(now, ready.SoftState)
	votersChanged, err := v.applyCommitted(ready.CommittedEntries)
	if err != nil {
		return nil, err
	}
	v.raftNode.Advance(ready)
	for _, r := range ready.ReadStates {
		v.handleConfirmed(now, binary.BigEndian.Uint64(r.RequestCtx))
	}
	if first, err := v.storage.FirstIndex(); err == nil && (votersChanged || v.applied >= first+v.cfg.CompactAfter) {
		// Also after a voter change: a new voter has to be listed in the snapshot that it is sent.
		snapshot = v.compactLog()
	}
	v.advance(now)
	return snapshot, nil
}

// store copies data that is on disk into the in-memory storage that raft reads.
func (v *voter) store(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := v.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := v.storage.SetHardState(ready.HardState); err != nil {
			return fmt.Errorf("rollout: set hard state: %w", err)
		}
	}
	if err := v.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("rollout: append to log: %w", err)
	}
	return nil
}

// installSnapshot replaces the in-memory storage and the state by a snapshot.
func (v *voter) installSnapshot(snapshot *pb.Snapshot) error {
	if err := v.storage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("rollout: apply snapshot: %w", err)
	}
	v.state = state{}
	if err := proto.Unmarshal(snapshot.Data, &v.state.State); err != nil {
		return fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	v.applied, v.confState = snapshot.Metadata.GetIndex(), snapshot.Metadata.ConfState
	return nil
}

// queueRaftMessages queues raft's messages. Messages to voters that are not known here are dropped.
func (v *voter) queueRaftMessages(now int64, messages []*pb.Message) error {
	for _, m := range messages {
		data, err := proto.Marshal(m)
		if err != nil {
			return fmt.Errorf("rollout: encode raft message: %w", err)
		}
		to := v.state.voterByID(m.GetTo())
		if to == nil && v.introducer.GetId() == m.GetTo() {
			to = v.introducer
		}
		if m.GetType() == pb.MsgSnap {
			v.snapshotSentAt[m.GetTo()] = now
		}
		if to != nil {
			v.outbox = append(v.outbox, &wire.Message{From: v.name, To: to.Name, Raft: data, Target: to.Identity})
		}
	}
	return nil
}

// applyCommitted applies committed entries, and reports whether any of them changed the voters.
func (v *voter) applyCommitted(entries []*pb.Entry) (votersChanged bool, err error) {
	for _, e := range entries {
		v.applied = e.GetIndex()
		if e.GetType() == pb.EntryConfChangeV2 {
			if err := v.applyConfChange(e); err != nil {
				return false, err
			}
			votersChanged = true
			continue
		}
		if e.GetType() != pb.EntryNormal || len(e.Data) == 0 {
			continue
		}
		if v.cfg.Bugs.AbortAfterCommit {
			v.revertAfterCommit(e)
		}
		if err := v.state.apply(e.GetIndex(), e.Data); err != nil {
			return false, err
		}
		v.announced = false
	}
	return votersChanged, nil
}

// revertAfterCommit implements the seeded fault AbortAfterCommit.
func (v *voter) revertAfterCommit(e *pb.Entry) {
	var x wire.Entry
	if proto.Unmarshal(e.Data, &x) == nil && x.Kind == entryAbort && v.state.Decided == x.Attempt && v.state.Committed && v.state.number() > 0 {
		v.state.Current = &wire.Document{Number: v.state.number() - 1}
	}
}

// compactLog compacts the log into a snapshot of the state. It returns nil after an error; the next
// applied entry retries it.
func (v *voter) compactLog() *pb.Snapshot {
	data, err := proto.Marshal(&v.state.State)
	if err != nil {
		return nil
	}
	s, err := v.storage.CreateSnapshot(v.applied, v.confState, data)
	if err != nil {
		return nil
	}
	keep := min(v.applied, v.cfg.CompactAfter/compactKeepDivisor)
	if err := v.storage.Compact(v.applied - keep); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	return s
}

// discardLogger discards raft's log lines, since the host logs the relevant events itself. Fatal
// and Panic calls panic.
type discardLogger struct{}

func (discardLogger) Debug(...any)              {}
func (discardLogger) Debugf(string, ...any)     {}
func (discardLogger) Error(...any)              {}
func (discardLogger) Errorf(string, ...any)     {}
func (discardLogger) Info(...any)               {}
func (discardLogger) Infof(string, ...any)      {}
func (discardLogger) Warning(...any)            {}
func (discardLogger) Warningf(string, ...any)   {}
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
