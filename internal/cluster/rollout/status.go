package rollout

import "saffronquay/internal/cluster/rollout/wire"

// HasIdentityConflict reports that this gatherer should vote and does not: the other first voters know another disk under its name. An
// operator has to give it a vote of its own.
func (n *Node) HasIdentityConflict() bool {
	return n.local.hasIdentityConflict() || n.global != nil && n.global.hasIdentityConflict()
}

// IsBootstrapping reports that the first voters do not know all of each other's disks yet.
func (n *Node) IsBootstrapping() bool {
	return n.local.bootstrap != nil || n.global != nil && n.global.bootstrap != nil
}

// IsLeader reports whether this node leads its agreement, as far as it knows.
func (n *Node) IsLeader() bool { return n.local.leads() }

// OpenAttempt is the proposal that is open, as far as this voter knows; 0: none, or this node is no voter.
func (n *Node) OpenAttempt() uint64 { return n.local.openAttempt() }

// Grants are the records of a leader, in the order of the roster; nil where this node does not lead.
func (n *Node) Grants() []Grant { return n.local.grants() }

// Decisions are those that this voter remembers, in order; nil where this node is no voter.
func (n *Node) Decisions() []*wire.Decision { return n.local.decisions() }

// Current is the version in force here; nil: no version was ever committed.
func (n *Node) Current() *wire.Document { return n.Holder.current }

// Previous is the version that was in force before the current one, as far as this voter knows; nil: none.
func (n *Node) Previous() *wire.Document { return n.local.previous() }

// HasGlobalVote reports whether this gatherer votes in the global agreement, as far as it knows.
func (n *Node) HasGlobalVote() bool { return n.global != nil && n.global.hasVote() }

// IsGlobalLeader reports whether this gatherer leads the global agreement, as far as it knows.
func (n *Node) IsGlobalLeader() bool { return n.global.leads() }

// GlobalOpenAttempt is the proposal that is open, as far as this global voter knows; 0: none, or this node is no global voter.
func (n *Node) GlobalOpenAttempt() uint64 { return n.global.openAttempt() }

// GlobalGrants are the global leader's records of the regions, by name; nil where this node does not lead there.
func (n *Node) GlobalGrants() []Grant { return n.global.grants() }

// GlobalDecisions are those that this global voter remembers, in order; nil where this node is no global voter.
func (n *Node) GlobalDecisions() []*wire.Decision { return n.global.decisions() }

// GlobalPrevious is the version that was in force before the current one, as far as this global voter knows; nil: none.
func (n *Node) GlobalPrevious() *wire.Document { return n.global.previous() }

// Grant is a leader's record of one holder of a lease. Ready, Paused and Refused are attempts.
type Grant struct {
	Name         string
	LeaseUntil   int64 // the lease is over by then on every clock
	LastSeen     int64 // when its last request came; 0: none has
	Number       uint64
	Ready        uint64
	Paused       uint64
	Refused      uint64
	Reason       string
	Voter        bool // it votes
	DiskReplaced bool // it has lost its vote, since it came back with another disk
	Left         bool // it has reported that it admits nothing any more
}

// grants are the records of a leader, in the order of the roster.
func (v *voter) grants() (all []Grant) {
	for _, m := range v.leaseRoster() {
		x := Grant{Name: m.Name, Voter: m.Id != 0}
		if g := v.grantees[m.Name]; g != nil {
			x.LeaseUntil, x.LastSeen, x.Number, x.Left = g.leaseUntil, g.seenAt, g.number, g.left
			x.Ready, x.Paused, x.Refused, x.Reason = g.ready, g.paused, g.refused, g.refusalReason
			x.DiskReplaced = m.Id != 0 && g.identity != 0 && g.identity != m.Identity
		}
		all = append(all, x)
	}
	return all
}

// RegionStatus is how a gatherer's region stands with the others. Durations are microseconds.
type RegionStatus struct {
	Name        string
	Number      uint64 // in force here
	Newest      uint64 // the newest version that is known here; what was decided beyond a partition is not known
	IsolatedFor int64  // for how long at least the region has been isolated; 0: it is not
	Reason      string // why the newest version is not put in force here; empty: nothing is in the way
	StatusAge   int64  // for how long the region's leader has sent no status; -1: it never has
	LeaseUntil  int64  // at the region's leader: the end of the region's lease; 0: there is none, or this node does not lead
	Leader      string // of the global agreement, as a voter of the region knows it
}

// Region returns how this gatherer's region stands, as its leader has reported it; false: the fleet has no regions.
func (n *Node) Region(now int64) (RegionStatus, bool) {
	if n.global == nil {
		return RegionStatus{}, false
	}
	r := RegionStatus{Name: n.cfg.Region, Number: n.Number(), StatusAge: -1, Leader: n.follower.leader}
	if n.standingAt != 0 {
		r.StatusAge = now - n.standingAt
	}
	standing := n.standing
	if n.local.isActiveLeader() {
		standing, r.LeaseUntil, r.StatusAge = n.local.voter.regionStanding(now), n.follower.leaseUntil, 0
	}
	r.Newest, r.Reason = max(standing.GetNewest(), r.Number), standing.GetReason()
	if r.IsolatedFor = standing.GetApart(); r.IsolatedFor > 0 && r.StatusAge > 0 {
		r.IsolatedFor += r.StatusAge
	}
	return r, true
}
