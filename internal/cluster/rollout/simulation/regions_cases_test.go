package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/harness"
	"testing"
)

// twoRegions is a run of 24 gatherers in two regions with no faults but those of a script; most global voters are in the first one.
func twoRegions(seed uint64, script func(*world)) Config {
	return Config{
		Seed: seed, Regions: 2, Voters: 10, Others: 14, GlobalVoters: 5, RegionDelay: 60 * ms, FaultsEnd: 42 * second, Length: 48 * second,
		ProposeInterval: 2 * second, QueryInterval: 20 * ms, DivideBudgets: true, Demand: busyDemand,
		Spares: 2, Slots: 30, script: script,
	}
}

// seedCount is how many seeds a case has; under the race detector one, since there are many cases.
func seedCount(n uint64) uint64 {
	if harness.RaceEnabled {
		return 1
	}
	return n
}

// whenever does something as soon as a condition holds, from a time on.
func (w *world) whenever(from int64, condition func() bool, do func()) {
	var look func()
	look = func() {
		if condition() {
			do()
			return
		}
		w.schedule(ms/4, look)
	}
	w.schedule(from, look)
}

func (w *world) globalLeader() *node {
	for _, x := range w.nodes {
		if x.running && x.core.IsGlobalLeader() && len(x.core.GlobalGrants()) == w.Regions {
			return x
		}
	}
	return nil
}

// regionPauses reports that a node of a region pauses queries.
func (w *world) regionPauses(region int) bool {
	for _, x := range w.nodes {
		if x.running && x.region == region && x.core.IsPaused() {
			return true
		}
	}
	return false
}

// regionLeader is a region's leader; nil: none is known.
func (w *world) regionLeader(region int) *node {
	for _, x := range w.nodes {
		if x.running && x.region == region && x.core.IsLeader() {
			return x
		}
	}
	return nil
}

// regionGrantsMatch reports that all of the global leader's records of regions match, while a proposal is open, or while none is.
func (w *world) regionGrantsMatch(open bool, such func(attempt uint64, g rollout.Grant) bool) bool {
	x := w.globalLeader()
	if x == nil || open != (x.core.GlobalOpenAttempt() != 0) {
		return false
	}
	for _, g := range x.core.GlobalGrants() {
		if !such(x.core.GlobalOpenAttempt(), g) {
			return false
		}
	}
	return true
}

// checkPartitionedRun checks a run with a partition: both regions admit as before, and one version is in force soon afterwards.
func checkPartitionedRun(t *testing.T, what string, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	x := r.Regions
	if err != nil || r.HasViolations() || x.ServedLeast[1] < 0.99*x.ServedLeast[0] || len(x.RejoinTimes) == 0 || x.RejoinTimes[len(x.RejoinTimes)-1] > 7*second {
		t.Errorf("%s, seed %d: %v %s; admitted %.4f, and %.4f while partitioned; joined again after %v us; %d everywhere, %d in some regions; %v", what, cfg.Seed, err, r.FirstViolation, x.ServedLeast[0], x.ServedLeast[1], x.RejoinTimes,
			x.InForceEverywhere, x.InForcePartly, r.AbortReasons)
	}
	return r
}

// The regions are partitioned in the middle of a validation, of a pause, and of a commit, both ways or one way. The region without the global majority
// keeps its version as long as it receives nothing, and its gatherers report that; the other one goes on changing.
func TestCutInTheMiddle(t *testing.T) {
	moments := map[string]func(w *world) bool{
		"validating": func(w *world) bool {
			return w.regionGrantsMatch(true, func(attempt uint64, g rollout.Grant) bool { return g.Ready != attempt })
		},
		"ready": func(w *world) bool {
			return w.regionGrantsMatch(true, func(attempt uint64, g rollout.Grant) bool { return g.Ready == attempt })
		},
		"pausing": func(w *world) bool { return w.regionPauses(0) && !w.regionPauses(1) },
		"paused":  func(w *world) bool { return w.regionPauses(0) && w.regionPauses(1) },
		"commit": func(w *world) bool {
			return w.regionGrantsMatch(true, func(attempt uint64, g rollout.Grant) bool { return g.Paused == attempt })
		},
		"committed": func(w *world) bool {
			return w.regionPauses(1) && w.regionGrantsMatch(false, func(uint64, rollout.Grant) bool { return true })
		},
	}
	for name, moment := range moments {
		if harness.RaceEnabled && name != "pausing" && name != "committed" {
			continue // the others are played without the race detector
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(6) {
				oneWay := int(seed % 3)
				var unchanged, reported bool
				cfg := twoRegions(seed, func(w *world) {
					w.whenever(14*second, func() bool { return moment(w) }, func() {
						w.partitionRegions(Partition{Duration: 16 * second, OneWay: oneWay})
						w.schedule(4*second, func() {
							was := w.nodes[1].core.Number()
							w.schedule(11*second, func() {
								x := w.nodes[w.Voters+1]
								s, _ := x.core.Region(w.localTime(x))
								unchanged, reported = x.core.Number() == was && w.nodes[0].core.Number() > was, s.IsolatedFor > 12*second && s.IsolatedFor < 16*second && s.Number == was
							})
						})
					})
				})
				if r := checkPartitionedRun(t, name, cfg); oneWay != 2 && (!unchanged || !reported) || r.Regions.InForcePartly == 0 {
					t.Errorf("seed %d: the version is unchanged: %t, reported: %t; %d changes in one region", seed, unchanged, reported, r.Regions.InForcePartly)
				}
			}
		})
	}
}

// The link between the regions comes and goes every second.
func TestFlapping(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "flapping", twoRegions(seed, func(w *world) {
			w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 20 * second, FlapPeriod: second}) })
		}))
		if r.Regions.InForceEverywhere == 0 {
			t.Errorf("seed %d: no change is in force everywhere", seed)
		}
	}
}

// While the regions are partitioned the leader of each dies, and so does the next one.
func TestLeaderDiesWhileCutOff(t *testing.T) {
	for seed := range seedCount(4) {
		checkPartitionedRun(t, "a leader dies", twoRegions(seed, func(w *world) {
			w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 18 * second}) })
			for _, at := range []int64{17 * second, 22 * second} {
				w.schedule(at, func() {
					for region := range 2 {
						if x := w.regionLeader(region); x != nil {
							w.kill(x, 4*second)
						}
					}
				})
			}
		}))
	}
}

// The leader of a region dies while the region is prepared: the next one finds that in the log, and does not release the region before the global
// agreement's decision is known, or the lease of the leader before is over.
func TestLeaderDiesPrepared(t *testing.T) {
	for seed := range seedCount(6) {
		r, err := Run(twoRegions(seed, func(w *world) {
			for at := 10 * second; at < 34*second; at += 6 * second {
				w.whenever(at, func() bool {
					return w.regionGrantsMatch(true, func(attempt uint64, g rollout.Grant) bool { return g.Name != "r1" || g.Paused == attempt })
				}, func() { w.kill(w.regionLeader(1), 2*second) })
			}
		}))
		if err != nil || r.HasViolations() || r.InForce < 6 {
			t.Errorf("seed %d: %v %s; %d in force; %v", seed, err, r.FirstViolation, r.InForce, r.AbortReasons)
		}
	}
}

// The region with the global majority is lost as a whole, and comes back.
func TestMajoritysRegionIsLost(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "the majority's region is lost", twoRegions(seed, func(w *world) {
			w.schedule(14*second, func() {
				w.partitionFrom, w.partitionUntil = w.now, w.now+14*second
				for _, x := range w.nodes {
					if x.region == 0 {
						w.kill(x, 14*second)
					}
				}
				w.schedule(14*second+ms, func() { w.awaitRejoin(w.now) })
			})
		}))
		if r.Regions.InForceEverywhere < 5 {
			t.Errorf("seed %d: %d changes took hold", seed, r.Regions.InForceEverywhere)
		}
	}
}

// A gatherer and a voter of the isolated region are started again: they get a lease of their region's leader, and admit under its version.
func TestRestartWhileCutOff(t *testing.T) {
	for seed := range seedCount(4) {
		admitting := 0
		checkPartitionedRun(t, "restarts", twoRegions(seed, func(w *world) {
			w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
			for _, x := range []*node{w.nodes[w.Voters+1], w.nodes[7]} {
				w.schedule(19*second, func() { w.kill(x, 500*ms) })
				w.schedule(21*second, func() {
					if v, n, _ := x.core.Admit(w.localTime(x)); v == rollout.Admitted && n == w.nodes[1].core.Number() {
						admitting++
					}
				})
			}
		}))
		if admitting != 2 {
			t.Errorf("seed %d: %d of two admit again", seed, admitting)
		}
	}
}

// The roster changes while the regions are partitioned: immediately in the one with the majority, in the other one when they are joined. What one region
// gives up of the budgets the other one gets only a version later.
func TestRosterChangesWhileCutOff(t *testing.T) {
	for seed := range seedCount(4) {
		var meanwhile, after [3]bool
		var parts string
		checkPartitionedRun(t, "roster", twoRegions(seed, func(w *world) {
			admit := func() (all [3]bool) {
				for i, at := range []int{24, 25, 11} { // two spares, and one that is taken off
					v, _, _ := w.nodes[at].core.Admit(w.localTime(w.nodes[at]))
					all[i] = v == rollout.Admitted
				}
				return all
			}
			change := func(p *wire.Propose) {
				w.lastNonce++
				p.Nonce, p.By = w.lastNonce, "operator"
				w.submit(&proposal{request: p, proposedAt: w.now, target: 0, onEnd: func(bool, string) {}})
			}
			w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
			w.schedule(18*second, func() {
				change(&wire.Propose{Add: []*wire.Member{{Name: "n024", Address: "n024", Region: "r0"}, {Name: "n025", Address: "n025", Region: "r1"}}})
				change(&wire.Propose{Remove: []string{"n011", "n013"}})
			})
			w.schedule(28*second, func() { meanwhile = admit() })
			w.schedule(47*second, func() {
				after = admit()
				parts = fmt.Sprint(w.partTexts[w.nodes[0].core.Number()])
			})
		}))
		if meanwhile != [3]bool{true, false, true} || after != [3]bool{true, true, false} || parts != "parts r0=541666 r1=458333" {
			t.Errorf("seed %d: admitted while partitioned %v, and joined %v; %s", seed, meanwhile, after, parts)
		}
	}
}

// A contract is halved, and the regions are partitioned right then: the isolated one goes on with its part of the full contract.
func TestCutRightAfterAContractWasHalved(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "halved", twoRegions(seed, func(w *world) {
			w.whenever(10*second, func() bool {
				return w.regionPauses(1) && contract(w.newestVersion()) == 50 && w.regionGrantsMatch(false, func(uint64, rollout.Grant) bool { return true })
			}, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
		}))
		if r.Regions.ContractsDiffered < 20 || r.Regions.MostUsed["r1"] < 0.9 {
			t.Errorf("seed %d: the contracts differed %d times, and r1 used %.2f of its part", seed, r.Regions.ContractsDiffered, r.Regions.MostUsed["r1"])
		}
	}
}

// A third place has one global voter and nothing else: whichever region it still reaches goes on changing, and it never admits a query.
func TestWitness(t *testing.T) {
	cfg := twoRegions(1, func(w *world) {
		w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
	})
	cfg.Witness = true
	r := checkPartitionedRun(t, "witness", cfg)
	if r.Regions.InForcePartly == 0 {
		t.Errorf("no change is in force while the regions are partitioned: %v", r.AbortReasons)
	}
}
