package replica

import (
	"fmt"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
)

// Status is a replica's view of its group at its latest change. It is immutable once published, so
// it may be read from any goroutine. Times are those of Host.Now.
type Status struct {
	Leader              bool   // this replica is in the leader role; HasLease also checks for followers
	Ready               bool   // it leads and has every entry that earlier leaders acknowledged
	QuorumContactAt     int64  // leader only: when a majority was last known to follow it
	LeaderID            string // empty: no known leader
	LeaderAddress       string // of the leader's peer service
	Epoch               uint64
	Commit              uint64
	Applied             uint64
	LeaderContactAt     int64 // when a message of the leader last arrived
	CaughtUpAt          int64 // when a message of the leader last arrived while this replica had every committed entry
	LeaderSince         int64 // when this replica last became leader
	Membership          *rpc.Membership
	MembershipCommitted bool // Membership is committed
	FullyReplicated     bool // each voter has persisted the log up to the latest membership change
}

// leaseMS is the duration of a leader's lease after its last quorum contact.
var leaseMS = consensus.LeaseMS(electionTimeoutMS)

// HasLease reports whether this replica leads and no other can have been elected yet, so that its
// applied state is up to date. now must be read after the status was.
func (s *Status) HasLease(now int64) bool {
	return s.Leader && s.Ready && now-s.QuorumContactAt < leaseMS
}

// IsCurrent reports whether this replica leads under its lease, or had every entry committed
// according to its leader within the given time.
func (s *Status) IsCurrent(now, within int64) bool {
	return s.HasLease(now) || !s.Leader && s.LeaderID != "" && now-s.CaughtUpAt < within
}

// NextHop returns where to send a command for the group: to this process if self is set, otherwise
// to the leader's address. If neither is set, no leader is known. A nil Status, of a group that
// this process does not have, knows none.
func (s *Status) NextHop() (self bool, address string) {
	switch {
	case s == nil:
		return false, ""
	case s.Leader:
		return true, ""
	}
	return false, s.LeaderAddress
}

// String formats the status for logs.
func (s *Status) String() string {
	return fmt.Sprintf("leader %v (%s) epoch %d commit %d applied %d members %v settled %v",
		s.Leader, s.LeaderID, s.Epoch, s.Commit, s.Applied, s.Membership, s.MembershipCommitted)
}

// Status returns this replica's view of a group; nil if the process does not have it. It is safe
// for concurrent use and does not block.
func (e *Engine) Status(name string) *Status {
	if status, ok := e.statuses.Load(name); ok {
		return status.Load()
	}
	return nil
}

// Groups returns the names of the groups of this process, unsorted. It is safe for concurrent use.
func (e *Engine) Groups() (names []string) {
	e.statuses.Range(func(name string, _ *atomic.Pointer[Status]) bool {
		names = append(names, name)
		return true
	})
	return names
}

// publishStatus publishes the current status of a group, and logs and reports changes.
func (e *Engine) publishStatus(g *group) {
	status := g.currentStatus()
	if !g.joined && status.hasContact() {
		g.joined = true
		metrics.RecordStartPhase("group " + g.name)
	}
	old := g.status.Swap(status)
	e.statuses.Store(g.name, g.status)
	leaderChanged := old != nil && (old.Leader != status.Leader || old.LeaderID != status.LeaderID)
	if leaderChanged {
		e.cfg.Log.Info("leader changed", "group", g.name, "epoch", status.Epoch, "leader", status.LeaderID, "self", status.Leader)
	}
	if e.cfg.Changed != nil && (old == nil || leaderChanged || old.Applied != status.Applied) {
		e.cfg.Changed(g.name)
	}
}

// currentStatus returns the status according to the core.
func (g *group) currentStatus() *Status {
	leaderID, leaderAddress := g.core.Leader()
	ready, quorumContactAt := g.core.Leadership()
	return &Status{
		Leader:              g.core.IsLeader(),
		Ready:               ready,
		QuorumContactAt:     quorumContactAt,
		LeaderID:            leaderID,
		LeaderAddress:       leaderAddress,
		Epoch:               g.core.Epoch(),
		Commit:              g.core.Commit(),
		Applied:             g.applied,
		LeaderContactAt:     g.core.LeaderContactAt(),
		CaughtUpAt:          g.core.CaughtUpAt(),
		LeaderSince:         g.core.LeaderSince(),
		Membership:          g.core.Membership(),
		MembershipCommitted: g.core.MembershipCommitted(),
		FullyReplicated:     g.core.FullyReplicated(),
	}
}

// hasContact reports whether the replica has taken part in its group: it leads with all committed
// entries, or has received all of them from a leader.
func (s *Status) hasContact() bool {
	return s.Ready || s.LeaderID != "" && !s.Leader && s.CaughtUpAt > 0
}
