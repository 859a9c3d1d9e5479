package routecheck

import (
	"cmp"
	"maps"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// roundingTolerance is the factor by which a sum of floating-point numbers may exceed a limit due
// to rounding.
const roundingTolerance = 1 + 1e-9

// microsecondsPerSecond converts the work of a part, which is in microseconds.
const microsecondsPerSecond = 1e6

// load is the load of each server. A range's load is its number of keys, divided evenly among its
// holders.
type load struct {
	of    map[sq.ServerID]float64
	most  []sq.ServerID // holders of any range, by descending load
	total float64       // load of the ranges that have a holder
	count []int         // number of holders by place
}

// shift is the change of a load by a loss.
type shift struct {
	moved   map[sq.ServerID]float64 // additional load of the remaining servers
	away    map[sq.ServerID]bool    // lost servers
	total   float64                 // load of the ranges that still have a holder
	holders int                     // number of remaining servers that hold a range
}

// newLoad computes the load without a loss.
func newLoad(s *subject) load {
	l := load{of: map[sq.ServerID]float64{}}
	for _, p := range s.ranges {
		holders := s.module.Holders(p.Shard)
		l.count = append(l.count, len(holders))
		for _, id := range holders {
			l.of[id] += width(p.Span) / float64(len(holders))
		}
		if len(holders) > 0 {
			l.total += width(p.Span)
		}
	}
	l.most = slices.SortedFunc(maps.Keys(l.of), func(a, b sq.ServerID) int { return cmp.Or(cmp.Compare(l.of[b], l.of[a]), cmp.Compare(a, b)) })
	return l
}

// width returns the number of keys of a span.
func width(s layout.Span) float64 { return float64(s.To) - float64(s.From) }

// shifted returns the shift by the current loss. It is computed once per loss, for the first
// expectation that needs it, in O(affected ranges).
func (ev *evaluation) shifted(affected []int, gone []sq.Server) *shift {
	if ev.shift != nil {
		return ev.shift
	}
	x := &shift{moved: map[sq.ServerID]float64{}, away: map[sq.ServerID]bool{}, total: ev.baseline.total, holders: len(ev.baseline.most)}
	for _, v := range gone {
		x.away[v.ID] = true
		if _, held := ev.baseline.of[v.ID]; held {
			x.holders--
		}
	}
	for _, at := range affected {
		w, now := width(ev.s.ranges[at].Span), ev.holders(at)
		for _, id := range now {
			x.moved[id] += w/float64(len(now)) - w/float64(ev.baseline.count[at])
		}
		if len(now) == 0 && ev.baseline.count[at] > 0 {
			x.total -= w
		}
	}
	ev.shift = x
	return x
}

// mostLoad checks the load of each server. It visits only the servers whose load the loss changes,
// and the others in descending order of load up to the first one within the limit.
func (ev *evaluation) mostLoad(i int, e *MostLoad, affected []int, gone []sq.Server) {
	x := ev.shifted(affected, gone)
	if x.holders <= 0 {
		ev.fail(i, -1, "no available server holds a range")
		return
	}
	mean := x.total / float64(x.holders)
	check := func(id sq.ServerID, has float64) bool {
		over := has > mean*e.TimesMean*roundingTolerance
		if over {
			ev.fail(i, -1, "load of %s is %.2f times the mean, want at most %.2f", id, has/mean, e.TimesMean)
		}
		return over
	}
	for _, id := range ev.baseline.most {
		if _, is := x.moved[id]; !is && !x.away[id] && !check(id, ev.baseline.of[id]) {
			break
		}
	}
	for _, id := range slices.Sorted(maps.Keys(x.moved)) {
		check(id, ev.baseline.of[id]+x.moved[id])
	}
}

// mostMoved compares the holders of each key with those in another roster, in O(ranges of both).
func (ev *evaluation) mostMoved(i int, e *MostMoved) {
	other, ok := ev.others[e.FromRoster]
	if !ok {
		ev.fail(i, -1, "unknown roster %q to compare with", e.FromRoster)
		return
	}
	from, err := newSubject(other)
	if err != nil {
		ev.fail(i, -1, "roster %q: %v", e.FromRoster, err)
		return
	}
	all, moved, at := 0.0, 0.0, 0
	worst, worstAt := 0.0, -1
	for k, p := range ev.s.ranges {
		all += width(p.Span)
		for at > 0 && at < len(from.ranges) && from.ranges[at].From > p.From {
			at--
		}
		for at < len(from.ranges) && from.ranges[at].To <= p.From {
			at++
		}
		same := from.widthWithHolders(p.Span, at, ev.holders(k))
		if w := width(p.Span) - min(same, width(p.Span)); w > 0 {
			if moved += w; w > worst {
				worst, worstAt = w, k
			}
		}
	}
	if all > 0 && moved/all > e.Share*roundingTolerance {
		ev.fail(i, worstAt, "%.1f%% of the keys have a holder that they do not have in roster %q, want at most %.1f%%; most of them are in this range",
			100*moved/all, e.FromRoster, 100*e.Share)
	}
}

// widthWithHolders returns the number of keys of a span that are in ranges held by all of the given
// servers. at is the place of the first range that may intersect the span.
func (s *subject) widthWithHolders(span layout.Span, at int, servers []sq.ServerID) float64 {
	sum := 0.0
	for n := at; n < len(s.ranges) && s.ranges[n].From < span.To; n++ {
		holders := s.module.Holders(s.ranges[n].Shard)
		if !slices.ContainsFunc(servers, func(id sq.ServerID) bool { return !slices.Contains(holders, id) }) {
			sum += width(s.ranges[n].Intersect(span))
		}
	}
	return sum
}

// contractFits compares the parts per second that quotas allow with the capacity of the ready
// servers.
func (ev *evaluation) contractFits(i int, e *ContractFits) {
	ix, ok := ev.s.Indices[e.Index]
	if !ok {
		ev.fail(i, -1, "unknown index %q", e.Index)
		return
	}
	up := ev.s.up
	capacity := float64(up) * e.CoresPerServer * microsecondsPerSecond / float64(cmp.Or(ix.PartWork, 1))
	demand, known := 0.0, e.Tenant == ""
	for _, t := range ev.s.Settings.Tenants {
		if e.Tenant == "" || t.Name == e.Tenant {
			demand += t.Quota * e.Parts
			known = true
		}
	}
	switch {
	case !known:
		ev.fail(i, -1, "unknown tenant %q", e.Tenant)
	case ix.PartWork <= 0:
		ev.fail(i, -1, "index %q has no expected work of a part (part_work_us)", e.Index)
	case demand > capacity*e.Share*roundingTolerance:
		ev.fail(i, -1, "quotas allow %.0f parts/s; capacity is %.0f parts/s with %d ready servers, of which at most %.0f may be used", demand, capacity, up, capacity*e.Share)
	}
}
