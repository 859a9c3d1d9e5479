package rollout

import "saffronquay/internal/cluster/rollout/wire"

// HasIdentityConflict reports whether this gatherer is an initial voter that can't vote because
// another initial voter has stored another disk identity for its name. An operator has to give it a
// new vote.
func (n *Node) HasIdentityConflict() bool {
	return n.local.hasIdentityConflict() || n.global != nil && n.global.hasIdentityConflict()
}

// IsBootstrapping reports whether this gatherer is an initial voter that may not vote yet, because
// the initial voters have not stored all of each other's disk identities.
func (n *Node) IsBootstrapping() bool {
	return n.local.bootstrap != nil || n.global != nil && n.global.bootstrap != nil
}

// IsLeader reports whether this node leads its region's agreement, or the fleet's, as far as it
// knows.
func (n *Node) IsLeader() bool { return n.local.leads() }

// OpenAttempt returns the attempt of the open proposal as far as this voter knows, or 0 if there is
// none or this node is not a voter.
func (n *Node) OpenAttempt() uint64 { return n.local.openAttempt() }

// Grants returns the leader's records of the lease holders, in the order of the roster, or nil if
// this node does not lead.
func (n *Node) Grants() []Grant { return n.local.grants() }

// Decisions returns the decisions in this voter's history, oldest first, or nil if this node is not
// a voter.
func (n *Node) Decisions() []*wire.Decision { return n.local.decisions() }

// Current returns the version in force here, or nil if no version was ever committed.
func (n *Node) Current() *wire.Document { return n.Holder.current }

// Previous returns the version that was in force before the current one as far as this voter knows,
// or nil.
func (n *Node) Previous() *wire.Document { return n.local.previous() }

// HasGlobalVote reports whether this gatherer votes in the global agreement, as far as it knows.
func (n *Node) HasGlobalVote() bool { return n.global != nil && n.global.hasVote() }

// IsGlobalLeader reports whether this gatherer leads the global agreement, as far as it knows.
func (n *Node) IsGlobalLeader() bool { return n.global.leads() }

// GlobalOpenAttempt returns the attempt of the global agreement's open proposal as far as this
// global voter knows, or 0 if there is none or this node is not a global voter.
func (n *Node) GlobalOpenAttempt() uint64 { return n.global.openAttempt() }

// GlobalGrants returns the global leader's records of the regions, sorted by name, or nil if this
// node is not the global leader.
func (n *Node) GlobalGrants() []Grant { return n.global.grants() }

// GlobalDecisions returns the decisions in this global voter's history, oldest first, or nil if
// this node is not a global voter.
func (n *Node) GlobalDecisions() []*wire.Decision { return n.global.decisions() }

// GlobalPrevious returns the version that was in force globally before the current one as far as
// this global voter knows, or nil.
func (n *Node) GlobalPrevious() *wire.Document { return n.global.previous() }

// Grant is a leader's record of one lease holder. Ready, Paused and Refused are attempts.
type Grant struct {
	Name         string
	LeaseUntil   int64 // by then the lease has expired on every clock
	LastSeen     int64 // when its last request arrived; 0: never
	Number       uint64
	Ready        uint64
	Paused       uint64
	Refused      uint64
	Reason       string
	Voter        bool // the holder is a voter
	DiskReplaced bool // the voter can't use its vote, because it returned with another disk
	Left         bool // the holder has reported that it admits nothing any more
}

// grants returns the leader's records of the lease holders, in the order of the roster.
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

// RegionStatus is the state of a gatherer's region with respect to the global agreement. Durations
// are microseconds.
type RegionStatus struct {
	Name        string
	Number      uint64 // in force here
	Newest      uint64 // the newest version known here; during a partition there may be newer ones
	IsolatedFor int64  // lower bound of the time for which the region has been isolated; 0: it is not isolated
	Reason      string // why the newest version could not be put in force here; empty: no failure
	StatusAge   int64  // time since the last status of the region's leader; -1: none was received
	LeaseUntil  int64  // at the region's leader: the end of the region's lease; 0: none, or this node does not lead
	Leader      string // of the global agreement, as far as a voter of the region knows
}

// Region returns the status of this gatherer's region, as its leader last reported it; false if the
// fleet has no regions.
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
