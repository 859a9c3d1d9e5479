package quota

import (
	"saffronquay/internal/cluster/quota/wire"
	"slices"
)

// leaseEnd returns the time at which the last of the holder's leases expires.
func (l *lessee) leaseEnd() int64 { return max(l.outstandingUntil, l.claimUntil) }

// recordRequest records the use that a holder reports, and its demand.
func (b *Allocator) recordRequest(now, until int64, from string, request *wire.Ask) {
	holder := b.holders[from]
	if holder == nil {
		holder = &lessee{}
		b.holders[from] = holder
	}
	if request.Term == b.term || b.bugs.AcceptsOldTerm {
		b.recordUse(now, until, holder, request)
	}
	b.recordDemand(now, from, request)
	b.updateSums(now, from)
}

// recordUse records the grant that a holder has applied, and the quotas that it reports. until is
// the end of a lease that is granted now.
func (b *Allocator) recordUse(now, until int64, holder *lessee, request *wire.Ask) {
	first := !holder.claimed
	holder.claimed, holder.leased, holder.quotas = true, request.Seq != 0, map[string]uint32{}
	for _, part := range request.Parts {
		holder.quotas[part.Team] = min(part.Ppm, PPM)
		b.addBudget(now, part.Team, true)
	}
	holder.claimUntil = 0
	for _, g := range holder.grants {
		if g.seq == request.Seq {
			holder.claimUntil = g.until
		}
	}
	if holder.leased && holder.claimUntil == 0 { // a grant of a predecessor, or one that was removed here
		holder.claimUntil = until
	}
	if !first {
		holder.grants = slices.DeleteFunc(holder.grants, func(g grant) bool { return g.seq < request.Seq || g.until <= now })
	}
}

// recordDemand replaces a gatherer's demand in all budgets.
func (b *Allocator) recordDemand(now int64, from string, request *wire.Ask) {
	demand := map[string]uint32{}
	for _, want := range request.Wants {
		demand[want.Team] = want.Ppm
		if want.Ppm >= EvenQuota(b.slots) {
			b.addBudget(now, want.Team, len(b.budgets) < maxBudgets)
		}
	}
	for team, budget := range b.budgets {
		if ppm := demand[team]; ppm > 0 {
			budget.demand[from], budget.wantedAt = ppm, now
		} else {
			delete(budget.demand, from)
		}
	}
}

// addBudget adds a team's budget to those divided by demand, if admit is set and it is not one of
// them yet.
func (b *Allocator) addBudget(now int64, team string, admit bool) {
	if b.budgets[team] == nil && admit {
		b.budgets[team] = &budget{demand: map[string]uint32{}, wantedAt: now}
	}
}

// updateSums updates the sums of all budgets with what one gatherer may be using.
func (b *Allocator) updateSums(now int64, name string) {
	for team, budget := range b.budgets {
		if budget.used != nil {
			quota := b.mayUse(now, name, team)
			budget.sum += uint64(quota) - uint64(budget.used[name]) // unsigned wrap-around cancels out
			budget.used[name] = quota
		}
	}
}

// mayUse returns the most of a team's budget that a gatherer may be using: the greatest quota of
// all grants that it may have applied.
func (b *Allocator) mayUse(now int64, name, team string) uint32 {
	holder := b.holders[name]
	if holder == nil || !holder.claimed {
		if now < b.exclusiveAt && !b.bugs.TrustsUnclaimed {
			return PPM // it may have any grant of a predecessor
		}
		if holder == nil {
			return FloorQuota(b.slots)
		}
	}
	most := FloorQuota(b.slots)
	include := func(quotas map[string]uint32) {
		quota, named := quotas[team]
		if !named {
			quota = EvenQuota(b.slots)
		}
		most = max(most, quota)
	}
	if holder.leased && now < holder.claimUntil {
		include(holder.quotas)
	}
	for i, g := range holder.grants {
		newest := i == len(holder.grants)-1
		if now < g.until && (newest || !b.bugs.ReleasesEarly) {
			include(g.quotas)
		}
	}
	return most
}
