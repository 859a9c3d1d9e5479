package server

import (
	"maps"
	"math"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/cluster/quota"
	"time"
)

// parts is what this gatherer may use of each team's budget, where budgets are divided by leases on parts. The gatherer's goroutine owns it.
type parts struct {
	tick     *time.Ticker
	slots    uint64
	ppm      uint32 // what this gatherer's region has of everything; share.PPM where there are no regions
	named    map[string]uint32
	others   uint32
	lows     map[string]low
	free     map[string]core.Budget // in force
	inForce  int                    // among how many the bound on cold servers is divided
	refused  map[string]int64       // by team, as counted at the last look
	shares   map[string]float64     // of all, by team, of these contracts:
	sharesOf *admission.Config
	asks     bool          // a look is under way
	told     chan division // what came of it
}

// division is what this gatherer may use, as it was told.
type division struct {
	slots  uint64
	ppm    uint32
	named  map[string]uint32
	others uint32
	ok     bool
}

func newParts(slots uint64, ppm uint32) *parts {
	p := &parts{tick: time.NewTicker(partsEvery), slots: slots, ppm: ppm, told: make(chan division, 1)}
	p.others = p.floor(slots)
	return p
}

// floor is the part without a lease, among so many: the one that the keeper of the books in this gatherer's region reckons with.
func (p *parts) floor(slots uint64) uint32 {
	h := quota.NewHolder(slots, quota.Bugs{})
	h.SetRegion(p.ppm)
	_, floor, _ := h.Quotas(0)
	return floor
}

// region says what this gatherer's region has of everything from now on. What was given for another part of it is void: the region's keeper
// may give it to others at once, and the other regions get theirs when this one has a version by which it has less.
func (p *parts) region(ppm uint32) (changed bool) {
	if p == nil || ppm == p.ppm {
		return false
	}
	p.ppm, p.named = ppm, nil
	p.others = p.floor(p.slots)
	return true
}

// answers is where what came of a look is told; nil where budgets are not divided.
func (p *parts) answers() <-chan division {
	if p == nil {
		return nil
	}
	return p.told
}

const (
	partsEvery = 250 * time.Millisecond
	partsEarly = 300_000 // microseconds by which a lease is taken to end earlier: between two looks nobody looks
	hungry     = 2       // who waits or is refused wants so many times what it has
)

// divides is when to look at the parts; nil where they are not divided.
func (p *parts) divides() <-chan time.Time {
	if p == nil {
		return nil
	}
	return p.tick.C
}

// of is the part of one team, for contracts that are divided among so many. What was given for another number is void.
func (p *parts) of(slots uint64) func(team string) float64 {
	named, others := p.named, p.others
	if slots != p.slots {
		named, others = nil, p.floor(slots)
	}
	return func(team string) float64 {
		if part, ok := named[team]; ok {
			return float64(part) / quota.PPM
		}
		return float64(others) / quota.PPM
	}
}

// divided is the contracts with this gatherer's parts, where they are divided.
func (p *parts) divided(c *admission.Config) *admission.Config {
	if p == nil || c == nil {
		return c
	}
	d := *c
	d.Quota = p.of(uint64(c.Gatherers))
	return &d
}

// ofAll is this gatherer's part of everything: what its teams' parts come to together. O(named teams), but for new contracts.
func (p *parts) ofAll(c *admission.Config) float64 {
	if p.sharesOf != c {
		p.shares, p.sharesOf = c.TeamFractions(), c
	}
	named, others := p.named, float64(p.others)/quota.PPM
	if uint64(c.Gatherers) != p.slots {
		named, others = nil, float64(p.floor(uint64(c.Gatherers)))/quota.PPM
	}
	all := others
	for team, part := range named {
		all += p.shares[team] * (float64(part)/quota.PPM - others)
	}
	return max(all, 1e-6)
}

// aggregators is among how many the bound on cold servers is divided here: rounded up, so that all together stay within it. Parts are of the
// whole also where there are regions, so the bound is the whole fleet's, and not a region's.
func (p *parts) aggregators(c *admission.Config) int { return int(math.Ceil(1/p.ofAll(c) - 1e-9)) }

// low is the least part that this gatherer had of a team's budget for a window at least, and two at most.
type low struct {
	before, now float64
	since       int64 // of now
}

// budgets are the free further attempts of each team, by the least part of its contract that this gatherer had for a window: whoever had it
// before may have spent it, and what was spent counts for so long. What comes with its parts comes where they go.
func (p *parts) budgets(now int64, all map[string]core.Budget, c *admission.Config) map[string]core.Budget {
	of := p.of(uint64(c.Gatherers))
	out := make(map[string]core.Budget, len(all))
	lows := make(map[string]low, len(all))
	for team, b := range all {
		part := of(team)
		l, known := p.lows[team]
		switch {
		case !known: // a process that has just begun: others may have it
			l = low{0, part, now}
		case now-l.since >= b.Window:
			l = low{l.now, part, now}
		}
		l.now = min(l.now, part)
		b.Free *= min(l.before, l.now)
		lows[team], out[team] = l, b
	}
	p.lows = lows
	return out
}

// demands is what this gatherer could use of each team's budget: what it has out, and more where somebody waits or was turned away. It
// costs O(teams that have asked).
func (p *parts) demands(all []admission.TeamStatus, slots uint64) []quota.Demand {
	var out []quota.Demand
	part := p.of(slots)
	refused := map[string]int64{}
	for _, a := range all {
		turned := a.RejectedBacklog + a.RejectedQueueFull + a.Expired
		refused[a.Team] = turned
		if a.Budget <= 0 || a.Queued == 0 && a.Out == 0 && turned == p.refused[a.Team] {
			continue
		}
		used := float64(a.Out) / a.Budget
		want := used
		if a.Queued > 0 || turned > p.refused[a.Team] {
			want = hungry * max(used, part(a.Team))
		}
		out = append(out, quota.Demand{Team: a.Team, Want: ppm(want), Used: ppm(used)})
	}
	p.refused = refused
	return out
}

func ppm(x float64) uint32 { return uint32(min(max(x, 0), 1) * quota.PPM) }

// lookAtParts tells what this gatherer could use, and asks what it may. It waits for nobody: whoever puts a policy in force may be waiting
// for this goroutine.
func (g *Gatherer) lookAtParts() {
	policy, op, p := g.policy.Load(), g.inForce.Load(), g.parts
	if policy == nil || g.contracts == nil || p.asks {
		return
	}
	p.asks = true
	slots, ppm := uint64(op.Contracts.Gatherers), p.ppm
	go func() {
		d := division{slots: slots, ppm: ppm}
		d.named, d.others, d.ok = policy.UpdateDemand(p.demands(g.engine.Accounts(1<<20), slots), partsEarly)
		p.told <- d
	}()
}

// redivideParts puts in force what this gatherer may use. No query waits for it.
func (g *Gatherer) redivideParts(d division) {
	p := g.parts
	p.asks = false
	if g.contracts == nil || !d.ok || d.ppm != p.ppm { // asked before the region's part changed: the next look tells
		return
	}
	same := p.slots == d.slots && p.others == d.others && maps.Equal(p.named, d.named)
	if p.slots, p.named, p.others = d.slots, d.named, d.others; !same {
		g.engine.SetContracts(g.shares())
	}
	n, free := p.aggregators(g.contracts), p.budgets(g.clock.Now(), g.budgets, g.contracts)
	if n != p.inForce || !maps.Equal(free, p.free) {
		p.inForce, p.free = n, free
		g.engine.Reconfigure(g.terms(), g.module(), g.pool(), g.dialect)
	}
}
