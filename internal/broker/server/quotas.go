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
type budgetQuotas struct {
	tick               *time.Ticker
	slots              uint64
	regionPPM          uint32 // what this gatherer's region has of everything; share.PPM where there are no regions
	teamQuotas         map[string]uint32
	otherQuota         uint32
	minimums           map[string]minimumQuota
	currentBudgets     map[string]core.Budget // in force
	currentAggregators int                    // among how many the bound on cold servers is divided
	rejectedBefore     map[string]int64       // by team, as counted at the last look
	teamFractions      map[string]float64     // of all, by team, of these contracts:
	fractionsOf        *admission.Config
	updating           bool             // a look is under way
	updates            chan quotaUpdate // what came of it
}

// division is what this gatherer may use, as it was told.
type quotaUpdate struct {
	slots      uint64
	regionPPM  uint32
	teamQuotas map[string]uint32
	otherQuota uint32
	ok         bool
}

func newBudgetQuotas(slots uint64, ppm uint32) *budgetQuotas {
	p := &budgetQuotas{tick: time.NewTicker(quotaInterval), slots: slots, regionPPM: ppm, updates: make(chan quotaUpdate, 1)}
	p.otherQuota = p.floorQuota(slots)
	return p
}

// floor is the part without a lease, among so many: the one that the keeper of the books in this gatherer's region reckons with.
func (p *budgetQuotas) floorQuota(slots uint64) uint32 {
	h := quota.NewHolder(slots, quota.Bugs{})
	h.SetRegion(p.regionPPM)
	_, floor, _ := h.Quotas(0)
	return floor
}

// region says what this gatherer's region has of everything from now on. What was given for another part of it is void: the region's keeper
// may give it to others at once, and the other regions get theirs when this one has a version by which it has less.
func (p *budgetQuotas) setRegion(ppm uint32) (changed bool) {
	if p == nil || ppm == p.regionPPM {
		return false
	}
	p.regionPPM, p.teamQuotas = ppm, nil
	p.otherQuota = p.floorQuota(p.slots)
	return true
}

// answers is where what came of a look is told; nil where budgets are not divided.
func (p *budgetQuotas) results() <-chan quotaUpdate {
	if p == nil {
		return nil
	}
	return p.updates
}

const (
	quotaInterval     = 250 * time.Millisecond
	leaseSafetyMargin = 300_000 // microseconds by which a lease is taken to end earlier: between two looks nobody looks
	demandFactor      = 2       // who waits or is refused wants so many times what it has
)

// divides is when to look at the parts; nil where they are not divided.
func (p *budgetQuotas) due() <-chan time.Time {
	if p == nil {
		return nil
	}
	return p.tick.C
}

// of is the part of one team, for contracts that are divided among so many. What was given for another number is void.
func (p *budgetQuotas) quotaOf(slots uint64) func(team string) float64 {
	named, others := p.teamQuotas, p.otherQuota
	if slots != p.slots {
		named, others = nil, p.floorQuota(slots)
	}
	return func(team string) float64 {
		if part, ok := named[team]; ok {
			return float64(part) / quota.PPM
		}
		return float64(others) / quota.PPM
	}
}

// divided is the contracts with this gatherer's parts, where they are divided.
func (p *budgetQuotas) divideContracts(c *admission.Config) *admission.Config {
	if p == nil || c == nil {
		return c
	}
	d := *c
	d.Quota = p.quotaOf(uint64(c.Gatherers))
	return &d
}

// ofAll is this gatherer's part of everything: what its teams' parts come to together. O(named teams), but for new contracts.
func (p *budgetQuotas) fractionOfAll(c *admission.Config) float64 {
	if p.fractionsOf != c {
		p.teamFractions, p.fractionsOf = c.TeamFractions(), c
	}
	named, others := p.teamQuotas, float64(p.otherQuota)/quota.PPM
	if uint64(c.Gatherers) != p.slots {
		named, others = nil, float64(p.floorQuota(uint64(c.Gatherers)))/quota.PPM
	}
	all := others
	for team, part := range named {
		all += p.teamFractions[team] * (float64(part)/quota.PPM - others)
	}
	return max(all, 1e-6)
}

// aggregators is among how many the bound on cold servers is divided here: rounded up, so that all together stay within it. Parts are of the
// whole also where there are regions, so the bound is the whole fleet's, and not a region's.
func (p *budgetQuotas) aggregators(c *admission.Config) int {
	return int(math.Ceil(1/p.fractionOfAll(c) - 1e-9))
}

// low is the least part that this gatherer had of a team's budget for a window at least, and two at most.
type minimumQuota struct {
	previous, current float64
	since             int64 // of now
}

// budgets are the free further attempts of each team, by the least part of its contract that this gatherer had for a window: whoever had it
// before may have spent it, and what was spent counts for so long. What comes with its parts comes where they go.
func (p *budgetQuotas) divideBudgets(now int64, all map[string]core.Budget, c *admission.Config) map[string]core.Budget {
	of := p.quotaOf(uint64(c.Gatherers))
	out := make(map[string]core.Budget, len(all))
	lows := make(map[string]minimumQuota, len(all))
	for team, b := range all {
		part := of(team)
		l, known := p.minimums[team]
		switch {
		case !known: // a process that has just begun: others may have it
			l = minimumQuota{0, part, now}
		case now-l.since >= b.Window:
			l = minimumQuota{l.current, part, now}
		}
		l.current = min(l.current, part)
		b.Free *= min(l.previous, l.current)
		lows[team], out[team] = l, b
	}
	p.minimums = lows
	return out
}

// demands is what this gatherer could use of each team's budget: what it has out, and more where somebody waits or was turned away. It
// costs O(teams that have asked).
func (p *budgetQuotas) demands(all []admission.TeamStatus, slots uint64) []quota.Demand {
	var out []quota.Demand
	part := p.quotaOf(slots)
	refused := map[string]int64{}
	for _, a := range all {
		turned := a.RejectedBacklog + a.RejectedQueueFull + a.Expired
		refused[a.Team] = turned
		if a.Budget <= 0 || a.Queued == 0 && a.Out == 0 && turned == p.rejectedBefore[a.Team] {
			continue
		}
		used := float64(a.Out) / a.Budget
		want := used
		if a.Queued > 0 || turned > p.rejectedBefore[a.Team] {
			want = demandFactor * max(used, part(a.Team))
		}
		out = append(out, quota.Demand{Team: a.Team, Want: toPPM(want), Used: toPPM(used)})
	}
	p.rejectedBefore = refused
	return out
}

func toPPM(x float64) uint32 { return uint32(min(max(x, 0), 1) * quota.PPM) }

// lookAtParts tells what this gatherer could use, and asks what it may. It waits for nobody: whoever puts a policy in force may be waiting
// for this goroutine.
func (g *Gatherer) requestQuotas() {
	policy, op, p := g.policyNode.Load(), g.currentFile.Load(), g.quotas
	if policy == nil || g.contracts == nil || p.updating {
		return
	}
	p.updating = true
	slots, ppm := uint64(op.Contracts.Gatherers), p.regionPPM
	go func() {
		d := quotaUpdate{slots: slots, regionPPM: ppm}
		d.teamQuotas, d.otherQuota, d.ok = policy.UpdateDemand(p.demands(g.engine.Accounts(1<<20), slots), leaseSafetyMargin)
		p.updates <- d
	}()
}

// redivideParts puts in force what this gatherer may use. No query waits for it.
func (g *Gatherer) applyQuotas(d quotaUpdate) {
	p := g.quotas
	p.updating = false
	if g.contracts == nil || !d.ok || d.regionPPM != p.regionPPM { // asked before the region's part changed: the next look tells
		return
	}
	same := p.slots == d.slots && p.otherQuota == d.otherQuota && maps.Equal(p.teamQuotas, d.teamQuotas)
	if p.slots, p.teamQuotas, p.otherQuota = d.slots, d.teamQuotas, d.otherQuota; !same {
		g.engine.SetContracts(g.dividedContracts())
	}
	n, free := p.aggregators(g.contracts), p.divideBudgets(g.clock.Now(), g.budgets, g.contracts)
	if n != p.currentAggregators || !maps.Equal(free, p.currentBudgets) {
		p.currentAggregators, p.currentBudgets = n, free
		g.engine.Reconfigure(g.coreTerms(), g.moduleSettings(), g.poolConfig(), g.dialect)
	}
}
