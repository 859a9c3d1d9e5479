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
	Name    string
	Region  string   // empty: the fleet has none, and neither have its members
	Members []Member // of the first start: who may have a lease, one to seven voters among them, with regions in each that has any
	Lease   int64    // 2 s
	Drift   float64  // by how much of its length any clock may be wrong; 0.01
	HoldFor int64    // that queries are held at most; 200 ms, with regions 1.2 s
	Silent  int64    // after which one that has not judged gets no further lease; 500 ms
	Tick    int64    // between a leader's heartbeats; 50 ms
	Elect   int64    // without a leader's word before a voter stands, up to twice that; 500 ms
	Share   bool     // budgets are divided by leases on parts; every gatherer of the fleet has to say the same
	Slots   uint64   // among how many, by the policy in force at the start; Parts().Slots changes it
	Compact uint64   // entries after which a voter's log is cut to a snapshot; 1000
	Bugs    Bugs

	RegionLease  int64 // how long a region may go on as part of the whole without the global agreement's word; 1 s
	RegionSilent int64 // after which one that has no lease and is not heard of is not waited for; 3 s

	global  bool     // these are the global agreement's: leases are given to regions
	regions []string // that have voters of their own, in order
	judging int64    // of the global agreement: how long a proposal may be judged, past Silent
}

// first tells whether a gatherer is one of the first voters of this agreement.
func (cfg Config) first(name string) bool {
	return slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Voter && m.Name == name })
}

// Memory is what outlasts a node's process.
type Memory struct {
	Identity     uint64            // of the disk, drawn once; not 0
	Met          map[string]uint64 // the first voters' identities, as far as they were met
	Members      []*wire.Member    // the roster as known last; nil: as in Config
	MembersIndex uint64
	Current      *wire.Document // that was in force last
	Staged       *wire.Proposal // that was judged good last
	Disk         Disk           // of a voter
	Global       GlobalMemory   // with regions
}

// GlobalMemory is what outlasts a node's process of its part in the global agreement.
type GlobalMemory struct {
	Met  map[string]uint64 // the first global voters' identities, as far as they were met
	Disk Disk              // of a global voter
}

// Output is what a node wants done, in order: save first, and call Saved when it is on disk; then the rest.
type Output struct {
	Save       *Save
	Snapshot   *pb.Snapshot     // to be saved in the place of the log up to it; nobody waits for it
	SnapshotOf uint64           // the id of the voter whose it is
	Messages   []*wire.Message  // to other gatherers
	Judge      []*wire.Proposal // to be judged, and where good staged on disk: Judged takes the verdict
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
	own    *group // in its region's agreement, or the fleet's
	global *group // with regions; nil: there are none
	up     *follower
	out    Output
}

const never = math.MaxInt64

// New makes a node by what outlasted its process. It lets nothing in before it has asked.
func New(cfg Config, now int64, rng *rand.Rand, memory Memory) (*Node, error) {
	cfg = cfg.whole()
	own, global, err := cfg.groups()
	if err != nil {
		return nil, err
	}
	voters := 0
	for _, m := range own.Members {
		if m.Voter {
			voters++
		}
	}
	if voters < 1 && !global.first(cfg.Name) || voters > mostVoters || cfg.Name == "" || memory.Identity == 0 {
		return nil, fmt.Errorf("rollout: want a name, an identity and one to seven voters, not %d", voters)
	}
	h := &Holder{cfg: own, name: cfg.Name, identity: memory.Identity, rng: rng, current: memory.Current, askAt: now, members: firstMembers(own.Members, memory.Met)}
	h.voter = votersOf(h.members)
	if len(h.voter) == 0 { // a witness: there is nobody whom it could ask for a lease
		h.askAt = never
	}
	if cfg.Share {
		h.parts = quota.NewHolder(cfg.Slots, cfg.Bugs.Share)
		h.divide()
	}
	h.learn(memory.Members, memory.MembersIndex)
	n := &Node{Holder: h, own: &group{cfg: own, identity: memory.Identity, rng: rng, parts: h.parts}}
	if cfg.Region != "" {
		n.up = newFollower(own, now, rng, global)
		n.own.up = n.up
		n.global = &group{cfg: global, identity: memory.Identity, rng: rng}
		if err := n.global.open(now, Memory{Identity: memory.Identity, Met: memory.Global.Met, Disk: memory.Global.Disk}); err != nil {
			return nil, err
		}
	}
	if err := n.own.open(now, memory); err != nil {
		return nil, err
	}
	n.collect(now)
	return n, nil
}

// whole fills in what was left at its default.
func (cfg Config) whole() Config {
	set := func(v *int64, otherwise int64) {
		if *v == 0 {
			*v = otherwise
		}
	}
	set(&cfg.Lease, 2_000_000)
	if cfg.Region != "" {
		set(&cfg.HoldFor, 1_200_000)
	}
	set(&cfg.HoldFor, 200_000)
	set(&cfg.Silent, 500_000)
	set(&cfg.Tick, 50_000)
	set(&cfg.Elect, 500_000)
	set(&cfg.RegionLease, 1_000_000)
	set(&cfg.RegionSilent, 3_000_000)
	if cfg.Compact == 0 {
		cfg.Compact = 1000
	}
	if cfg.Drift == 0 {
		cfg.Drift = 0.01
	}
	return cfg
}

// Stranger tells that this gatherer should vote and does not: the others know another disk under its name. It needs a vote of its own.
func (n *Node) Stranger() bool {
	return n.own.found != nil && n.own.found.stranger || n.global != nil && n.global.found != nil && n.global.found.stranger
}

// Founding tells that the first voters have not all met yet.
func (n *Node) Founding() bool { return n.own.found != nil || n.global != nil && n.global.found != nil }

// Absent tells who is not there, by the view of the fleet: it saves waiting where waiting would decide nothing, and proves nothing.
func (n *Node) Absent(names map[string]bool) {
	if n.own.voter != nil {
		n.own.voter.absent = names
	}
}

// Leave has this gatherer let nothing in any more, and tells the voters, so that nobody waits for its lease to end. Only Out may follow.
func (n *Node) Leave() {
	ask := n.Holder.leave()
	for _, name := range n.Holder.voter {
		if name != n.name {
			n.out.Messages = append(n.out.Messages, &wire.Message{From: n.name, To: name, Identity: n.Holder.identity, Ask: ask})
		}
	}
}

// Next is when Tick wants to be called.
func (n *Node) Next() int64 {
	at := min(n.Holder.next(), n.own.next())
	if n.global != nil {
		at = min(at, n.global.next())
		if n.own.voter != nil {
			at = min(at, n.up.askAt)
		}
	}
	return at
}

// Tick does what is due.
func (n *Node) Tick(now int64) {
	if now >= n.Holder.next() {
		to, ask := n.Holder.ask(now)
		n.send(now, &wire.Message{From: n.name, To: to, Ask: ask})
	}
	if n.own.voter != nil {
		n.own.voter.tick(now)
	}
	for _, m := range n.own.greet(now) {
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
		n.take(now, m)
		return
	}
	n.out.Messages = append(n.out.Messages, m)
}

// Receive takes a message of another gatherer in.
func (n *Node) Receive(now int64, m *wire.Message) {
	n.take(now, m)
	n.collect(now)
}

func (n *Node) take(now int64, m *wire.Message) {
	switch {
	case m.Global:
		n.takeGlobal(now, m)
	case m.Propose == nil && n.foreign(m.From): // between regions there is the global agreement, and nothing else
	case m.Word != nil:
		judge, install := n.Holder.hear(now, m.From, m.Word)
		if install != nil {
			n.out.Install = append(n.out.Install, install)
		}
		if judge != nil {
			n.out.Judge = append(n.out.Judge, judge)
		}
	case m.Hello != nil:
		if answer := n.own.greeted(now, m); answer != nil {
			n.send(now, answer)
		}
	case m.Raft != nil:
		n.own.raft(now, m)
	case m.Ask != nil && !n.own.opened():
		w := &wire.Word{Nonce: m.Ask.Nonce}
		if n.own.votes() && !n.own.voter.leads {
			w.Leader = n.own.voter.leader()
		}
		if n.known_ > m.Ask.MembersIndex { // the leader may be somebody whom it does not know yet
			w.Members, w.MembersIndex = n.members, n.known_
		}
		n.send(now, &wire.Message{From: n.name, To: m.From, Word: w})
	case m.Ask != nil:
		n.own.voter.asked(now, m.From, m.Identity, m.Ask)
	case m.Propose != nil:
		n.send(now, &wire.Message{From: n.name, To: m.From, Answer: n.Propose(now, m.Propose)})
	}
}

// collect gathers what holder and voters want done; what is to this node itself is heard at once.
func (n *Node) collect(now int64) {
	if n.Holder.changed {
		n.Holder.changed = false
		n.out.Roster = &wire.State{Members: n.members, MembersIndex: n.known_}
	}
	for range 100 {
		out := n.said()
		for _, m := range out {
			n.send(now, m)
		}
		if len(out) == 0 && n.Leads() && now >= n.Holder.next() {
			to, ask := n.Holder.ask(now)
			n.send(now, &wire.Message{From: n.name, To: to, Ask: ask})
			continue
		}
		if len(out) == 0 {
			break
		}
	}
	if n.out.Save == nil {
		n.out.Save = n.own.save()
	}
	if n.global != nil && n.out.Global.Save == nil {
		n.out.Global.Save = n.global.save()
	}
}

// said takes over what the voters of this node say.
func (n *Node) said() (all []*wire.Message) {
	if n.own.voter != nil {
		all, n.own.voter.out = n.own.voter.out, nil
	}
	if n.global != nil && n.global.voter != nil {
		for _, m := range n.global.voter.out {
			m.Global = true
			all = append(all, m)
		}
		n.global.voter.out = nil
	}
	return all
}

// Saved says that Output.Save is on disk.
func (n *Node) Saved(now int64) error {
	snapshot, err := n.own.saved(now)
	if err != nil {
		return err
	}
	if snapshot != nil {
		n.out.Snapshot, n.out.SnapshotOf = snapshot, n.own.voter.id
	}
	n.collect(now)
	return nil
}

// Judged takes the verdict on a proposal; fault is empty where it is good and staged on disk.
func (n *Node) Judged(now int64, attempt uint64, fault string) {
	n.Holder.judged(now, attempt, fault)
	n.collect(now)
}

// Propose proposes, or asks how a proposal of that nonce stands. The same nonce is one proposal, however often it is sent.
func (n *Node) Propose(now int64, p *wire.Propose) *wire.Answer {
	if n.global != nil {
		return n.proposeGlobal(now, p)
	}
	if !n.own.votes() {
		return &wire.Answer{Nonce: p.Nonce, End: 3, Leader: n.Holder.leader}
	}
	a := n.own.voter.proposed(now, p)
	n.collect(now)
	return a
}

// Out gives what is to be done since the last call.
func (n *Node) Out() Output {
	o := n.out
	n.out = Output{}
	return o
}

// Leads tells whether this node leads, as far as it knows.
func (n *Node) Leads() bool { return n.own.voter != nil && n.own.voter.leads }

// Open is the proposal that is open, as far as this voter knows; 0: none, or it is no voter.
func (n *Node) Open() uint64 {
	if n.own.voter == nil {
		return 0
	}
	return n.own.voter.state.open()
}

// Grant is how one gatherer stands with a leader.
type Grant struct {
	Name        string
	Until, Seen int64 // of its lease, surely over then; when it asked last, 0: not
	Number      uint64
	Ready, Held uint64
	Refused     uint64
	Reason      string
	Voter, Lost bool // it votes; it does no more, since it came back with another disk
	Left        bool // it has said that it lets nothing in any more
}

// Grants are those of a leader, in the order of the roster; nil where this node does not lead.
func (n *Node) Grants() []Grant {
	if !n.Leads() {
		return nil
	}
	return n.own.voter.grants()
}

func (v *voter) grants() (all []Grant) {
	for _, m := range v.roster() {
		x := Grant{Name: m.Name, Voter: m.Id != 0}
		if g := v.lease[m.Name]; g != nil {
			x.Until, x.Seen, x.Number, x.Ready, x.Held, x.Refused, x.Reason, x.Left = g.until, g.seen, g.number, g.ready, g.held, g.refused, g.reason, g.left
			x.Lost = m.Id != 0 && g.identity != 0 && g.identity != m.Identity
		}
		all = append(all, x)
	}
	return all
}

// Current is the version in force here; nil: none was ever agreed on.
func (n *Node) Current() *wire.Document { return n.Holder.current }

// Previous is the version that was in force before the current one, as far as this voter knows; nil: none.
func (n *Node) Previous() *wire.Document {
	if n.own.voter == nil {
		return nil
	}
	return n.own.voter.state.Previous
}

// Decisions are those that this voter remembers, in order.
func (n *Node) Decisions() []*wire.Decision {
	if n.own.voter == nil {
		return nil
	}
	return n.own.voter.state.History
}
