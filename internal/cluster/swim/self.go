package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// ofSelf hears what others believe of this process.
func (c *Core) ofSelf(now int64, r Record) {
	s := c.self
	switch {
	case c.leaving != 0: // who comes after it is no twin
	case r.Start < s.Start: // old news: the answer is this start's record
		if !s.queued && !c.later {
			c.news.add(now, s, 0)
		}
	case r.Start > s.Start && !r.present():
		// A later start, by a clock that ran ahead or of a twin, is over: this process takes its place.
		c.rename(now, r.Start+1)
	case r.Start > s.Start:
		c.heardTwin(now, r)
		if m := c.members[r.Name]; m == nil || r.over(m.Record) {
			if m == nil {
				m = &member{at: -1, heap: -1, Record: Record{Name: r.Name}}
				c.members[r.Name] = m
			}
			c.put(now, m, r, 0)
		}
		if !c.later {
			c.later = true
			c.count(s.Record)
			c.changed = now
			c.news.drop(s)
		}
	case c.later:
	case r.State == Left:
		c.rename(now, r.Start+1) // somebody took it for gone: it is there
	case r.State != Alive && r.Incarnation >= s.Incarnation || r.Incarnation > s.Incarnation:
		if c.cfg.Disabled.Refutation {
			return
		}
		s.Incarnation = r.Incarnation + 1
		c.worse(1)
		c.counts.Refutations++
		c.event(EventRefuted, r)
		c.news.add(now, s, 0)
	default:
		c.stale = r.State != Alive
	}
}

// rename takes a new identity.
func (c *Core) rename(now int64, start uint64) {
	s := c.self
	if !c.later {
		c.count(s.Record)
	}
	if m := c.members[s.Name]; m != nil {
		c.forgetMember(m)
	}
	c.later = false
	s.Start, s.Incarnation = max(start, uint64(max(now, 1))), 0
	c.count(s.Record)
	c.changed = now
	c.news.add(now, s, 0)
	c.event(EventRejoined, s.Record)
}

// namesake hears from a process of this one's name.
func (c *Core) namesake(now int64, start uint64, from netip.AddrPort) {
	if start == c.self.Start && from == c.self.Address {
		return // its own words: an address of Join is its own
	}
	if start > c.self.Start || c.leaving != 0 {
		return // its record comes with others' news
	}
	r := c.self.Record
	r.Start, r.Address = start, from
	c.heardTwin(now, r)
	c.packet(now, from, &wire.Packet{Kind: tell}, c.self)
}

// heardTwin notes that another live process bears this one's name; it is told of again after a while.
func (c *Core) heardTwin(now int64, r Record) {
	if c.twin = now; c.twinSeen == 0 || now-c.twinSeen >= 10*c.cfg.ExchangePeriod {
		c.twinSeen = now
		c.event(EventNameConflict, r)
	}
}

// SetFacts changes what this process tells of itself.
func (c *Core) SetMetadata(now int64, f Metadata) {
	s := c.self
	if s.Metadata == f || c.leaving != 0 {
		return
	}
	if !c.later {
		c.count(s.Record)
	}
	s.Metadata = f
	s.Incarnation++
	s.Revision++
	if c.later {
		return
	}
	c.count(s.Record)
	c.changed = now
	c.news.add(now, s, 0)
}

// Leave begins to tell that this process goes; Left says when that has been told often enough. It can't be taken back.
func (c *Core) Leave(now int64) {
	if c.leaving != 0 {
		return
	}
	c.leaving = now
	if c.later {
		return
	}
	c.count(c.self.Record)
	c.changed = now
	c.self.State, c.self.since = Left, now
	c.news.add(now, c.self, 0)
	c.newsAt = now
}

// Left tells whether a leave has been told, or nobody is there to be told.
func (c *Core) HasLeft(now int64) bool {
	return c.leaving != 0 && (len(c.present) == 0 || now-c.leaving >= leaveIn*c.cfg.ProbePeriod/2)
}
