package simulation

import (
	"runtime"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/testing/harness"
	"sync"
	"sync/atomic"
	"testing"
)

// runSeeds runs one simulation per seed on all cores, and passes each result to handle, one at a
// time.
func runSeeds(t *testing.T, seeds int, config func(uint64) Config, handle func(uint64, Result)) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var next atomic.Uint64
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := next.Add(1) - 1; seed < uint64(seeds); seed = next.Add(1) - 1 {
				r, err := Run(config(seed))
				mu.Lock()
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				handle(seed, r)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
}

func defaultConfig(seed uint64) Config {
	return Config{Seed: seed, Gatherers: 80, Teams: 1000, Faults: []int{0, 12, 12, 12}[seed%4]}
}

// Over many seeds the quotas of no team add up to more than its budget, no gatherer has less than
// its floor, a team whose traffic is all at one gatherer gets nine tenths of its budget there
// within 3 s, and after a crash the quota is in use elsewhere within a lease and a second.
func TestProof(t *testing.T) {
	seeds := 200
	if harness.RaceEnabled {
		seeds = 4
	}
	over, starved, skewed, crash, equal := 0, 0, 1.0, int64(0), 0.0
	runSeeds(t, seeds, defaultConfig, func(seed uint64, r Result) {
		if r.OverBudget+r.BelowFloor > 0 || r.Policy.HasViolations() {
			t.Errorf("seed %d: over %d starved %d: %s; %s", seed, r.OverBudget, r.BelowFloor, r.First, r.Policy.FirstViolation)
		}
		over, starved, skewed, crash, equal = over+r.OverBudget, starved+r.BelowFloor, min(skewed, r.Skewed), max(crash, r.AfterCrash), r.Equal
		if defaultConfig(seed).Faults == 0 && r.AfterCrash == 0 {
			t.Errorf("seed %d: after the crash the quota was never in use again", seed)
		}
	})
	if skewed < 0.9 || crash == 0 || crash > 3_000_000 {
		t.Errorf("skewed %.3f, after a crash %d us", skewed, crash)
	}
	t.Logf("proof: seeds=%d gatherers=80 over_contract=%d starved=%d skewed_ratio=%.3f after_crash_ms=%d (evenly divided the ratio is %.4f)", seeds, over, starved, skewed, crash/1000, equal)
}

// The checks detect each seeded bug; the fourth one, AcceptsOldTerm, is covered by
// TestNewAllocator_RenewsClaimsOnly.
func TestQuotaSimulation_DetectsSeededBugs(t *testing.T) {
	for name, bugs := range map[string]quota.Bugs{
		"quota outlasts its lease": {IgnoresExpiry: true}, "new allocator ignores holders that have not reported": {TrustsUnclaimed: true},
		"allocator lowers a quota before the holder does": {ReleasesEarly: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				cfg := defaultConfig(seed)
				cfg.Gatherers, cfg.Faults, cfg.Bugs = 20, 20, bugs
				if r, err := Run(cfg); err != nil || r.OverBudget > 0 {
					t.Logf("seed %d: %v %s", seed, err, r.First)
					return
				}
			}
			t.Error("not detected in 60 seeds")
		})
	}
}
