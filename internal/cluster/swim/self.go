package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// ofSelf hears what others believe of this process.
func (c *Core) mergeSelf(now int64, r Record) {
	s := c.self
	switch {
	case c.leavingSince != 0: // who comes after it is no twin
	case r.Start < s.Start: // old news: the answer is this start's record
		if !s.queued && !c.superseded {
			c.broadcasts.add(now, s, 0)
		}
	case r.Start > s.Start && !r.present():
		// A later start, by a clock that ran ahead or of a twin, is over: this process takes its place.
		c.takeNewStart(now, r.Start+1)
	case r.Start > s.Start:
		c.noteConflict(now, r)
		if m := c.members[r.Name]; m == nil || r.prevailsOver(m.Record) {
			if m == nil {
				m = &member{listIndex: -1, heapIndex: -1, Record: Record{Name: r.Name}}
				c.members[r.Name] = m
			}
			c.setRecord(now, m, r, 0)
		}
		if !c.superseded {
			c.superseded = true
			c.toggleDigest(s.Record)
			c.digestChangedAt = now
			c.broadcasts.drop(s)
		}
	case c.superseded:
	case r.State == Left:
		c.takeNewStart(now, r.Start+1) // somebody took it for gone: it is there
	case r.State != Alive && r.Incarnation >= s.Incarnation || r.Incarnation > s.Incarnation:
		if c.cfg.Disabled.Refutation {
			return
		}
		s.Incarnation = r.Incarnation + 1
		c.adjustHealth(1)
		c.counts.Refutations++
		c.emit(EventRefuted, r)
		c.broadcasts.add(now, s, 0)
	default:
		c.accusedAgain = r.State != Alive
	}
}

// rename takes a new identity.
func (c *Core) takeNewStart(now int64, start uint64) {
	s := c.self
	if !c.superseded {
		c.toggleDigest(s.Record)
	}
	if m := c.members[s.Name]; m != nil {
		c.removeMember(m)
	}
	c.superseded = false
	s.Start, s.Incarnation = max(start, uint64(max(now, 1))), 0
	c.toggleDigest(s.Record)
	c.digestChangedAt = now
	c.broadcasts.add(now, s, 0)
	c.emit(EventRejoined, s.Record)
}

// namesake hears from a process of this one's name.
func (c *Core) handleNamesake(now int64, start uint64, from netip.AddrPort) {
	if start == c.self.Start && from == c.self.Address {
		return // its own words: an address of Join is its own
	}
	if start > c.self.Start || c.leavingSince != 0 {
		return // its record comes with others' news
	}
	r := c.self.Record
	r.Start, r.Address = start, from
	c.noteConflict(now, r)
	c.send(now, from, &wire.Packet{Kind: packetGossip}, c.self)
}

// heardTwin notes that another live process bears this one's name; it is told of again after a while.
func (c *Core) noteConflict(now int64, r Record) {
	if c.conflictSeenAt = now; c.conflictReportedAt == 0 || now-c.conflictReportedAt >= 10*c.cfg.ExchangePeriod {
		c.conflictReportedAt = now
		c.emit(EventNameConflict, r)
	}
}

// SetFacts changes what this process tells of itself.
func (c *Core) SetMetadata(now int64, f Metadata) {
	s := c.self
	if s.Metadata == f || c.leavingSince != 0 {
		return
	}
	if !c.superseded {
		c.toggleDigest(s.Record)
	}
	s.Metadata = f
	s.Incarnation++
	s.Revision++
	if c.superseded {
		return
	}
	c.toggleDigest(s.Record)
	c.digestChangedAt = now
	c.broadcasts.add(now, s, 0)
}

// Leave begins to tell that this process goes; Left says when that has been told often enough. It can't be taken back.
func (c *Core) Leave(now int64) {
	if c.leavingSince != 0 {
		return
	}
	c.leavingSince = now
	if c.superseded {
		return
	}
	c.toggleDigest(c.self.Record)
	c.digestChangedAt = now
	c.self.State, c.self.since = Left, now
	c.broadcasts.add(now, c.self, 0)
	c.nextGossipAt = now
}

// Left tells whether a leave has been told, or nobody is there to be told.
func (c *Core) HasLeft(now int64) bool {
	return c.leavingSince != 0 && (len(c.present) == 0 || now-c.leavingSince >= leaveHalfPeriods*c.cfg.ProbePeriod/2)
}
