package server

import (
	"maps"
	"math"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/cluster/quota"
	"time"
)

// budgetQuotas is the fraction of each team's budget that this gatherer may use when budgets are
// divided by leases on quotas. Quotas are in millionths of the budget (quota.PPM). The gatherer's
// goroutine owns it, except for rejectedBefore, which demands uses on another goroutine while
// updating is set.
type budgetQuotas struct {
	tick               *time.Ticker
	slots              uint64
	regionPPM          uint32                  // the region's fraction of every budget; quota.PPM without regions
	teamQuotas         map[string]uint32       // leased, by team
	otherQuota         uint32                  // of teams that are not in teamQuotas
	minimums           map[string]minimumQuota // by team
	currentBudgets     map[string]core.Budget  // in force
	currentAggregators int                     // divisor of the limit on servers that warm up, in force
	rejectedBefore     map[string]int64        // rejected queries by team at the last request
	teamFractions      map[string]float64      // of all budgets by team, under the contracts fractionsOf
	fractionsOf        *admission.Config
	updating           bool             // a request for quotas is in flight
	updates            chan quotaUpdate // receives the answer to the request
}

// quotaUpdate is the policy node's answer to a request for quotas.
type quotaUpdate struct {
	slots      uint64
	regionPPM  uint32
	teamQuotas map[string]uint32
	otherQuota uint32
	ok         bool
}

// newBudgetQuotas returns quotas at the floor, since no quota is leased yet.
func newBudgetQuotas(slots uint64, ppm uint32) *budgetQuotas {
	p := &budgetQuotas{tick: time.NewTicker(quotaInterval), slots: slots, regionPPM: ppm, updates: make(chan quotaUpdate, 1)}
	p.otherQuota = p.floorQuota(slots)
	return p
}

// floorQuota returns the quota of a gatherer without a lease when budgets are divided into the given
// number of slots. The region's leader assumes that each gatherer uses at least this quota.
func (p *budgetQuotas) floorQuota(slots uint64) uint32 {
	h := quota.NewHolder(slots, quota.Bugs{})
	h.SetRegion(p.regionPPM)
	_, floor, _ := h.Quotas(0)
	return floor
}

// setRegion sets the region's fraction of every budget and reports whether it has changed. Quotas
// granted under the previous fraction become void: the region's leader may grant them to others
// immediately, and other regions get a larger fraction once this region has a version that reduces
// its own.
func (p *budgetQuotas) setRegion(ppm uint32) (changed bool) {
	if p == nil || ppm == p.regionPPM {
		return false
	}
	p.regionPPM, p.teamQuotas = ppm, nil
	p.otherQuota = p.floorQuota(p.slots)
	return true
}

// results returns the channel of answers to requests for quotas; nil if budgets are not divided.
func (p *budgetQuotas) results() <-chan quotaUpdate {
	if p == nil {
		return nil
	}
	return p.updates
}

const (
	quotaInterval           = 250 * time.Millisecond
	leaseSafetyMarginMicros = 300_000 // a lease counts as expired earlier, since it is checked every quotaInterval
	demandFactor            = 2       // multiple of its use or quota that a team with queued or rejected queries demands
)

// due returns the channel that fires when quotas must be requested again; nil if budgets are not
// divided.
func (p *budgetQuotas) due() <-chan time.Time {
	if p == nil {
		return nil
	}
	return p.tick.C
}

// quotaOf returns a function from a team to its quota, as a fraction of the team's budget, for
// contracts divided into the given number of slots. Quotas granted for another number of slots are
// void.
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

// divideContracts returns a copy of the contracts with this gatherer's quotas. It returns c itself if
// budgets are not divided or c is nil.
func (p *budgetQuotas) divideContracts(c *admission.Config) *admission.Config {
	if p == nil || c == nil {
		return c
	}
	d := *c
	d.Quota = p.quotaOf(uint64(c.Gatherers))
	return &d
}

// fractionOfAll returns this gatherer's fraction of all budgets, summed over the quotas of the
// teams. It takes O(teams with a leased quota) time, and O(teams) for new contracts.
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

// aggregators returns the number by which this gatherer divides the limit on servers that warm up.
// It is rounded up, so that all gatherers together stay within the limit. With regions, too, quotas
// are fractions of the budgets of the whole fleet.
func (p *budgetQuotas) aggregators(c *admission.Config) int {
	return int(math.Ceil(1/p.fractionOfAll(c) - 1e-9))
}

// minimumQuota is the smallest quota of a team's budget that this gatherer had in the present
// window and in the previous one.
type minimumQuota struct {
	previous, current float64
	since             int64 // start of the present window, in microseconds
}

// divideBudgets returns the budget of each team with the free attempts that this gatherer may use. They
// are limited by the smallest quota of the last window: the gatherer that had the rest of the present
// quota before may have spent attempts under it, and spent attempts count for a whole window.
func (p *budgetQuotas) divideBudgets(now int64, all map[string]core.Budget, c *admission.Config) map[string]core.Budget {
	quotaOf := p.quotaOf(uint64(c.Gatherers))
	out := make(map[string]core.Budget, len(all))
	minimums := make(map[string]minimumQuota, len(all))
	for team, b := range all {
		present := quotaOf(team)
		minimum, known := p.minimums[team]
		switch {
		case !known: // the process has just started, and another gatherer may have had the quota
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

// demands returns the demand for each team's budget: the part in use, and more if queries are queued or
// were rejected since the last call. It takes O(teams that have sent a query) time.
//
// It runs concurrently with the gatherer's goroutine and uses no field but rejectedBefore. The argument
// quotaOf must be the result of the method quotaOf, called on the gatherer's goroutine.
func (p *budgetQuotas) demands(all []admission.TeamStatus, quotaOf func(team string) float64) []quota.Demand {
	var out []quota.Demand
	rejectedNow := map[string]int64{}
	for _, a := range all {
		rejected := a.RejectedBacklog + a.RejectedQueueFull + a.Expired
		rejectedNow[a.Team] = rejected
		if a.Budget <= 0 || a.Queued == 0 && a.InFlight == 0 && rejected == p.rejectedBefore[a.Team] {
			continue
		}
		used := float64(a.InFlight) / a.Budget
		want := used
		if a.Queued > 0 || rejected > p.rejectedBefore[a.Team] {
			want = demandFactor * max(used, quotaOf(a.Team))
		}
		out = append(out, quota.Demand{Team: a.Team, Want: toPPM(want), Used: toPPM(used)})
	}
	p.rejectedBefore = rejectedNow
	return out
}

// toPPM converts a fraction, clamped to the range from 0 to 1, to millionths.
func toPPM(x float64) uint32 { return uint32(min(max(x, 0), 1) * quota.PPM) }

// requestQuotas reports the demand and requests quotas in a new goroutine, which sends the answer to
// results. The gatherer's goroutine must not wait for the policy node itself, since the node waits for
// the gatherer's goroutine while it installs a policy. At most one request is in flight.
func (g *Gatherer) requestQuotas() {
	policy, op, p := g.policyNode.Load(), g.currentFile.Load(), g.quotas
	if policy == nil || g.contracts == nil || p.updating {
		return
	}
	p.updating = true
	slots, ppm := uint64(op.Contracts.Gatherers), p.regionPPM
	quotaOf := p.quotaOf(slots) // on this goroutine, since setRegion changes the fields that it reads
	go func() {
		d := quotaUpdate{slots: slots, regionPPM: ppm}
		d.teamQuotas, d.otherQuota, d.ok = policy.UpdateDemand(p.demands(g.engine.TeamStatuses(1<<20), quotaOf), leaseSafetyMarginMicros)
		p.updates <- d
	}()
}

// applyQuotas puts the quotas of an answer in force. No query waits for it. An answer to a request made
// under another fraction of the region is dropped; the next request gets quotas under the new one.
func (g *Gatherer) applyQuotas(d quotaUpdate) {
	p := g.quotas
	p.updating = false
	if g.contracts == nil || !d.ok || d.regionPPM != p.regionPPM {
		return
	}
	same := p.slots == d.slots && p.otherQuota == d.otherQuota && maps.Equal(p.teamQuotas, d.teamQuotas)
	if p.slots, p.teamQuotas, p.otherQuota = d.slots, d.teamQuotas, d.otherQuota; !same {
		g.engine.SetContracts(g.dividedContracts())
	}
	n, free := p.aggregators(g.contracts), p.divideBudgets(g.clock.Now(), g.budgets, g.contracts)
	if n != p.currentAggregators || !maps.Equal(free, p.currentBudgets) {
		p.currentAggregators, p.currentBudgets = n, free
		g.engine.Reconfigure(g.coreConfig(), g.moduleSettings(), g.poolConfig(), g.dialect)
	}
}
