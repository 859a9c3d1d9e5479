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
type Cut struct {
	At, For int64
	OneWay  int   // 0: both ways; 1: what the first region says is lost; 2: what the others say to it
	Flaps   int64 // so long on, so long off, as long as it lasts; 0: it does not flap
}

// RegionResult is what came of the regions of a run.
type RegionResult struct {
	MixedInRegion int                // queries let in, in a region, under a version after one was let in there under a later one
	MixedJoined   int                // queries let in under a version in a region that had a lease, after one was let in elsewhere under a later one
	TwoTexts      int                // numbers that stand for two documents, or for two partitions of the budgets
	ToldWrong     int                // proposers were told of a region where a version was not in force
	OverContract  int                // times at which parts came to more than they may
	Everywhere    int                // changes that proposers were told to be in force everywhere,
	Partly        int                // and in some regions
	PartlyJoined  int                // of those, while no region was cut off and none had lost its voters
	Served        [2]float64         // of the queries at gatherers that are up those let in, in the region that let in the least: before the first cut, and while it lasts
	ServedAll     [2]float64         // in all regions
	Rejoined      []int64            // from the end of a cut until all are under one version, each
	Most          map[string]float64 // by region, team aside: the most that its parts came to, of what it may
	Behind        int                // times at which a region that was cut off told that it is
	Halved        int                // times at which one region had half the contract that another one had
}

func (r RegionResult) bad() int {
	return r.MixedInRegion + r.MixedJoined + r.TwoTexts + r.ToldWrong + r.OverContract
}

// region is what the model knows of one.
type region struct {
	newest uint64 // that anything was let in under
	acked  uint64 // that a proposer was told to be in force here
	lease  int64  // the end of the last lease that its leaders had of the global agreement
	asked  [2]int
	let    [2]int
}

// found begins what the model keeps of regions.
func (w *world) found() {
	w.divided, w.parts, w.part, w.endsGlobal = map[[2]int]int{}, map[uint64]string{}, map[uint64][]*wire.Part{}, map[uint64]bool{}
	for range w.Regions {
		w.regions = append(w.regions, &region{})
	}
	w.res.Region.Most = map[string]float64{}
	for _, c := range w.Cuts {
		w.later(c.At, func() { w.divide(c) })
	}
	if w.aware() && w.SayNo {
		w.later(w.Calm+3*second, w.mend)
	}
	if w.aware() && w.Share {
		w.later(50*ms, w.budgets)
	}
}

// aware tells that the agreement knows of regions.
func (w *world) aware() bool { return w.Regions > 0 && !w.Unaware }

func (w *world) regionOf(x *node) string {
	if !w.aware() {
		return ""
	}
	return fmt.Sprintf("r%d", x.region)
}

// divide cuts the first region off from the others.
func (w *world) divide(c Cut) {
	add := func(n int) {
		for r := 1; r <= w.Regions; r++ { // and the witness's place
			if c.OneWay != 2 {
				w.divided[[2]int{0, r}] += n
			}
			if c.OneWay != 1 {
				w.divided[[2]int{r, 0}] += n
			}
		}
	}
	end := w.now + c.For
	if w.apartAt == 0 {
		w.apartAt, w.apartTo = w.now, end
	}
	var flap func()
	flap = func() {
		add(1)
		on := c.Flaps
		if on == 0 {
			on = c.For
		}
		w.later(min(on, end-w.now), func() {
			if w.now >= epoch+w.Calm && len(w.divided) == 0 {
				return // all is over already
			}
			add(-1)
			if w.now >= end || w.now+c.Flaps >= end {
				w.rejoin(w.now)
			} else {
				w.later(c.Flaps, flap)
			}
		})
	}
	flap()
}

// mend has an operator propose a document that all take, until one is in force everywhere: a gatherer of a region that was apart may turn
// down what is in force elsewhere, and then the region stays where it is.
func (w *world) mend() {
	if w.joined() || w.now > epoch+w.Length-4*second {
		return
	}
	w.proposed++
	w.submit(&proposal{p: &wire.Propose{Nonce: w.proposed, Base: w.agreed(), Text: []byte{255, byte(w.proposed), byte(w.proposed >> 8)}, By: "operator"}, at: w.now, to: 0, op: func(bool, string) {
		w.later(second, w.mend)
	}})
}

// cutOff tells that some word is lost between regions.
func (w *world) cutOff() bool {
	for _, n := range w.divided {
		if n > 0 {
			return true
		}
	}
	return false
}

// rejoin looks when all are under one version again.
func (w *world) rejoin(since int64) {
	if w.cutOff() || w.Unaware {
		return // cut again before that: the next end counts
	}
	if w.joined() {
		w.res.Region.Rejoined = append(w.res.Region.Rejoined, w.now-since)
		return
	}
	if w.now-since > 30*second {
		w.wrong(&w.res.Stuck, "30 s after the cut there are still two versions")
		return
	}
	w.later(20*ms, func() { w.rejoin(since) })
}

// joined tells that every gatherer that is up lets in under one version, and all regions have a lease.
func (w *world) joined() bool {
	number := uint64(math.MaxUint64)
	for _, x := range w.nodes[:w.Voters+w.Others] {
		if !x.up || x.stopped {
			continue
		}
		if number == math.MaxUint64 {
			number = x.n.Number()
		}
		if x.n.Number() != number {
			return false
		}
	}
	for _, r := range w.regions {
		if r.lease <= w.now {
			return false
		}
	}
	return true
}

// come counts a query that comes to a gatherer which is up, and what becomes of it.
func (w *world) come(x *node) {
	at := w.window()
	if at < 0 {
		return
	}
	r := w.regions[x.region]
	r.asked[at]++
	switch v, _, _ := x.n.Admit(w.local(x)); v {
	case rollout.Let:
		r.let[at]++
	case rollout.Hold:
		x.waiting++
	}
}

// waited lets in what was held, or turns it away.
func (w *world) waited(x *node, v rollout.Verdict) {
	if x.n.Leads() {
		if s, ok := x.n.Region(w.local(x)); ok {
			r := w.regions[x.region]
			r.lease = max(r.lease, w.real(x, s.Until)-1)
			if s.Apart > 0 && w.cutOff() {
				w.res.Region.Behind++
			}
		}
	}
	if v == rollout.Hold || x.waiting == 0 {
		return
	}
	if at := w.window(); v == rollout.Let && at >= 0 {
		w.regions[x.region].let[at] += x.waiting
	}
	x.waiting = 0
}

// window is 0 from the sixth second until the first cut, 1 while it lasts, and -1 else.
func (w *world) window() int {
	switch {
	case w.apartAt == 0 && w.now >= epoch+5*second:
		return 0
	case w.apartAt != 0 && w.now < w.apartTo:
		return 1
	}
	return -1
}

// letIn judges a query that is let in.
func (w *world) letIn(x *node, number uint64) {
	r, res := w.regions[x.region], &w.res.Region
	if number < r.newest {
		w.wrong(&res.MixedInRegion, "%s of region %d let a query in under version %d after one there under %d", x.name, x.region, number, r.newest)
	}
	if number < w.newest && w.now < r.lease {
		w.wrong(&res.MixedJoined, "%s let a query in under version %d after one elsewhere under %d, and region %d has a lease for %d us yet", x.name, number, w.newest, x.region, r.lease-w.now)
	}
	if number < r.acked {
		w.wrong(&res.ToldWrong, "version %d was told to be in force in region %d, and %s let a query in under %d", r.acked, x.region, x.name, number)
	}
	r.newest = max(r.newest, number)
}

// partsAre judges the partition of a version: one, and the whole at most.
func (w *world) partsAre(d *wire.Document) {
	if !w.aware() {
		return
	}
	text, sum := "parts", uint32(0)
	for _, p := range d.Parts {
		text += fmt.Sprintf(" %s=%d", p.Region, p.Ppm)
		sum += p.Ppm
	}
	if was, ok := w.parts[d.Number]; ok && was != text || sum > quota.PPM || sum == 0 {
		w.wrong(&w.res.Region.TwoTexts, "version %d has %s, and %s", d.Number, text, was)
	}
	w.parts[d.Number] = text
	w.part[d.Number] = d.Parts
}

// toldOf takes in what a proposer was told of its change.
func (w *world) toldOf(p *proposal, a *wire.Answer) {
	res := &w.res.Region
	if len(a.InForce)+len(a.Apart) != w.Regions {
		w.wrong(&res.ToldWrong, "an answer names %d regions", len(a.InForce)+len(a.Apart))
	}
	for i, r := range w.regions {
		if slices.Contains(a.InForce, fmt.Sprintf("r%d", i)) {
			r.acked = max(r.acked, a.Number)
		}
	}
	if len(a.Apart) == 0 {
		res.Everywhere++
	} else if res.Partly++; len(w.Cuts) == 0 {
		res.PartlyJoined++
	}
}

// agreed is the newest version that any gatherer that is up has.
func (w *world) agreed() (n uint64) {
	for _, x := range w.nodes {
		if x.up {
			n = max(n, x.n.Number())
		}
	}
	return n
}

// rosters are all that are on the roster, as their own region has it.
func (w *world) rosters() (on map[string]bool, known bool) {
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
func (w *world) operateRegions() {
	w.proposed++
	p := &wire.Propose{Nonce: w.proposed, By: "operator"}
	count := &w.res.Rosters
	x := w.nodes[w.rng.IntN(w.Voters+w.Others)]
	switch w.rng.IntN(4) {
	case 0:
		if w.Spares == 0 {
			return
		}
		x = w.nodes[len(w.nodes)-1-w.rng.IntN(w.Spares)]
		p.Add = []*wire.Member{{Name: x.name, Address: x.name, Region: w.regionOf(x)}}
	case 1:
		p.Remove = []string{w.nodes[w.Voters+w.rng.IntN(w.Others+w.Spares)].name}
	case 2:
		count = &w.res.Voters
		p.VoterAdd, p.Region = x.name, w.regionOf(x)
	case 3:
		count = &w.res.Voters
		p.VoterRemove, p.Region = x.name, w.regionOf(x)
	}
	w.submit(&proposal{p: p, at: w.now, to: w.rng.IntN(len(w.nodes)), op: func(made bool, _ string) {
		if made {
			*count++
		}
	}})
}

// finishRegions judges the end: one version, and nothing open.
func (w *world) finishRegions() {
	var asked, let [2]int
	for i, r := range w.regions {
		for at := range 2 {
			asked[at], let[at] = asked[at]+r.asked[at], let[at]+r.let[at]
			w.res.Region.ServedAll[at] = float64(let[at]) / float64(max(1, asked[at]))
			served := 1.0
			if r.asked[at] > 0 {
				served = float64(r.let[at]) / float64(r.asked[at])
			}
			if i == 0 || served < w.res.Region.Served[at] {
				w.res.Region.Served[at] = served
			}
		}
	}
	if w.Unaware {
		return
	}
	if !w.joined() {
		w.wrong(&w.res.Stuck, "there is more than one version at the end, or a region has no lease")
	}
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		if x.up && x.n.GlobalLeads() && x.n.GlobalOpen() != 0 {
			w.wrong(&w.res.Stuck, "proposal %d is open at the end", x.n.GlobalOpen())
		}
		for _, d := range x.n.GlobalDecisions() {
			if was, known := w.endsGlobal[d.Attempt]; known && was != d.Committed {
				w.wrong(&w.res.Resurrected, "proposal %d is committed and aborted", d.Attempt)
			}
			w.endsGlobal[d.Attempt] = d.Committed
		}
	}
}

// budgets looks at what the gatherers that let in may use of a team's budget together: in a region its part of what its version says, in
// all the sum of those parts. The contract halves with each version that is a multiple of four, and doubles with the one after.
func (w *world) budgets() {
	w.later(50*ms, w.budgets)
	all, most, least := 0.0, 0.0, 1e9
	for i := range w.regions {
		name := fmt.Sprintf("r%d", i)
		for _, team := range []string{"busy", "idle"} {
			sum, number, up := uint64(0), uint64(0), false
			for _, x := range w.nodes {
				if !x.up || x.stopped || x.region != i {
					continue
				}
				if v, n, _ := x.n.Admit(w.local(x)); v == rollout.Let {
					sum, number, up = sum+uint64(x.n.Parts().Quota(w.local(x), team)), n, true
				}
			}
			if !up {
				continue
			}
			has := uint64(w.partIn(number, name))
			if w.res.Region.Most[name] = max(w.res.Region.Most[name], float64(sum)/float64(max(has, 1))); sum > has {
				w.wrong(&w.res.Region.OverContract, "the parts of %s in %s come to %d of %d", team, name, sum, has)
			}
			if team == "busy" {
				all += float64(sum) * contract(number)
				most, least = max(most, contract(number)), min(least, contract(number))
			}
		}
	}
	if least < most {
		w.res.Region.Halved++
	}
	if all > quota.PPM*most {
		w.wrong(&w.res.Region.OverContract, "all parts come to %.0f of a contract of %.0f", all/quota.PPM, most)
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
func (w *world) partIn(number uint64, region string) uint32 {
	for _, p := range w.part[number] {
		if p.Region == region {
			return p.Ppm
		}
	}
	return quota.PPM / uint32(w.Regions) // by the first roster
}
