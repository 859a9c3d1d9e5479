package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// checkRegionAdmission checks an admitted query against those admitted before in its region and in
// others.
func (w *world) checkRegionAdmission(x *node, number uint64) {
	r, result := w.regions[x.region], &w.result.Regions
	if number < r.newest {
		w.violation(&result.MixedInRegion, "%s of region %d let a query in under version %d after one there under %d", x.name, x.region, number, r.newest)
	}
	if number < w.newest && w.now < r.leaseUntil {
		w.violation(&result.MixedJoined, "%s let a query in under version %d after one elsewhere under %d, and region %d has a lease for %d us yet",
			x.name, number, w.newest, x.region, r.leaseUntil-w.now)
	}
	if number < r.acknowledged {
		w.violation(&result.WrongAnswers, "version %d was told to be in force in region %d, and %s let a query in under %d", r.acknowledged, x.region, x.name, number)
	}
	r.newest = max(r.newest, number)
}

// checkParts checks that a version has one division of the budgets, whose parts add up to at most
// the budget.
func (w *world) checkParts(d *wire.Document) {
	if !w.hasRegions() {
		return
	}
	text, sum := "parts", uint32(0)
	for _, p := range d.Parts {
		text += fmt.Sprintf(" %s=%d", p.Region, p.Ppm)
		sum += p.Ppm
	}
	if was, ok := w.partTexts[d.Number]; ok && was != text || sum > quota.PPM || sum == 0 {
		w.violation(&w.result.Regions.AmbiguousVersions, "version %d has %s, and %s", d.Number, text, was)
	}
	w.partTexts[d.Number] = text
	w.versionParts[d.Number] = d.Parts
}

// checkRegionAnswer checks and records the regions that the answer to a proposer names.
func (w *world) checkRegionAnswer(a *wire.Answer) {
	result := &w.result.Regions
	if named := len(a.InForce) + len(a.Apart); named != w.Regions {
		w.violation(&result.WrongAnswers, "an answer names %d regions", named)
	}
	for i, r := range w.regions {
		if slices.Contains(a.InForce, nameOfRegion(i)) {
			r.acknowledged = max(r.acknowledged, a.Number)
		}
	}
	if len(a.Apart) == 0 {
		result.InForceEverywhere++
	} else if result.InForcePartly++; len(w.Partitions) == 0 {
		result.PartlyJoined++
	}
}

// checkRegionsEnd computes the fractions of admitted queries, and checks that all regions are
// joined under one version at the end and no proposal is open.
func (w *world) checkRegionsEnd() {
	w.sumServed()
	if w.IgnoreRegions {
		return
	}
	if !w.allJoined() {
		w.violation(&w.result.Stuck, "there is more than one version at the end, or a region has no lease")
	}
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		if x.running && x.core.IsGlobalLeader() && x.core.GlobalOpenAttempt() != 0 {
			w.violation(&w.result.Stuck, "proposal %d is open at the end", x.core.GlobalOpenAttempt())
		}
		w.checkDecisions(w.globalOutcomes, x.core.GlobalDecisions())
	}
}

// checkDecisions checks that no proposal is both committed and aborted.
func (w *world) checkDecisions(outcomes map[uint64]bool, decisions []*wire.Decision) {
	for _, d := range decisions {
		if was, known := outcomes[d.Attempt]; known && was != d.Committed {
			w.violation(&w.result.Resurrected, "proposal %d is committed and aborted", d.Attempt)
		}
		outcomes[d.Attempt] = d.Committed
	}
}

// sumServed computes the fractions of queries that were admitted. There has to be at least one
// region.
func (w *world) sumServed() {
	result := &w.result.Regions
	for window := range 2 {
		queries, admitted := 0, 0
		for i, r := range w.regions {
			queries += r.queries[window]
			admitted += r.admitted[window]
			served := 1.0
			if r.queries[window] > 0 {
				served = float64(r.admitted[window]) / float64(r.queries[window])
			}
			if i == 0 || served < result.ServedLeast[window] {
				result.ServedLeast[window] = served
			}
		}
		result.ServedAll[window] = float64(admitted) / float64(max(1, queries))
	}
}

// checkBudgets checks the sum of the quotas of all nodes that admit queries: in a region it is at
// most the region's part under its version, over all regions at most the largest contract in force.
// The contract is halved by each version whose number is a multiple of four, and restored by the
// next one.
func (w *world) checkBudgets() {
	w.schedule(quotaPeriod, w.checkBudgets)
	total, most, least := 0.0, 0.0, 1e9
	for i := range w.regions {
		for _, team := range []string{"busy", "idle"} {
			used, number, ok := w.regionUse(i, team)
			if !ok {
				continue
			}
			w.checkRegionBudget(nameOfRegion(i), team, used, number)
			if team == "busy" {
				total += float64(used) * contract(number)
				most, least = max(most, contract(number)), min(least, contract(number))
			}
		}
	}
	if least < most {
		w.result.Regions.ContractsDiffered++
	}
	if total > quota.PPM*most {
		w.violation(&w.result.Regions.OverBudget, "all parts come to %.0f of a contract of %.0f", total/quota.PPM, most)
	}
}

// regionUse returns the sum of the quotas of a region's nodes that admit queries, and the version
// of the last of them; ok is false if none admits.
func (w *world) regionUse(region int, team string) (used, number uint64, ok bool) {
	for _, x := range w.nodes {
		if !x.runs() || x.region != region {
			continue
		}
		if decision, n, _ := x.core.Admit(w.localTime(x)); decision == rollout.Admitted {
			used += uint64(x.core.Quota().Quota(w.localTime(x), team))
			number, ok = n, true
		}
	}
	return used, number, ok
}

// checkRegionBudget checks a region's quotas of a team against its part under a version.
func (w *world) checkRegionBudget(region, team string, used, number uint64) {
	part := uint64(w.regionPart(number, region))
	result := &w.result.Regions
	result.MostUsed[region] = max(result.MostUsed[region], float64(used)/float64(max(part, 1)))
	if used > part {
		w.violation(&result.OverBudget, "the parts of %s in %s come to %d of %d", team, region, used, part)
	}
}

// contract returns a team's contract under a version.
func contract(number uint64) float64 {
	if number%4 == 0 {
		return 50
	}
	return 100
}

// regionPart returns a region's part of the budgets under a version, in parts per million. Before
// the first version all regions have equal parts, by the initial roster.
func (w *world) regionPart(number uint64, region string) uint32 {
	for _, p := range w.versionParts[number] {
		if p.Region == region {
			return p.Ppm
		}
	}
	return quota.PPM / uint32(w.Regions)
}
