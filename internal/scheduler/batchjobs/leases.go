package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"strings"
)

// IncarnationSeparator separates, in the name of a gatherer, its machine from what distinguishes its process from earlier ones there.
const IncarnationSeparator = "/"

// lease is an item that a gatherer works on.
type lease struct {
	number    uint64
	item      *itemState
	gatherer  string
	grantedAt int64
}

// gatherer is a gatherer that sent a request lately.
type gatherer struct {
	lastSeenAt   int64
	leaseNumbers map[uint64]bool
	cancelled    []uint64 // leases whose cancellation was not sent yet
}

// recordLease notes that a gatherer works on an item. The gatherer must be known.
func (s *Scheduler) recordLease(state *itemState, gatherer string, number uint64, at int64) {
	l := &lease{number: number, item: state, gatherer: gatherer, grantedAt: at}
	state.stage = leased
	state.lease = l
	state.group.started = true
	s.leases[number] = l
	s.gatherers[gatherer].leaseNumbers[number] = true
}

// dropLease removes a lease. Its item is pending again unless it has a result.
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

// cancelLease removes an item's lease and queues the cancellation for its gatherer. It returns whether there was a gatherer to notify.
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

// Observe records that a gatherer is alive. Where another incarnation of it was seen on the same machine before, that one's leases are dropped.
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

// Adopt compares the complete list of leases that a gatherer reports with the leases recorded for it. A reported lease that is not recorded, as
// after a change of the owner, is recorded where its item is pending and cancelled otherwise. A recorded lease that is older than
// lostGrantTimeoutMS and not reported never reached the gatherer and is dropped; freed reports whether there was one.
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

// dropLostGrants drops the leases of a gatherer that it should have received and doesn't report.
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

// itemOf returns an item of an open job; nil where it is not known.
func (s *Scheduler) itemOf(jobID, itemID string) *itemState {
	j := s.jobs[jobID]
	if j == nil {
		return nil
	}
	return j.items[itemID]
}

// RemoveGatherer forgets a gatherer that leaves or is lost. Its leases are dropped, so its items may be granted again.
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

// TakeCancelled returns the numbers of the leases that a gatherer has to cancel, and clears the list. Where the answer is lost, the gatherer
// reports the leases again and Adopt queues them anew.
func (s *Scheduler) TakeCancelled(name string) []uint64 {
	g := s.gatherers[name]
	if g == nil {
		return nil
	}
	cancelled := g.cancelled
	g.cancelled = nil
	return cancelled
}

// Gatherers returns the number of gatherers that sent a request lately.
func (s *Scheduler) Gatherers() int { return len(s.gatherers) }
