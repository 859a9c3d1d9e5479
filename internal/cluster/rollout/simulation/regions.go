package simulation

import (
	"fmt"
	"math"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// region is the record of one region.
type region struct {
	newest       uint64 // the newest version that a query was admitted under
	acknowledged uint64 // the newest version that a proposer was told is in force here
	leaseUntil   int64  // the latest end of a lease that its leaders had from the global agreement
	queries      [2]int // by window: before the first partition, and during it
	admitted     [2]int // of those
}

const (
	// maxRejoin is the time after a partition within which all nodes have to be under one version.
	maxRejoin = 30 * second
	// warmUp is the time at the start of a run during which queries are not counted.
	warmUp = 5 * second
)

// startRegions initializes the records of the regions, and schedules their partitions and checks.
func (w *world) startRegions() {
	w.cutRegions, w.partTexts, w.versionParts, w.globalOutcomes = map[[2]int]int{}, map[uint64]string{}, map[uint64][]*wire.Part{}, map[uint64]bool{}
	for range w.Regions {
		w.regions = append(w.regions, &region{})
	}
	w.result.Regions.MostUsed = map[string]float64{}
	for _, p := range w.Partitions {
		w.schedule(p.At, func() { w.partitionRegions(p) })
	}
	if w.hasRegions() && w.RejectSome {
		w.schedule(w.FaultsEnd+3*second, w.proposeUntilJoined)
	}
	if w.hasRegions() && w.DivideBudgets {
		w.schedule(quotaPeriod, w.checkBudgets)
	}
}

// hasRegions reports whether the agreement is configured with regions.
func (w *world) hasRegions() bool { return w.Regions > 0 && !w.IgnoreRegions }

// regionName returns the name of a node's region, or "" if the agreement is configured without
// regions.
func (w *world) regionName(x *node) string {
	if !w.hasRegions() {
		return ""
	}
	return nameOfRegion(x.region)
}

func nameOfRegion(index int) string { return fmt.Sprintf("r%d", index) }

// partitionRegions partitions the first region from the others.
func (w *world) partitionRegions(p Partition) {
	end := w.now + p.Duration
	if w.partitionFrom == 0 {
		w.partitionFrom, w.partitionUntil = w.now, end
	}
	w.flap(p, end)
}

// flap cuts the links for one period, or for the complete duration of a partition that does not
// flap, and schedules the next period until the partition ends.
func (w *world) flap(p Partition, end int64) {
	w.cutFirstRegion(p.OneWay, 1)
	period := p.FlapPeriod
	if period == 0 {
		period = p.Duration
	}
	w.schedule(min(period, end-w.now), func() {
		if w.now >= epoch+w.FaultsEnd && len(w.cutRegions) == 0 {
			return // all faults have ended
		}
		w.cutFirstRegion(p.OneWay, -1)
		if w.now >= end || w.now+p.FlapPeriod >= end {
			w.awaitRejoin(w.now)
		} else {
			w.schedule(p.FlapPeriod, func() { w.flap(p, end) })
		}
	})
}

// cutFirstRegion adds n to the number of cuts between the first region and each other one,
// including the witness's.
func (w *world) cutFirstRegion(oneWay, n int) {
	for r := 1; r <= w.Regions; r++ {
		if oneWay != towardsFirst {
			w.cutRegions[[2]int{0, r}] += n
		}
		if oneWay != fromFirst {
			w.cutRegions[[2]int{r, 0}] += n
		}
	}
}

// isPartitioned reports whether messages between regions are lost now.
func (w *world) isPartitioned() bool {
	for _, n := range w.cutRegions {
		if n > 0 {
			return true
		}
	}
	return false
}

// proposeUntilJoined makes an operator propose documents that all nodes find valid, until one is in
// force everywhere: a node of a region that was isolated may reject the version that is in force
// elsewhere, and then the region keeps its own.
func (w *world) proposeUntilJoined() {
	if w.allJoined() || w.now > epoch+w.Length-4*second {
		return
	}
	w.lastNonce++
	request := &wire.Propose{Nonce: w.lastNonce, Base: w.newestVersion(), Text: w.newText(), By: "operator"}
	w.submit(&proposal{request: request, proposedAt: w.now, target: 0, onEnd: func(bool, string) {
		w.schedule(second, w.proposeUntilJoined)
	}})
}

// awaitRejoin records when all nodes are under one version again after a partition.
func (w *world) awaitRejoin(since int64) {
	if w.isPartitioned() || w.IgnoreRegions {
		return // partitioned again: the end of the next partition counts
	}
	if w.allJoined() {
		w.result.Regions.RejoinTimes = append(w.result.Regions.RejoinTimes, w.now-since)
		return
	}
	if w.now-since > maxRejoin {
		w.violation(&w.result.Stuck, "30 s after the cut there are still two versions")
		return
	}
	w.schedule(20*ms, func() { w.awaitRejoin(since) })
}

// allJoined reports whether all running nodes are under one version and all regions have a lease.
func (w *world) allJoined() bool {
	number := uint64(math.MaxUint64)
	for _, x := range w.nodes[:w.Voters+w.Others] {
		if !x.runs() {
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

// countQuery counts a query that arrives at a running node, and whether it is admitted.
func (w *world) countQuery(x *node) {
	window := w.measureWindow()
	if window < 0 {
		return
	}
	r := w.regions[x.region]
	r.queries[window]++
	switch decision, _, _ := x.core.Admit(w.localTime(x)); decision {
	case rollout.Admitted:
		r.admitted[window]++
	case rollout.Paused:
		x.pausedQueries++
	}
}

// countPausedQueries counts queries that were paused and are admitted now. At a region's leader it
// also records the region's lease.
func (w *world) countPausedQueries(x *node, decision rollout.Admission) {
	if x.core.IsLeader() {
		if status, ok := x.core.Region(w.localTime(x)); ok {
			r := w.regions[x.region]
			r.leaseUntil = max(r.leaseUntil, w.worldTime(x, status.LeaseUntil)-1)
			if status.IsolatedFor > 0 && w.isPartitioned() {
				w.result.Regions.ReportedIsolated++
			}
		}
	}
	if decision == rollout.Paused || x.pausedQueries == 0 {
		return
	}
	if window := w.measureWindow(); decision == rollout.Admitted && window >= 0 {
		w.regions[x.region].admitted[window] += x.pausedQueries
	}
	x.pausedQueries = 0
}

// measureWindow returns 0 after the warm-up until the first partition, 1 during that partition, and
// -1 otherwise.
func (w *world) measureWindow() int {
	switch {
	case w.partitionFrom == 0 && w.now >= epoch+warmUp:
		return 0
	case w.partitionFrom != 0 && w.now < w.partitionUntil:
		return 1
	}
	return -1
}

// newestVersion returns the newest version of any running node.
func (w *world) newestVersion() (number uint64) {
	for _, x := range w.nodes {
		if x.running {
			number = max(number, x.core.Number())
		}
	}
	return number
}

// regionRosters returns the names of all nodes that are on the newest roster of their own region,
// or on the initial roster before a disk of the region has one.
func (w *world) regionRosters() (on map[string]bool) {
	on = map[string]bool{}
	for r := range w.Regions {
		newest := w.newestRoster(func(x *node) bool { return x.region == r })
		for _, x := range w.nodes[:w.Voters+w.Others] {
			if newest == nil && x.region == r {
				on[x.name] = true
			}
		}
		for _, m := range newest {
			if m.Region == nameOfRegion(r) {
				on[m.Name] = true
			}
		}
	}
	return on
}
