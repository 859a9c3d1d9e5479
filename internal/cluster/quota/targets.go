package quota

import "slices"

// updateTargets returns the intended division of a budget, recomputed if the last result is too
// old: each live gatherer gets its demand and an eighth more, limited to a common maximum if that
// exceeds the budget; the remainder is divided evenly. Gatherers without a lease get their floor.
func (b *Allocator) updateTargets(now int64, team string, budget *budget, members []string) map[string]uint32 {
	if budget.targets != nil && now < budget.targetsUntil {
		return budget.targets
	}
	b.recomputeUse(now, team, budget, members)
	budget.targetsUntil, budget.targets = now+targetsValidFor, make(map[string]uint32, len(members))

	floor := uint64(FloorQuota(b.slots))
	left := uint64(PPM) - floor*(b.slots-uint64(len(members)))
	needs := make([]uint64, 0, len(members))
	live := make([]string, 0, len(members))
	for _, member := range members {
		holder := b.holders[member]
		if holder == nil || now >= holder.leaseEnd() {
			budget.targets[member] = uint32(floor)
			left -= floor
			continue
		}
		budget.targetsUntil = min(budget.targetsUntil, holder.leaseEnd()) // the lease may have expired then
		want := uint64(budget.demand[member])
		live, needs = append(live, member), append(needs, max(floor, want+want/headroomDivisor))
	}
	if idle := now-budget.wantedAt > idleAfter; idle {
		for i := range needs {
			needs[i] = floor
		}
		left = min(left, uint64(EvenQuota(b.slots))*uint64(len(live)))
	}
	limit := fairLevel(needs, left)
	sum := uint64(0)
	for i := range live {
		needs[i] = min(needs[i], limit)
		sum += needs[i]
	}
	for i, member := range live {
		budget.targets[member] = uint32(needs[i] + (left-sum)/uint64(len(live)))
	}
	return budget.targets
}

// recomputeUse recomputes what all gatherers may be using of a budget, including those that have
// left the roster until their leases expire.
func (b *Allocator) recomputeUse(now int64, team string, budget *budget, members []string) {
	budget.sum, budget.used = 0, make(map[string]uint32, len(members))
	record := func(name string) {
		budget.used[name] = b.mayUse(now, name, team)
		budget.sum += uint64(budget.used[name])
	}
	for _, member := range members {
		record(member)
	}
	for name, holder := range b.holders {
		if _, onRoster := slices.BinarySearch(members, name); onRoster {
			continue
		}
		if now >= holder.leaseEnd() {
			delete(b.holders, name)
			continue
		}
		record(name)
	}
}

// fairLevel returns the greatest limit with which the needs, each capped at it, add up to at most
// available.
func fairLevel(needs []uint64, available uint64) uint64 {
	sorted := slices.Sorted(slices.Values(needs))
	for i, need := range sorted {
		if n := uint64(len(sorted) - i); need*n > available {
			return available / n
		}
		available -= need
	}
	return PPM
}
