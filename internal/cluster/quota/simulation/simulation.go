package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"

	rolloutsim "saffronquay/internal/cluster/rollout/simulation"
)

const (
	second    = int64(1_000_000) // times are microseconds
	dayLength = 26 * second
	crashAt   = 13 * second // crash of the gatherer that has the moving team's traffic
	busyTeams = 8
	// quietDemand is the demand of the quiet team's single gatherer, in PPM.
	quietDemand = 300_000
	// recovered is the quota from which on a crashed gatherer's quota counts as in use elsewhere.
	recovered = quota.PPM * 85 / 100
)

// Config holds the settings of a run.
type Config struct {
	Seed      uint64
	Gatherers int
	Teams     int // number of teams, of which twelve are busy
	Faults    int // number of random faults, until eight seconds before the end
	Bugs      quota.Bugs
}

// Result is the outcome of a run.
type Result struct {
	OverBudget int     // times that the sum of a team's quotas exceeded the budget
	MostUsed   uint64  // the greatest sum of a team's quotas, in PPM
	BelowFloor int     // times that a running gatherer had less than its floor, or less than its fair quota at the end
	Skewed     float64 // minimum fraction of its budget that a team has 3 s after its traffic moved to one gatherer
	Equal      float64 // the same fraction if the budget were divided evenly
	AfterCrash int64   // microseconds from the crash of the gatherer with the greatest quota until it is in use elsewhere; 0: never
	First      string  // text of the first violation
	Policy     rolloutsim.Result
}

// day is the state of a run. The moving team's traffic is at all gatherers first, then at the
// first target, then at the second, which crashes, then at the third. Other teams have a high
// demand everywhere (loud), or some demand at one gatherer (quiet).
type day struct {
	cfg     Config
	targets [3]int
	teams   []string
	even    uint32
	floor   uint32
	result  Result
}

// Run simulates a day. With faults, Skewed and AfterCrash are not measured.
func Run(cfg Config) (Result, error) {
	n := cfg.Gatherers
	d := &day{
		cfg: cfg, targets: [3]int{7 % n, 11 % n, 13 % n}, teams: []string{"moves", "loud", "quiet", "idle"},
		even: quota.EvenQuota(uint64(n)), floor: quota.FloorQuota(uint64(n)),
		result: Result{Equal: 1 / float64(n), Skewed: 1},
	}
	for i := range busyTeams {
		d.teams = append(d.teams, busyTeam(i))
	}
	policy, err := rolloutsim.Run(d.rolloutConfig())
	d.result.Policy = policy
	return d.result, err
}

func busyTeam(i int) string { return fmt.Sprintf("busy-%d", i) }

// rolloutConfig returns the settings for the simulation of package rollout.
func (d *day) rolloutConfig() rolloutsim.Config {
	cfg := rolloutsim.Config{
		Seed: d.cfg.Seed, Voters: 5, Others: d.cfg.Gatherers - 5, Faults: d.cfg.Faults, FaultsEnd: dayLength - 8*second, Length: dayLength,
		QueryInterval: 200_000, DivideBudgets: true, Demand: d.demand, ObserveQuotas: d.check, Bugs: rollout.Bugs{Quota: d.cfg.Bugs},
	}
	if d.cfg.Faults == 0 {
		cfg.Events = []rolloutsim.Event{{At: crashAt, Duration: 8 * second, Action: "kill", Node: d.targets[1]}}
		return cfg
	}
	cfg.Loss = []float64{0, 0.05}[d.cfg.Seed%2]
	cfg.Events = []rolloutsim.Event{
		{At: 8 * second, Duration: 5 * second, Action: "cut", Node: d.targets[0]},
		{At: 10 * second, Duration: 4 * second, Action: "stop", Node: d.targets[1]},
	}
	return cfg
}

// demand returns a gatherer's demand at a time.
func (d *day) demand(now int64, node int) []quota.Demand {
	var all []quota.Demand
	for i := range busyTeams { // at all gatherers, at different levels
		all = append(all, quota.Demand{Team: busyTeam(i), Want: d.even * uint32(1+(node+i)%4) / 2})
	}
	all = append(all, quota.Demand{Team: "loud", Want: quota.PPM})
	if node == d.cfg.Gatherers-1 {
		all = append(all, quota.Demand{Team: "quiet", Want: quietDemand})
	}
	target := -1
	switch {
	case now < 5*second:
		all = append(all, quota.Demand{Team: "moves", Want: d.even})
	case now < 9*second:
		target = d.targets[0]
	case now < 14*second:
		target = d.targets[1]
	default:
		target = d.targets[2]
	}
	if node == target {
		all = append(all, quota.Demand{Team: "moves", Want: quota.PPM})
	}
	return all
}

// check checks the quotas of all gatherers at a time. quotaOf returns 0 for a gatherer that is
// not running.
func (d *day) check(now int64, quotaOf func(int, string) uint32) {
	for _, team := range d.teams {
		d.checkTeam(now, team, quotaOf)
	}
	if within(now, dayLength-second+1) {
		d.checkQuietEnd(quotaOf)
		return
	}
	if d.cfg.Faults > 0 {
		return
	}
	moves := func(node int) float64 { return float64(quotaOf(node, "moves")) / quota.PPM }
	switch {
	case within(now, 8*second):
		d.result.Skewed = min(d.result.Skewed, moves(d.targets[0]))
	case within(now, 12*second):
		d.result.Skewed = min(d.result.Skewed, moves(d.targets[1]))
	case now > crashAt && d.result.AfterCrash == 0 && quotaOf(d.targets[2], "moves") > recovered:
		d.result.AfterCrash = now - crashAt
	}
}

// checkTeam checks that one team's quotas are not below the floor and not above the budget.
func (d *day) checkTeam(now int64, team string, quotaOf func(int, string) uint32) {
	sum := uint64(0)
	for node := range d.cfg.Gatherers {
		q := quotaOf(node, team)
		sum += uint64(q)
		if q != 0 && q < d.floor {
			d.result.violation(&d.result.BelowFloor, "at %.2f s gatherer %d stands under its floor of %s: %d", float64(now)/1e6, node, team, q)
		}
	}
	d.result.MostUsed = max(d.result.MostUsed, sum)
	if sum > quota.PPM {
		d.result.violation(&d.result.OverBudget, "at %.2f s the parts of %s come to %d", float64(now)/1e6, team, sum)
	}
}

// checkQuietEnd checks, near the end and some time after the last fault, that each gatherer has
// its fair quota.
func (d *day) checkQuietEnd(quotaOf func(int, string) uint32) {
	if q := quotaOf(d.cfg.Gatherers-1, "quiet"); q < quietDemand {
		d.result.violation(&d.result.BelowFloor, "the quiet team has %d", q)
	}
	for node := range d.cfg.Gatherers {
		if q := quotaOf(node, "loud"); q < d.even/2 {
			d.result.violation(&d.result.BelowFloor, "gatherer %d has %d of the loud team", node, q)
		}
	}
}

// within reports whether a time is in the interval of 50 ms, the time between checks, that starts
// at another one.
func within(now, at int64) bool { return now >= at && now < at+second/20 }

// violation counts a violation, and records the text of the first one.
func (r *Result) violation(count *int, format string, args ...any) {
	if *count++; r.First == "" {
		r.First = fmt.Sprintf(format, args...)
	}
}
