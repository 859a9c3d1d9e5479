package batchjobs

import (
	"saffronquay/internal/scheduler/rpc"
	"strings"
)

// lease is an item that a gatherer works on.
type lease struct {
	number   uint64
	item     *itemState
	gatherer string
	at       int64
}

type gatherer struct {
	seenAt    int64
	numbers   map[uint64]bool
	cancelled []uint64
}

// grant leases an item to a gatherer.
func (s *Scheduler) grant(x *itemState, name string, number uint64, at int64) {
	l := &lease{number, x, name, at}
	x.stage = leased
	x.lease = l
	x.group.begun = true
	s.leases[number] = l
	s.gatherers[name].numbers[number] = true
}

// drop takes a lease back.
func (s *Scheduler) drop(l *lease) {
	if g := s.gatherers[l.gatherer]; g != nil {
		delete(g.numbers, l.number)
	}
	delete(s.leases, l.number)
	x := l.item
	x.lease = nil
	if x.stage == leased {
		x.stage = pending
	}
}

// cancel takes an item's lease back and has its gatherer told. It tells whether there was one to tell.
func (s *Scheduler) cancel(x *itemState) (told bool) {
	l := x.lease
	if l == nil {
		return false
	}
	if g := s.gatherers[l.gatherer]; g != nil {
		g.cancelled = append(g.cancelled, l.number)
		told = true
	}
	s.drop(l)
	return told
}

// LifeSeparator stands between the name of a gatherer's machine and what tells its process from earlier ones there.
const IncarnationSeparator = "/"

// Heard notes that a gatherer is alive. What an earlier process of its machine held is taken back.
func (s *Scheduler) Observe(now int64, name string) {
	machine, _, _ := strings.Cut(name, IncarnationSeparator)
	if old := s.lives[machine]; old != name {
		s.RemoveGatherer(old)
		s.lives[machine] = name
	}
	g := s.gatherers[name]
	if g == nil {
		g = &gatherer{numbers: map[uint64]bool{}}
		s.gatherers[name] = g
	}
	g.seenAt = now
}

// Adopt compares what a gatherer says it holds with what it has leases for. It may go on with what nobody else has, as after a change of
// the owner; the rest is to be cancelled. Leases that it doesn't list were lost on their way to it and are taken back; freed tells whether
// there were any.
func (s *Scheduler) Adopt(now int64, name string, held []*rpc.HeldLease) (freed bool) {
	g := s.gatherers[name]
	if g == nil {
		return false
	}
	listed := make(map[uint64]bool, len(held))
	for _, h := range held {
		listed[h.Number] = true
	}
	for number := range g.numbers {
		if l := s.leases[number]; l != nil && !listed[number] && now-l.at > lostGrantMS {
			s.drop(l)
			freed = true
		}
	}
	for _, h := range held {
		if g.numbers[h.Number] {
			continue
		}
		j := s.jobs[h.Job]
		var x *itemState
		if j != nil {
			x = j.items[h.Item]
		}
		if x == nil || x.stage != pending {
			g.cancelled = append(g.cancelled, h.Number)
			continue
		}
		s.grant(x, name, h.Number, g.seenAt)
	}
	return freed
}

// Leave takes back what a gatherer holds that goes or is lost.
func (s *Scheduler) RemoveGatherer(name string) {
	g := s.gatherers[name]
	if g == nil {
		return
	}
	for number := range g.numbers {
		if l := s.leases[number]; l != nil {
			s.drop(l)
		}
	}
	delete(s.gatherers, name)
}

// Cancelled returns the leases that a gatherer should give up, once.
func (s *Scheduler) TakeCancelled(name string) []uint64 {
	g := s.gatherers[name]
	if g == nil {
		return nil
	}
	list := g.cancelled
	g.cancelled = nil
	return list
}
