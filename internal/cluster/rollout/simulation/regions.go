package simulation

import (
	"fmt"
	"math"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// Cut cuts regions from each other: from At on, for so long. Times are microseconds from the beginning.
type Partition struct {
	At, Duration int64
	OneWay       int   // 0: both ways; 1: what the first region says is lost; 2: what the others say to it
	FlapPeriod   int64 // so long on, so long off, as long as it lasts; 0: it does not flap
}

// RegionResult is what came of the regions of a run.
type RegionResult struct {
	MixedInRegion      int                // queries let in, in a region, under a version after one was let in there under a later one
	MixedJoined        int                // queries let in under a version in a region that had a lease, after one was let in elsewhere under a later one
	AmbiguousVersions  int                // numbers that stand for two documents, or for two partitions of the budgets
	WrongAnswers       int                // proposers were told of a region where a version was not in force
	OverBudget         int                // times at which parts came to more than they may
	InForceEverywhere  int                // changes that proposers were told to be in force everywhere,
	InForcePartly      int                // and in some regions
	InForcePartlyUncut int                // of those, while no region was cut off and none had lost its voters
	ServedLeast        [2]float64         // of the queries at gatherers that are up those let in, in the region that let in the least: before the first cut, and while it lasts
	ServedAll          [2]float64         // in all regions
	RejoinTimes        []int64            // from the end of a cut until all are under one version, each
	MostUsed           map[string]float64 // by region, team aside: the most that its parts came to, of what it may
	ReportedIsolated   int                // times at which a region that was cut off told that it is
	ContractsDiffered  int                // times at which one region had half the contract that another one had
}

func (r RegionResult) violations() int {
	return r.MixedInRegion + r.MixedJoined + r.AmbiguousVersions + r.WrongAnswers + r.OverBudget
}

// region is what the model knows of one.
type region struct {
	newest       uint64 // that anything was let in under
	acknowledged uint64 // that a proposer was told to be in force here
	leaseUntil   int64  // the end of the last lease that its leaders had of the global agreement
	queries      [2]int
	admitted     [2]int
}

// found begins what the model keeps of regions.
func (w *world) startRegions() {
	w.cutRegions, w.partTexts, w.versionParts, w.globalOutcomes = map[[2]int]int{}, map[uint64]string{}, map[uint64][]*wire.Part{}, map[uint64]bool{}
	for range w.Regions {
		w.regions = append(w.regions, &region{})
	}
	w.result.Regions.MostUsed = map[string]float64{}
	for _, c := range w.Partitions {
		w.schedule(c.At, func() { w.partitionRegions(c) })
	}
	if w.hasRegions() && w.RejectSome {
		w.schedule(w.FaultsEnd+3*second, w.proposeUntilJoined)
	}
	if w.hasRegions() && w.DivideBudgets {
		w.schedule(50*ms, w.checkBudgets)
	}
}

// aware tells that the agreement knows of regions.
func (w *world) hasRegions() bool { return w.Regions > 0 && !w.IgnoreRegions }

func (w *world) regionName(x *node) string {
	if !w.hasRegions() {
		return ""
	}
	return fmt.Sprintf("r%d", x.region)
}

// divide cuts the first region off from the others.
func (w *world) partitionRegions(c Partition) {
	add := func(n int) {
		for r := 1; r <= w.Regions; r++ { // and the witness's place
			if c.OneWay != 2 {
				w.cutRegions[[2]int{0, r}] += n
			}
			if c.OneWay != 1 {
				w.cutRegions[[2]int{r, 0}] += n
			}
		}
	}
	end := w.now + c.Duration
	if w.partitionFrom == 0 {
		w.partitionFrom, w.partitionUntil = w.now, end
	}
	var flap func()
	flap = func() {
		add(1)
		on := c.FlapPeriod
		if on == 0 {
			on = c.Duration
		}
		w.schedule(min(on, end-w.now), func() {
			if w.now >= epoch+w.FaultsEnd && len(w.cutRegions) == 0 {
				return // all is over already
			}
			add(-1)
			if w.now >= end || w.now+c.FlapPeriod >= end {
				w.awaitRejoin(w.now)
			} else {
				w.schedule(c.FlapPeriod, flap)
			}
		})
	}
	flap()
}

// mend has an operator propose a document that all take, until one is in force everywhere: a gatherer of a region that was apart may turn
// down what is in force elsewhere, and then the region stays where it is.
func (w *world) proposeUntilJoined() {
	if w.allJoined() || w.now > epoch+w.Length-4*second {
		return
	}
	w.lastNonce++
	w.submit(&proposal{request: &wire.Propose{Nonce: w.lastNonce, Base: w.newestVersion(), Text: []byte{255, byte(w.lastNonce), byte(w.lastNonce >> 8)}, By: "operator"}, proposedAt: w.now, target: 0, onEnd: func(bool, string) {
		w.schedule(second, w.proposeUntilJoined)
	}})
}

// cutOff tells that some word is lost between regions.
func (w *world) isPartitioned() bool {
	for _, n := range w.cutRegions {
		if n > 0 {
			return true
		}
	}
	return false
}

// rejoin looks when all are under one version again.
func (w *world) awaitRejoin(since int64) {
	if w.isPartitioned() || w.IgnoreRegions {
		return // cut again before that: the next end counts
	}
	if w.allJoined() {
		w.result.Regions.RejoinTimes = append(w.result.Regions.RejoinTimes, w.now-since)
		return
	}
	if w.now-since > 30*second {
		w.violation(&w.result.Stuck, "30 s after the cut there are still two versions")
		return
	}
	w.schedule(20*ms, func() { w.awaitRejoin(since) })
}

// joined tells that every gatherer that is up lets in under one version, and all regions have a lease.
func (w *world) allJoined() bool {
	number := uint64(math.MaxUint64)
	for _, x := range w.nodes[:w.Voters+w.Others] {
		if !x.running || x.suspended {
			continue
		}
		if number == math.MaxUint64 {
			number = x.core.Number()
		}
		if x.core.Number() != number {
			return false
		}
	}
	for _, r := range w.regions {
		if r.leaseUntil <= w.now {
			return false
		}
	}
	return true
}

// come counts a query that comes to a gatherer which is up, and what becomes of it.
func (w *world) countQuery(x *node) {
	at := w.measureWindow()
	if at < 0 {
		return
	}
	r := w.regions[x.region]
	r.queries[at]++
	switch v, _, _ := x.core.Admit(w.localTime(x)); v {
	case rollout.Admitted:
		r.admitted[at]++
	case rollout.Paused:
		x.pausedQueries++
	}
}

// waited lets in what was held, or turns it away.
func (w *world) countPausedQueries(x *node, v rollout.Admission) {
	if x.core.IsLeader() {
		if s, ok := x.core.Region(w.localTime(x)); ok {
			r := w.regions[x.region]
			r.leaseUntil = max(r.leaseUntil, w.worldTime(x, s.LeaseUntil)-1)
			if s.IsolatedFor > 0 && w.isPartitioned() {
				w.result.Regions.ReportedIsolated++
			}
		}
	}
	if v == rollout.Paused || x.pausedQueries == 0 {
		return
	}
	if at := w.measureWindow(); v == rollout.Admitted && at >= 0 {
		w.regions[x.region].admitted[at] += x.pausedQueries
	}
	x.pausedQueries = 0
}

// window is 0 from the sixth second until the first cut, 1 while it lasts, and -1 else.
func (w *world) measureWindow() int {
	switch {
	case w.partitionFrom == 0 && w.now >= epoch+5*second:
		return 0
	case w.partitionFrom != 0 && w.now < w.partitionUntil:
		return 1
	}
	return -1
}

// letIn judges a query that is let in.
func (w *world) checkRegionAdmission(x *node, number uint64) {
	r, res := w.regions[x.region], &w.result.Regions
	if number < r.newest {
		w.violation(&res.MixedInRegion, "%s of region %d let a query in under version %d after one there under %d", x.name, x.region, number, r.newest)
	}
	if number < w.newest && w.now < r.leaseUntil {
		w.violation(&res.MixedJoined, "%s let a query in under version %d after one elsewhere under %d, and region %d has a lease for %d us yet", x.name, number, w.newest, x.region, r.leaseUntil-w.now)
	}
	if number < r.acknowledged {
		w.violation(&res.WrongAnswers, "version %d was told to be in force in region %d, and %s let a query in under %d", r.acknowledged, x.region, x.name, number)
	}
	r.newest = max(r.newest, number)
}

// partsAre judges the partition of a version: one, and the whole at most.
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

// toldOf takes in what a proposer was told of its change.
func (w *world) checkRegionAnswer(p *proposal, a *wire.Answer) {
	res := &w.result.Regions
	if len(a.InForce)+len(a.Apart) != w.Regions {
		w.violation(&res.WrongAnswers, "an answer names %d regions", len(a.InForce)+len(a.Apart))
	}
	for i, r := range w.regions {
		if slices.Contains(a.InForce, fmt.Sprintf("r%d", i)) {
			r.acknowledged = max(r.acknowledged, a.Number)
		}
	}
	if len(a.Apart) == 0 {
		res.InForceEverywhere++
	} else if res.InForcePartly++; len(w.Partitions) == 0 {
		res.InForcePartlyUncut++
	}
}

// agreed is the newest version that any gatherer that is up has.
func (w *world) newestVersion() (n uint64) {
	for _, x := range w.nodes {
		if x.running {
			n = max(n, x.core.Number())
		}
	}
	return n
}

// rosters are all that are on the roster, as their own region has it.
func (w *world) regionRosters() (on map[string]bool, known bool) {
	on = map[string]bool{}
	for r := range w.Regions {
		var newest []*wire.Member
		var index uint64
		for _, x := range w.nodes {
			if s := x.disk.roster; x.region == r && s.GetMembersIndex() > index {
				index, newest = s.MembersIndex, s.Members
			}
		}
		for _, x := range w.nodes[:w.Voters+w.Others] {
			if newest == nil && x.region == r {
				on[x.name] = true
			}
		}
		for _, m := range newest {
			if m.Region == fmt.Sprintf("r%d", r) {
				on[m.Name] = true
			}
		}
	}
	return on, true
}

// operateRegions has an operator change the roster, or who votes in a region.
func (w *world) operatorRegionAction() {
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator"}
	count := &w.result.RosterChanges
	x := w.nodes[w.rng.IntN(w.Voters+w.Others)]
	switch w.rng.IntN(4) {
	case 0:
		if w.Spares == 0 {
			return
		}
		x = w.nodes[len(w.nodes)-1-w.rng.IntN(w.Spares)]
		p.Add = []*wire.Member{{Name: x.name, Address: x.name, Region: w.regionName(x)}}
	case 1:
		p.Remove = []string{w.nodes[w.Voters+w.rng.IntN(w.Others+w.Spares)].name}
	case 2:
		count = &w.result.VoterChanges
		p.VoterAdd, p.Region = x.name, w.regionName(x)
	case 3:
		count = &w.result.VoterChanges
		p.VoterRemove, p.Region = x.name, w.regionName(x)
	}
	w.submit(&proposal{request: p, proposedAt: w.now, target: w.rng.IntN(len(w.nodes)), onEnd: func(made bool, _ string) {
		if made {
			*count++
		}
	}})
}

// finishRegions judges the end: one version, and nothing open.
func (w *world) checkRegionsEnd() {
	var asked, let [2]int
	for i, r := range w.regions {
		for at := range 2 {
			asked[at], let[at] = asked[at]+r.queries[at], let[at]+r.admitted[at]
			w.result.Regions.ServedAll[at] = float64(let[at]) / float64(max(1, asked[at]))
			served := 1.0
			if r.queries[at] > 0 {
				served = float64(r.admitted[at]) / float64(r.queries[at])
			}
			if i == 0 || served < w.result.Regions.ServedLeast[at] {
				w.result.Regions.ServedLeast[at] = served
			}
		}
	}
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
		for _, d := range x.core.GlobalDecisions() {
			if was, known := w.globalOutcomes[d.Attempt]; known && was != d.Committed {
				w.violation(&w.result.Resurrected, "proposal %d is committed and aborted", d.Attempt)
			}
			w.globalOutcomes[d.Attempt] = d.Committed
		}
	}
}

// budgets looks at what the gatherers that let in may use of a team's budget together: in a region its part of what its version says, in
// all the sum of those parts. The contract halves with each version that is a multiple of four, and doubles with the one after.
func (w *world) checkBudgets() {
	w.schedule(50*ms, w.checkBudgets)
	all, most, least := 0.0, 0.0, 1e9
	for i := range w.regions {
		name := fmt.Sprintf("r%d", i)
		for _, team := range []string{"busy", "idle"} {
			sum, number, up := uint64(0), uint64(0), false
			for _, x := range w.nodes {
				if !x.running || x.suspended || x.region != i {
					continue
				}
				if v, n, _ := x.core.Admit(w.localTime(x)); v == rollout.Admitted {
					sum, number, up = sum+uint64(x.core.Quota().Quota(w.localTime(x), team)), n, true
				}
			}
			if !up {
				continue
			}
			has := uint64(w.regionPart(number, name))
			if w.result.Regions.MostUsed[name] = max(w.result.Regions.MostUsed[name], float64(sum)/float64(max(has, 1))); sum > has {
				w.violation(&w.result.Regions.OverBudget, "the parts of %s in %s come to %d of %d", team, name, sum, has)
			}
			if team == "busy" {
				all += float64(sum) * contract(number)
				most, least = max(most, contract(number)), min(least, contract(number))
			}
		}
	}
	if least < most {
		w.result.Regions.ContractsDiffered++
	}
	if all > quota.PPM*most {
		w.violation(&w.result.Regions.OverBudget, "all parts come to %.0f of a contract of %.0f", all/quota.PPM, most)
	}
}

// contract is a team's under a version.
func contract(number uint64) float64 {
	if number%4 == 0 {
		return 50
	}
	return 100
}

// partIn is a region's part under a version.
func (w *world) regionPart(number uint64, region string) uint32 {
	for _, p := range w.versionParts[number] {
		if p.Region == region {
			return p.Ppm
		}
	}
	return quota.PPM / uint32(w.Regions) // by the first roster
}
