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
	idle      phase = iota
	judging         // all that hold a lease judge it, or are waited out
	holding         // all that are ready hold queries
	closing         // commit or abort is on its way through the log
	preparing       // of a region: all hold, and that is on its way through the log
	prepared        // of a region: the log says so; the global agreement's end is waited for
)

// Save is what a voter's disk has to hold before Saved is called: until then nothing of it may be known to anybody.
type Save struct {
	ID       uint64            // of the voter whose disk it is; what lies there of another id is void
	Met      map[string]uint64 // not of a voter yet: the identities of those that are to vote
	Hard     *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot
}

// Disk is what a voter's disk held at its start.
type Disk struct {
	ID       uint64 // 0: nobody has voted by it
	Hard     *pb.HardState
	Entries  []*pb.Entry // behind the snapshot
	Snapshot *pb.Snapshot
}

// voter is one of those that agree: raft, the state that its log comes to and, where it leads, leases and the steps of a change.
type voter struct {
	cfg     Config
	rng     *rand.Rand
	self    string
	id      uint64
	birth   *Save // what a first voter's disk begins with; nil: it is there
	conf    *pb.ConfState
	teacher *wire.Member // who speaks to this one while it knows nobody
	node    *raft.RawNode
	storage *raft.MemoryStorage
	state   state
	applied uint64

	pending raft.Ready // being saved
	saving  bool
	tickAt  int64
	heard   int64 // of a leader, or as a leader of a majority
	elect   int64 // when to stand, where nobody is heard

	up      *follower        // of a region's voters; nil: no other agreement is followed
	parts   *quota.Holder    // of this process; nil: budgets are not divided
	books   *quota.Allocator // while it leads
	names   []string         // on the roster, in order,
	namesOf uint64           // of this index

	leads    bool
	term     uint64
	since    int64  // of the leadership
	opened   uint64 // index of this term's first entry; leases are given once it is applied
	lease    map[string]*grantee
	waiting  []waiter          // asks that wait until leadership is confirmed
	confirms map[uint64]waiter // of a round, by its context
	round    uint64
	batches  map[uint64][]waiter
	phase    phase
	attempt  uint64
	absent   map[string]bool  // who is not there, as the view of the fleet has it: it only saves time
	words    map[uint64]int64 // when each voter was heard last
	snaps    map[uint64]int64 // when a snapshot was sent to a voter; raft sends it nothing else until it hears what became of it
	changing uint64           // the change of voters that is being driven
	since2   int64            // since when
	tried    int64            // when its end was put into the log last
	began    int64            // of the phase
	retold   int64            // when those were pressed last that have not done yet what it wants
	told     bool             // everybody has been told of it
	out      []*wire.Message

	judged    bool                // the open proposal is, by all that are waited for
	aborting  bool                // what closing is on its way: an abort,
	why       string              // for this reason
	following uint64              // the entry that follows the global agreement, and is on its way
	followed  int64               // since when
	rosterOf  uint64              // the roster there that was compared,
	rosterIs  uint64              // with this one here
	list      []*wire.Member      // who may have a lease
	listOf    uint64              // by this roster
	known     map[string]*grantee // of the global agreement: whoever made itself known, by name
}

// grantee is what a leader knows of one gatherer.
type grantee struct {
	until    int64 // by this clock: when its lease is surely over
	ready    uint64
	refused  uint64
	reason   string
	held     uint64
	number   uint64
	seen     int64
	left     bool   // it has said that it lets nothing in any more
	via      string // of a region: who asked for it last
	identity uint64 // of its disk
}

type waiter struct {
	from string
	ask  *wire.Ask
	at   int64 // of its arrival
}

// firstDisk is what the first voters' disks begin with, the same at all of them.
func firstDisk(cfg Config, met map[string]uint64) (Disk, error) {
	first := state{}
	first.Members, first.MembersIndex = firstMembers(cfg.Members, met), 1
	if first.Region = cfg.Region; cfg.global {
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
		ID: first.member(cfg.Name).GetId(), Hard: &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: conf}},
	}, nil
}

// newVoter makes a voter of its disk. One that was added later and has nothing on it yet learns everything from the leader.
func newVoter(cfg Config, now int64, rng *rand.Rand, disk Disk) (*voter, error) {
	v := &voter{
		cfg: cfg, rng: rng, known: map[string]*grantee{}, self: cfg.Name, id: disk.ID, lease: map[string]*grantee{}, batches: map[uint64][]waiter{}, words: map[uint64]int64{}, snaps: map[uint64]int64{},
		storage: raft.NewMemoryStorage(), tickAt: now, heard: now,
	}
	if snapshot := disk.Snapshot; snapshot != nil {
		if err := v.storage.ApplySnapshot(snapshot); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		if err := proto.Unmarshal(snapshot.Data, &v.state.State); err != nil {
			return nil, fmt.Errorf("rollout: snapshot: %w", err)
		}
		v.applied, v.conf = snapshot.Metadata.GetIndex(), snapshot.Metadata.ConfState
	}
	if hard := disk.Hard; hard != nil {
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
	v.node, err = raft.NewRawNode(&raft.Config{
		ID: v.id, ElectionTick: 1 << 20, HeartbeatTick: 1, Storage: v.storage, Applied: v.applied, MaxSizePerMsg: 512 << 10,
		MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 4 * mostText, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: quiet{},
	})
	if err != nil {
		return nil, fmt.Errorf("rollout: raft: %w", err)
	}
	v.stand(now)
	return v, nil
}

// leader is the name of who leads, as far as is known here.
func (v *voter) leader() string {
	id := v.node.BasicStatus().SoftState.Lead
	if id == raft.None && (v.cfg.global || v.cfg.Region != "") {
		return "" // and not somebody who does not vote, who may be of another region
	}
	return v.state.voter(id).GetName()
}

// isOut tells that this voter has no vote any more, as its own log says.
func (v *voter) isOut() bool {
	c := v.conf
	return c != nil && !slices.Contains(c.Voters, v.id) && !slices.Contains(c.VotersOutgoing, v.id) && !slices.Contains(c.Learners, v.id) && !slices.Contains(c.LearnersNext, v.id)
}

// stand draws when to stand for leader where none is heard of.
func (v *voter) stand(now int64) { v.elect = now + v.cfg.Elect + v.rng.Int64N(v.cfg.Elect) }

func (v *voter) next() int64 {
	at := v.tickAt
	if !v.leads {
		at = min(at, v.elect)
	}
	return at
}

// tick does what is due, and takes a change forward.
func (v *voter) tick(now int64) {
	if now >= v.tickAt {
		v.tickAt = now + v.cfg.Tick
		for id, at := range v.snaps {
			if now-at > v.cfg.Elect { // it may be lost; where it was not, raft passes this over
				delete(v.snaps, id)
				v.node.ReportSnapshot(id, raft.SnapshotFailure)
			}
		}
		if v.leads {
			v.node.Tick() // heartbeats
			v.confirm()
		}
	}
	if !v.leads && now >= v.elect {
		v.stand(now)
		v.node.Campaign()
	}
	v.drive(now)
}

// step takes raft's words from another voter. While a leader is heard nobody is elected: a voter that was cut off disturbs nothing.
func (v *voter) step(now int64, from string, identity uint64, m *pb.Message) error {
	if v.conf == nil {
		v.teacher = &wire.Member{Name: from, Id: m.GetFrom(), Identity: identity}
	} else {
		if x := v.state.voter(m.GetFrom()); x == nil || x.Name != from || x.Identity != identity && !v.cfg.Bugs.VoteByName {
			return fmt.Errorf("rollout: a word of voter %d from %s, of disk %x", m.GetFrom(), from, identity)
		}
	}
	if m.GetTo() != v.id {
		return fmt.Errorf("rollout: a word for voter %d", m.GetTo())
	}
	v.words[m.GetFrom()] = now
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if v.saving && m.GetType() == pb.MsgSnap {
			return nil // raft would go by its voters at once, and then by older ones of the entries that are being saved; it is sent again
		}
		if m.GetTerm() >= v.node.BasicStatus().HardState.GetTerm() {
			v.heard = now
			v.stand(now)
		}
	case pb.MsgPreVote, pb.MsgVote:
		if now-v.heard < v.cfg.Elect*9/10 && v.node.BasicStatus().SoftState.Lead != raft.None {
			return nil
		}
	}
	return v.node.Step(m)
}

// confirm begins a round that shows that this one still leads; asks that came before it are answered after it.
func (v *voter) confirm() {
	if !v.leads || v.applied < v.opened {
		return
	}
	v.round++
	v.batches[v.round] = v.waiting
	v.waiting = nil
	v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, v.round))
	if len(v.batches) > 64 {
		delete(v.batches, slices.Min(slices.Collect(maps.Keys(v.batches)))) // never answered: they ask again
	}
}

// ready gives what has to be saved; nil: nothing has changed. Nothing else is given until saved.
func (v *voter) ready() *Save {
	if s := v.birth; s != nil && !v.saving {
		v.saving = true
		return s
	}
	if v.saving || !v.node.HasReady() {
		return nil
	}
	v.pending, v.saving = v.node.Ready(), true
	s := &Save{ID: v.id, Entries: v.pending.Entries}
	if !raft.IsEmptyHardState(v.pending.HardState) {
		s.Hard = v.pending.HardState
	}
	if !raft.IsEmptySnap(v.pending.Snapshot) {
		s.Snapshot = v.pending.Snapshot
	}
	return s
}

// saved goes on once what ready gave is on disk: messages leave, what is agreed on is applied. snapshot, where not nil, is to be saved
// in the place of the log up to it.
func (v *voter) saved(now int64) (snapshot *pb.Snapshot, err error) {
	rd := v.pending
	v.pending, v.saving = raft.Ready{}, false
	if v.birth != nil {
		v.birth = nil
		v.drive(now)
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
		v.applied, v.conf = rd.Snapshot.Metadata.GetIndex(), rd.Snapshot.Metadata.ConfState
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
		to := v.state.voter(m.GetTo())
		if to == nil && v.teacher.GetId() == m.GetTo() {
			to = v.teacher
		}
		if m.GetType() == pb.MsgSnap {
			v.snaps[m.GetTo()] = now
		}
		if to != nil {
			v.out = append(v.out, &wire.Message{From: v.self, To: to.Name, Raft: b, Target: to.Identity})
		}
	}
	v.lead(now, rd.SoftState)
	changed := false
	for _, e := range rd.CommittedEntries {
		v.applied = e.GetIndex()
		if e.GetType() == pb.EntryConfChangeV2 {
			if err := v.reshape(e); err != nil {
				return nil, err
			}
			changed = true
		} else if e.GetType() == pb.EntryNormal && len(e.Data) > 0 {
			if v.cfg.Bugs.AbortAfter {
				v.abortAfter(e)
			}
			if err := v.state.apply(e.GetIndex(), e.Data); err != nil {
				return nil, err
			}
			v.told = false
		}
	}
	v.node.Advance(rd)
	for _, r := range rd.ReadStates {
		v.confirmed(now, binary.BigEndian.Uint64(r.RequestCtx))
	}
	if first, err := v.storage.FirstIndex(); err == nil && (changed || v.applied >= first+v.cfg.Compact) {
		snapshot = v.compact() // one who is to vote has to find itself in what it is sent
	}
	v.drive(now)
	return snapshot, nil
}

// abortAfter is a seeded bug.
func (v *voter) abortAfter(e *pb.Entry) {
	var x wire.Entry
	if proto.Unmarshal(e.Data, &x) == nil && x.Kind == entryAbort && v.state.Decided == x.Attempt && v.state.Committed && v.state.number() > 0 {
		v.state.Current = &wire.Document{Number: v.state.number() - 1}
	}
}

func (v *voter) compact() *pb.Snapshot {
	data, err := proto.Marshal(&v.state.State)
	if err != nil {
		return nil
	}
	s, err := v.storage.CreateSnapshot(v.applied, v.conf, data)
	if err != nil {
		return nil
	}
	if err := v.storage.Compact(v.applied - min(v.applied, v.cfg.Compact/10)); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return nil
	}
	return s
}

// quiet keeps raft's own log lines away: what matters is told as events.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
