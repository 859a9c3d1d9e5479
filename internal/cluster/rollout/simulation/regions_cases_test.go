package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/harness"
	"testing"
)

// twoRegions returns a run of 24 gatherers in two regions, without faults other than those of the
// script. The first region has the majority of the global voters.
func twoRegions(seed uint64, script func(*world)) Config {
	return Config{
		Seed: seed, Regions: 2, Voters: 10, Others: 14, GlobalVoters: 5, RegionDelay: 60 * ms, FaultsEnd: 42 * second, Length: 48 * second,
		ProposeInterval: 2 * second, QueryInterval: 20 * ms, DivideBudgets: true, Demand: busyDemand,
		Spares: 2, Slots: 30, script: script,
	}
}

// seedCount returns the number of seeds of a case: n, or 1 under the race detector, which makes the
// many cases too slow.
func seedCount(n uint64) uint64 {
	if harness.RaceEnabled {
		return 1
	}
	return n
}

// onceTrue calls do as soon as the condition is true, but not before the given time. It polls every
// 0.25 ms.
func (w *world) onceTrue(from int64, condition func() bool, do func()) {
	var poll func()
	poll = func() {
		if condition() {
			do()
			return
		}
		w.schedule(ms/4, poll)
	}
	w.schedule(from, poll)
}

func (w *world) globalLeader() *node {
	for _, x := range w.nodes {
		if x.running && x.core.IsGlobalLeader() && len(x.core.GlobalGrants()) == w.Regions {
			return x
		}
	}
	return nil
}

// regionPauses reports whether any node of a region pauses queries.
func (w *world) regionPauses(region int) bool {
	for _, x := range w.nodes {
		if x.running && x.region == region && x.core.IsPaused() {
			return true
		}
	}
	return false
}

// regionLeader returns a region's leader, or nil if there is none.
func (w *world) regionLeader(region int) *node {
	for _, x := range w.nodes {
		if x.running && x.region == region && x.core.IsLeader() {
			return x
		}
	}
	return nil
}

// regionGrantsMatch reports whether the global leader has an open proposal, or none, as given by
// open, and all its records of regions match.
func (w *world) regionGrantsMatch(open bool, match func(attempt uint64, g rollout.Grant) bool) bool {
	x := w.globalLeader()
	if x == nil || open != (x.core.GlobalOpenAttempt() != 0) {
		return false
	}
	for _, g := range x.core.GlobalGrants() {
		if !match(x.core.GlobalOpenAttempt(), g) {
			return false
		}
	}
	return true
}

// checkPartitionedRun executes a run with a partition, and checks that both regions admit queries
// as before, and that one version is in force within 7 s after the partition.
func checkPartitionedRun(t *testing.T, what string, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	x := r.Regions
	if err != nil || r.HasViolations() || x.ServedLeast[1] < 0.99*x.ServedLeast[0] || len(x.RejoinTimes) == 0 || x.RejoinTimes[len(x.RejoinTimes)-1] > 7*second {
		t.Errorf("%s, seed %d: %v %s; admitted %.4f before and %.4f during the partition; rejoined after %v us; changes in force in all regions %d, in some %d; abort reasons %v", what, cfg.Seed, err, r.FirstViolation, x.ServedLeast[0], x.ServedLeast[1], x.RejoinTimes,
			x.InForceEverywhere, x.InForcePartly, r.AbortReasons)
	}
	return r
}

// The regions are partitioned, both ways or one way, during validation, a pause, and a commit. The
// region without the global majority keeps its version as long as it receives nothing, and its
// gatherers report that; the other region continues to change versions.
func TestRegions_PartitionDuringChange(t *testing.T) {
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
			continue // the others run without the race detector only
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(6) {
				oneWay := int(seed % 3)
				var unchanged, reported bool
				cfg := twoRegions(seed, func(w *world) {
					w.onceTrue(14*second, func() bool { return moment(w) }, func() {
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
					t.Errorf("seed %d: isolated region kept its version: %t, reported its isolation: %t; %d changes in force in one region only", seed, unchanged, reported, r.Regions.InForcePartly)
				}
			}
		})
	}
}

// The link between the regions is cut and restored every second.
func TestRegions_FlappingPartition(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "flapping", twoRegions(seed, func(w *world) {
			w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 20 * second, FlapPeriod: second}) })
		}))
		if r.Regions.InForceEverywhere == 0 {
			t.Errorf("seed %d: no change is in force in all regions", seed)
		}
	}
}

// While the regions are partitioned, the leader of each region is killed, and later its successor.
func TestRegions_LeadersKilledDuringPartition(t *testing.T) {
	for seed := range seedCount(4) {
		checkPartitionedRun(t, "leaders killed", twoRegions(seed, func(w *world) {
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

// The leader of a region is killed while the region is prepared. Its successor finds that in the
// log, and does not end the pause before the global agreement's decision is known or the lease of
// the previous leader has expired.
func TestRegions_LeaderKilledWhilePrepared(t *testing.T) {
	for seed := range seedCount(6) {
		r, err := Run(twoRegions(seed, func(w *world) {
			for at := 10 * second; at < 34*second; at += 6 * second {
				w.onceTrue(at, func() bool {
					return w.regionGrantsMatch(true, func(attempt uint64, g rollout.Grant) bool { return g.Name != "r1" || g.Paused == attempt })
				}, func() { w.kill(w.regionLeader(1), 2*second) })
			}
		}))
		if err != nil || r.HasViolations() || r.InForce < 6 {
			t.Errorf("seed %d: %v %s; %d changes in force, want at least 6; abort reasons %v", seed, err, r.FirstViolation, r.InForce, r.AbortReasons)
		}
	}
}

// All nodes of the region with the global majority are killed, and restarted.
func TestRegions_MajorityRegionLost(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "majority region lost", twoRegions(seed, func(w *world) {
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
			t.Errorf("seed %d: %d changes in force in all regions, want at least 5", seed, r.Regions.InForceEverywhere)
		}
	}
}

// A gatherer and a voter of the isolated region are restarted: they get leases from their region's
// leader, and admit queries under its version.
func TestRegions_RestartDuringPartition(t *testing.T) {
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
			t.Errorf("seed %d: %d of two restarted nodes admit queries", seed, admitting)
		}
	}
}

// The roster changes while the regions are partitioned: the region with the majority applies it
// immediately, the other one after it has rejoined. The part of the budgets that one region gives
// up is given to the other one only with the next version.
func TestRegions_RosterChangeDuringPartition(t *testing.T) {
	for seed := range seedCount(4) {
		var meanwhile, after [3]bool
		var parts string
		checkPartitionedRun(t, "roster", twoRegions(seed, func(w *world) {
			admit := func() (all [3]bool) {
				for i, at := range []int{24, 25, 11} { // two spares that are added, and a member that is removed
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
			t.Errorf("seed %d: admitting during the partition %v, after it %v; %s", seed, meanwhile, after, parts)
		}
	}
}

// The regions are partitioned immediately after the commit of a version with a halved contract: the
// isolated region keeps its part of the full contract.
func TestRegions_PartitionAfterContractHalved(t *testing.T) {
	for seed := range seedCount(4) {
		r := checkPartitionedRun(t, "contract halved", twoRegions(seed, func(w *world) {
			w.onceTrue(10*second, func() bool {
				return w.regionPauses(1) && contract(w.newestVersion()) == 50 && w.regionGrantsMatch(false, func(uint64, rollout.Grant) bool { return true })
			}, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
		}))
		if r.Regions.ContractsDiffered < 20 || r.Regions.MostUsed["r1"] < 0.9 {
			t.Errorf("seed %d: contracts differed %d times, want at least 20; r1 used at most %.2f of its part, want 0.9", seed, r.Regions.ContractsDiffered, r.Regions.MostUsed["r1"])
		}
	}
}

// A third region has one global voter and nothing else (witness). During a partition versions still
// change in a region that it reaches, and it never admits a query.
func TestRegions_WitnessDuringPartition(t *testing.T) {
	cfg := twoRegions(1, func(w *world) {
		w.schedule(14*second, func() { w.partitionRegions(Partition{Duration: 16 * second}) })
	})
	cfg.Witness = true
	r := checkPartitionedRun(t, "witness", cfg)
	if r.Regions.InForcePartly == 0 {
		t.Errorf("no change was put in force during the partition; abort reasons %v", r.AbortReasons)
	}
}
