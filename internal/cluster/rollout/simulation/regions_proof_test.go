package simulation

import (
	"fmt"
	"os"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/testing/harness"
	"slices"
	"testing"
)

// partitionedRun returns a run of 600 gatherers, nine of them down, in two regions with a delay of
// 30 to 60 ms between them, which are partitioned.
func partitionedRun(seed uint64) Config {
	cfg := Config{
		Seed: seed, Regions: 2, Voters: 10, Others: 590, GlobalVoters: 5, RegionDelay: 60 * ms, Down: 9, StartAt: 3 * second,
		FaultsEnd: 39 * second, Length: 44 * second, ProposeInterval: 2 * second, QueryInterval: 100 * ms, DivideBudgets: seed%4 == 0, Demand: busyDemand,
	}
	cfg.Partitions = []Partition{{At: 14*second + int64(seed)*137*ms%(2*second), Duration: 14 * second}}
	switch seed % 6 {
	case 3:
		cfg.Partitions[0].OneWay = 1
	case 4:
		cfg.Partitions[0].OneWay = 2
	case 5:
		cfg.Partitions[0].FlapPeriod = second
	}
	return cfg
}

// busyDemand gives the nodes high demand of different sizes for one team's budget.
func busyDemand(_ int64, node int) []quota.Demand {
	return []quota.Demand{{Team: "busy", Want: uint32(20_000 * (node % 5))}}
}

// regionFaultRun returns a run of 24 gatherers in two regions, with faults of all kinds at any step
// and partitions between the regions.
func regionFaultRun(seed uint64) Config {
	return Config{
		Seed: seed, Regions: 2, Voters: 10, Others: 14, GlobalVoters: 5, RegionDelay: 60 * ms, FaultsEnd: 14 * second, Length: 26 * second,
		ProposeInterval: 900 * ms, QueryInterval: 20 * ms, Faults: 10, RejectSome: true, Loss: []float64{0, 0.02, 0.3}[seed%3],
		CompactAfter: []uint64{0, 4, 12, 30}[seed%4], Spares: 2, OperatorInterval: []int64{0, 700 * ms, 1500 * ms}[seed%5%3],
		DivideBudgets: seed%2 == 0, Slots: 30, Demand: busyDemand,
		Partitions: [][]Partition{
			nil,
			{{At: 4 * second, Duration: 4 * second}},
			{{At: 4 * second, Duration: 6 * second, FlapPeriod: second}},
			{{At: 4 * second, Duration: 4 * second, OneWay: 1 + int(seed/4%2)}},
		}[seed%4],
	}
}

// p99 returns the 99th percentile of durations in microseconds, in milliseconds. It sorts the
// slice.
func p99(d []int64) int64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)*99/100] / ms
}

// Over seeds of 600 gatherers in two regions partitioned both ways, one way and with flapping, and
// over seeds of small fleets with all other faults in addition, the guarantees hold:
//   - gatherers of both regions continue to admit queries;
//   - within a region, and across regions that have their lease, no query is admitted under a
//     version after one was admitted under a later one;
//   - a version number denotes one document;
//   - budgets are not exceeded;
//   - no answer names a region where the version is not in force;
//   - within 7 s after a partition all regions have one version.
//
// The last run is the baseline, an agreement without regions. Under the race detector there are
// fewer seeds. SAFFRONQUAY_SEEDS sets the number of small fleets.
func TestProofRegions(t *testing.T) {
	many, small, joined, found := 6, 60, 2, []uint64{142, 621, 817} // found: regression seeds
	if harness.RaceEnabled {
		many, small, joined = 0, 6, 0
	}
	if n := os.Getenv("SAFFRONQUAY_SEEDS"); n != "" {
		fmt.Sscan(n, &small)
	}
	served, took, holds, rejoined := 1.0, []int64{}, []int64{}, []int64{}
	var sum Result
	take := func(name string, check func(seed uint64, r Result)) func(uint64, Result) {
		return func(seed uint64, r Result) {
			x, s := r.Regions, &sum.Regions
			if r.HasViolations() {
				t.Errorf("%s, seed %d: mixed in region %d, mixed joined %d, ambiguous versions %d, wrong answers %d, over budget %d, "+
					"lost %d, resurrected %d, stuck %d, not stored %d, unlisted %d; %s", name, seed,
					x.MixedInRegion, x.MixedJoined, x.AmbiguousVersions, x.WrongAnswers, x.OverBudget, r.Lost, r.Resurrected, r.Stuck, r.ReadyNotStored, r.Unlisted, r.FirstViolation)
			}
			s.MixedInRegion += x.MixedInRegion
			s.MixedJoined += x.MixedJoined
			s.AmbiguousVersions += x.AmbiguousVersions + r.Resurrected
			s.OverBudget += x.OverBudget
			s.WrongAnswers += x.WrongAnswers
			s.InForceEverywhere += x.InForceEverywhere
			s.InForcePartly += x.InForcePartly
			s.ReportedIsolated += x.ReportedIsolated
			sum.Stuck += r.Stuck
			sum.Changes += r.Changes
			sum.InForce += r.InForce
			check(seed, r)
		}
	}
	runAll(t, many, partitionedRun, take("600 gatherers, partitioned", func(seed uint64, r Result) {
		x := r.Regions
		now := x.ServedLeast[1] / x.ServedLeast[0]
		if served = min(served, now); now < 0.99 || x.InForceEverywhere == 0 || x.ReportedIsolated == 0 || x.InForcePartly == 0 && seed%6 != 5 {
			t.Errorf("seed %d: during the partition %.4f of the previous fraction of queries was admitted; changes in force in all regions %d, in some %d; reported isolated %d times",
				seed, now, x.InForceEverywhere, x.InForcePartly, x.ReportedIsolated)
		}
		rejoined = append(rejoined, x.RejoinTimes...)
	}))
	runAll(t, joined, func(seed uint64) Config {
		cfg := partitionedRun(seed)
		cfg.Partitions = nil
		return cfg
	}, take("600 gatherers, joined", func(seed uint64, r Result) {
		if r.Regions.InForcePartly > 0 {
			t.Errorf("seed %d: %d changes in force in some regions only without a partition", seed, r.Regions.InForcePartly)
		}
		took, holds = append(took, r.ChangeTimes...), append(holds, r.Pauses...)
	}))
	runAll(t, small+len(found), func(seed uint64) Config {
		if seed >= uint64(small) {
			seed = found[seed-uint64(small)]
		}
		return regionFaultRun(seed)
	}, take("24 gatherers, with faults", func(uint64, Result) {}))
	if most := slices.Max(append(rejoined, 0)); most > 7*second {
		t.Errorf("all nodes were under one version %d ms after a partition, want at most 7000 ms", most/ms)
	}
	if p99(took) > 7000 {
		t.Errorf("a change in joined regions takes %d ms (p99), want at most 7000 ms", p99(took))
	}
	if sum.Regions.InForceEverywhere < small/4 || sum.Regions.InForcePartly < small/8 {
		t.Errorf("%d changes in force in all regions and %d in some: too few for the runs to be meaningful", sum.Regions.InForceEverywhere, sum.Regions.InForcePartly)
	}
	before, _ := Run(Config{
		Seed: 1, Regions: 2, IgnoreRegions: true, Voters: 5, Others: 55, RegionDelay: 60 * ms, FaultsEnd: 100 * second, Length: 104 * second,
		ProposeInterval: 2 * second, QueryInterval: 100 * ms,
		Partitions: []Partition{{At: 20 * second, Duration: 60 * second}},
	})
	b := before.Regions
	t.Logf("baseline: agreement without regions, gatherers=60 voters=5 cut_s=60 served_of_all=%.3f cut_served=%.3f in_force=%d aborted=%d",
		b.ServedAll[1]/b.ServedAll[0], b.ServedLeast[1]/b.ServedLeast[0], before.InForce, before.Aborted)
	if b.ServedAll[1] > 0.9 {
		t.Errorf("without regions the agreement admits %.3f of all queries during a partition, want at most 0.9 for the baseline", b.ServedAll[1])
	}
	t.Logf("changes=%d in_force=%d (everywhere=%d partly=%d) told_wrong=%d mixed_joined=%d joined: took_p99_ms=%d hold_p99_ms=%d; rejoined_most_ms=%d",
		sum.Changes, sum.InForce, sum.Regions.InForceEverywhere, sum.Regions.InForcePartly, sum.Regions.WrongAnswers, sum.Regions.MixedJoined, p99(took), p99(holds), slices.Max(append(rejoined, 0))/ms)
	t.Logf("proof: seeds=%d gatherers=600/24 regions=2 cut_served=%.4f mixed_in_region=%d two_texts=%d over_contract=%d rejoined_p99_ms=%d stuck=%d",
		many+joined+small+len(found), served, sum.Regions.MixedInRegion, sum.Regions.AmbiguousVersions, sum.Regions.OverBudget, p99(rejoined), sum.Stuck)
}

// The checks detect both seeded bugs of regions within 1000 seeds.
func TestRolloutRegions_SeededBugsDetected(t *testing.T) {
	for _, c := range []struct {
		name string
		from uint64 // first seed; a rare bug is searched where it is known to occur
		bugs rollout.Bugs
	}{
		{"pause reported before it is logged", 20, rollout.Bugs{PausedBeforeLogged: true}},
		{"answer names regions that have not reported", 0, rollout.Bugs{ReportedEverywhere: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.from; seed < c.from+1000; seed++ {
				cfg := regionFaultRun(seed)
				cfg.Bugs = c.bugs
				if r, err := runRecovering(cfg); err != nil || r.HasViolations() {
					t.Logf("seed %d: %v %s", seed, err, r.FirstViolation)
					return
				}
			}
			t.Error("no violation in 1000 seeds")
		})
	}
}
