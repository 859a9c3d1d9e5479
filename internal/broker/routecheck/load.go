package routecheck

import (
	"cmp"
	"maps"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// load is how the keys' work falls to servers: each range counts its width, and its holders share it.
type load struct {
	of    map[sq.ServerID]float64
	most  []sq.ServerID // those that hold something, the busiest first
	total float64       // of ranges that somebody holds
	count []int         // by range, how many hold it
}

// shift is what a loss makes of a load.
type shift struct {
	moved   map[sq.ServerID]float64 // what servers get beside what they had
	away    map[sq.ServerID]bool
	total   float64
	holders int
}

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

func width(s layout.Span) float64 { return float64(s.To) - float64(s.From) }

// shifted is what the present loss moves, worked out once for all expectations: O(touched ranges).
func (j *judging) shifted(touched []int, gone []sq.Server) *shift {
	if j.shift != nil {
		return j.shift
	}
	x := &shift{moved: map[sq.ServerID]float64{}, away: map[sq.ServerID]bool{}, total: j.whole.total, holders: len(j.whole.most)}
	for _, v := range gone {
		x.away[v.ID] = true
		if _, held := j.whole.of[v.ID]; held {
			x.holders--
		}
	}
	for _, at := range touched {
		w, now := width(j.s.ranges[at].Span), j.holders(at)
		for _, id := range now {
			x.moved[id] += w/float64(len(now)) - w/float64(j.whole.count[at])
		}
		if len(now) == 0 && j.whole.count[at] > 0 {
			x.total -= w
		}
	}
	j.shift = x
	return x
}

// mostLoad goes by the whole load and by what a loss moves: O(servers that are moved something or have too much).
func (j *judging) mostLoad(i int, e *MostLoad, touched []int, gone []sq.Server) {
	x := j.shifted(touched, gone)
	if x.holders <= 0 {
		j.fail(i, -1, "nobody holds anything")
		return
	}
	mean := x.total / float64(x.holders)
	judge := func(id sq.ServerID, has float64) bool {
		over := has > mean*e.TimesMean*(1+1e-9)
		if over {
			j.fail(i, -1, "%s has %.2f times the mean, of %.2f at most", id, has/mean, e.TimesMean)
		}
		return over
	}
	for _, id := range j.whole.most {
		if _, is := x.moved[id]; !is && !x.away[id] && !judge(id, j.whole.of[id]) {
			break
		}
	}
	for _, id := range slices.Sorted(maps.Keys(x.moved)) {
		judge(id, j.whole.of[id]+x.moved[id])
	}
}

// mostMoved compares who holds each key with another roster: O(ranges of both).
func (j *judging) mostMoved(i int, e *MostMoved) {
	other, ok := j.others[e.FromRoster]
	if !ok {
		j.fail(i, -1, "there is no roster %q to compare with", e.FromRoster)
		return
	}
	from, err := newSubject(other)
	if err != nil {
		j.fail(i, -1, "roster %q: %v", e.FromRoster, err)
		return
	}
	all, moved, at := 0.0, 0.0, 0
	worst, worstAt := 0.0, -1
	for k, p := range j.s.ranges {
		all += width(p.Span)
		for at > 0 && at < len(from.ranges) && from.ranges[at].From > p.From {
			at--
		}
		for at < len(from.ranges) && from.ranges[at].To <= p.From {
			at++
		}
		now, same := j.holders(k), 0.0
		for n := at; n < len(from.ranges) && from.ranges[n].From < p.To; n++ {
			had := from.module.Holders(from.ranges[n].Shard)
			if !slices.ContainsFunc(now, func(id sq.ServerID) bool { return !slices.Contains(had, id) }) {
				same += width(from.ranges[n].Meet(p.Span))
			}
		}
		if w := width(p.Span) - min(same, width(p.Span)); w > 0 {
			if moved += w; w > worst {
				worst, worstAt = w, k
			}
		}
	}
	if all > 0 && moved/all > e.Share*(1+1e-9) {
		j.fail(i, worstAt, "%.1f%% of the keys get a holder that they have not in %q, of %.1f%% at most; most of them in this range",
			100*moved/all, e.FromRoster, 100*e.Share)
	}
}

// contractFits compares what tenants may ask for with what the servers that are up can do.
func (j *judging) contractFits(i int, e *ContractFits) {
	ix, ok := j.s.Indices[e.Index]
	if !ok {
		j.fail(i, -1, "there is no index %q", e.Index)
		return
	}
	up := j.s.up
	can := float64(up) * e.CoresPerServer * 1e6 / float64(cmp.Or(ix.PartWork, 1))
	asks, known := 0.0, e.Tenant == ""
	for _, t := range j.s.Settings.Tenants {
		if e.Tenant == "" || t.Name == e.Tenant {
			asks += t.Quota * e.Parts
			known = true
		}
	}
	switch {
	case !known:
		j.fail(i, -1, "there is no tenant %q", e.Tenant)
	case ix.PartWork <= 0:
		j.fail(i, -1, "index %q does not say what a part costs (part_work_us)", e.Index)
	case asks > can*e.Share*(1+1e-9):
		j.fail(i, -1, "%.0f parts a second, of %.0f that %d servers can do and %.0f that are meant for it", asks, can, up, can*e.Share)
	}
}
