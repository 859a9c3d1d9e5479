package soak

import (
	"cmp"
	"fmt"
	"saffronquay/internal/testing/faults"
	"slices"
	"time"
)

// Query is a query that a client sent. Times are relative to the start of the history, which stores
// the fields under their Go names.
type Query struct {
	Sent, Came time.Duration // when the request was sent, and the response received or the query failed
	Version    int64         // policy version of its admission; -1: not admitted
	At         string        // name of the process
	Status     int           // HTTP status; 0: no response
}

// OutdatedAdmissions returns the number of queries that were admitted under a policy version although
// they were sent after another query had been answered under a later version. first describes the
// first of them.
func OutdatedAdmissions(all []Query) (n int, first string) {
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
				first = fmt.Sprintf("%s admitted a query under version %d that was sent at %s, after %s had answered one under version %d at %s", q.At, q.Version, q.Sent, newest.At, newest.Version, newest.Came)
			}
		}
	}
	return n, first
}

// Reading is the number of parts that a process may have in flight, as its admin endpoint reported it.
// It is stored in the history like Query.
type Reading struct {
	Sent, Came time.Duration // when the request was sent, and the response received
	At         string        // name of the process
	Limit      int
}

// Over returns the number of readings at which all processes together could have more than contract parts
// in flight, plus slack per process; the maximum sum; and a description of the first violation. Each
// process counts with the smaller of its readings before and after that time, so that quota that moves
// from one process to another between two readings is not counted twice.
func Over(readings []Reading, contract, slack int) (n, most int, first string) {
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
				continue // not running, or not responding
			}
			sum, count = sum+min(rs[i-1].Limit, rs[i].Limit), count+1
		}
		if most = max(most, sum); sum > contract+slack*count {
			if n++; first == "" {
				first = fmt.Sprintf("at %s %d processes could have %d parts in flight, contract allows %d", at, count, sum, contract)
			}
		}
	}
	return n, most, first
}

// downtime is a period in which the script had a process stopped or suspended.
type downtime struct {
	who      int
	from, to time.Duration
}

// downtimes returns the periods in which the script has members stopped or suspended.
func downtimes(s faults.Script, members int) (all []downtime) {
	for _, x := range s {
		for i := range members {
			if !x.A.Has(i) {
				continue
			}
			switch x.Do {
			case faults.Stop:
				all = append(all, downtime{i, x.At, x.At + x.For})
			case faults.Kill, faults.Leave:
				to := s.End()
				for _, y := range s {
					if (y.Do == faults.Start || y.Do == faults.Move) && y.At >= x.At && y.A.Has(i) {
						to = y.At
						break
					}
				}
				all = append(all, downtime{i, x.At, to})
			}
		}
	}
	return all
}

// disturbed reports whether a process was stopped or suspended between from and to. Each such period is
// extended by slack on both sides.
func disturbed(all []downtime, who int, from, to, slack time.Duration) bool {
	return slices.ContainsFunc(all, func(a downtime) bool { return a.who == who && from < a.to+slack && to > a.from-slack })
}

// memoryGrows reports whether the memory of a process grows: the median of the last quarter of its samples
// exceeds that of the second quarter by more than half and by more than 24 MB. The samples, in MB, must
// be of one process. Fewer than 40 samples never count as growth.
func memoryGrows(samples []int) bool {
	if len(samples) < 40 {
		return false
	}
	median := func(s []int) int { return slices.Sorted(slices.Values(s))[len(s)/2] }
	q := len(samples) / 4
	before, last := median(samples[q:2*q]), median(samples[3*q:])
	return last > before*3/2 && last > before+24
}
