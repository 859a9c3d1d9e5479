// Package simulation plays days of a fleet that divides its budgets, in virtual time, on package rollout's model: leases, elections, disks, clocks
// and faults are that one's. It owns the days and their judges; it opens nothing.
package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"

	rm "saffronquay/internal/cluster/rollout/simulation"
)

const second = int64(1_000_000)

// Config is one day.
type Config struct {
	Seed      uint64
	Gatherers int
	Teams     int // of which twelve are busy
	Faults    int // by chance, until eight seconds before the end
	Bugs      quota.Bugs
}

// Result is what came of a day.
type Result struct {
	Over       int     // times that all parts of one team were over the whole
	Most       uint64  // of a team's parts together, in millionths
	Starved    int     // times that a gatherer that runs stood under its floor; or at the calm end under what it should have
	Skewed     float64 // of its budget, what a team gets 3 s after all its traffic went to one gatherer, and to another; the lesser
	Equal      float64 // the same by equal parts
	AfterCrash int64   // microseconds from the crash of who has the most until its part is in use elsewhere; 0: there was none
	First      string
	Policy     rm.Result
}

// Run plays a day: a team's traffic is at all gatherers, then at one, then at another, which crashes; others are loud everywhere, or quiet at
// one. With faults, whatever happens besides; then skew and crash are not measured.
func Run(cfg Config) (r Result, err error) {
	n := cfg.Gatherers
	length := 26 * second
	one, two, three := 7%n, 11%n, 13%n
	r.Equal = 1 / float64(n)
	r.Skewed = 1
	wants := func(now int64, node int) []quota.Demand {
		var all []quota.Demand
		even := quota.Even(uint64(n))
		for i := range 8 { // busy everywhere, in various measure
			all = append(all, quota.Demand{Team: fmt.Sprintf("busy-%d", i), Want: even * uint32(1+(node+i)%4) / 2})
		}
		all = append(all, quota.Demand{Team: "loud", Want: quota.PPM})
		if node == n-1 {
			all = append(all, quota.Demand{Team: "quiet", Want: 300_000})
		}
		at := -1
		switch {
		case now < 5*second:
			all = append(all, quota.Demand{Team: "moves", Want: even})
		case now < 9*second:
			at = one
		case now < 14*second:
			at = two
		default:
			at = three
		}
		if node == at {
			all = append(all, quota.Demand{Team: "moves", Want: quota.PPM})
		}
		return all
	}
	teams := []string{"moves", "loud", "quiet", "idle"}
	for i := range 8 {
		teams = append(teams, fmt.Sprintf("busy-%d", i))
	}
	floor := quota.Floor(uint64(n))
	crash := 13 * second
	watch := func(now int64, part func(int, string) uint32) {
		for _, team := range teams {
			sum := uint64(0)
			for i := range n {
				p := part(i, team)
				if sum += uint64(p); p != 0 && p < floor {
					r.wrong(&r.Starved, "at %.2f s gatherer %d stands under its floor of %s: %d", float64(now)/1e6, i, team, p)
				}
			}
			if r.Most = max(r.Most, sum); sum > quota.PPM {
				r.wrong(&r.Over, "at %.2f s the parts of %s come to %d", float64(now)/1e6, team, sum)
			}
		}
		near := func(at int64) bool { return now >= at && now < at+second/20 }
		switch {
		case now > length-second && now <= length-second+second/20:
			if part(n-1, "quiet") < 300_000 {
				r.wrong(&r.Starved, "the quiet team has %d", part(n-1, "quiet"))
			}
			for i := range n {
				if part(i, "loud") < quota.Even(uint64(n))/2 {
					r.wrong(&r.Starved, "gatherer %d has %d of the loud team", i, part(i, "loud"))
				}
			}
		case cfg.Faults > 0:
		case near(8 * second):
			r.Skewed = min(r.Skewed, float64(part(one, "moves"))/quota.PPM)
		case near(12 * second):
			r.Skewed = min(r.Skewed, float64(part(two, "moves"))/quota.PPM)
		case now > crash && r.AfterCrash == 0 && part(three, "moves") > quota.PPM*85/100:
			r.AfterCrash = now - crash
		}
	}
	c := rm.Config{
		Seed: cfg.Seed, Voters: 5, Others: n - 5, Faults: cfg.Faults, Calm: length - 8*second, Length: length, Admit: 200_000, Share: true, Wants: wants, Watch: watch,
		Bugs: rollout.Bugs{Share: cfg.Bugs},
	}
	if cfg.Faults == 0 {
		c.At = []rm.At{{At: crash, For: 8 * second, Do: "kill", Node: two}}
	} else {
		c.Loss = []float64{0, 0.05}[cfg.Seed%2]
		c.At = []rm.At{{At: 8 * second, For: 5 * second, Do: "cut", Node: one}, {At: 10 * second, For: 4 * second, Do: "stop", Node: two}}
	}
	r.Policy, err = rm.Run(c)
	return r, err
}

func (r *Result) wrong(count *int, format string, args ...any) {
	if *count++; r.First == "" {
		r.First = fmt.Sprintf(format, args...)
	}
}
