package rollout

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// phase is how far a leader has come with the open proposal.
type phase uint8

const (
	idle       phase = iota
	validating       // all that hold a lease judge it, or are waited out
	pausing          // all that are ready hold queries
	closing          // commit or abort is on its way through the log
	preparing        // of a region: all hold, and that is on its way through the log
	prepared         // of a region: the log says so; the global agreement's end is waited for
)

// Save is what a voter's disk has to hold before Saved is called: until then nothing of it may be known to anybody.
type Save struct {
	ID              uint64            // of the voter whose disk it is; what lies there of another id is void
	VoterIdentities map[string]uint64 // not of a voter yet: the identities of those that are to vote
	HardState       *pb.HardState
	Entries         []*pb.Entry
	Snapshot        *pb.Snapshot
}

// Disk is what a voter's disk held at its start.
type Disk struct {
	ID        uint64 // 0: nobody has voted by it
	HardState *pb.HardState
	Entries   []*pb.Entry // behind the snapshot
	Snapshot  *pb.Snapshot
}

// voter is one of those that agree: raft, the state that its log comes to and, where it leads, leases and the steps of a change.
type voter struct {
	cfg         Config
	rng         *rand.Rand
	name        string
	id          uint64
	initialSave *Save // what a first voter's disk begins with; nil: it is there
	confState   *pb.ConfState
	introducer  *wire.Member // who speaks to this one while it knows nobody
	raftNode    *raft.RawNode
	storage     *raft.MemoryStorage
	state       state
	applied     uint64

	pendingReady  raft.Ready // being saved
	saving        bool
	tickAt        int64
	leaderHeardAt int64 // of a leader, or as a leader of a majority
	campaignAt    int64 // when to stand, where nobody is heard

	follower         *follower        // of a region's voters; nil: no other agreement is followed
	quotaHolder      *quota.Holder    // of this process; nil: budgets are not divided
	quotaAllocator   *quota.Allocator // while it leads
	holderNames      []string         // on the roster, in order,
	holderNamesIndex uint64           // of this index

	isLeader       bool
	term           uint64
	leaderSince    int64  // of the leadership
	termFirstIndex uint64 // index of this term's first entry; leases are given once it is applied
	grantees       map[string]*grantee
	unconfirmed    []leaseRequest          // asks that wait until leadership is confirmed
	confirms       map[uint64]leaseRequest // of a round, by its context
	readRound      uint64
	readBatches    map[uint64][]leaseRequest
	phase          phase
	attempt        uint64
	absent         map[string]bool  // who is not there, as the view of the fleet has it: it only saves time
	heardFrom      map[uint64]int64 // when each voter was heard last
	snapshotSentAt map[uint64]int64 // when a snapshot was sent to a voter; raft sends it nothing else until it hears what became of it
	changeIndex    uint64           // the change of voters that is being driven
	changeSince    int64            // since when
	changeTriedAt  int64            // when its end was put into the log last
	phaseSince     int64            // of the phase
	remindedAt     int64            // when those were pressed last that have not done yet what it wants
	announced      bool             // everybody has been told of it
	outbox         []*wire.Message

	validated          bool                // the open proposal is, by all that are waited for
	closingAborts      bool                // what closing is on its way: an abort,
	abortReason        string              // for this reason
	followIndex        uint64              // the entry that follows the global agreement, and is on its way
	followedAt         int64               // since when
	syncedGlobalRoster uint64              // the roster there that was compared,
	syncedRoster       uint64              // with this one here
	rosterCache        []*wire.Member      // who may have a lease
	rosterCacheIndex   uint64              // by this roster
	globalPeers        map[string]*grantee // of the global agreement: whoever made itself known, by name
}

// grantee is what a leader knows of one gatherer.
type grantee struct {
	leaseUntil    int64 // by this clock: when its lease is surely over
	ready         uint64
	refused       uint64
	refusalReason string
	paused        uint64
	number        uint64
	seenAt        int64
	left          bool   // it has said that it lets nothing in any more
	lastSender    string // of a region: who asked for it last
	identity      uint64 // of its disk
}

type leaseRequest struct {
	sender     string
	request    *wire.Ask
	receivedAt int64 // of its arrival
}

// firstDisk is what the first voters' disks begin with, the same at all of them.
func initialDisk(cfg Config, met map[string]uint64) (Disk, error) {
	first := state{}
	first.Members, first.MembersIndex = initialMembers(cfg.Members, met), 1
	if first.Region = cfg.Region; cfg.isGlobal {
		first.Region, first.Regions = "", cfg.regions
	}
	data, err := proto.Marshal(&first.State)
	if err != nil {
		return Disk{}, fmt.Errorf("rollout: first state: %w", err)
	}
	conf := &pb.ConfState{}
	for _, m := range first.Members {
		if m.Id != 0 {
			conf.Voters = append(conf.Voters, m.Id)
		}
	}
	return Disk{
		ID: first.member(cfg.Name).GetId(), HardState: &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}},
	}, nil
}

// newVoter makes a voter of its disk. One that was added later and has nothing on it yet learns everything from the leader.
func newVoter(cfg Config, now int64, rng *rand.Rand, disk Disk) (*voter, error) {
	v := &voter{
		cfg: cfg, rng: rng, globalPeers: map[string]*grantee{}, name: cfg.Name, id: disk.ID, grantees: map[string]*grantee{}, readBatches: map[uint64][]leaseRequest{}, heardFrom: map[uint64]int64{}, snapshotSentAt: map[uint64]int64{},
		storage: raft.NewMemoryStorage(), tickAt: now, leaderHeardAt: now,
	}
	if snapshot := disk.Snapshot; snapshot != nil {
		if err := v.storage.ApplySnapshot(snapshot); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		if err := proto.Unmarshal(snapshot.Data, &v.state.State); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		v.applied, v.confState = snapshot.Metadata.GetIndex(), snapshot.Metadata.ConfState
	}
	if hard := disk.HardState; hard != nil {
		if hard.GetCommit() < v.applied {
			hard = proto.Clone(hard).(*pb.HardState)
			hard.Commit = proto.Uint64(v.applied)
		}
		v.storage.SetHardState(hard)
	}
	if err := v.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("rollout: log: %w", err)
	}
	var err error
	v.raftNode, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: 1 << 20, HeartbeatTick: 1, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: 512 << 10,
		MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 * maxText, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: discardLogger{},
	})
	if err != nil {
		return nil, fmt.Errorf("rollout: raft: %w", err)
	}
	v.scheduleCampaign(now)
	return v, nil
}

// leader is the name of who leads, as far as is known here.
func (v *voter) leader() string {
	id := v.raftNode.BasicStatus().SoftState.Lead
	if id == raft.None && (v.cfg.isGlobal || v.cfg.Region != "") {
		return "" // and not somebody who does not vote, who may be of another region
	}
	return v.state.voterByID(id).GetName()
}

// isOut tells that this voter has no vote any more, as its own log says.
func (v *voter) isRemoved() bool {
	c := v.confState
	return c != nil && !slices.Contains(c.Voters, v.id) && !slices.Contains(c.VotersOutgoing, v.id) && !slices.Contains(c.Learners, v.id) && !slices.Contains(c.LearnersNext, v.id)
}

// stand draws when to stand for leader where none is heard of.
func (v *voter) scheduleCampaign(now int64) {
	v.campaignAt = now + v.cfg.ElectionTimeout + v.rng.Int64N(v.cfg.ElectionTimeout)
}

func (v *voter) nextTick() int64 {
	at := v.tickAt
	if !v.isLeader {
		at = min(at, v.campaignAt)
	}
	return at
}

// tick does what is due, and takes a change forward.
func (v *voter) tick(now int64) {
	if now >= v.tickAt {
		v.tickAt = now + v.cfg.HeartbeatInterval
		for id, at := range v.snapshotSentAt {
			if now-at > v.cfg.ElectionTimeout { // it may be lost; where it was not, raft passes this over
				delete(v.snapshotSentAt, id)
				v.raftNode.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if v.isLeader {
			v.raftNode.Tick() // heartbeats
			v.confirmLeadership()
		}
	}
	if !v.isLeader && now >= v.campaignAt {
		v.scheduleCampaign(now)
		v.raftNode.Campaign()
	}
	v.advance(now)
}

// step takes raft's words from another voter. While a leader is heard nobody is elected: a voter that was cut off disturbs nothing.
func (v *voter) step(now int64, from string, identity uint64, m *pb.Message) error {
	if v.confState == nil {
		v.introducer = &wire.Member{Name: from, Id: m.GetFrom(), Identity: identity}
	} else {
		if x := v.state.voterByID(m.GetFrom()); x == nil || x.Name != from || x.Identity != identity && !v.cfg.Bugs.VoteByName {
			return fmt.Errorf("rollout: a word of voter %d from %s, of disk %x", m.GetFrom(), from, identity)
		}
	}
	if m.GetTo() != v.id {
		return fmt.Errorf("rollout: a word for voter %d", m.GetTo())
	}
	v.heardFrom[m.GetFrom()] = now
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if v.saving && m.GetType() == pb.MsgSnap {
			return nil // raft would go by its voters at once, and then by older ones of the entries that are being saved; it is sent again
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

// confirm begins a round that shows that this one still leads; asks that came before it are answered after it.
func (v *voter) confirmLeadership() {
	if !v.isLeader || v.applied < v.termFirstIndex {
		return
	}
	v.readRound++
	v.readBatches[v.readRound] = v.unconfirmed
	v.unconfirmed = nil
	v.raftNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readRound))
	if len(v.readBatches) > 64 {
		delete(v.readBatches, slices.Min(slices.Collect(maps.Keys(v.readBatches)))) // never answered: they ask again
	}
}

// ready gives what has to be saved; nil: nothing has changed. Nothing else is given until saved.
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

// saved goes on once what ready gave is on disk: messages leave, what is agreed on is applied. snapshot, where not nil, is to be saved
// in the place of the log up to it.
func (v *voter) handleSaved(now int64) (snapshot *pb.Snapshot, err error) {
	rd := v.pendingReady
	v.pendingReady, v.saving = raft.Ready{}, false
	if v.initialSave != nil {
		v.initialSave = nil
		v.advance(now)
		return nil, nil
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := v.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		v.state = state{}
		if err := proto.Unmarshal(rd.Snapshot.Data, &v.state.State); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		v.applied, v.confState = rd.Snapshot.Metadata.GetIndex(), rd.Snapshot.Metadata.ConfState
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		v.storage.SetHardState(rd.HardState)
	}
	if err := v.storage.Append(rd.Entries); err != nil {
		return nil, fmt.Errorf("rollout: log: %w", err)
	}
	for _, m := range rd.Messages {
		b, err := proto.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("rollout: %w", err)
		}
		to := v.state.voterByID(m.GetTo())
		if to == nil && v.introducer.GetId() == m.GetTo() {
			to = v.introducer
		}
		if m.GetType() == pb.MsgSnap {
			v.snapshotSentAt[m.GetTo()] = now
		}
		if to != nil {
			v.outbox = append(v.outbox, &wire.Message{From: v.name, To: to.Name, Raft: b, Target: to.Identity})
		}
	}
	v.updateLeadership(now, rd.SoftState)
	changed := false
	for _, e := range rd.CommittedEntries {
		v.applied = e.GetIndex()
		if e.GetType() == pb.EntryConfChangeV2 {
			if err := v.applyConfChange(e); err != nil {
				return nil, err
			}
			changed = true
		} else if e.GetType() == pb.EntryNormal && len(e.Data) > 0 {
			if v.cfg.Bugs.AbortAfterCommit {
				v.revertAfterCommit(e)
			}
			if err := v.state.apply(e.GetIndex(), e.Data); err != nil {
				return nil, err
			}
			v.announced = false
		}
	}
	v.raftNode.Advance(rd)
	for _, r := range rd.ReadStates {
		v.handleConfirmed(now, binary.BigEndian.Uint64(r.RequestCtx))
	}
	if first, err := v.storage.FirstIndex(); err == nil && (changed || v.applied >= first+v.cfg.CompactAfter) {
		snapshot = v.compactLog() // one who is to vote has to find itself in what it is sent
	}
	v.advance(now)
	return snapshot, nil
}

// abortAfter is a seeded bug.
func (v *voter) revertAfterCommit(e *pb.Entry) {
	var x wire.Entry
	if proto.Unmarshal(e.Data, &x) == nil && x.Kind == entryAbort && v.state.Decided == x.Attempt && v.state.Committed && v.state.number() > 0 {
		v.state.Current = &wire.Document{Number: v.state.number() - 1}
	}
}

func (v *voter) compactLog() *pb.Snapshot {
	data, err := proto.Marshal(&v.state.State)
	if err != nil {
		return nil
	}
	s, err := v.storage.CreateSnapshot(v.applied, v.confState, data)
	if err != nil {
		return nil
	}
	if err := v.storage.Compact(v.applied - min(v.applied, v.cfg.CompactAfter/10)); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	return s
}

// quiet keeps raft's own log lines away: what matters is told as events.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
