package swim

import (
	"container/heap"
	"saffronquay/internal/cluster/swim/wire"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// hear takes one record in as it was told. The same words say nothing the second time: most of what comes is known.
func (c *Core) mergeEncoded(now int64, b []byte) {
	sum := xxhash.Sum64(b)
	if _, known := c.seenRecords[sum]; known {
		return
	}
	m := &wire.Member{}
	if len(b) > maxRecordBytes || proto.Unmarshal(b, m) != nil {
		c.counts.Dropped++
		return
	}
	if c.mergeWire(now, m); m.Name == c.self.Name {
		return // what is said of this process itself is answered each time
	}
	if len(c.seenRecords) >= maxSeenRecords {
		clear(c.seenRecords)
	}
	c.seenRecords[sum] = struct{}{}
}

// learn takes one record in, and tells whether the view has changed by it.
func (c *Core) mergeWire(now int64, x *wire.Member) bool {
	if m := c.members[x.Name]; m != nil && x.Start == m.Start && x.Incarnation <= m.Incarnation && m.State != Suspected && x.State <= uint32(m.State) {
		return false
	}
	r, err := fromWire(x)
	if err != nil || !c.cfg.Allowed(r.Address.Addr()) {
		c.counts.Dropped++
		return false
	}
	return c.merge(now, r, int64(x.AgeMs)*1000)
}

// apply holds a record against the view. age is how long ago a death or a leave was.
func (c *Core) merge(now int64, r Record, age int64) bool {
	if r.Name == c.self.Name {
		c.mergeSelf(now, r)
		return false
	}
	m := c.members[r.Name]
	switch {
	case m == nil:
		if r.State == Left || r.State == Dead && age >= c.cfg.CountDeadFor {
			return false
		}
		if len(c.members) >= c.cfg.MaxMembers && !c.evictOldest() {
			c.counts.Dropped++
			return false
		}
		m = &member{listIndex: -1, heapIndex: -1, Record: Record{Name: r.Name}}
		c.members[r.Name] = m
		c.setRecord(now, m, r, age)
		return true
	case m.reportedDead != nil && !r.prevailsOver(*m.reportedDead):
		return false // it is looked into whether that is true
	case !r.prevailsOver(m.Record) && !(m.State == Suspected && r.State == Suspected && r.Start == m.Start && r.Incarnation == m.Incarnation):
		return false
	case m.State == Suspected && r.present() == (r.State == Suspected) && r.State != Left && r.Start == m.Start && r.Incarnation == m.Incarnation:
		// A death that others tell of is as good as its accusers.
		return c.addAccusers(now, m, r.Accusers)
	case m.State == Alive && r.State == Dead && r.Start == m.Start:
		c.challengeDeath(now, m, r)
		return false
	}
	c.setRecord(now, m, r, age)
	return true
}

// hearsay is a death told of a member that is alive here, as the other half of a fleet that was split tells of this one. It is not
// passed on: the member itself is told, and refutes. Should it not, it is believed in the end.
func (c *Core) challengeDeath(now int64, m *member, r Record) {
	if m.heapIndex >= 0 {
		m.reportedDead = &r // it prevails over what was told before
		return
	}
	m.reportedDead, m.checks, m.checkAt = &r, 0, now
	if c.challengesLeft--; c.challengesLeft < 0 { // not all at once
		m.checkAt += c.rng.Int64N(5 * c.cfg.ProbePeriod)
	}
	heap.Push(&c.suspicions, m)
}

// put has a record in force.
func (c *Core) setRecord(now int64, m *member, r Record, age int64) {
	old := m.Record
	if old.present() {
		c.toggleDigest(old)
	}
	m.Record = r
	if old.State != r.State || old.Start != r.Start {
		m.since = now
		if !r.present() {
			m.since = now - age
		}
	}
	if r.present() {
		c.toggleDigest(r)
	}
	if old.present() != r.present() || old.Start != r.Start || old.Revision != r.Revision {
		c.digestChangedAt = now
	}
	if old.present() != r.present() || m.listIndex < 0 {
		c.moveToList(m, old.present())
	}
	if r.State == Suspected {
		c.startSuspicion(now, m)
	} else {
		c.endSuspicion(m)
	}
	switch {
	case c.bootstrapping: // it is told what all others know
	case r.State == Suspected:
		c.broadcasts.add(now, m, c.transmitLimit()/2) // what clears it goes first, and further
	case r.State == Dead:
		c.broadcasts.add(now, m, c.transmitLimit()/3) // most conclude it by themselves
	default:
		c.broadcasts.add(now, m, 0)
	}
	c.emitTransition(old, r)
}

// tellOf makes the event of a change.
func (c *Core) emitTransition(old, r Record) {
	switch {
	case r.State == Dead && old.State != Dead:
		c.counts.Deaths++
		c.emit(EventDead, r)
	case r.State == Left && old.State != Left:
		c.emit(EventLeft, r)
	case r.present() && old.Start != 0 && r.Start != old.Start:
		c.emit(EventRestarted, r)
	case r.present() && !old.present():
		c.emit(EventJoined, r)
	case r.State == Suspected && old.State == Alive:
		c.counts.Suspicions++
		c.emit(EventSuspected, r)
	case r.State == Alive && old.State == Suspected:
		c.emit(EventCleared, r)
	case r.present() && r.Revision != old.Revision:
		c.emit(EventUpdated, r)
	}
}

// move puts a member into the list where it belongs now, and into the round of probes at a place by chance.
func (c *Core) moveToList(m *member, was bool) {
	if m.listIndex >= 0 {
		list := &c.gone
		if was {
			list = &c.present
		}
		last := (*list)[len(*list)-1]
		(*list)[m.listIndex], last.listIndex = last, m.listIndex
		*list = (*list)[:len(*list)-1]
	}
	if !m.present() {
		m.listIndex = len(c.gone)
		c.gone = append(c.gone, m)
		return
	}
	m.listIndex = len(c.present)
	c.present = append(c.present, m)
	c.probeOrder = slices.Insert(c.probeOrder, c.probeIndex+c.rng.IntN(len(c.probeOrder)-c.probeIndex+1), m)
	if !c.joined {
		c.joined = true
		if c.isolated {
			c.emit(EventConnected, m.Record)
		}
		c.isolated = false
	}
}
