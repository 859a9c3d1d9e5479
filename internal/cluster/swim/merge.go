package swim

import (
	"container/heap"
	"saffronquay/internal/cluster/swim/wire"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// mergeEncoded merges one gossiped record. Encoded records that were merged before are skipped,
// since most records arrive many times.
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
		return // a record about this process is handled each time it arrives
	}
	if len(c.seenRecords) >= maxSeenRecords {
		clear(c.seenRecords)
	}
	c.seenRecords[sum] = struct{}{}
}

// mergeWire validates and merges one decoded record. A record that cannot prevail is skipped before
// it is validated.
func (c *Core) mergeWire(now int64, x *wire.Member) {
	if m := c.members[x.Name]; m != nil && x.Start == m.Start && x.Incarnation <= m.Incarnation && m.State != Suspected && x.State <= uint32(m.State) {
		return
	}
	r, err := fromWire(x)
	if err != nil || !c.cfg.Allowed(r.Address.Addr()) {
		c.counts.Dropped++
		return
	}
	c.merge(now, r, int64(x.AgeMs)*1000)
}

// merge compares a record with the view and applies it if it prevails. age is the time since a
// death or a departure, in microseconds.
func (c *Core) merge(now int64, r Record, age int64) {
	if r.Name == c.self.Name {
		c.mergeSelf(now, r)
		return
	}
	m := c.members[r.Name]
	switch {
	case m == nil:
		if r.State == Left || r.State == Dead && age >= c.cfg.CountDeadFor {
			return
		}
		if len(c.members) >= c.cfg.MaxMembers && !c.evictOldest() {
			c.counts.Dropped++
			return
		}
		m = &member{listIndex: -1, heapIndex: -1, Record: Record{Name: r.Name}}
		c.members[r.Name] = m
		c.setRecord(now, m, r, age)
		return
	case m.reportedDead != nil && !r.prevailsOver(*m.reportedDead):
		return // the reported death is still being verified
	case !r.prevailsOver(m.Record) && !(m.State == Suspected && r.State == Suspected && r.Start == m.Start && r.Incarnation == m.Incarnation):
		return
	case m.State == Suspected && r.present() == (r.State == Suspected) && r.State != Left && r.Start == m.Start && r.Incarnation == m.Incarnation:
		// A reported death adds its accusers to the suspicion.
		c.addAccusers(now, m, r.Accusers)
		return
	case m.State == Alive && r.State == Dead && r.Start == m.Start:
		c.challengeDeath(now, m, r)
		return
	}
	c.setRecord(now, m, r, age)
}

// challengeDeath handles a reported death of a member that is alive in this view, for example a
// report from the other side of a network partition. The report is not gossiped: it is sent to
// the member, which can refute it. Without a refutation the death is accepted.
func (c *Core) challengeDeath(now int64, m *member, r Record) {
	if m.heapIndex >= 0 {
		m.reportedDead = &r // it prevails over the death reported earlier
		return
	}
	m.reportedDead, m.checks, m.checkAt = &r, 0, now
	if c.challengesLeft--; c.challengesLeft < 0 { // spread the pings out
		m.checkAt += c.rng.Int64N(5 * c.cfg.ProbePeriod)
	}
	heap.Push(&c.suspicions, m)
}

// setRecord replaces a member's record, and updates digest, lists, suspicion and gossip.
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
	case c.bootstrapping: // the other members have these records already
	case r.State == Suspected:
		c.broadcasts.add(now, m, c.transmitLimit()/2) // a refutation is sent first, and more often
	case r.State == Dead:
		c.broadcasts.add(now, m, c.transmitLimit()/3) // most members detect the death themselves
	default:
		c.broadcasts.add(now, m, 0)
	}
	c.emitTransition(old, r)
}

// emitTransition emits the event of a change from one record to another.
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

// moveToList moves a member into the list of its present state. A live or suspected member is also
// inserted into probeOrder at a random position.
func (c *Core) moveToList(m *member, wasPresent bool) {
	if m.listIndex >= 0 {
		c.unlist(m, wasPresent)
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

// unlist removes a member from the list that it is in: from present if wasPresent is set, otherwise
// from gone.
func (c *Core) unlist(m *member, wasPresent bool) {
	list := &c.gone
	if wasPresent {
		list = &c.present
	}
	last := (*list)[len(*list)-1]
	(*list)[m.listIndex], last.listIndex = last, m.listIndex
	*list = (*list)[:len(*list)-1]
}
