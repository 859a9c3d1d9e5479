package routecheck

import (
	"fmt"
	"maps"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Failure is one case in which an expectation is not met.
type Failure struct {
	Roster  string        `json:"roster"`
	Gone    string        `json:"gone,omitempty"` // simulated loss, such as "zone a"; empty: none
	Range   string        `json:"range,omitempty"`
	Holders []sq.ServerID `json:"holders,omitempty"` // available holders of the range
	Why     string        `json:"why"`
}

// Result is the outcome of one expectation.
type Result struct {
	Name     string    `json:"name"`
	Group    string    `json:"group,omitempty"`
	Reason   string    `json:"reason"`
	OK       bool      `json:"ok"`
	Count    int       `json:"failures"`        // total number of failures
	Failures []Failure `json:"first,omitempty"` // the first maxReported failures
}

// maxReported is the maximum number of failures of one expectation in its Result.
const maxReported = 5

func (r *Result) fail(f Failure) {
	r.OK = false
	if r.Count++; len(r.Failures) < maxReported {
		r.Failures = append(r.Failures, f)
	}
}

// loss is a simulated simultaneous loss of servers.
type loss struct {
	name    string
	servers []sq.Server
}

// Evaluate evaluates expectations of a roster, in each of its Variants, and returns a result for
// each expectation in their order. others are the rosters by name that most_moved compares with. It
// returns an error if the settings of the roster are invalid. For each expectation it takes
// O(ranges + ranges affected by each loss) time. Each loss is applied to the decision module once
// for all expectations.
func Evaluate(r Roster, others map[string]Roster, expectations []Expectation) ([]Result, error) {
	results := make([]Result, len(expectations))
	for i, e := range expectations {
		results[i] = Result{Name: e.Name, Group: e.Group, Reason: e.Reason, OK: true}
	}
	variants, err := r.Variants()
	if err != nil {
		return nil, err
	}
	for _, v := range variants {
		s, err := newSubject(v)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", v.Name, err)
		}
		ev := &evaluation{s: s, others: others, expectations: expectations, results: results}
		ev.run()
	}
	return results, nil
}

// evaluation is the state of Evaluate for one variant of a roster. Places are indexes of the
// subject's ranges.
type evaluation struct {
	s            *subject
	others       map[string]Roster
	expectations []Expectation
	results      []Result
	lossName     string
	liveHolders  map[int][]sq.ServerID // cache of holders by place under the current loss
	baseline     load
	shift        *shift // cache of the load shift by the current loss; nil: not computed
	allPlaces    []int
}

// run evaluates all expectations: without a loss, then for each server, then for each zone.
func (ev *evaluation) run() {
	ev.baseline = newLoad(ev.s)
	ev.liveHolders = map[int][]sq.ServerID{}
	all := make([]int, len(ev.s.ranges))
	for i := range all {
		all[i] = i
	}
	ev.allPlaces = all
	for i, e := range ev.expectations {
		if e.Gone == nil || e.Gone.Any != "" { // with any, failures that need no loss are reported only here
			ev.evaluate(i, all, nil, nil)
		}
	}
	for _, l := range ev.losses(anyServer) {
		ev.evaluateLoss(l, func(e Expectation) bool {
			return e.Gone != nil && (e.Gone.Any == anyServer || e.Gone.Server == string(l.servers[0].ID))
		})
	}
	for _, l := range ev.losses(anyZone) {
		ev.evaluateLoss(l, func(e Expectation) bool {
			return e.Gone != nil && (e.Gone.Any == anyZone || e.Gone.Zone == l.servers[0].Zone)
		})
	}
	for i, e := range ev.expectations { // fail expectations whose loss names an unknown server or zone
		if g := e.Gone; g != nil && g.Any == "" && !slices.ContainsFunc(ev.s.Servers, func(v sq.Server) bool {
			return g.Server == string(v.ID) || g.Server == "" && g.Zone == v.Zone
		}) {
			ev.results[i].fail(Failure{Roster: ev.s.Name, Why: "gone: unknown server or zone " + g.Server + g.Zone})
		}
	}
}

// losses returns one loss for each server, or for each zone.
func (ev *evaluation) losses(of string) (out []loss) {
	if of == anyServer {
		for _, v := range ev.s.Servers {
			out = append(out, loss{"server " + string(v.ID), []sq.Server{v}})
		}
		return out
	}
	byZone := map[string][]sq.Server{}
	for _, v := range ev.s.Servers {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		out = append(out, loss{"zone " + z, byZone[z]})
	}
	return out
}

// evaluateLoss evaluates the expectations that apply to a loss. It does not simulate the loss if
// none applies.
func (ev *evaluation) evaluateLoss(l loss, applies func(Expectation) bool) {
	var which []int
	for i, e := range ev.expectations {
		if applies(e) {
			which = append(which, i)
		}
	}
	if len(which) == 0 {
		return
	}
	affected := map[int]bool{}
	for _, v := range l.servers {
		for _, at := range ev.s.placesOf[v.ID] {
			affected[at] = true
		}
	}
	places := slices.Sorted(maps.Keys(affected))
	ev.s.without(l.servers, func() {
		ev.lossName = l.name
		ev.liveHolders, ev.shift = map[int][]sq.ServerID{}, nil
		for _, i := range which {
			if ev.expectations[i].Gone.Any != "" { // at other places the result is the same as without the loss
				ev.evaluate(i, places, places, l.servers)
			} else {
				ev.evaluate(i, ev.allPlaces, places, l.servers)
			}
		}
	})
	ev.lossName = ""
	ev.liveHolders, ev.shift = map[int][]sq.ServerID{}, nil
}

// holders returns the holders of the range at a place that are available under the current loss.
func (ev *evaluation) holders(at int) []sq.ServerID {
	hs, ok := ev.liveHolders[at]
	if !ok {
		hs = ev.s.module.Holders(ev.s.ranges[at].Shard)
		ev.liveHolders[at] = hs
	}
	return hs
}

// fail records a failure of expectation i at a place, or without a place if at is negative.
func (ev *evaluation) fail(i, at int, format string, args ...any) {
	f := Failure{Roster: ev.s.Name, Gone: ev.lossName, Why: fmt.Sprintf(format, args...)}
	if at >= 0 {
		f.Range, f.Holders = ev.s.ranges[at].Span.String(), ev.holders(at)
	}
	ev.results[i].fail(f)
}

// evaluate evaluates one expectation under the current loss, for the given places. affected are the
// places of the lost servers, gone the lost servers; both are nil without a loss.
func (ev *evaluation) evaluate(i int, places, affected []int, gone []sq.Server) {
	switch e := ev.expectations[i]; {
	case e.LeastHolders != nil:
		for _, at := range places {
			if n := len(ev.holders(at)); n < e.LeastHolders.Holders {
				ev.fail(i, at, "%d available holders, want at least %d", n, e.LeastHolders.Holders)
			}
		}
	case e.LeastZones != nil:
		ev.zones(i, places, e.LeastZones.Zones)
	case e.KeyZones != nil:
		at := ev.s.at(e.KeyZones.Key)
		if len(at) == 0 && gone == nil {
			ev.fail(i, -1, "key %d is in no range", e.KeyZones.Key)
		}
		ev.zones(i, intersect(at, places), e.KeyZones.Zones)
	case e.KeyGoesTo != nil:
		ev.keyGoesTo(i, e.KeyGoesTo, places, gone)
	case e.GetsNothing != nil:
		ev.getsNothing(i, sq.ServerID(e.GetsNothing.Server), places)
	case e.MostLoad != nil:
		ev.mostLoad(i, e.MostLoad, affected, gone)
	case e.ContractFits != nil:
		ev.contractFits(i, e.ContractFits)
	case gone != nil: // the kinds below do not depend on which servers are available
	case e.Covers != nil:
		ev.covers(i, e.Covers)
	case e.MostParts != nil:
		ev.mostParts(i, e.MostParts)
	case e.MostMoved != nil:
		ev.mostMoved(i, e.MostMoved)
	case e.NoChange != nil:
		if l := ev.s.Layout; l != nil {
			for _, c := range l.Changes() {
				ev.fail(i, -1, "layout change %s (%s) is in progress: %s", c.ID, c.Kind, c.State)
			}
		}
	}
}

// intersect returns the elements of a that are also in places, which must be sorted.
func intersect(a, places []int) (out []int) {
	for _, at := range a {
		if _, ok := slices.BinarySearch(places, at); ok {
			out = append(out, at)
		}
	}
	return out
}

// zones checks that the holders at each place are in enough zones.
func (ev *evaluation) zones(i int, places []int, want int) {
	var seen []string
	for _, at := range places {
		seen = seen[:0]
		for _, id := range ev.holders(at) {
			if z := ev.s.zones[id]; !slices.Contains(seen, z) {
				seen = append(seen, z)
			}
		}
		if len(seen) < want {
			ev.fail(i, at, "holders in %d zones, want at least %d: %v", len(seen), want, seen)
		}
	}
}

// keyGoesTo checks which server the module sends the part of the key to, for each range that
// contains it.
func (ev *evaluation) keyGoesTo(i int, e *KeyGoesTo, places []int, gone []sq.Server) {
	at := ev.s.at(e.Key)
	if len(at) == 0 && gone == nil {
		ev.fail(i, -1, "key %d is in no range", e.Key)
	}
	for _, at := range intersect(at, places) {
		to := ev.s.send(ev.s.ranges[at])
		switch {
		case to == "":
			ev.fail(i, at, "the module sends key %d to no server", e.Key)
		case !slices.Contains(e.Servers, string(to)):
			ev.fail(i, at, "the module sends key %d to %s, which is not listed", e.Key, to)
		}
	}
}

// getsNothing checks, for each range that the server may hold, that it is not an available holder
// and that the module does not send a part to it.
func (ev *evaluation) getsNothing(i int, id sq.ServerID, places []int) {
	if _, listed := ev.s.zones[id]; !listed && ev.lossName == "" {
		ev.fail(i, -1, "unknown server %s", id)
		return
	}
	for _, at := range intersect(ev.s.placesOf[id], places) {
		if slices.Contains(ev.holders(at), id) {
			ev.fail(i, at, "%s is an available holder", id)
		} else if to := ev.s.send(ev.s.ranges[at]); to == id {
			ev.fail(i, at, "the module sends a part to %s", id)
		}
	}
}

// covers checks that the ranges of each index cover the span, and reports each gap.
func (ev *evaluation) covers(i int, e *Covers) {
	for _, name := range slices.Sorted(maps.Keys(ev.s.Indices)) {
		next := e.From
		for _, p := range ev.s.Indices[name].Ranges {
			if p.To <= next || next >= e.To {
				continue
			}
			if p.From > next {
				ev.fail(i, -1, "index %s has no range for keys %d to %d", name, next, min(p.From, e.To))
			}
			next = p.To
		}
		if next < e.To {
			ev.fail(i, -1, "index %s has no range for keys %d to %d", name, next, e.To)
		}
	}
}

// mostParts checks the number of shards that a query over the span needs, for each index.
func (ev *evaluation) mostParts(i int, e *MostParts) {
	want := layout.Span{From: e.From, To: e.To}
	for _, name := range slices.Sorted(maps.Keys(ev.s.Indices)) {
		shards := map[int]bool{}
		for _, p := range ev.s.Indices[name].Ranges {
			if !p.Intersect(want).Empty() {
				shards[p.Shard] = true
			}
		}
		if len(shards) > e.Parts {
			ev.fail(i, -1, "a query of index %s over keys %s has %d parts, want at most %d", name, want, len(shards), e.Parts)
		}
	}
}
