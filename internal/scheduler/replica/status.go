package replica

import (
	"fmt"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
)

// Status is how a replica saw its group when something last changed.
type Status struct {
	Leader              bool
	Ready               bool  // it leads, and knows everything that earlier leaders acknowledged
	QuorumContactAt     int64 // when a majority was last known to follow this leader, as Host.Now
	LeaderID            string
	LeaderAddress       string
	Epoch               uint64
	Commit              uint64
	Applied             uint64
	LeaderContactAt     int64 // when the leader was last heard
	CurrentAt           int64 // when the leader was last heard while this replica had all that was agreed on
	LeaderSince         int64
	Membership          *rpc.Membership
	MembershipCommitted bool // the membership is agreed on
	FullyReplicated     bool // each voter holds on its disk what was there when the membership last changed
}

// Lease tells whether this replica is the leader and no other can have been elected yet, so that what it has applied is up to date.
func (s *Status) HasLease(now int64) bool {
	return s.Leader && s.Ready && now-s.QuorumContactAt < leaseMS
}

var leaseMS = consensus.LeaseMS(electionTimeoutMS)

// InTouch tells whether this replica lately had all that was agreed on, as its leader said, or leads itself and holds its lease.
func (s *Status) InTouch(now, within int64) bool {
	return s.HasLease(now) || !s.Leader && s.LeaderID != "" && now-s.CurrentAt < within
}

// String tells how a group stands, for logs.
func (s *Status) String() string {
	return fmt.Sprintf("leader %v (%s) epoch %d commit %d applied %d members %v settled %v", s.Leader, s.LeaderID, s.Epoch, s.Commit, s.Applied, s.Membership, s.MembershipCommitted)
}

// Status is how this replica sees a group; nil where it holds none. It doesn't wait for anything.
func (e *Engine) Status(name string) *Status {
	if status, ok := e.statuses.Load(name); ok {
		return status.Load()
	}
	return nil
}

// Groups names the groups of this process.
func (e *Engine) Groups() (names []string) {
	e.statuses.Range(func(name string, _ *atomic.Pointer[Status]) bool {
		names = append(names, name)
		return true
	})
	return names
}

// publish tells readers how the group stands.
func (e *Engine) publish(g *group) {
	leaderID, leaderAddress := g.core.Leader()
	ready, contact := g.core.Leadership()
	status := &Status{
		Leader: g.core.IsLeader(), Ready: ready, QuorumContactAt: contact, LeaderID: leaderID, LeaderAddress: leaderAddress, Epoch: g.core.Epoch(),
		Commit: g.core.Commit(), Applied: g.applied, LeaderContactAt: g.core.LeaderContactAt(), CurrentAt: g.core.CurrentAt(), LeaderSince: g.core.LeaderSince(), Membership: g.core.Membership(), MembershipCommitted: g.core.MembershipCommitted(),
		FullyReplicated: g.core.FullyReplicated(),
	}
	if !g.joined && (status.Ready || status.LeaderID != "" && !status.Leader && status.CurrentAt > 0) {
		g.joined = true
		metrics.RecordStartPhase("group " + g.name)
	}
	old := g.status.Swap(status)
	e.statuses.Store(g.name, g.status)
	if old != nil && (old.Leader != status.Leader || old.LeaderID != status.LeaderID) {
		e.cfg.Log.Info("leader", "group", g.name, "epoch", status.Epoch, "leader", status.LeaderID, "self", status.Leader)
	}
	if e.cfg.Changed != nil && (old == nil || old.Applied != status.Applied || old.Leader != status.Leader || old.LeaderID != status.LeaderID) {
		e.cfg.Changed(g.name)
	}
}
