package routecheck

import (
	"fmt"
	"maps"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Failure is one place where an expectation does not hold.
type Failure struct {
	Roster  string        `json:"roster"`
	Gone    string        `json:"gone,omitempty"` // what was away
	Range   string        `json:"range,omitempty"`
	Holders []sq.ServerID `json:"holders,omitempty"` // those that may be sent to
	Why     string        `json:"why"`
}

// Result is how one expectation came out.
type Result struct {
	Name     string    `json:"name"`
	Group    string    `json:"group,omitempty"`
	Reason   string    `json:"reason"`
	OK       bool      `json:"ok"`
	Count    int       `json:"failures"` // of places where it does not hold
	Failures []Failure `json:"first,omitempty"`
}

// mostShown bounds the failures of one expectation that are kept.
const mostShown = 5

func (r *Result) fail(f Failure) {
	r.OK = false
	if r.Count++; len(r.Failures) < mostShown {
		r.Failures = append(r.Failures, f)
	}
}

// loss is what is away at a time.
type loss struct {
	name    string
	servers []sq.Server
}

// Judge holds a roster against expectations. others are the rosters that most_moved compares with, by name. It costs
// O(ranges + sum over the losses of the ranges that they touch) for each expectation; the module is stepped once for each loss, not for
// each expectation.
func Judge(r Roster, others map[string]Roster, expectations []Expectation) ([]Result, error) {
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
		j := &judging{s: s, others: others, expectations: expectations, results: results}
		j.all()
	}
	return results, nil
}

type judging struct {
	s            *subject
	others       map[string]Roster
	expectations []Expectation
	results      []Result
	lost         string
	live         map[int][]sq.ServerID // holders of ranges, under the present loss
	whole        load
	shift        *shift // of the load, by the present loss
	every        []int  // all places in the subject's ranges
}

func (j *judging) all() {
	j.whole = newLoad(j.s)
	j.live = map[int][]sq.ServerID{}
	all := make([]int, len(j.s.ranges))
	for i := range all {
		all[i] = i
	}
	j.every = all
	for i, e := range j.expectations {
		if e.Gone == nil || e.Gone.Any != "" { // what does not hold with all servers is told once
			j.judge(i, all, nil, nil)
		}
	}
	for _, l := range j.losses("server") {
		j.under(l, func(e Expectation) bool {
			return e.Gone != nil && (e.Gone.Any == "server" || e.Gone.Server == string(l.servers[0].ID))
		})
	}
	for _, l := range j.losses("zone") {
		j.under(l, func(e Expectation) bool {
			return e.Gone != nil && (e.Gone.Any == "zone" || e.Gone.Zone == l.servers[0].Zone)
		})
	}
	for i, e := range j.expectations { // what names nobody holds nothing
		if g := e.Gone; g != nil && g.Any == "" && !slices.ContainsFunc(j.s.Servers, func(v sq.Server) bool {
			return g.Server == string(v.ID) || g.Server == "" && g.Zone == v.Zone
		}) {
			j.results[i].fail(Failure{Roster: j.s.Name, Why: "the roster has no such server or zone: " + g.Server + g.Zone})
		}
	}
}

// losses are each server, or each zone, by itself. A loss that no expectation asks for is not played.
func (j *judging) losses(of string) (out []loss) {
	if of == "server" {
		for _, v := range j.s.Servers {
			out = append(out, loss{"server " + string(v.ID), []sq.Server{v}})
		}
		return out
	}
	byZone := map[string][]sq.Server{}
	for _, v := range j.s.Servers {
		byZone[v.Zone] = append(byZone[v.Zone], v)
	}
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		out = append(out, loss{"zone " + z, byZone[z]})
	}
	return out
}

// under judges the expectations that ask for a loss.
func (j *judging) under(l loss, asks func(Expectation) bool) {
	var which []int
	for i, e := range j.expectations {
		if asks(e) {
			which = append(which, i)
		}
	}
	if len(which) == 0 {
		return
	}
	touched := map[int]bool{}
	for _, v := range l.servers {
		for _, at := range j.s.held[v.ID] {
			touched[at] = true
		}
	}
	places := slices.Sorted(maps.Keys(touched))
	j.s.without(l.servers, func() {
		j.lost = l.name
		j.live, j.shift = map[int][]sq.ServerID{}, nil
		for _, i := range which {
			if j.expectations[i].Gone.Any != "" { // the others hold as they do without the loss
				j.judge(i, places, places, l.servers)
			} else {
				j.judge(i, j.every, places, l.servers)
			}
		}
	})
	j.lost = ""
	j.live, j.shift = map[int][]sq.ServerID{}, nil
}

// holders of a range, under the present loss.
func (j *judging) holders(at int) []sq.ServerID {
	hs, ok := j.live[at]
	if !ok {
		hs = j.s.module.Holders(j.s.ranges[at].Shard)
		j.live[at] = hs
	}
	return hs
}

func (j *judging) fail(i, at int, format string, args ...any) {
	f := Failure{Roster: j.s.Name, Gone: j.lost, Why: fmt.Sprintf(format, args...)}
	if at >= 0 {
		f.Range, f.Holders = j.s.ranges[at].Span.String(), j.holders(at)
	}
	j.results[i].fail(f)
}

// judge holds the present state against one expectation, as far as some places are concerned; the loss has touched others, or the same.
func (j *judging) judge(i int, places, touched []int, gone []sq.Server) {
	switch e := j.expectations[i]; {
	case e.LeastHolders != nil:
		for _, at := range places {
			if n := len(j.holders(at)); n < e.LeastHolders.Holders {
				j.fail(i, at, "%d of at least %d holders may be sent to", n, e.LeastHolders.Holders)
			}
		}
	case e.LeastZones != nil:
		j.zones(i, places, e.LeastZones.Zones)
	case e.KeyZones != nil:
		at := j.s.at(e.KeyZones.Key)
		if len(at) == 0 && gone == nil {
			j.fail(i, -1, "key %d lies in no range", e.KeyZones.Key)
		}
		j.zones(i, both(at, places), e.KeyZones.Zones)
	case e.KeyGoesTo != nil:
		j.keyGoesTo(i, e.KeyGoesTo, places, gone)
	case e.GetsNothing != nil:
		j.getsNothing(i, sq.ServerID(e.GetsNothing.Server), places)
	case e.MostLoad != nil:
		j.mostLoad(i, e.MostLoad, touched, gone)
	case e.ContractFits != nil:
		j.contractFits(i, e.ContractFits)
	case gone != nil: // the others do not depend on who is up
	case e.Covers != nil:
		j.covers(i, e.Covers)
	case e.MostParts != nil:
		j.mostParts(i, e.MostParts)
	case e.MostMoved != nil:
		j.mostMoved(i, e.MostMoved)
	case e.NoChange != nil:
		if l := j.s.Layout; l != nil {
			for _, c := range l.Changes() {
				j.fail(i, -1, "change %s (%s) is %s", c.ID, c.Kind, c.State)
			}
		}
	}
}

// both are the places in two lists, of which the second is in order.
func both(a, places []int) (out []int) {
	for _, at := range a {
		if _, ok := slices.BinarySearch(places, at); ok {
			out = append(out, at)
		}
	}
	return out
}

func (j *judging) zones(i int, places []int, want int) {
	var seen []string
	for _, at := range places {
		seen = seen[:0]
		for _, id := range j.holders(at) {
			if z := j.s.zones[id]; !slices.Contains(seen, z) {
				seen = append(seen, z)
			}
		}
		if len(seen) < want {
			j.fail(i, at, "its holders stand in %d of at least %d zones: %v", len(seen), want, seen)
		}
	}
}

func (j *judging) keyGoesTo(i int, e *KeyGoesTo, places []int, gone []sq.Server) {
	at := j.s.at(e.Key)
	if len(at) == 0 && gone == nil {
		j.fail(i, -1, "key %d lies in no range", e.Key)
	}
	for _, at := range both(at, places) {
		to := j.s.send(j.s.ranges[at])
		switch {
		case to == "":
			j.fail(i, at, "the module sends key %d to nobody", e.Key)
		case !slices.Contains(e.Servers, string(to)):
			j.fail(i, at, "the module sends key %d to %s", e.Key, to)
		}
	}
}

// getsNothing has the module send a part of each range that the server is named for.
func (j *judging) getsNothing(i int, id sq.ServerID, places []int) {
	if _, listed := j.s.zones[id]; !listed && j.lost == "" {
		j.fail(i, -1, "the roster has no server %s", id)
		return
	}
	for _, at := range both(j.s.held[id], places) {
		if slices.Contains(j.holders(at), id) {
			j.fail(i, at, "%s may be sent to", id)
		} else if to := j.s.send(j.s.ranges[at]); to == id {
			j.fail(i, at, "the module sends to %s", id)
		}
	}
}

func (j *judging) covers(i int, e *Covers) {
	for _, name := range slices.Sorted(maps.Keys(j.s.Indices)) {
		next := e.From
		for _, p := range j.s.Indices[name].Ranges {
			if p.To <= next || next >= e.To {
				continue
			}
			if p.From > next {
				j.fail(i, -1, "index %s holds nothing from %d to %d", name, next, min(p.From, e.To))
			}
			next = p.To
		}
		if next < e.To {
			j.fail(i, -1, "index %s holds nothing from %d to %d", name, next, e.To)
		}
	}
}

func (j *judging) mostParts(i int, e *MostParts) {
	want := layout.Span{From: e.From, To: e.To}
	for _, name := range slices.Sorted(maps.Keys(j.s.Indices)) {
		shards := map[int]bool{}
		for _, p := range j.s.Indices[name].Ranges {
			if !p.Meet(want).Empty() {
				shards[p.Shard] = true
			}
		}
		if len(shards) > e.Parts {
			j.fail(i, -1, "a query of index %s over %s has %d parts, of %d at most", name, want, len(shards), e.Parts)
		}
	}
}
