package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// groups are the configurations of both agreements that a gatherer of a region takes part in: its region's, and the global one. Without
// regions the first is the fleet's, and the second nobody's.
func (cfg Config) agreements() (own, global Config, err error) {
	own = cfg
	if cfg.Region == "" {
		if slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Region != "" || m.Global }) {
			return own, global, fmt.Errorf("rollout: members have regions, and %s has none", cfg.Name)
		}
		return own, global, nil
	}
	global = cfg
	global.Lease, global.DivideBudgets, global.isGlobal, global.validationSlack = cfg.RegionLease, false, true, 3*cfg.Lease
	own.Members, global.Members = slices.Clone(cfg.Members), slices.Clone(cfg.Members)
	named := slices.ContainsFunc(cfg.Members, func(m Member) bool { return m.Global })
	voters := map[string]int{}
	count := 0
	for i, m := range cfg.Members {
		if m.Region == "" {
			return own, global, fmt.Errorf("rollout: %s has no region", m.Name)
		}
		if m.Name == cfg.Name && m.Region != cfg.Region {
			return own, global, fmt.Errorf("rollout: %s is in region %s, and in %s among the members", m.Name, cfg.Region, m.Region)
		}
		if m.Voter {
			voters[m.Region]++
		}
		votes := m.Global || !named && m.Voter
		if votes {
			count++
		}
		own.Members[i].Voter, own.Members[i].Global = m.Voter && m.Region == cfg.Region, votes
		global.Members[i].Voter, global.Members[i].Global = votes, votes
		if m.Voter && !slices.Contains(global.regions, m.Region) {
			global.regions = append(global.regions, m.Region)
		}
	}
	slices.Sort(global.regions)
	for region, n := range voters {
		if n > maxVoters {
			return own, global, fmt.Errorf("rollout: want one to seven voters in region %s, not %d", region, n)
		}
	}
	if count < 1 || count > maxVoters {
		return own, global, fmt.Errorf("rollout: want one to seven global voters, not %d", count)
	}
	own.regions = global.regions
	return own, global, nil
}

// foreign tells that a gatherer is of another region.
func (n *Node) isOtherRegion(name string) bool {
	if n.global == nil {
		return false
	}
	m := findMember(n.members, name)
	return m != nil && m.Region != n.cfg.Region
}

// tickGlobal does what is due of the global agreement.
func (n *Node) tickGlobal(now int64) {
	if v := n.global.voter; v != nil {
		v.tick(now)
	}
	for _, m := range n.global.dueHellos(now) {
		m.Global = true
		n.send(now, m)
	}
	if n.local.voter == nil || now < n.follower.requestAt {
		return
	}
	if n.local.voter.isLeader {
		n.local.voter.requestGlobalLease(now)
	} else if to, ask := n.follower.newPing(now); to != "" {
		n.send(now, &wire.Message{From: n.name, To: to, Ask: ask, Global: true})
	}
}

// takeGlobal takes a message of the global agreement in.
func (n *Node) dispatchGlobal(now int64, m *wire.Message) {
	g := n.global
	if g == nil {
		return
	}
	switch {
	case m.Word != nil:
		n.follower.handleStatus(now, m.From, m.Word)
		if n.local.voter != nil {
			n.local.voter.advance(now)
		}
	case m.Hello != nil:
		if answer := g.handleHello(now, m); answer != nil {
			answer.Global = true
			n.send(now, answer)
		}
	case m.Raft != nil:
		g.handleRaft(now, m)
	case m.Ask != nil && !g.isActiveLeader():
		w := &wire.Word{Nonce: m.Ask.Nonce}
		if g.hasVote() && !g.voter.isLeader {
			w.Leader = g.voter.leader()
		}
		if g.voter != nil && g.voter.state.MembersIndex > m.Ask.MembersIndex {
			w.Members, w.MembersIndex = g.voter.state.Members, g.voter.state.MembersIndex
		}
		n.send(now, &wire.Message{From: n.name, To: m.From, Word: w, Global: true})
	case m.Ask != nil:
		g.voter.handleLeaseRequest(now, m.From, m.Identity, m.Ask)
	}
}

// proposeGlobal takes a proposal where there are regions: all but who votes in a region is the global agreement's.
func (n *Node) proposeWithRegions(now int64, p *wire.Propose) (a *wire.Answer) {
	if p.Region != "" {
		switch {
		case p.Region != n.cfg.Region:
			a = &wire.Answer{Nonce: p.Nonce, End: 3, Leader: n.randomMember(func(m *wire.Member) bool { return m.Region == p.Region })}
		case p.VoterAdd == "" && p.VoterRemove == "":
			a = &wire.Answer{Nonce: p.Nonce, End: 2, Reason: "only who votes is a region's own to change"}
		case !n.local.hasVote():
			a = &wire.Answer{Nonce: p.Nonce, End: 3, Leader: n.Holder.leader}
		default:
			a = n.local.voter.handleProposal(now, p)
		}
	} else if n.global.hasVote() {
		a = n.global.voter.handleProposal(now, p)
	} else if a = (&wire.Answer{Nonce: p.Nonce, End: 3, Leader: n.follower.leader}); a.Leader == "" {
		a.Leader = n.randomMember(func(m *wire.Member) bool { return m.Global })
	}
	n.collect(now)
	return a
}

// anyOf is one of the roster's that are such, by chance; empty: there is none.
func (n *Node) randomMember(such func(*wire.Member) bool) string {
	var names []string
	for _, m := range n.members {
		if such(m) {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[n.Holder.rng.IntN(len(names))]
}

// SavedGlobal says that Output.Global.Save is on disk.
func (n *Node) SavedGlobal(now int64) error {
	snapshot, err := n.global.handleSaved(now)
	if err != nil {
		return err
	}
	if snapshot != nil {
		n.output.Global.Snapshot, n.output.Global.SnapshotOf = snapshot, n.global.voter.id
	}
	n.collect(now)
	return nil
}

// Region is how a gatherer's region stands with the others.
type RegionStatus struct {
	Name        string
	Number      uint64 // in force here
	Newest      uint64 // the newest version that was heard of; what was decided beyond the cut is not known
	IsolatedFor int64  // for how long at least the region has gone on by itself, in microseconds; 0: it does not
	Reason      string // why the newest version is not put in force here; empty: nothing is in the way
	StatusAge   int64  // for how long the gatherer has had no word of its region's leader, in microseconds; -1: never
	LeaseUntil  int64  // at the region's leader: the end of the region's lease; 0: there is none, or it does not lead
	Leader      string // of the global agreement, as a voter of the region knows it
}

// Region tells how this gatherer's region stands, as its leader has told it; false: the fleet has no regions.
func (n *Node) Region(now int64) (RegionStatus, bool) {
	if n.global == nil {
		return RegionStatus{}, false
	}
	r := RegionStatus{Name: n.cfg.Region, Number: n.Number(), StatusAge: -1, Leader: n.follower.leader}
	if n.standingAt != 0 {
		r.StatusAge = now - n.standingAt
	}
	s := n.standing
	if n.local.isActiveLeader() {
		s, r.LeaseUntil, r.StatusAge = n.local.voter.regionStanding(now), n.follower.leaseUntil, 0
	}
	r.Newest, r.Reason = max(s.GetNewest(), r.Number), s.GetReason()
	if r.IsolatedFor = s.GetApart(); r.IsolatedFor > 0 && r.StatusAge > 0 {
		r.IsolatedFor += r.StatusAge
	}
	return r, true
}

// GlobalVotes tells whether this gatherer votes in the global agreement, GlobalLeads whether it leads there, as far as it knows.
func (n *Node) HasGlobalVote() bool { return n.global != nil && n.global.hasVote() }

// GlobalLeads tells whether this gatherer leads the global agreement, as far as it knows.
func (n *Node) IsGlobalLeader() bool {
	return n.global != nil && n.global.voter != nil && n.global.voter.isLeader
}

// GlobalOpen is the proposal that is open, as far as this global voter knows; 0: none, or it is no global voter.
func (n *Node) GlobalOpenAttempt() uint64 {
	if n.global == nil || n.global.voter == nil {
		return 0
	}
	return n.global.voter.state.openAttempt()
}

// GlobalGrants are how the regions stand with the global leader, by name; nil where this node does not lead there.
func (n *Node) GlobalGrants() []Grant {
	if !n.IsGlobalLeader() {
		return nil
	}
	return n.global.voter.grants()
}

// GlobalDecisions are those that this global voter remembers, in order.
func (n *Node) GlobalDecisions() []*wire.Decision {
	if n.global == nil || n.global.voter == nil {
		return nil
	}
	return n.global.voter.state.History
}

// GlobalPrevious is the version that was in force before the current one, as far as this global voter knows; nil: none.
func (n *Node) GlobalPrevious() *wire.Document {
	if n.global == nil || n.global.voter == nil {
		return nil
	}
	return n.global.voter.state.Previous
}
