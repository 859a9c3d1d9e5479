package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"

	sq "saffronquay"
)

// slowStart is a day on which a quarter of the servers are lost and come back warming up, with two, twenty or thirty gatherers of which a tenth
// have several times the traffic of the others. With restarts a third of the gatherers is killed just before the servers return, and another
// third while they warm up: those have neither learnt what warm servers carry nor saved any credit.
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

// Gatherers without shared state send a warming server, all together, no more than its budget of N calls and a chance excess of 2·√N + 2: with
// two, twenty or thirty of them, uneven traffic, restarts among them, many small parts or few large ones. All the same the server gets work
// while it warms up (a fifth of what it could do, but few hundredths where parts are large and gatherers many), and queries are served.
//
// What the bound rests on: servers of a core or more; a number of gatherers (Settings.Aggregators) that is the fleet's; hints, or served
// work, that are about right in the mean; clocks that agree on a start to within the window; and gatherers whose list shows the start.
func TestTheSumToAWarmingServer(t *testing.T) {
	seeds, fleets, after := uint64(6), []int{2, 20, 30}, []bool{false, true}
	if harness.RaceEnabled { // the rest is played without the race detector, which makes a day ten times as long
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
					t.Logf("at most %.2f of the budget and chance; %.3f served; a warming server did %.2f of what it could", worst, served, warm)
					if worst > 1 || served < 0.9 || warm < 0.01 {
						t.Errorf("at most %.2f of the budget and chance, want 1; %.3f served, want 0.9; a warming server did %.2f of what it could, want 0.01",
							worst, served, warm)
					}
				})
			}
		}
	}
}

// No class, effect, third of the day or tenant is starved by another: each has at least a third of the fraction served that the day as a whole
// has, on calm days, under a burst, under an overload that lasts, and with a zone lost; whether the many parts belong to the class of the
// highest value or to that of the lowest. Under overload the value of a class decides what goes first, so that the lowest gets least.
func TestNoClassOrTenantIsStarved(t *testing.T) {
	for name, day := range map[string]func(uint64, int, int) Day{
		"calm": Fleet, "burst": Burst, "zone": ZoneLost,
		"overload": func(seed uint64, g, s int) Day { d := Fleet(seed, g, s); d.Load = 1.3; return d },
		"heavy and cheap": func(seed uint64, g, s int) Day {
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
						t.Errorf("%s %d: %.3f served, of all %.3f", what, i, p.Served(), r.Served)
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
