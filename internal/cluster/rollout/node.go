package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
)

// Config is what a node is made of. Times are microseconds; nought takes the default.
type Config struct {
	Name              string
	Region            string   // empty: the fleet has none, and neither have its members
	Members           []Member // of the first start: who may have a lease, one to seven voters among them, with regions in each that has any
	Lease             int64    // 2 s
	Drift             float64  // by how much of its length any clock may be wrong; 0.01
	MaxPause          int64    // that queries are held at most; 200 ms, with regions 1.2 s
	ValidationTimeout int64    // after which one that has not judged gets no further lease; 500 ms
	HeartbeatInterval int64    // between a leader's heartbeats; 50 ms
	ElectionTimeout   int64    // without a leader's word before a voter stands, up to twice that; 500 ms
	DivideBudgets     bool     // budgets are divided by leases on parts; every gatherer of the fleet has to say the same
	Slots             uint64   // among how many, by the policy in force at the start; Parts().Slots changes it
	CompactAfter      uint64   // entries after which a voter's log is cut to a snapshot; 1000
	Bugs              Bugs

	RegionLease   int64 // how long a region may go on as part of the whole without the global agreement's word; 1 s
	RegionTimeout int64 // after which one that has no lease and is not heard of is not waited for; 3 s

	isGlobal        bool     // these are the global agreement's: leases are given to regions
	regions         []string // that have voters of their own, in order
	validationSlack int64    // of the global agreement: how long a proposal may be judged, past Silent
}

// first tells whether a gatherer is one of the first voters of this agreement.
func (cfg Config) isInitialVoter(name string) bool {
	return slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Voter && m.Name == name })
}

// Memory is what outlasts a node's process.
type PersistentState struct {
	Identity        uint64            // of the disk, drawn once; not 0
	VoterIdentities map[string]uint64 // the first voters' identities, as far as they were met
	Members         []*wire.Member    // the roster as known last; nil: as in Config
	MembersIndex    uint64
	Current         *wire.Document        // that was in force last
	Staged          *wire.Proposal        // that was judged good last
	Disk            Disk                  // of a voter
	Global          PersistentGlobalState // with regions
}

// GlobalMemory is what outlasts a node's process of its part in the global agreement.
type PersistentGlobalState struct {
	VoterIdentities map[string]uint64 // the first global voters' identities, as far as they were met
	Disk            Disk              // of a global voter
}

// Output is what a node wants done, in order: save first, and call Saved when it is on disk; then the rest.
type Output struct {
	Save       *Save
	Snapshot   *pb.Snapshot     // to be saved in the place of the log up to it; nobody waits for it
	SnapshotOf uint64           // the id of the voter whose it is
	Messages   []*wire.Message  // to other gatherers
	Validate   []*wire.Proposal // to be judged, and where good staged on disk: Judged takes the verdict
	Install    []*wire.Document // to be put in force before the next query is let in, and kept on disk
	Roster     *wire.State      // members and members_index, to be kept on disk, and where everybody is from now on; nil: as before
	Global     GlobalOutput     // with regions
}

// GlobalOutput is what a global voter wants kept, apart from what its region's agreement does: SavedGlobal says that Save is on disk.
type GlobalOutput struct {
	Save       *Save
	Snapshot   *pb.Snapshot
	SnapshotOf uint64
}

// Node is one gatherer's part: a holder, and a voter where it is one. It is not for several goroutines.
type Node struct {
	*Holder
	local    *group // in its region's agreement, or the fleet's
	global   *group // with regions; nil: there are none
	follower *follower
	output   Output
}

const never = math.MaxInt64

// New makes a node by what outlasted its process. It lets nothing in before it has asked.
func New(cfg Config, now int64, rng *rand.Rand, memory PersistentState) (*Node, error) {
	cfg = cfg.withDefaults()
	own, global, err := cfg.agreements()
	if err != nil {
		return nil, err
	}
	voters := 0
	for _, m := range own.Members {
		if m.Voter {
			voters++
		}
	}
	if voters < 1 && !global.isInitialVoter(cfg.Name) || voters > maxVoters || cfg.Name == "" || memory.Identity == 0 {
		return nil, fmt.Errorf("rollout: want a name, an identity and one to seven voters, not %d", voters)
	}
	h := &Holder{cfg: own, name: cfg.Name, identity: memory.Identity, rng: rng, current: memory.Current, requestAt: now, members: initialMembers(own.Members, memory.VoterIdentities)}
	h.voters = voterNames(h.members)
	if len(h.voters) == 0 { // a witness: there is nobody whom it could ask for a lease
		h.requestAt = never
	}
	if cfg.DivideBudgets {
		h.quota = quota.NewHolder(cfg.Slots, cfg.Bugs.Quota)
		h.applyRegionPart()
	}
	h.updateRoster(memory.Members, memory.MembersIndex)
	n := &Node{Holder: h, local: &group{cfg: own, identity: memory.Identity, rng: rng, quotaHolder: h.quota}}
	if cfg.Region != "" {
		n.follower = newFollower(own, now, rng, global)
		n.local.follower = n.follower
		n.global = &group{cfg: global, identity: memory.Identity, rng: rng}
		if err := n.global.restore(now, PersistentState{Identity: memory.Identity, VoterIdentities: memory.Global.VoterIdentities, Disk: memory.Global.Disk}); err != nil {
			return nil, err
		}
	}
	if err := n.local.restore(now, memory); err != nil {
		return nil, err
	}
	n.collect(now)
	return n, nil
}

// whole fills in what was left at its default.
func (cfg Config) withDefaults() Config {
	set := func(v *int64, otherwise int64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	set(&cfg.Lease, 2_000_000)
	if cfg.Region != "" {
		set(&cfg.MaxPause, 1_200_000)
	}
	set(&cfg.MaxPause, 200_000)
	set(&cfg.ValidationTimeout, 500_000)
	set(&cfg.HeartbeatInterval, 50_000)
	set(&cfg.ElectionTimeout, 500_000)
	set(&cfg.RegionLease, 1_000_000)
	set(&cfg.RegionTimeout, 3_000_000)
	if cfg.CompactAfter == 0 {
		cfg.CompactAfter = 1000
	}
	if cfg.Drift == 0 {
		cfg.Drift = 0.01
	}
	return cfg
}

// Stranger tells that this gatherer should vote and does not: the others know another disk under its name. It needs a vote of its own.
func (n *Node) HasIdentityConflict() bool {
	return n.local.bootstrap != nil && n.local.bootstrap.identityConflict || n.global != nil && n.global.bootstrap != nil && n.global.bootstrap.identityConflict
}

// Founding tells that the first voters have not all met yet.
func (n *Node) IsBootstrapping() bool {
	return n.local.bootstrap != nil || n.global != nil && n.global.bootstrap != nil
}

// Absent tells who is not there, by the view of the fleet: it saves waiting where waiting would decide nothing, and proves nothing.
func (n *Node) SetAbsent(names map[string]bool) {
	if n.local.voter != nil {
		n.local.voter.absent = names
	}
}

// Leave has this gatherer let nothing in any more, and tells the voters, so that nobody waits for its lease to end. Only Out may follow.
func (n *Node) Leave() {
	ask := n.Holder.newLeaveRequest()
	for _, name := range n.Holder.voters {
		if name != n.name {
			n.output.Messages = append(n.output.Messages, &wire.Message{From: n.name, To: name, Identity: n.Holder.identity, Ask: ask})
		}
	}
}

// Next is when Tick wants to be called.
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

// Tick does what is due.
func (n *Node) Tick(now int64) {
	if now >= n.Holder.nextRequest() {
		to, ask := n.Holder.newRequest(now)
		n.send(now, &wire.Message{From: n.name, To: to, Ask: ask})
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

// send sends a message, or hears it at once where it is to this node itself.
func (n *Node) send(now int64, m *wire.Message) {
	m.Identity = n.Holder.identity
	if m.To == n.name {
		n.dispatch(now, m)
		return
	}
	n.output.Messages = append(n.output.Messages, m)
}

// Receive takes a message of another gatherer in.
func (n *Node) Receive(now int64, m *wire.Message) {
	n.dispatch(now, m)
	n.collect(now)
}

func (n *Node) dispatch(now int64, m *wire.Message) {
	switch {
	case m.Global:
		n.dispatchGlobal(now, m)
	case m.Propose == nil && n.isOtherRegion(m.From): // between regions there is the global agreement, and nothing else
	case m.Word != nil:
		judge, install := n.Holder.handleStatus(now, m.From, m.Word)
		if install != nil {
			n.output.Install = append(n.output.Install, install)
		}
		if judge != nil {
			n.output.Validate = append(n.output.Validate, judge)
		}
	case m.Hello != nil:
		if answer := n.local.handleHello(now, m); answer != nil {
			n.send(now, answer)
		}
	case m.Raft != nil:
		n.local.handleRaft(now, m)
	case m.Ask != nil && !n.local.isActiveLeader():
		w := &wire.Word{Nonce: m.Ask.Nonce}
		if n.local.hasVote() && !n.local.voter.isLeader {
			w.Leader = n.local.voter.leader()
		}
		if n.membersIndex > m.Ask.MembersIndex { // the leader may be somebody whom it does not know yet
			w.Members, w.MembersIndex = n.members, n.membersIndex
		}
		n.send(now, &wire.Message{From: n.name, To: m.From, Word: w})
	case m.Ask != nil:
		n.local.voter.handleLeaseRequest(now, m.From, m.Identity, m.Ask)
	case m.Propose != nil:
		n.send(now, &wire.Message{From: n.name, To: m.From, Answer: n.Propose(now, m.Propose)})
	}
}

// collect gathers what holder and voters want done; what is to this node itself is heard at once.
func (n *Node) collect(now int64) {
	if n.Holder.rosterChanged {
		n.Holder.rosterChanged = false
		n.output.Roster = &wire.State{Members: n.members, MembersIndex: n.membersIndex}
	}
	for range 100 {
		out := n.takeVoterMessages()
		for _, m := range out {
			n.send(now, m)
		}
		if len(out) == 0 && n.IsLeader() && now >= n.Holder.nextRequest() {
			to, ask := n.Holder.newRequest(now)
			n.send(now, &wire.Message{From: n.name, To: to, Ask: ask})
			continue
		}
		if len(out) == 0 {
			break
		}
	}
	if n.output.Save == nil {
		n.output.Save = n.local.takeSave()
	}
	if n.global != nil && n.output.Global.Save == nil {
		n.output.Global.Save = n.global.takeSave()
	}
}

// said takes over what the voters of this node say.
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

// Saved says that Output.Save is on disk.
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

// Judged takes the verdict on a proposal; fault is empty where it is good and staged on disk.
func (n *Node) Validated(now int64, attempt uint64, fault string) {
	n.Holder.handleValidation(now, attempt, fault)
	n.collect(now)
}

// Propose proposes, or asks how a proposal of that nonce stands. The same nonce is one proposal, however often it is sent.
func (n *Node) Propose(now int64, p *wire.Propose) *wire.Answer {
	if n.global != nil {
		return n.proposeWithRegions(now, p)
	}
	if !n.local.hasVote() {
		return &wire.Answer{Nonce: p.Nonce, End: 3, Leader: n.Holder.leader}
	}
	a := n.local.voter.handleProposal(now, p)
	n.collect(now)
	return a
}

// Out gives what is to be done since the last call.
func (n *Node) TakeOutput() Output {
	o := n.output
	n.output = Output{}
	return o
}

// Leads tells whether this node leads, as far as it knows.
func (n *Node) IsLeader() bool { return n.local.voter != nil && n.local.voter.isLeader }

// Open is the proposal that is open, as far as this voter knows; 0: none, or it is no voter.
func (n *Node) OpenAttempt() uint64 {
	if n.local.voter == nil {
		return 0
	}
	return n.local.voter.state.openAttempt()
}

// Grant is how one gatherer stands with a leader.
type Grant struct {
	Name                 string
	LeaseUntil, LastSeen int64 // of its lease, surely over then; when it asked last, 0: not
	Number               uint64
	Ready, Paused        uint64
	Refused              uint64
	Reason               string
	Voter, DiskReplaced  bool // it votes; it does no more, since it came back with another disk
	Left                 bool // it has said that it lets nothing in any more
}

// Grants are those of a leader, in the order of the roster; nil where this node does not lead.
func (n *Node) Grants() []Grant {
	if !n.IsLeader() {
		return nil
	}
	return n.local.voter.grants()
}

func (v *voter) grants() (all []Grant) {
	for _, m := range v.leaseRoster() {
		x := Grant{Name: m.Name, Voter: m.Id != 0}
		if g := v.grantees[m.Name]; g != nil {
			x.LeaseUntil, x.LastSeen, x.Number, x.Ready, x.Paused, x.Refused, x.Reason, x.Left = g.leaseUntil, g.seenAt, g.number, g.ready, g.paused, g.refused, g.refusalReason, g.left
			x.DiskReplaced = m.Id != 0 && g.identity != 0 && g.identity != m.Identity
		}
		all = append(all, x)
	}
	return all
}

// Current is the version in force here; nil: none was ever agreed on.
func (n *Node) Current() *wire.Document { return n.Holder.current }

// Previous is the version that was in force before the current one, as far as this voter knows; nil: none.
func (n *Node) Previous() *wire.Document {
	if n.local.voter == nil {
		return nil
	}
	return n.local.voter.state.Previous
}

// Decisions are those that this voter remembers, in order.
func (n *Node) Decisions() []*wire.Decision {
	if n.local.voter == nil {
		return nil
	}
	return n.local.voter.state.History
}
