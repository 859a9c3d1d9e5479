package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"strings"
)

// IncarnationSeparator separates the machine in a gatherer's name from the part that identifies the
// process on that machine.
const IncarnationSeparator = "/"

// lease is the assignment of an item to a gatherer.
type lease struct {
	number    uint64
	item      *itemState
	gatherer  string
	grantedAt int64
}

// gatherer is a gatherer that has not timed out.
type gatherer struct {
	lastSeenAt    int64
	configuration uint64 // version that it reported last
	leaseNumbers  map[uint64]bool
	cancelled     []uint64 // numbers of leases whose cancellation was not sent yet
}

// recordLease records a lease of an item to a gatherer, which must be known.
func (s *Scheduler) recordLease(state *itemState, gatherer string, number uint64, at int64) {
	l := &lease{number: number, item: state, gatherer: gatherer, grantedAt: at}
	state.stage = leased
	state.lease = l
	state.group.started = true
	s.leases[number] = l
	s.gatherers[gatherer].leaseNumbers[number] = true
}

// dropLease removes a lease. Its item becomes pending again unless it has a result.
func (s *Scheduler) dropLease(l *lease) {
	if g := s.gatherers[l.gatherer]; g != nil {
		delete(g.leaseNumbers, l.number)
	}
	delete(s.leases, l.number)
	state := l.item
	state.lease = nil
	if state.stage == leased {
		state.stage = pending
	}
}

// cancelLease removes an item's lease and queues the cancellation for its gatherer. It reports whether
// a cancellation was queued.
func (s *Scheduler) cancelLease(state *itemState) (queued bool) {
	l := state.lease
	if l == nil {
		return false
	}
	if g := s.gatherers[l.gatherer]; g != nil {
		g.cancelled = append(g.cancelled, l.number)
		queued = true
	}
	s.dropLease(l)
	return queued
}

// Observe records that a gatherer is alive. If another incarnation was seen on the same machine
// before, Observe removes that one and drops its leases.
func (s *Scheduler) Observe(now int64, name string) {
	machine, _, _ := strings.Cut(name, IncarnationSeparator)
	if previous := s.incarnations[machine]; previous != name {
		s.RemoveGatherer(previous)
		s.incarnations[machine] = name
	}
	g := s.gatherers[name]
	if g == nil {
		g = &gatherer{leaseNumbers: map[uint64]bool{}}
		s.gatherers[name] = g
	}
	g.lastSeenAt = now
}

// ObserveConfiguration records the version of the configuration that is in force at a gatherer. It does
// nothing if Observe has not recorded the gatherer.
func (s *Scheduler) ObserveConfiguration(name string, version uint64) {
	g := s.gatherers[name]
	if g == nil {
		return
	}
	g.configuration = max(g.configuration, version)
	s.newestConfiguration = max(s.newestConfiguration, version)
}

// Adopt reconciles the leases recorded for a gatherer with the complete list that the gatherer
// reports. A reported lease that is not recorded, as after a change of the owner, is recorded if its
// item is pending and cancelled otherwise. A recorded lease that is not reported and older than
// lostGrantTimeoutMS never reached the gatherer and is dropped; freed reports whether there was one.
func (s *Scheduler) Adopt(now int64, name string, reported []*rpc.HeldLease) (freed bool) {
	g := s.gatherers[name]
	if g == nil {
		return false
	}
	freed = s.dropLostGrants(now, g, reported)
	for _, r := range reported {
		if g.leaseNumbers[r.Number] {
			continue
		}
		state := s.itemOf(r.Job, r.Item)
		if state == nil || state.stage != pending {
			g.cancelled = append(g.cancelled, r.Number)
			continue
		}
		s.recordLease(state, name, r.Number, g.lastSeenAt)
	}
	return freed
}

// dropLostGrants drops the leases older than lostGrantTimeoutMS that their gatherer does not report.
func (s *Scheduler) dropLostGrants(now int64, g *gatherer, reported []*rpc.HeldLease) (freed bool) {
	isReported := make(map[uint64]bool, len(reported))
	for _, r := range reported {
		isReported[r.Number] = true
	}
	for number := range g.leaseNumbers {
		if l := s.leases[number]; l != nil && !isReported[number] && now-l.grantedAt > lostGrantTimeoutMS {
			s.dropLease(l)
			freed = true
		}
	}
	return freed
}

// itemOf returns an item of an open job, or nil if it is not known.
func (s *Scheduler) itemOf(jobID, itemID string) *itemState {
	j := s.jobs[jobID]
	if j == nil {
		return nil
	}
	return j.items[itemID]
}

// RemoveGatherer removes a gatherer that leaves or has timed out. Its leases are dropped, so that its
// items can be granted again.
func (s *Scheduler) RemoveGatherer(name string) {
	g := s.gatherers[name]
	if g == nil {
		return
	}
	for number := range g.leaseNumbers {
		if l := s.leases[number]; l != nil {
			s.dropLease(l)
		}
	}
	delete(s.gatherers, name)
}

// TakeCancelled returns the numbers of the leases that a gatherer must cancel, and clears the list. If
// the response is lost, the gatherer reports the leases again and Adopt queues their cancellation
// again.
func (s *Scheduler) TakeCancelled(name string) []uint64 {
	g := s.gatherers[name]
	if g == nil {
		return nil
	}
	cancelled := g.cancelled
	g.cancelled = nil
	return cancelled
}

// GathererCount returns the number of gatherers that have not timed out.
func (s *Scheduler) GathererCount() int { return len(s.gatherers) }
