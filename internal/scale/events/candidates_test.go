package events

import (
	"saffronquay/internal/scale/place"
	"slices"
	"testing"
	"time"

	rm "saffronquay/internal/cluster/rollout/simulation"
)

// Measures a partition of the regions for a minute in rollout's own model: 60 gatherers, five
// voters, a change every 2 s, and thirty gatherers with two of the voters cut off. That model
// cannot cut halves, so each of the thirty is cut off from all others: without a majority it makes
// no difference whether they reach each other. Needs SAFFRONQUAY_MEASURE=1.
func TestMeasureCut(t *testing.T) {
	requireMeasure(t)
	const second = int64(1_000_000)
	for _, keep := range []bool{false, true} {
		for seed := range uint64(3) {
			run := func(cut bool, length int64) rm.Result {
				c := rm.Config{Seed: seed, Voters: 5, Others: 55, FaultsEnd: 75 * second, Length: length, ProposeInterval: 2 * second, QueryInterval: 20_000, StartAt: 2 * second, KeepSome: keep}
				for i := 3; cut && i < 33; i++ {
					c.Events = append(c.Events, rm.Event{At: 10 * second, Duration: 60 * second, Action: "cut", Node: i})
				}
				r, err := rm.Run(c)
				if err != nil {
					t.Fatal(err)
				}
				return r
			}
			before, during, uncut := run(true, 10*second), run(true, 70*second), run(false, 70*second)
			let, refused := during.Admitted-before.Admitted, during.Refused-before.Refused
			t.Logf("keep=%t seed=%d: of %d samples during the cut %.1f%% are refused or held; changes in force before the cut %d, within its 60 s %d; without a cut %d; reasons %v", keep, seed, let+refused,
				100*float64(refused)/float64(let+refused), before.InForce, during.InForce-before.InForce, uncut.InForce-before.InForce, during.AbortReasons)
		}
	}
}

// Prints the yearly sums of the placements. Needs SAFFRONQUAY_MEASURE=1.
func TestMeasureCandidates(t *testing.T) {
	requireMeasure(t)
	f := place.Coming()
	for _, p := range place.Placings() {
		s := f.Weigh(p)
		t.Logf("%s: refused %.1f min of full service a year, no changes somewhere %.1f min, everywhere %.1f min; lost with the machines %.1f", p.Name, s.Refused, s.NoChange, s.NoChangeAtAll, s.Lost)
	}
}

// Measures for how long 1,100 changes a day pause and refuse queries while they come into force,
// with all gatherers up, by the delay between regions and by the leader's region. Three voters are
// in A, two in B. Needs SAFFRONQUAY_MEASURE=1.
func TestMeasureHolds(t *testing.T) {
	requireMeasure(t)
	var all []func()
	for _, n := range []int{600, 150} {
		for _, apart := range []time.Duration{0, 5 * time.Millisecond, 15 * time.Millisecond, 30 * time.Millisecond} {
			for seed := range uint64(6) {
				all = append(all, func() {
					cfg := twoRegions(n)
					cfg.Seed, cfg.Apart, cfg.Length, cfg.Changes = seed, apart, 40*time.Second, times(10*time.Second, 2*time.Second, 39*time.Second)
					r := runScript(t, cfg, "")
					in, heldFor, doubt := 0, 0.0, 0.0
					for _, c := range r.Changes {
						if c.InForce {
							in++
						}
					}
					for _, l := range r.Looks {
						if l.At >= 10*time.Second {
							heldFor, doubt = heldFor+l.Held*sampleInterval.Seconds(), doubt+(l.Doubt+l.Lapse)*sampleInterval.Seconds()
						}
					}
					heldFor, doubt = heldFor/float64(len(r.Changes)), doubt/float64(len(r.Changes))
					t.Logf("gatherers=%d apart=%s leader in %c: %d of %d in force; held %.1f ms a change, refused %.2f ms; at 1,100 a day %.4f%% of the time held, %.4f%% refused; of a year %.0f min held, %.1f min refused; %s",
						n, apart, "AB"[2*r.Leader/n], in, len(r.Changes), 1000*heldFor, 1000*doubt, 100*heldFor*1100/86400, 100*doubt*1100/86400, heldFor*1100*365/60, doubt*1100*365/60, summarizeChanges(r))
				})
			}
		}
	}
	runParallel(all)
}

// Measures changes by fleet size in rollout's own model, in one place (0.2 to 2 ms per message) and
// with a check of every query, as a reference for this package's figures. Needs
// SAFFRONQUAY_MEASURE=1.
func TestMeasureRollout(t *testing.T) {
	requireMeasure(t)
	const second = int64(1_000_000)
	milli := func(d []int64, q float64) int64 {
		if len(d) == 0 {
			return -1
		}
		d = slices.Sorted(slices.Values(d))
		return d[min(int(q*float64(len(d))), len(d)-1)] / 1000
	}
	var all []func()
	for _, n := range sizes {
		for _, down := range []int{0, 1, 9} {
			all = append(all, func() {
				r, err := rm.Run(rm.Config{Seed: 1, Voters: 5, Others: n - 5, Down: down, FaultsEnd: 66 * second, Length: 70 * second, ProposeInterval: 3 * second, QueryInterval: 100_000, StartAt: 6 * second})
				if err != nil {
					t.Error(err)
				}
				t.Logf("gatherers=%d down=%d: changes=%d in_force=%d took_p50_ms=%d p99_ms=%d max_ms=%d hold_p50_ms=%d p99_ms=%d messages_a_gatherer_s=%.1f mixed=%d lost=%d", n, down, r.Changes, r.InForce,
					milli(r.ChangeTimes, 0.5), milli(r.ChangeTimes, 0.99), milli(r.ChangeTimes, 1), milli(r.Pauses, 0.5), milli(r.Pauses, 0.99), float64(r.Messages)/float64(n)/70, r.Mixed, r.Lost)
			})
		}
	}
	runParallel(all)
}
