package swim

import (
	"container/heap"
	"saffronquay/internal/cluster/swim/wire"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// hear takes one record in as it was told. The same words say nothing the second time: most of what comes is known.
func (c *Core) hear(now int64, b []byte) {
	sum := xxhash.Sum64(b)
	if _, known := c.heard[sum]; known {
		return
	}
	m := &wire.Member{}
	if len(b) > mostRecord || proto.Unmarshal(b, m) != nil {
		c.counts.Dropped++
		return
	}
	if c.learn(now, m); m.Name == c.self.Name {
		return // what is said of this process itself is answered each time
	}
	if len(c.heard) >= mostHeard {
		clear(c.heard)
	}
	c.heard[sum] = struct{}{}
}

// learn takes one record in, and tells whether the view has changed by it.
func (c *Core) learn(now int64, x *wire.Member) bool {
	if m := c.members[x.Name]; m != nil && x.Start == m.Start && x.Incarnation <= m.Incarnation && m.State != Suspected && x.State <= uint32(m.State) {
		return false
	}
	r, err := read(x)
	if err != nil || !c.cfg.Allowed(r.Address.Addr()) {
		c.counts.Dropped++
		return false
	}
	return c.apply(now, r, int64(x.AgeMs)*1000)
}

// apply holds a record against the view. age is how long ago a death or a leave was.
func (c *Core) apply(now int64, r Record, age int64) bool {
	if r.Name == c.self.Name {
		c.ofSelf(now, r)
		return false
	}
	m := c.members[r.Name]
	switch {
	case m == nil:
		if r.State == Left || r.State == Dead && age >= c.cfg.CountDeadFor {
			return false
		}
		if len(c.members) >= c.cfg.MaxMembers && !c.evict() {
			c.counts.Dropped++
			return false
		}
		m = &member{at: -1, heap: -1, Record: Record{Name: r.Name}}
		c.members[r.Name] = m
		c.put(now, m, r, age)
		return true
	case m.dead != nil && !r.over(*m.dead):
		return false // it is looked into whether that is true
	case !r.over(m.Record) && !(m.State == Suspected && r.State == Suspected && r.Start == m.Start && r.Incarnation == m.Incarnation):
		return false
	case m.State == Suspected && r.present() == (r.State == Suspected) && r.State != Left && r.Start == m.Start && r.Incarnation == m.Incarnation:
		// A death that others tell of is as good as its accusers.
		return c.confirm(now, m, r.Accusers)
	case m.State == Alive && r.State == Dead && r.Start == m.Start:
		c.hearsay(now, m, r)
		return false
	}
	c.put(now, m, r, age)
	return true
}

// hearsay is a death told of a member that is alive here, as the other half of a fleet that was split tells of this one. It is not
// passed on: the member itself is told, and refutes. Should it not, it is believed in the end.
func (c *Core) hearsay(now int64, m *member, r Record) {
	if m.heap >= 0 {
		m.dead = &r // it prevails over what was told before
		return
	}
	m.dead, m.checks, m.due = &r, 0, now
	if c.challenges--; c.challenges < 0 { // not all at once
		m.due += c.rng.Int64N(5 * c.cfg.ProbePeriod)
	}
	heap.Push(&c.suspects, m)
}

// put has a record in force.
func (c *Core) put(now int64, m *member, r Record, age int64) {
	old := m.Record
	if old.present() {
		c.count(old)
	}
	m.Record = r
	if old.State != r.State || old.Start != r.Start {
		m.since = now
		if !r.present() {
			m.since = now - age
		}
	}
	if r.present() {
		c.count(r)
	}
	if old.present() != r.present() || old.Start != r.Start || old.Revision != r.Revision {
		c.changed = now
	}
	if old.present() != r.present() || m.at < 0 {
		c.move(m, old.present())
	}
	if r.State == Suspected {
		c.begin(now, m)
	} else {
		c.clear(m)
	}
	switch {
	case c.newcomer: // it is told what all others know
	case r.State == Suspected:
		c.news.add(now, m, c.limit()/2) // what clears it goes first, and further
	case r.State == Dead:
		c.news.add(now, m, c.limit()/3) // most conclude it by themselves
	default:
		c.news.add(now, m, 0)
	}
	c.tellOf(old, r)
}

// tellOf makes the event of a change.
func (c *Core) tellOf(old, r Record) {
	switch {
	case r.State == Dead && old.State != Dead:
		c.counts.Deaths++
		c.event(EventDead, r)
	case r.State == Left && old.State != Left:
		c.event(EventLeft, r)
	case r.present() && old.Start != 0 && r.Start != old.Start:
		c.event(EventRestarted, r)
	case r.present() && !old.present():
		c.event(EventJoined, r)
	case r.State == Suspected && old.State == Alive:
		c.counts.Suspicions++
		c.event(EventSuspected, r)
	case r.State == Alive && old.State == Suspected:
		c.event(EventCleared, r)
	case r.present() && r.Revision != old.Revision:
		c.event(EventUpdated, r)
	}
}

// move puts a member into the list where it belongs now, and into the round of probes at a place by chance.
func (c *Core) move(m *member, was bool) {
	if m.at >= 0 {
		list := &c.gone
		if was {
			list = &c.present
		}
		last := (*list)[len(*list)-1]
		(*list)[m.at], last.at = last, m.at
		*list = (*list)[:len(*list)-1]
	}
	if !m.present() {
		m.at = len(c.gone)
		c.gone = append(c.gone, m)
		return
	}
	m.at = len(c.present)
	c.present = append(c.present, m)
	c.round = slices.Insert(c.round, c.next+c.rng.IntN(len(c.round)-c.next+1), m)
	if !c.joined {
		c.joined = true
		if c.alone {
			c.event(EventConnected, m.Record)
		}
		c.alone = false
	}
}
