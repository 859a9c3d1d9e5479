package soak

import (
	"cmp"
	"fmt"
	"saffronquay/internal/testing/faults"
	"slices"
	"time"
)

// Query is one that a client sent. Times count from the beginning of the history, in which its fields are stored under their Go names.
type Query struct {
	Sent, Came time.Duration
	Version    int64 // that it was admitted under; -1: it was not admitted
	At         string
	Status     int // 0: there was no answer
}

// Mixed counts the queries that were admitted under a version although they were sent after another was answered under a later version. first
// describes the first of them.
func Mixed(all []Query) (n int, first string) {
	bySent, byCame := slices.Clone(all), slices.Clone(all)
	slices.SortFunc(bySent, func(a, b Query) int { return cmp.Compare(a.Sent, b.Sent) })
	slices.SortFunc(byCame, func(a, b Query) int { return cmp.Compare(a.Came, b.Came) })
	i, newest := 0, Query{Version: -1}
	for _, q := range bySent {
		for ; i < len(byCame) && byCame[i].Came < q.Sent; i++ {
			if byCame[i].Version > newest.Version {
				newest = byCame[i]
			}
		}
		if q.Version >= 0 && q.Version < newest.Version {
			if n++; first == "" {
				first = fmt.Sprintf("%s let one in under %d that was sent at %s, after %s had answered one under %d at %s", q.At, q.Version, q.Sent, newest.At, newest.Version, newest.Came)
			}
		}
	}
	return n, first
}

// Reading is how many parts one process may have in flight, as its admin endpoint reported. It is stored in the history like Query.
type Reading struct {
	Sent, Came time.Duration
	At         string
	Limit      int
}

// Over counts the times at which all together may have had out more than the whole, and slack for each. A process counts with the lesser of
// the readings before and after a time, so that a part that moves between two readings is not counted twice.
func Over(readings []Reading, whole, slack int) (n, most int, first string) {
	by := map[string][]Reading{}
	for _, r := range readings {
		by[r.At] = append(by[r.At], r)
	}
	for _, x := range readings {
		at := x.Came
		sum, count := 0, 0
		for _, rs := range by {
			i, _ := slices.BinarySearchFunc(rs, at, func(r Reading, at time.Duration) int { return cmp.Compare(r.Came, at) })
			if i == 0 || i >= len(rs) || rs[i].Sent-rs[i-1].Came > 2*time.Second {
				continue // it did not run, or did not answer
			}
			sum, count = sum+min(rs[i-1].Limit, rs[i].Limit), count+1
		}
		if most = max(most, sum); sum > whole+slack*count {
			if n++; first == "" {
				first = fmt.Sprintf("at %s %d processes might have %d out, and the contract has %d", at, count, sum, whole)
			}
		}
	}
	return n, most, first
}

// away is a span in which a script had a process ended or suspended.
type away struct {
	who      int
	from, to time.Duration
}

// aways returns the spans of a script's ended and suspended members.
func aways(s faults.Script, members int) (all []away) {
	for _, x := range s {
		for i := range members {
			if !x.A.Has(i) {
				continue
			}
			switch x.Do {
			case faults.Stop:
				all = append(all, away{i, x.At, x.At + x.For})
			case faults.Kill, faults.Leave:
				to := s.End()
				for _, y := range s {
					if (y.Do == faults.Start || y.Do == faults.Move) && y.At >= x.At && y.A.Has(i) {
						to = y.At
						break
					}
				}
				all = append(all, away{i, x.At, to})
			}
		}
	}
	return all
}

// disturbed returns whether a process was away in a span of time, extended by slack on both sides.
func disturbed(all []away, who int, from, to, slack time.Duration) bool {
	return slices.ContainsFunc(all, func(a away) bool { return a.who == who && from < a.to+slack && to > a.from-slack })
}

// grown tells whether a process's memory grows: the median of the last quarter of its samples is over that of the second one by half, and by
// 24 MB at least. Samples are of one life.
func grown(samples []int) bool {
	if len(samples) < 40 {
		return false
	}
	median := func(s []int) int { return slices.Sorted(slices.Values(s))[len(s)/2] }
	q := len(samples) / 4
	before, last := median(samples[q:2*q]), median(samples[3*q:])
	return last > before*3/2 && last > before+24
}
