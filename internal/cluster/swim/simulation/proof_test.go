package simulation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// scenario returns the script of a seed, the time of its last fault, and whether its partitions
// may make views declare healthy processes dead.
func scenario(seed uint64, n int) (script string, after time.Duration, cuts bool) {
	rng := rand.New(rand.NewPCG(seed, 0x9f))
	some := func(most int) (s faults.Set) {
		s = rng.Perm(n)[:1+rng.IntN(most)]
		slices.Sort(s)
		return s
	}
	span := func(a, b int) string { return fmt.Sprintf("%d-%d", a, b-1) }
	switch seed % 8 {
	case 0: // a partition that lasts longer than it takes to declare the others dead
		return fmt.Sprintf("at 3s for 9s cut %s %s", span(0, n/2), span(n/2, n)), 12 * time.Second, true
	case 1:
		pair := rng.Perm(n)
		return fmt.Sprintf("at 3s for 9s cut %d %d", pair[0], pair[1]), 3 * time.Second, false
	case 2, 3:
		return fmt.Sprintf("at 3s kill %s", some(3)), 3 * time.Second, false
	case 4:
		who := some(10)
		return fmt.Sprintf("at 3s kill %s\nat 3800ms %s %s", who, []string{"start", "move"}[rng.IntN(2)], who), 3800 * time.Millisecond, false
	case 5:
		return fmt.Sprintf("at 3s kill %s", faults.Set(some(n/10))), 3 * time.Second, false
	case 6:
		return fmt.Sprintf("at 3s for 5s stop %s", some(5)), 8 * time.Second, false
	}
	s := faults.Random(seed, n, 6, 12*time.Second)
	return s.String(), s.End(), true
}

// Over many seeds all views detect a crash soon, agree again after any faults, and declare no
// reachable process dead. SAFFRONQUAY_SEEDS sets the number of seeds.
func TestProof(t *testing.T) {
	members, seeds := 300, 200
	if harness.RaceEnabled {
		members, seeds = 40, 16
	}
	if n := os.Getenv("SAFFRONQUAY_SEEDS"); n != "" {
		fmt.Sscan(n, &seeds)
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	var mu sync.Mutex
	var detect, settle []time.Duration
	falseDead, neverConverged, bytes := 0, 0, 0.0
	work := make(chan uint64)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range work {
				script, after, cuts := scenario(seed, members)
				cfg := Config{
					Members: members, Seed: seed, WarmStart: seed%8 != 3, SeedMembers: 3, Delay: 500 * time.Microsecond, Duration: after + convergenceLimit + time.Second,
					SampleEvery: 100 * time.Millisecond, StopWhenConvergedFor: 3 * time.Second, RateFrom: 5 * time.Second,
				}
				if !cfg.WarmStart {
					cfg.StartWithin = time.Second
				}
				if seed/8%2 == 1 {
					cfg.Loss = 0.1
				}
				s, err := faults.Parse(script, members)
				if err != nil {
					t.Error(err)
					continue
				}
				cfg.Script = s
				r, err := Run(cfg)
				if err != nil {
					t.Error(err)
					continue
				}
				took := r.ConvergedAfter(after)
				mu.Lock()
				if !cuts {
					falseDead += r.FalseDeaths
				}
				if took < 0 || took > convergenceLimit {
					neverConverged++
				}
				if settle = append(settle, took); !cuts {
					detect = append(detect, r.DetectionTimes...)
				}
				if seed%8 == 1 {
					bytes = max(bytes, r.BytesPerSecond)
				}
				if took < 0 || took > convergenceLimit || !cuts && r.FalseDeaths > 0 {
					t.Errorf("seed %d, loss %g: converged after %s, %d running processes declared dead; script:\n%s", seed, cfg.Loss, took, r.FalseDeaths, strings.TrimSpace(script))
				}
				mu.Unlock()
			}
		}()
	}
	for seed := range uint64(seeds) {
		work <- seed
	}
	close(work)
	wg.Wait()
	slices.Sort(detect)
	slices.Sort(settle)
	p99 := func(d []time.Duration) int64 {
		if len(d) == 0 {
			return -1
		}
		return d[len(d)*99/100].Milliseconds()
	}
	if p99(detect) > 3000 {
		t.Errorf("p99 of crash detection is %d ms, want at most 3000", p99(detect))
	}
	t.Logf("proof: members=%d seeds=%d detect_p99_ms=%d settle_p99_ms=%d false_dead=%d never_settled=%d bytes_per_member_s=%.0f", members, seeds,
		p99(detect), p99(settle), falseDead, neverConverged, bytes)
}
