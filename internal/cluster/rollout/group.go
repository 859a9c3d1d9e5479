package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// group is one node's part in one agreement: its vote there, or what it takes until it has one. Every gatherer has one in its region's, or
// the fleet's where there are no regions, and with regions one in the global agreement, where some vote.
type group struct {
	cfg         Config // as of this agreement: voters, lease
	identity    uint64
	rng         *rand.Rand
	quotaHolder *quota.Holder
	follower    *follower  // of a region's voters: how they stand with the global agreement; nil: none is followed
	voter       *voter     // nil: it only follows
	bootstrap   *bootstrap // one of the first voters, until it may vote; nil: none
	identities  map[string]uint64
	lastVoterID uint64 // the newest id that this disk voted by
}

// open takes up what outlasted the process: a voter's disk, or the founding of one of the first voters.
func (g *group) restore(now int64, memory PersistentState) error {
	g.identities = memory.VoterIdentities
	switch disk := memory.Disk; {
	case disk.ID != 0:
		v, err := newVoter(g.cfg, now, g.rng, disk)
		if err != nil {
			return err
		}
		g.setVoter(v, disk.ID)
	case g.cfg.isInitialVoter(g.cfg.Name):
		g.bootstrap = newBootstrap(g.cfg, now, memory)
		if g.cfg.Bugs.VoteByName {
			for _, name := range g.bootstrap.peers { // nobody's disk is looked at
				g.bootstrap.known[name], g.bootstrap.knownBy[name] = 1, true
			}
		}
		return g.startVoting(now)
	}
	return nil
}

// seat has a voter vote for this node.
func (g *group) setVoter(v *voter, id uint64) {
	v.quotaHolder, v.follower = g.quotaHolder, g.follower
	g.voter, g.bootstrap, g.lastVoterID = v, nil, id
}

// vote has one of the first voters begin to vote, where it may.
func (g *group) startVoting(now int64) error {
	f := g.bootstrap
	if f == nil || !f.isComplete() {
		return nil
	}
	disk, err := initialDisk(g.cfg, f.known)
	if err != nil {
		return err
	}
	v, err := newVoter(g.cfg, now, g.rng, disk)
	if err != nil {
		return err
	}
	v.initialSave = &Save{ID: disk.ID, HardState: disk.HardState, Snapshot: disk.Snapshot}
	g.identities = f.known
	g.setVoter(v, disk.ID)
	return nil
}

// votes tells that this one has a vote, as far as it knows. One whose vote was taken goes on answering the others as before: those who have
// not heard of it yet may need it to elect a leader.
func (g *group) hasVote() bool { return g.voter != nil && !g.voter.isRemoved() }

// opened tells that this one leads, and has taken in all that was agreed on before.
func (g *group) isActiveLeader() bool {
	return g.voter != nil && g.voter.isLeader && g.voter.applied >= g.voter.termFirstIndex
}

// next is when tick wants to be called.
func (g *group) nextTick() int64 {
	at := int64(never)
	if g.voter != nil {
		at = g.voter.nextTick()
	}
	if g.bootstrap != nil {
		at = min(at, g.bootstrap.helloAt)
	}
	return at
}

// greet is due where it gives hellos for the other first voters.
func (g *group) dueHellos(now int64) (all []*wire.Message) {
	f := g.bootstrap
	if f == nil || now < f.helloAt {
		return nil
	}
	f.helloAt = now + f.helloInterval(g.cfg.HeartbeatInterval)
	for _, name := range f.peers {
		all = append(all, &wire.Message{From: g.cfg.Name, To: name, Hello: newHello(f.known)})
	}
	return all
}

// greeted takes another first voter's hello in; one that votes already tells whom it met.
func (g *group) handleHello(now int64, m *wire.Message) (answer *wire.Message) {
	if g.bootstrap != nil {
		g.bootstrap.handleHello(m.From, m.Identity, m.Hello)
		g.startVoting(now) // its disk can't be wrong: it is made here
	} else if len(g.identities) > 0 && !m.Hello.Answer {
		h := newHello(g.identities)
		h.Answer = true
		return &wire.Message{From: g.cfg.Name, To: m.From, Hello: h}
	}
	return nil
}

// raft takes a voter's word in. A leader's, for this disk under an id that is newer than what it votes by, gives it a vote.
func (g *group) handleRaft(now int64, m *wire.Message) {
	x := &pb.Message{}
	if m.Target != g.identity && !g.cfg.Bugs.VoteByName || proto.Unmarshal(m.Raft, x) != nil {
		return
	}
	leads := x.GetType() == pb.MsgApp || x.GetType() == pb.MsgSnap || x.GetType() == pb.MsgHeartbeat
	if to := x.GetTo(); to > g.lastVoterID && to > addedVoterBase && leads {
		if g.voter != nil && g.voter.saving || g.bootstrap != nil && g.bootstrap.saving {
			return // it is said again; an id is given only once this disk's other one is out
		}
		v, err := newVoter(g.cfg, now, g.rng, Disk{ID: to})
		if err != nil {
			return
		}
		g.setVoter(v, to)
	}
	if g.voter != nil {
		g.voter.step(now, m.From, m.Identity, x) // what raft can't use it turns down
	}
}

// save gives what is to be saved; nil: nothing, or something is being saved.
func (g *group) takeSave() *Save {
	if f := g.bootstrap; f != nil && len(f.unsaved) > 0 && !f.saving {
		f.saving = true
		return &Save{VoterIdentities: f.takeIdentities()}
	}
	if g.voter == nil {
		return nil
	}
	return g.voter.takeSave()
}

// saved goes on once that is on disk. snapshot, where not nil, is to be saved in the place of the log up to it.
func (g *group) handleSaved(now int64) (snapshot *pb.Snapshot, err error) {
	if f := g.bootstrap; f != nil && f.saving {
		f.handleSaved()
		return nil, g.startVoting(now)
	}
	if g.voter == nil || !g.voter.saving {
		return nil, nil
	}
	return g.voter.handleSaved(now)
}
