package swim

import (
	"cmp"
	"slices"
)

// Member is one member in a view.
type Member struct {
	Record
	Since int64 // time of the last change of state, in microseconds
	Self  bool
}

// View is a copy of a core's state. It shares no mutable memory with the core.
type View struct {
	Members                   []Member // sorted by name
	Digest                    uint64
	DigestChanged             int64 // time of the last change of the digest
	AliveCount, EffectiveSize int
	HealthScore               int  // of this process: 0 healthy, 8 at worst
	NameConflict              bool // another live process of its name was detected within the last three exchange periods
	Superseded                bool // another process of its name has a later start, so this process is not a member
	Isolated                  bool // no address of Config.Join has answered
}

// View returns a copy of the core's state, with the members sorted by name. It costs O(members log
// members).
func (c *Core) View(now int64) View {
	v := View{
		Digest: c.digest, DigestChanged: c.digestChangedAt, AliveCount: c.AliveCount(), EffectiveSize: c.EffectiveSize(now),
		HealthScore: c.healthScore, Superseded: c.superseded, Isolated: c.isolated,
		NameConflict: c.conflictSeenAt != 0 && now-c.conflictSeenAt < 3*c.cfg.ExchangePeriod,
	}
	if !c.superseded {
		v.Members = append(v.Members, Member{c.self.Record, c.self.since, true})
	}
	for _, m := range c.members {
		v.Members = append(v.Members, Member{m.Record, m.since, false})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Digest returns the digest of the members that are alive or suspected, and the time of its last
// change.
func (c *Core) Digest() (digest uint64, changed int64) { return c.digest, c.digestChangedAt }

// DigestOf returns the digest of a view of exactly these records, all alive.
func DigestOf(records ...Record) (digest uint64) {
	for _, r := range records {
		digest ^= r.hash()
	}
	return digest
}

// AliveCount returns the number of members that are alive or suspected, this process included
// unless it is leaving or superseded.
func (c *Core) AliveCount() int {
	if c.superseded || c.leavingSince != 0 {
		return len(c.present)
	}
	return len(c.present) + 1
}

// EffectiveSize returns the number by which shared budgets are divided: AliveCount plus the members
// that have been dead for less than Config.CountDeadFor. It costs O(dead and left members).
func (c *Core) EffectiveSize(now int64) int {
	n := c.AliveCount()
	for _, m := range c.gone {
		if c.countsWhileDead(now, m) {
			n++
		}
	}
	return n
}

// countsWhileDead reports whether a dead or left member still counts in the effective size.
func (c *Core) countsWhileDead(now int64, m *member) bool {
	return m.State == Dead && now-m.since < c.cfg.CountDeadFor
}

// Lookup returns a member's record and the time of its last change of state. ok is false if the
// name is unknown.
func (c *Core) Lookup(name string) (r Record, since int64, ok bool) {
	if name == c.self.Name && !c.superseded {
		return c.self.Record, c.self.since, true
	}
	m := c.members[name]
	if m == nil {
		return Record{}, 0, false
	}
	return m.Record, m.since, true
}

// Self returns the record of this process.
func (c *Core) Self() Record { return c.self.Record }
