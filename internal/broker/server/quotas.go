package server

import (
	"maps"
	"math"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/cluster/quota"
	"time"
)

// budgetQuotas is what this gatherer may use of each team's budget, where budgets are divided by leases on quotas. The gatherer's goroutine owns it, but
// for rejectedBefore, which demands uses beside it while updating is set. Quotas are in millionths of the whole (quota.PPM).
type budgetQuotas struct {
	tick               *time.Ticker
	slots              uint64
	regionPPM          uint32 // the region's fraction of everything; quota.PPM where there are no regions
	teamQuotas         map[string]uint32
	otherQuota         uint32
	minimums           map[string]minimumQuota
	currentBudgets     map[string]core.Budget // in force
	currentAggregators int                    // among how many the bound on servers that warm up is divided
	rejectedBefore     map[string]int64       // by team, as counted at the last request
	teamFractions      map[string]float64     // of everything by team, of the contracts fractionsOf
	fractionsOf        *admission.Config
	updating           bool             // a request for quotas is under way
	updates            chan quotaUpdate // the answer to the request
}

// quotaUpdate is what this gatherer may use, as the policy node answered.
type quotaUpdate struct {
	slots      uint64
	regionPPM  uint32
	teamQuotas map[string]uint32
	otherQuota uint32
	ok         bool
}

// newBudgetQuotas begins with the floor: no quota is leased yet.
func newBudgetQuotas(slots uint64, ppm uint32) *budgetQuotas {
	p := &budgetQuotas{tick: time.NewTicker(quotaInterval), slots: slots, regionPPM: ppm, updates: make(chan quotaUpdate, 1)}
	p.otherQuota = p.floorQuota(slots)
	return p
}

// floorQuota is the quota without a lease, among so many slots: the one that the region's leader assumes of each gatherer.
func (p *budgetQuotas) floorQuota(slots uint64) uint32 {
	h := quota.NewHolder(slots, quota.Bugs{})
	h.SetRegion(p.regionPPM)
	_, floor, _ := h.Quotas(0)
	return floor
}

// setRegion sets the region's fraction of every budget. Quotas that were granted under another fraction are void: the region's leader may grant them to
// others at once, and the other regions get theirs when this one has a version by which it has less.
func (p *budgetQuotas) setRegion(ppm uint32) (changed bool) {
	if p == nil || ppm == p.regionPPM {
		return false
	}
	p.regionPPM, p.teamQuotas = ppm, nil
	p.otherQuota = p.floorQuota(p.slots)
	return true
}

// results is where answers to a request for quotas arrive; nil where budgets are not divided.
func (p *budgetQuotas) results() <-chan quotaUpdate {
	if p == nil {
		return nil
	}
	return p.updates
}

const (
	quotaInterval     = 250 * time.Millisecond
	leaseSafetyMargin = 300_000 // microseconds by which a lease counts as ended earlier, since it is checked only every quotaInterval
	demandFactor      = 2       // a team whose queries are queued or rejected wants so many times what it has
)

// due fires when quotas are to be requested again; nil where budgets are not divided.
func (p *budgetQuotas) due() <-chan time.Time {
	if p == nil {
		return nil
	}
	return p.tick.C
}

// quotaOf returns the quota of a team, for contracts that are divided among so many slots. What was granted for another number of slots is void.
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

// divideContracts returns the contracts with this gatherer's quotas; the same ones where there is nothing to divide.
func (p *budgetQuotas) divideContracts(c *admission.Config) *admission.Config {
	if p == nil || c == nil {
		return c
	}
	d := *c
	d.Quota = p.quotaOf(uint64(c.Gatherers))
	return &d
}

// fractionOfAll is this gatherer's fraction of everything, summed over its teams' quotas. It costs O(named teams), and O(teams) for new contracts.
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

// aggregators is the number among which the bound on servers that warm up is divided here, rounded up, so that all gatherers together stay within the bound.
// Quotas are fractions of the whole fleet also where there are regions.
func (p *budgetQuotas) aggregators(c *admission.Config) int {
	return int(math.Ceil(1/p.fractionOfAll(c) - 1e-9))
}

// minimumQuota is the least quota that this gatherer had of a team's budget during the present and the previous window.
type minimumQuota struct {
	previous, current float64
	since             int64 // when the present window began, in microseconds
}

// divideBudgets are the free attempts of each team by the least quota that this gatherer had for a window: the gatherer that had the quota before may
// have spent them, and what was spent counts for a window.
func (p *budgetQuotas) divideBudgets(now int64, all map[string]core.Budget, c *admission.Config) map[string]core.Budget {
	quotaOf := p.quotaOf(uint64(c.Gatherers))
	out := make(map[string]core.Budget, len(all))
	minimums := make(map[string]minimumQuota, len(all))
	for team, b := range all {
		present := quotaOf(team)
		minimum, known := p.minimums[team]
		switch {
		case !known: // the process has just started: another gatherer may have had the quota
			minimum = minimumQuota{0, present, now}
		case now-minimum.since >= b.Window:
			minimum = minimumQuota{minimum.current, present, now}
		}
		minimum.current = min(minimum.current, present)
		b.Free *= min(minimum.previous, minimum.current)
		minimums[team], out[team] = minimum, b
	}
	p.minimums = minimums
	return out
}

// demands is what this gatherer could use of each team's budget: what it has out, and more where queries are queued or were rejected. It costs O(teams
// that have sent anything).
//
// It runs beside the gatherer's goroutine: quotaOf was made there, by the method of that name, and of the fields only rejectedBefore is used.
func (p *budgetQuotas) demands(all []admission.TeamStatus, quotaOf func(team string) float64) []quota.Demand {
	var out []quota.Demand
	rejectedNow := map[string]int64{}
	for _, a := range all {
		rejected := a.RejectedBacklog + a.RejectedQueueFull + a.Expired
		rejectedNow[a.Team] = rejected
		if a.Budget <= 0 || a.Queued == 0 && a.Out == 0 && rejected == p.rejectedBefore[a.Team] {
			continue
		}
		used := float64(a.Out) / a.Budget
		want := used
		if a.Queued > 0 || rejected > p.rejectedBefore[a.Team] {
			want = demandFactor * max(used, quotaOf(a.Team))
		}
		out = append(out, quota.Demand{Team: a.Team, Want: toPPM(want), Used: toPPM(used)})
	}
	p.rejectedBefore = rejectedNow
	return out
}

// toPPM returns a fraction in millionths, within 0 and 1.
func toPPM(x float64) uint32 { return uint32(min(max(x, 0), 1) * quota.PPM) }

// requestQuotas reports the demand and requests quotas, in a goroutine of its own that delivers to results: what puts a policy in force may wait for the
// gatherer's goroutine, so that this one must not wait for the policy. One request is under way at a time.
func (g *Gatherer) requestQuotas() {
	policy, op, p := g.policyNode.Load(), g.currentFile.Load(), g.quotas
	if policy == nil || g.contracts == nil || p.updating {
		return
	}
	p.updating = true
	slots, ppm := uint64(op.Contracts.Gatherers), p.regionPPM
	quotaOf := p.quotaOf(slots) // here: setRegion changes what it reads
	go func() {
		d := quotaUpdate{slots: slots, regionPPM: ppm}
		d.teamQuotas, d.otherQuota, d.ok = policy.UpdateDemand(p.demands(g.engine.Accounts(1<<20), quotaOf), leaseSafetyMargin)
		p.updates <- d
	}()
}

// applyQuotas puts the quotas that were answered in force. No query waits for it. An answer from before a change of the region's fraction is dropped;
// the next request has the new one.
func (g *Gatherer) applyQuotas(d quotaUpdate) {
	p := g.quotas
	p.updating = false
	if g.contracts == nil || !d.ok || d.regionPPM != p.regionPPM { // requested before the region's fraction changed
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
