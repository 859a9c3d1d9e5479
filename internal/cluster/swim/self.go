package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// mergeSelf merges a record about this process that another process sent. Accusations are refuted.
func (c *Core) mergeSelf(now int64, r Record) {
	s := c.self
	switch {
	case c.leavingSince != 0: // a successor with this name is not a conflict
	case r.Start < s.Start: // out of date: gossip the record of the present start
		if !s.queued && !c.superseded {
			c.broadcasts.add(now, s, 0)
		}
	case r.Start > s.Start && !r.present():
		// A process of this name with a later start has ended, or the clock was ahead then: this
		// process needs a still later start.
		c.takeNewStart(now, r.Start+1)
	case r.Start > s.Start:
		c.supersede(now, r)
	case c.superseded:
	case r.State == Left:
		c.takeNewStart(now, r.Start+1) // a member or an operator declared that it has left, but it is running
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

// supersede handles a live process of this name with a later start: that process is the member, and
// this one no longer is.
func (c *Core) supersede(now int64, r Record) {
	c.reportConflict(now, r)
	if m := c.members[r.Name]; m == nil || r.prevailsOver(m.Record) {
		if m == nil {
			m = &member{listIndex: -1, heapIndex: -1, Record: Record{Name: r.Name}}
			c.members[r.Name] = m
		}
		c.setRecord(now, m, r, 0)
	}
	if !c.superseded {
		c.superseded = true
		c.toggleDigest(c.self.Record)
		c.digestChangedAt = now
		c.broadcasts.drop(c.self)
	}
}

// takeNewStart gives this process a later start, because a record about its present start can no
// longer be refuted.
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

// handleNamesake handles a message whose sender has the name of this process.
func (c *Core) handleNamesake(now int64, start uint64, from netip.AddrPort) {
	if start == c.self.Start && from == c.self.Address {
		return // a message to itself: one of the join addresses is its own
	}
	if start > c.self.Start || c.leavingSince != 0 {
		return // the other process's record arrives by gossip
	}
	r := c.self.Record
	r.Start, r.Address = start, from
	c.reportConflict(now, r)
	c.send(now, from, &wire.Packet{Kind: packetGossip}, c.self)
}

// reportConflict records that another live process has this one's name. The event is repeated after
// ten exchange periods.
func (c *Core) reportConflict(now int64, r Record) {
	if c.conflictSeenAt = now; c.conflictReportedAt == 0 || now-c.conflictReportedAt >= 10*c.cfg.ExchangePeriod {
		c.conflictReportedAt = now
		c.emit(EventNameConflict, r)
	}
}

// SetMetadata changes the metadata of this process and announces it. It has no effect after Leave.
func (c *Core) SetMetadata(now int64, metadata Metadata) {
	s := c.self
	if s.Metadata == metadata || c.leavingSince != 0 {
		return
	}
	if !c.superseded {
		c.toggleDigest(s.Record)
	}
	s.Metadata = metadata
	s.Incarnation++
	s.Revision++
	if c.superseded {
		return
	}
	c.toggleDigest(s.Record)
	c.digestChangedAt = now
	c.broadcasts.add(now, s, 0)
}

// Leave starts to announce the departure of this process. HasLeft reports when the announcement is
// complete. It cannot be undone.
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

// HasLeft reports whether the announcement of Leave is complete, or there is no live member to
// announce it to.
func (c *Core) HasLeft(now int64) bool {
	return c.leavingSince != 0 && (len(c.present) == 0 || now-c.leavingSince >= leaveHalfPeriods*c.cfg.ProbePeriod/2)
}
