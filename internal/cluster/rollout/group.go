package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// group is one node's part in one agreement: its voter, or the state that it needs until it has
// one. Every gatherer has a group for its region's agreement, or the fleet's if there are no
// regions. With regions it also has a group for the global agreement, in which only some gatherers
// vote.
type group struct {
	cfg         Config // for this agreement: its voters and lease
	identity    uint64
	rng         *rand.Rand
	quotaHolder *quota.Holder
	follower    *follower // a region's side of the global agreement; nil: there is none
	voter       *voter    // nil: this node has no vote
	bootstrap   *bootstrap
	identities  map[string]uint64 // stored identities of the initial voters' disks
	lastVoterID uint64            // the newest id that this disk voted under
}

// restore continues from stored state: a voter's disk, or the bootstrap of an initial voter.
func (g *group) restore(now int64, stored PersistentState) error {
	g.identities = stored.VoterIdentities
	if disk := stored.Disk; disk.ID != 0 {
		v, err := newVoter(g.cfg, now, g.rng, disk)
		if err != nil {
			return err
		}
		g.setVoter(v, disk.ID)
		return nil
	}
	if !g.cfg.isInitialVoter(g.cfg.Name) {
		return nil
	}
	g.bootstrap = newBootstrap(g.cfg, now, stored)
	if g.cfg.Bugs.VoteByName {
		for _, name := range g.bootstrap.peers { // seeded fault: no peer's disk is checked
			g.bootstrap.known[name], g.bootstrap.knownBy[name] = 1, true
		}
	}
	return g.startVoting(now)
}

// setVoter installs this node's voter, which ends the bootstrap.
func (g *group) setVoter(v *voter, id uint64) {
	v.quotaHolder, v.follower = g.quotaHolder, g.follower
	g.voter, g.bootstrap, g.lastVoterID = v, nil, id
}

// startVoting creates an initial voter's voter once its bootstrap is complete.
func (g *group) startVoting(now int64) error {
	b := g.bootstrap
	if b == nil || !b.isComplete() {
		return nil
	}
	disk, err := initialDisk(g.cfg, b.known)
	if err != nil {
		return err
	}
	v, err := newVoter(g.cfg, now, g.rng, disk)
	if err != nil {
		return err
	}
	v.initialSave = &Save{ID: disk.ID, HardState: disk.HardState, Snapshot: disk.Snapshot}
	g.identities = b.known
	g.setVoter(v, disk.ID)
	return nil
}

// hasVote reports whether this node has a vote, as far as it knows. A removed voter still answers
// the others, which may need it to elect a leader until they have applied its removal.
func (g *group) hasVote() bool { return g.voter != nil && !g.voter.isRemoved() }

// isActiveLeader reports whether this node leads, and has applied everything that was committed
// before its term.
func (g *group) isActiveLeader() bool { return g.voter != nil && g.voter.isActiveLeader() }

// leads reports whether this node leads. It may be called on nil.
func (g *group) leads() bool { return g != nil && g.voter != nil && g.voter.isLeader }

// hasIdentityConflict reports whether this node is an initial voter for whose name a peer has
// stored another disk identity.
func (g *group) hasIdentityConflict() bool { return g.bootstrap != nil && g.bootstrap.identityConflict }

// openAttempt returns the attempt of the open proposal, or 0 if there is none or this node has no
// voter. It may be called on nil.
func (g *group) openAttempt() uint64 {
	if g == nil || g.voter == nil {
		return 0
	}
	return g.voter.state.openAttempt()
}

// decisions returns the decisions in the voter's history. It may be called on nil.
func (g *group) decisions() []*wire.Decision {
	if g == nil || g.voter == nil {
		return nil
	}
	return g.voter.state.History
}

// previous returns the version that was in force before the current one. It may be called on nil.
func (g *group) previous() *wire.Document {
	if g == nil || g.voter == nil {
		return nil
	}
	return g.voter.state.Previous
}

// grants returns the leader's records of lease holders, or nil if this node does not lead. It may
// be called on nil.
func (g *group) grants() []Grant {
	if !g.leads() {
		return nil
	}
	return g.voter.grants()
}

// redirect returns the answer to a request that this node can't serve. It names the leader if that
// is known.
func (g *group) redirect(request *wire.Ask) *wire.Word {
	w := &wire.Word{Nonce: request.Nonce}
	if g.hasVote() && !g.voter.isLeader {
		w.Leader = g.voter.leader()
	}
	return w
}

// nextTick returns when the voter or the bootstrap has something to do.
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

// dueHellos returns hellos for the other initial voters, if they are due.
func (g *group) dueHellos(now int64) (all []*wire.Message) {
	b := g.bootstrap
	if b == nil || now < b.helloAt {
		return nil
	}
	b.helloAt = now + b.helloInterval(g.cfg.HeartbeatInterval)
	for _, name := range b.peers {
		all = append(all, &wire.Message{From: g.cfg.Name, To: name, Hello: newHello(b.known)})
	}
	return all
}

// handleHello handles another initial voter's hello. A node that votes already answers with the
// identities that it stored.
func (g *group) handleHello(now int64, m *wire.Message) (answer *wire.Message) {
	if g.bootstrap != nil {
		g.bootstrap.handleHello(m.From, m.Identity, m.Hello)
		_ = g.startVoting(now) // fails only on a corrupt disk, and this disk is created here
		return nil
	}
	if len(g.identities) == 0 || m.Hello.Answer {
		return nil
	}
	h := newHello(g.identities)
	h.Answer = true
	return &wire.Message{From: g.cfg.Name, To: m.From, Hello: h}
}

// handleRaft handles a voter's raft message. A leader's message for this disk under a newer voter
// id than its last one gives this node a vote.
func (g *group) handleRaft(now int64, m *wire.Message) {
	x := &pb.Message{}
	if m.Target != g.identity && !g.cfg.Bugs.VoteByName || proto.Unmarshal(m.Raft, x) != nil {
		return
	}
	if to := x.GetTo(); to > g.lastVoterID && to > addedVoterBase && isFromLeader(x.GetType()) {
		if g.voter != nil && g.voter.saving || g.bootstrap != nil && g.bootstrap.saving {
			return // raft retries; a new id is assigned only after this disk's previous one was removed
		}
		v, err := newVoter(g.cfg, now, g.rng, Disk{ID: to})
		if err != nil {
			return
		}
		g.setVoter(v, to)
	}
	if g.voter != nil {
		_ = g.voter.step(now, m.From, m.Identity, x) // messages that raft rejects are dropped; the sender retries
	}
}

// isFromLeader reports whether only leaders send messages of the given type.
func isFromLeader(t pb.MessageType) bool {
	return t == pb.MsgApp || t == pb.MsgSnap || t == pb.MsgHeartbeat
}

// takeSave returns the data to save, or nil if there is none or a write is in progress.
func (g *group) takeSave() *Save {
	if b := g.bootstrap; b != nil && len(b.unsaved) > 0 && !b.saving {
		b.saving = true
		return &Save{VoterIdentities: b.takeIdentities()}
	}
	if g.voter == nil {
		return nil
	}
	return g.voter.takeSave()
}

// handleSaved continues after the data returned by takeSave is on disk. A non-nil snapshot replaces
// the stored log up to its index.
func (g *group) handleSaved(now int64) (snapshot *pb.Snapshot, err error) {
	if b := g.bootstrap; b != nil && b.saving {
		b.handleSaved()
		return nil, g.startVoting(now)
	}
	if g.voter == nil || !g.voter.saving {
		return nil, nil
	}
	return g.voter.handleSaved(now)
}
