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
	cfg      Config // as of this agreement: voters, lease
	identity uint64
	rng      *rand.Rand
	parts    *quota.Holder
	up       *follower // of a region's voters: how they stand with the global agreement; nil: none is followed
	voter    *voter    // nil: it only follows
	found    *founding // one of the first voters, until it may vote; nil: none
	met      map[string]uint64
	last     uint64 // the newest id that this disk voted by
}

// open takes up what outlasted the process: a voter's disk, or the founding of one of the first voters.
func (g *group) open(now int64, memory Memory) error {
	g.met = memory.Met
	switch disk := memory.Disk; {
	case disk.ID != 0:
		v, err := newVoter(g.cfg, now, g.rng, disk)
		if err != nil {
			return err
		}
		g.seat(v, disk.ID)
	case g.cfg.first(g.cfg.Name):
		g.found = newFounding(g.cfg, now, memory)
		if g.cfg.Bugs.VoteByName {
			for _, name := range g.found.others { // nobody's disk is looked at
				g.found.met[name], g.found.knows[name] = 1, true
			}
		}
		return g.vote(now)
	}
	return nil
}

// seat has a voter vote for this node.
func (g *group) seat(v *voter, id uint64) {
	v.parts, v.up = g.parts, g.up
	g.voter, g.found, g.last = v, nil, id
}

// vote has one of the first voters begin to vote, where it may.
func (g *group) vote(now int64) error {
	f := g.found
	if f == nil || !f.over() {
		return nil
	}
	disk, err := firstDisk(g.cfg, f.met)
	if err != nil {
		return err
	}
	v, err := newVoter(g.cfg, now, g.rng, disk)
	if err != nil {
		return err
	}
	v.birth = &Save{ID: disk.ID, Hard: disk.Hard, Snapshot: disk.Snapshot}
	g.met = f.met
	g.seat(v, disk.ID)
	return nil
}

// votes tells that this one has a vote, as far as it knows. One whose vote was taken goes on answering the others as before: those who have
// not heard of it yet may need it to elect a leader.
func (g *group) votes() bool { return g.voter != nil && !g.voter.isOut() }

// opened tells that this one leads, and has taken in all that was agreed on before.
func (g *group) opened() bool {
	return g.voter != nil && g.voter.leads && g.voter.applied >= g.voter.opened
}

// next is when tick wants to be called.
func (g *group) next() int64 {
	at := int64(never)
	if g.voter != nil {
		at = g.voter.next()
	}
	if g.found != nil {
		at = min(at, g.found.at)
	}
	return at
}

// greet is due where it gives hellos for the other first voters.
func (g *group) greet(now int64) (all []*wire.Message) {
	f := g.found
	if f == nil || now < f.at {
		return nil
	}
	f.at = now + f.wait(g.cfg.Tick)
	for _, name := range f.others {
		all = append(all, &wire.Message{From: g.cfg.Name, To: name, Hello: hello(f.met)})
	}
	return all
}

// greeted takes another first voter's hello in; one that votes already tells whom it met.
func (g *group) greeted(now int64, m *wire.Message) (answer *wire.Message) {
	if g.found != nil {
		g.found.hear(m.From, m.Identity, m.Hello)
		g.vote(now) // its disk can't be wrong: it is made here
	} else if len(g.met) > 0 && !m.Hello.Answer {
		h := hello(g.met)
		h.Answer = true
		return &wire.Message{From: g.cfg.Name, To: m.From, Hello: h}
	}
	return nil
}

// raft takes a voter's word in. A leader's, for this disk under an id that is newer than what it votes by, gives it a vote.
func (g *group) raft(now int64, m *wire.Message) {
	x := &pb.Message{}
	if m.Target != g.identity && !g.cfg.Bugs.VoteByName || proto.Unmarshal(m.Raft, x) != nil {
		return
	}
	leads := x.GetType() == pb.MsgApp || x.GetType() == pb.MsgSnap || x.GetType() == pb.MsgHeartbeat
	if to := x.GetTo(); to > g.last && to > firstID && leads {
		if g.voter != nil && g.voter.saving || g.found != nil && g.found.saving {
			return // it is said again; an id is given only once this disk's other one is out
		}
		v, err := newVoter(g.cfg, now, g.rng, Disk{ID: to})
		if err != nil {
			return
		}
		g.seat(v, to)
	}
	if g.voter != nil {
		g.voter.step(now, m.From, m.Identity, x) // what raft can't use it turns down
	}
}

// save gives what is to be saved; nil: nothing, or something is being saved.
func (g *group) save() *Save {
	if f := g.found; f != nil && len(f.fresh) > 0 && !f.saving {
		f.saving = true
		return &Save{Met: f.all()}
	}
	if g.voter == nil {
		return nil
	}
	return g.voter.ready()
}

// saved goes on once that is on disk. snapshot, where not nil, is to be saved in the place of the log up to it.
func (g *group) saved(now int64) (snapshot *pb.Snapshot, err error) {
	if f := g.found; f != nil && f.saving {
		f.saved()
		return nil, g.vote(now)
	}
	if g.voter == nil || !g.voter.saving {
		return nil, nil
	}
	return g.voter.saved(now)
}
