package events

import (
	"testing"
	"time"

	rm "saffronquay/internal/rollout/model"
	"saffronquay/internal/scale/place"
)

// What regions that are apart for a minute cost by rollout's own model: 60 gatherers, five voters, a change every 2 s, and thirty of them with
// two of the voters cut off. What is cut off has no majority whether its members reach each other or not, so each is cut off from all: that
// model knows no halves. SAFFRONQUAY_MEASURE=1.
func TestMeasureCut(t *testing.T) {
	measured(t)
	const second = int64(1_000_000)
	for _, keep := range []bool{false, true} {
		for seed := range uint64(3) {
			run := func(cut bool, length int64) rm.Result {
				c := rm.Config{Seed: seed, Voters: 5, Others: 55, Calm: 75 * second, Length: length, Every: 2 * second, Admit: 20_000, From: 2 * second, Keep: keep}
				for i := 3; cut && i < 33; i++ {
					c.At = append(c.At, rm.At{At: 10 * second, For: 60 * second, Do: "cut", Node: i})
				}
				r, err := rm.Run(c)
				if err != nil {
					t.Fatal(err)
				}
				return r
			}
			before, during, calm := run(true, 10*second), run(true, 70*second), run(false, 70*second)
			let, refused := during.Let-before.Let, during.Refused-before.Refused
			t.Logf("keep=%t seed=%d: of %d looks while they are apart %.1f%% are refused or held; changes in force before the cut %d, within its 60 s %d; without a cut %d; reasons %v", keep, seed, let+refused,
				100*float64(refused)/float64(let+refused), before.InForce, during.InForce-before.InForce, calm.InForce-before.InForce, during.Reasons)
		}
	}
}

// What the placings' sums come to, in words. SAFFRONQUAY_MEASURE=1.
func TestMeasureCandidates(t *testing.T) {
	measured(t)
	f := place.Coming()
	for _, p := range place.Placings() {
		s := f.Weigh(p)
		t.Logf("%s: refused %.1f min of full service a year, no changes somewhere %.1f min, everywhere %.1f min; lost with the machines %.1f", p.Name, s.Refused, s.NoChange, s.NoChangeAtAll, s.Lost)
	}
}

// What 1,100 changes a day hold and refuse by being put in force, with nobody down, by how far regions are apart and in which of them the
// leader is: three voters are in A, two in B. SAFFRONQUAY_MEASURE=1.
func TestMeasureHolds(t *testing.T) {
	measured(t)
	var all []func()
	for _, n := range []int{600, 150} {
		for _, apart := range []time.Duration{0, 5 * time.Millisecond, 15 * time.Millisecond, 30 * time.Millisecond} {
			for seed := range uint64(6) {
				all = append(all, func() {
					cfg := coming(n)
					cfg.Seed, cfg.Apart, cfg.Length, cfg.Changes = seed, apart, 40*time.Second, times(10*time.Second, 2*time.Second, 39*time.Second)
					r := play(t, cfg, "")
					in, heldFor, doubt := 0, 0.0, 0.0
					for _, c := range r.Changes {
						if c.InForce {
							in++
						}
					}
					for _, l := range r.Looks {
						if l.At >= 10*time.Second {
							heldFor, doubt = heldFor+l.Held*every.Seconds(), doubt+(l.Doubt+l.Lapse)*every.Seconds()
						}
					}
					heldFor, doubt = heldFor/float64(len(r.Changes)), doubt/float64(len(r.Changes))
					t.Logf("gatherers=%d apart=%s leader in %c: %d of %d in force; held %.1f ms a change, refused %.2f ms; at 1,100 a day %.4f%% of the time held, %.4f%% refused; of a year %.0f min held, %.1f min refused; %s",
						n, apart, "AB"[2*r.Leader/n], in, len(r.Changes), 1000*heldFor, 1000*doubt, 100*heldFor*1100/86400, 100*doubt*1100/86400, heldFor*1100*365/60, doubt*1100*365/60, told(r))
				})
			}
		}
	}
	sideBySide(all)
}
