package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// Node is one gatherer's part in the agreement: a lease holder and, if it has a vote, a voter. It
// is not safe for concurrent use. After each call that takes the current time, and after Leave, the
// host has to execute what TakeOutput returns.
type Node struct {
	*Holder
	local    *group // of the region's agreement, or the fleet's
	global   *group // of the global agreement; nil: there are no regions
	follower *follower
	output   Output
}

// never is a time that is not reached.
const never = math.MaxInt64

// maxCollectRounds limits how often collect delivers messages of a node to itself in one call.
const maxCollectRounds = 100

// New creates a node from its stored state. The node admits nothing before a leader has answered
// it. New fails if the configuration is inconsistent or the stored state can't be read.
func New(cfg Config, now int64, rng *rand.Rand, stored PersistentState) (*Node, error) {
	cfg = cfg.withDefaults()
	local, global, err := cfg.agreements()
	if err != nil {
		return nil, err
	}
	voters := local.voterCount()
	if voters < 1 && !global.isInitialVoter(cfg.Name) || voters > maxVoters || cfg.Name == "" || stored.Identity == 0 {
		return nil, fmt.Errorf("rollout: a node requires a name, a disk identity and 1 to 7 voters; %d voters configured", voters)
	}
	h := newHolder(local, now, rng, stored)
	n := &Node{Holder: h, local: &group{cfg: local, identity: stored.Identity, rng: rng, quotaHolder: h.quota}}
	if cfg.Region != "" {
		n.follower = newFollower(local, now, rng, global)
		n.local.follower = n.follower
		n.global = &group{cfg: global, identity: stored.Identity, rng: rng}
		globalStored := PersistentState{Identity: stored.Identity, VoterIdentities: stored.Global.VoterIdentities, Disk: stored.Global.Disk}
		if err := n.global.restore(now, globalStored); err != nil {
			return nil, err
		}
	}
	if err := n.local.restore(now, stored); err != nil {
		return nil, err
	}
	n.collect(now)
	return n, nil
}

// newHolder creates a node's holder from its stored state.
func newHolder(cfg Config, now int64, rng *rand.Rand, stored PersistentState) *Holder {
	h := &Holder{
		cfg: cfg, name: cfg.Name, identity: stored.Identity, rng: rng, current: stored.Current, requestAt: now,
		members: initialMembers(cfg.Members, stored.VoterIdentities),
	}
	h.voters = voterNames(h.members)
	if len(h.voters) == 0 { // a witness: its region has no voter that could grant it a lease
		h.requestAt = never
	}
	if cfg.DivideBudgets {
		h.quota = quota.NewHolder(cfg.Slots, cfg.Bugs.Quota)
		h.applyRegionPart()
	}
	h.updateRoster(stored.Members, stored.MembersIndex)
	return h
}

// SetAbsent sets the gatherers that the membership view considers failed. They are only used to
// abort a change earlier, never as proof that a gatherer is gone.
func (n *Node) SetAbsent(names map[string]bool) {
	if n.local.voter != nil {
		n.local.voter.absent = names
	}
}

// Leave makes this gatherer admit nothing any more, and notifies the voters, so that a change does
// not wait for its lease to expire. Only TakeOutput may be called afterwards.
func (n *Node) Leave() {
	request := n.Holder.newLeaveRequest()
	for _, name := range n.Holder.voters {
		if name != n.name {
			n.output.Messages = append(n.output.Messages, &wire.Message{From: n.name, To: name, Identity: n.Holder.identity, Ask: request})
		}
	}
}

// NextTick returns the time at which Tick is due.
func (n *Node) NextTick() int64 {
	at := min(n.Holder.nextRequest(), n.local.nextTick())
	if n.global != nil {
		at = min(at, n.global.nextTick())
		if n.local.voter != nil {
			at = min(at, n.follower.requestAt)
		}
	}
	return at
}

// Tick performs what is due: lease requests, heartbeats, campaigns and the steps of an open
// proposal.
func (n *Node) Tick(now int64) {
	if now >= n.Holder.nextRequest() {
		n.requestLease(now)
	}
	if n.local.voter != nil {
		n.local.voter.tick(now)
	}
	for _, m := range n.local.dueHellos(now) {
		n.send(now, m)
	}
	if n.global != nil {
		n.tickGlobal(now)
	}
	n.collect(now)
}

// requestLease sends the holder's request for a lease.
func (n *Node) requestLease(now int64) {
	to, request := n.Holder.newRequest(now)
	n.send(now, &wire.Message{From: n.name, To: to, Ask: request})
}

// send queues a message, or dispatches it at once where it is addressed to this node.
func (n *Node) send(now int64, m *wire.Message) {
	m.Identity = n.Holder.identity
	if m.To == n.name {
		n.dispatch(now, m)
		return
	}
	n.output.Messages = append(n.output.Messages, m)
}

// Receive handles a message of another gatherer. Messages that are invalid or not for this node's
// role are dropped.
func (n *Node) Receive(now int64, m *wire.Message) {
	n.dispatch(now, m)
	n.collect(now)
}

func (n *Node) dispatch(now int64, m *wire.Message) {
	switch {
	case m.Global:
		n.dispatchGlobal(now, m)
	case m.Propose == nil && n.isOtherRegion(m.From): // regions exchange only proposals and messages of the global agreement
	case m.Word != nil:
		n.handleStatus(now, m)
	case m.Hello != nil:
		if answer := n.local.handleHello(now, m); answer != nil {
			n.send(now, answer)
		}
	case m.Raft != nil:
		n.local.handleRaft(now, m)
	case m.Ask != nil && !n.local.isActiveLeader():
		redirect := n.local.redirect(m.Ask)
		if n.membersIndex > m.Ask.MembersIndex { // the sender may not know the leader yet
			redirect.Members, redirect.MembersIndex = n.members, n.membersIndex
		}
		n.send(now, &wire.Message{From: n.name, To: m.From, Word: redirect})
	case m.Ask != nil:
		n.local.voter.handleLeaseRequest(now, m.From, m.Identity, m.Ask)
	case m.Propose != nil:
		n.send(now, &wire.Message{From: n.name, To: m.From, Answer: n.Propose(now, m.Propose)})
	}
}

// handleStatus passes a status to the holder, and queues the resulting work for the host.
func (n *Node) handleStatus(now int64, m *wire.Message) {
	validate, install := n.Holder.handleStatus(now, m.From, m.Word)
	if install != nil {
		n.output.Install = append(n.output.Install, install)
	}
	if validate != nil {
		n.output.Validate = append(n.output.Validate, validate)
	}
}

// collect adds the pending work of the holder and the voters to the output. Messages to this node
// itself are dispatched at once.
func (n *Node) collect(now int64) {
	if n.Holder.rosterChanged {
		n.Holder.rosterChanged = false
		n.output.Roster = &wire.State{Members: n.members, MembersIndex: n.membersIndex}
	}
	for range maxCollectRounds {
		messages := n.takeVoterMessages()
		for _, m := range messages {
			n.send(now, m)
		}
		if len(messages) > 0 {
			continue
		}
		if !n.IsLeader() || now < n.Holder.nextRequest() {
			break
		}
		n.requestLease(now)
	}
	if n.output.Save == nil {
		n.output.Save = n.local.takeSave()
	}
	if n.global != nil && n.output.Global.Save == nil {
		n.output.Global.Save = n.global.takeSave()
	}
}

// takeVoterMessages returns and clears the messages that this node's voters have queued.
func (n *Node) takeVoterMessages() (all []*wire.Message) {
	if n.local.voter != nil {
		all, n.local.voter.outbox = n.local.voter.outbox, nil
	}
	if n.global != nil && n.global.voter != nil {
		for _, m := range n.global.voter.outbox {
			m.Global = true
			all = append(all, m)
		}
		n.global.voter.outbox = nil
	}
	return all
}

// Saved confirms that Output.Save is on disk. After an error the node must not be used any more.
func (n *Node) Saved(now int64) error {
	snapshot, err := n.local.handleSaved(now)
	if err != nil {
		return err
	}
	if snapshot != nil {
		n.output.Snapshot, n.output.SnapshotOf = snapshot, n.local.voter.id
	}
	n.collect(now)
	return nil
}

// Validated reports the result of a validation that Output.Validate requested; fault is empty if
// the proposal is valid and staged on disk.
func (n *Node) Validated(now int64, attempt uint64, fault string) {
	n.Holder.handleValidation(now, attempt, fault)
	n.collect(now)
}

// Propose submits a proposal, or returns the state of the proposal with the same nonce. It is
// idempotent: a nonce denotes one proposal, however often it is sent. The answer's End is 0 while
// the proposal is open.
func (n *Node) Propose(now int64, p *wire.Propose) *wire.Answer {
	if n.global != nil {
		return n.proposeWithRegions(now, p)
	}
	if !n.local.hasVote() {
		return &wire.Answer{Nonce: p.Nonce, End: endUnknown, Leader: n.Holder.leader}
	}
	a := n.local.voter.handleProposal(now, p)
	n.collect(now)
	return a
}

// TakeOutput returns and clears the work that has accumulated since the last call.
func (n *Node) TakeOutput() Output {
	o := n.output
	n.output = Output{}
	return o
}
