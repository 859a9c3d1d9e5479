package swim

import (
	"cmp"
	"slices"
)

// Member is one as a view shows it.
type Member struct {
	Record
	Since int64 // of its state
	Self  bool
}

// View is a copy of what a core holds.
type View struct {
	Members                   []Member // by name
	Digest                    uint64
	DigestChanged             int64 // when the digest changed last
	AliveCount, EffectiveSize int
	HealthScore               int  // this process's doubt of itself, 0 to 8
	NameConflict              bool // another live process bears its name: it was heard of lately
	Superseded                bool // and that one's start is later, so that this one is no member
	Isolated                  bool // nobody of Config.Join has answered
}

// String is the kind as logs name it.
func (k EventKind) String() string {
	return [...]string{"joined", "suspected", "cleared", "dead", "left", "restarted", "changed", "refuted", "twin", "rejoined", "napped", "alone", "found"}[k]
}

// Digest is of the members that are alive or suspected; Changed is when it changed last.
func (c *Core) Digest() (digest uint64, changed int64) { return c.digest, c.changed }

// Alive is how many members are alive or suspected, this one with them.
func (c *Core) AliveCount() int {
	if c.later || c.leaving != 0 {
		return len(c.present)
	}
	return len(c.present) + 1
}

// Reckon is how many members have to be reckoned with: those alive or suspected, and those dead for less than Config.Reckon. It costs
// O(dead).
func (c *Core) EffectiveSize(now int64) int {
	n := c.AliveCount()
	for _, m := range c.gone {
		if c.reckoned(now, m) {
			n++
		}
	}
	return n
}

// reckoned tells whether a member that is gone has to be reckoned with.
func (c *Core) reckoned(now int64, m *member) bool {
	return m.State == Dead && now-m.since < c.cfg.CountDeadFor
}

// State is how a member stands in this view; ok is false of one that is unknown. since is the time of its last change of state.
func (c *Core) Lookup(name string) (r Record, since int64, ok bool) {
	if name == c.self.Name && !c.later {
		return c.self.Record, c.self.since, true
	}
	m := c.members[name]
	if m == nil {
		return Record{}, 0, false
	}
	return m.Record, m.since, true
}

// Self is what this process tells of itself.
func (c *Core) Self() Record { return c.self.Record }

// View copies all: O(members log members).
func (c *Core) View(now int64) View {
	v := View{
		Digest: c.digest, DigestChanged: c.changed, AliveCount: c.AliveCount(), EffectiveSize: c.EffectiveSize(now), HealthScore: c.ill, Superseded: c.later, Isolated: c.alone,
		NameConflict: c.twin != 0 && now-c.twin < 3*c.cfg.ExchangePeriod,
	}
	if !c.later {
		v.Members = append(v.Members, Member{c.self.Record, c.self.since, true})
	}
	for _, m := range c.members {
		v.Members = append(v.Members, Member{m.Record, m.since, false})
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// DigestOf is the digest of a view that holds exactly these records, all alive.
func DigestOf(records ...Record) (digest uint64) {
	for _, r := range records {
		digest ^= r.hash()
	}
	return digest
}

// Plus adds two processes' counts.
func (c Counts) Plus(o Counts) Counts {
	c.Sent += o.Sent
	c.SentBytes += o.SentBytes
	c.Received += o.Received
	c.Dropped += o.Dropped
	c.Probes += o.Probes
	c.FailedProbes += o.FailedProbes
	c.Suspicions += o.Suspicions
	c.Refutations += o.Refutations
	c.Deaths += o.Deaths
	c.Exchanges += o.Exchanges
	c.DigestMismatches += o.DigestMismatches
	c.Stalls += o.Stalls
	c.FrameBytes += o.FrameBytes
	c.Forgotten += o.Forgotten
	return c
}
