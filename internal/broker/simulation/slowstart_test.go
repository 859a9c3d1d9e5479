package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"

	sq "saffronquay"
)

// slowStart returns a day on which a quarter of the servers are lost and restart cold. A tenth of
// the gatherers has several times the traffic of the others. With restarts, a third of the
// gatherers is killed just before the servers return, and another third while they warm up: these
// have neither learned what warm servers can process nor saved any credit.
func slowStart(seed uint64, gatherers int, work int64, restarts bool) Day {
	d := Fleet(seed, gatherers, 12)
	scale := work / d.MeanWork
	d.MeanWork = work
	for i := range d.Settings.Classes {
		c := &d.Settings.Classes[i]
		c.LatencyTarget, c.HardLimit = c.LatencyTarget*(scale+1)/2, c.HardLimit*(scale+1)/2
	}
	d.Length = 20 * second
	d.Events = []Disturbance{{At: 3 * second, Duration: 4 * second, Servers: func(i int) bool { return i%4 == int(seed)%4 }}}
	if restarts {
		d.Events = append(d.Events, Disturbance{At: 6 * second, Duration: 1500 * ms, Gatherers: func(i int) bool { return i%3 == 0 }},
			Disturbance{At: 9 * second, Duration: 1500 * ms, Gatherers: func(i int) bool { return i%3 == 1 }})
	}
	return d
}

// Gatherers without shared state send a warming server, in total, at most its budget of N calls
// plus a statistical margin of 2·√N + 2: with two, twenty or thirty gatherers, uneven traffic,
// restarts, and with many small or few large parts. The server still gets work while it warms up (a
// fifth of its capacity, but only a few hundredths if parts are large and gatherers many), and
// queries are served.
//
// The bound assumes servers of a core or more, that Settings.Aggregators is the actual number of
// gatherers, that hints or served work are about right on average, that clocks agree on a start to
// within the window, and that the gatherers' lists show the start.
func TestPlay_WarmUpBudget(t *testing.T) {
	seeds, fleets, after := uint64(6), []int{2, 20, 30}, []bool{false, true}
	if harness.RaceEnabled { // fewer days: the race detector makes each ten times as long
		seeds, fleets, after = 1, []int{2, 30}, []bool{true}
	}
	for _, n := range fleets {
		for _, work := range []int64{18 * ms, 180 * ms} {
			for _, restarts := range after {
				t.Run(fmt.Sprintf("gatherers=%d/work=%dms/restarts=%t", n, work/ms, restarts), func(t *testing.T) {
					t.Parallel()
					worst, served, warm := 0.0, 1.0, 1e9
					for seed := range seeds {
						r, err := Play(slowStart(seed+1, n, work, restarts))
						if err != nil {
							t.Fatal(err)
						}
						worst, served, warm = max(worst, r.WorstBudget), min(served, r.Served), min(warm, r.LeastWarmUpWork)
					}
					t.Logf("at most %.2f of the budget with its margin; %.3f served; at least %.2f of a warming server's capacity used", worst, served, warm)
					if worst > 1 || served < 0.9 || warm < 0.01 {
						t.Errorf("at most %.2f of the budget with its margin, want 1; %.3f served, want 0.9; at least %.2f of a warming server's capacity used, want 0.01",
							worst, served, warm)
					}
				})
			}
		}
	}
}

// No class, effect, third of the day or tenant is starved: each is served at least a third of the
// fraction that the day as a whole is served, without disturbances, under a burst, under lasting
// overload and with a zone lost, whether the queries with many parts have the highest or the lowest
// value. Under overload the value of a class decides what is shed first, so that the class with the
// lowest value gets the least.
func TestPlay_NoClassOrTenantStarved(t *testing.T) {
	for name, day := range map[string]func(uint64, int, int) Day{
		"calm": Fleet, "burst": Burst, "zone": ZoneLost,
		"overload": func(seed uint64, g, s int) Day { d := Fleet(seed, g, s); d.Load = 1.3; return d },
		"many parts, lowest value": func(seed uint64, g, s int) Day {
			d := Fleet(seed, g, s)
			d.Load, d.Settings.Classes[0].Value, d.Settings.Classes[2].Value = 1.2, 1, 4
			return d
		},
		"mostly at most once": func(seed uint64, g, s int) Day {
			d := Fleet(seed, g, s)
			d.Load, d.ClassMix = 1.2, []float64{0.05, 0.15, 0.8}
			return d
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := day(5, 12, 12)
			d.Length = 12 * second
			d.Settings.Tenants = []sq.Tenant{{Name: "a", Quota: 60}, {Name: "b", Quota: 30}, {Name: "c", Quota: 10}}
			d.TenantMix = []float64{0.6, 0.3, 0.1}
			r, err := Play(d)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%.3f served; classes %v, thirds %v, tenants %v", r.Served, servedFractions(r.Classes), servedFractions(r.Thirds), servedFractions(r.Tenants))
			for what, ps := range map[string][]Portion{"class": r.Classes, "third": r.Thirds, "tenant": r.Tenants} {
				for i, p := range ps {
					if p.Served() < r.Served/3 {
						t.Errorf("%s %d: %.3f served, %.3f of the whole day", what, i, p.Served(), r.Served)
					}
				}
			}
		})
	}
}

func servedFractions(ps []Portion) (out []string) {
	for _, p := range ps {
		out = append(out, fmt.Sprintf("%.3f", p.Served()))
	}
	return out
}
