package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/swim"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"strings"
	"sync"
	"testing"
	"time"
)

// runScript runs a script, and logs it with its seed if the test fails.
func runScript(t testing.TB, cfg Config, script string) Result {
	t.Helper()
	s, err := faults.Parse(script, cfg.Members)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Script = s
	if cfg.Delay == 0 {
		cfg.Delay = 500 * time.Microsecond
	}
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d, %d members, loss %g, script:\n%s", cfg.Seed, cfg.Members, cfg.Loss, s)
		}
	})
	return r
}

const convergenceLimit = 10 * time.Second // time within which all views must be correct again

// scenarios are the difficult scenarios. after is the time when the last fault is over.
var scenarios = []struct {
	name    string
	members int
	loss    float64
	spread  time.Duration
	seeds   int
	script  string
	after   time.Duration
	deaths  bool // running processes may be declared dead during the scenario
	check   func(t *testing.T, r Result)
}{
	{name: "half killed at once", members: 60, script: "at 5s kill 0-29", after: 5 * time.Second},
	{name: "partition in halves", members: 60, script: "at 5s for 12s cut 0-29 30-59", after: 17 * time.Second, deaths: true, check: func(t *testing.T, r Result) {
		for _, s := range r.Samples {
			if s.At > 5*time.Second && s.MinEffectiveSize < 60 {
				t.Errorf("at %s a view has the effective size %d", s.At, s.MinEffectiveSize)
				return
			}
			if s.At == 16*time.Second && s.MinAlive != 30 {
				t.Errorf("%d alive in a view of one half, want 30", s.MinAlive)
			}
		}
	}},
	{
		name: "partition in three, healed in steps", members: 60, after: 22 * time.Second, deaths: true,
		script: "at 5s for 17s cut 0-19 40-59\nat 5s for 10s cut 0-19 20-39\nat 5s for 14s cut 20-39 40-59",
	},
	{name: "one-way link failure", members: 30, script: "at 5s for 15s half 3 7"},
	{name: "link failure between two members", members: 30, script: "at 5s for 20s cut 3 7"},
	{name: "30% datagram loss", members: 30, loss: 0.3, script: ""},
	{name: "stopped for 10 s", members: 30, script: "at 5s for 10s stop 4", after: 15 * time.Second, check: func(t *testing.T, r Result) {
		if r.Stalls == 0 {
			t.Error("no process detected its stall")
		}
	}},
	{name: "slow member", members: 30, script: "at 3s slow 150ms 5"},
	{name: "restart within the suspicion", members: 30, script: "at 5s kill 3\nat 5500ms start 3", after: 5500 * time.Millisecond, check: replacedAtOnce},
	{name: "restart at another address", members: 30, script: "at 5s kill 3\nat 5500ms move 3", after: 5500 * time.Millisecond, check: replacedAtOnce},
	{name: "seed member killed while 300 start", members: 300, spread: time.Second, script: "at 500ms kill 0\nat 6s start 0", after: 6 * time.Second},
	{
		name: "no join address answers", members: 12, seeds: 3, script: "at 100ms kill 11\nat 5s kill 0-2\nat 8s move 11\nat 16s start 0", after: 16 * time.Second,
		check: func(t *testing.T, r Result) {
			if r.Isolations == 0 {
				t.Error("no process reported that no join address answers")
			}
		},
	},
	{name: "60% replaced within 7 s", members: 100, after: 12 * time.Second, script: func() (s string) {
		for i := range 60 {
			s += fmt.Sprintf("at %dms kill %d\nat %dms move %d\n", 5000+100*i, 40+i, 6000+100*i, 40+i)
		}
		return s
	}()},
	{name: "name conflict", members: 30, script: "at 5s twin 3", after: 5 * time.Second, check: func(t *testing.T, r Result) {
		if r.NameConflicts < 2 {
			t.Errorf("%d reports of the name conflict, want one by each process", r.NameConflicts)
		}
		if r.Restarts > 35 {
			t.Errorf("views changed %d times between the two processes", r.Restarts)
		}
	}},
	{name: "answers lost", members: 30, deaths: true, script: "at 5s for 15s half 3 0-2,4-27", after: 20 * time.Second, check: func(t *testing.T, r Result) {
		if r.Counts.Refutations < 2 || r.Counts.Refutations > 400 {
			t.Errorf("%d refutations, want 2 to 400", r.Counts.Refutations)
		}
	}},
	{name: "duplicates, out of order by seconds", members: 30, loss: 0.05, script: "at 0s repeat 0.5\nat 5s kill 3\nat 9s start 3", after: 9 * time.Second},
}

// replacedAtOnce checks that no member had to refute: records about the old start do not affect
// the new one.
func replacedAtOnce(t *testing.T, r Result) {
	if r.Counts.Refutations > 0 || r.NameConflicts > 0 {
		t.Errorf("%d refutations and %d name conflicts, want none", r.Counts.Refutations, r.NameConflicts)
	}
}

func TestConvergence_Scenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			members, seeds := c.members, uint64(5)
			if harness.RaceEnabled {
				seeds = 1
				if members == 300 {
					members = 80
				}
			}
			for seed := range seeds {
				r := runScript(t, Config{Members: members, Seed: seed, Loss: c.loss, StartWithin: c.spread, SeedMembers: c.seeds, Duration: c.after + 25*time.Second}, c.script)
				switch took := r.ConvergedAfter(c.after); {
				case took < 0 || took > convergenceLimit:
					t.Errorf("converged after %s: %d of %d views correct at the end", took, r.Samples[len(r.Samples)-1].Correct, r.Samples[len(r.Samples)-1].Live)
				case !c.deaths && r.FalseDeaths > 0:
					t.Errorf("running processes were declared dead %d times", r.FalseDeaths)
				}
				if c.check != nil {
					c.check(t, r)
				}
			}
		})
	}
}

// starvationScript returns a script that stops the last members for most of the time, and slows
// them in between.
func starvationScript(members, starved int) string {
	var b strings.Builder
	for i := range starved {
		fmt.Fprintf(&b, "at 4s for 30s slow 400ms %d\n", members-1-i)
		for at := 4000 + 437*i; at < 30_000; at += 6000 {
			fmt.Fprintf(&b, "at %dms for 3s stop %d\n", at, members-1-i)
		}
	}
	return b.String()
}

// Awareness, confirmation and exchanges with dead members each have an effect: the same runs are
// worse without them.
func TestDisabledMechanisms_HaveEffect(t *testing.T) {
	script := starvationScript(60, 15)
	falseDeaths, seeds := map[string]int{}, 2
	if harness.RaceEnabled {
		seeds = 1
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for name, disabled := range map[string]swim.Disabled{"all": {}, "no awareness": {Awareness: true}, "no confirmation": {Confirmation: true}, "neither": {Awareness: true, Confirmation: true}} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for seed := range uint64(seeds) {
				r := runScript(t, Config{Members: 60, Seed: seed, WarmStart: true, Loss: 0.05, Duration: 34 * time.Second, Core: swim.Config{Disabled: disabled}}, script)
				mu.Lock()
				falseDeaths[name] += r.HealthyFalseDeaths
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	t.Logf("15 of 60 members starved for 30 s, %d seeds: healthy members declared dead: %v", seeds, falseDeaths)
	if falseDeaths["all"] >= falseDeaths["neither"] || falseDeaths["no awareness"]+falseDeaths["no confirmation"] <= 2*falseDeaths["all"] {
		t.Errorf("disabling the mechanisms has no effect: healthy members declared dead: %v", falseDeaths)
	}
	for _, without := range []bool{false, true} {
		r := runScript(t, Config{Members: 60, Duration: 60 * time.Second, Core: swim.Config{Disabled: swim.Disabled{DeadExchanges: without}}}, "at 5s for 15s cut 0-29 30-59")
		if took := r.ConvergedAfter(20 * time.Second); (took < 0) != without {
			t.Errorf("exchanges with dead members disabled: %t; converged after %s", without, took)
		}
	}
}

// The checks of the scenarios detect seeded faults: members that do not refute, and a restart that
// keeps its start.
func TestSwimSimulation_DetectsSeededBugs(t *testing.T) {
	r := runScript(t, Config{Members: 30, Loss: 0.3, Duration: 40 * time.Second, Core: swim.Config{Disabled: swim.Disabled{Refutation: true}}}, "")
	if r.ConvergedAfter(0) >= 0 && r.FalseDeaths == 0 {
		t.Error("no check detects disabled refutations")
	}
	r = runScript(t, Config{Members: 30, SameStart: true, WarmStart: true, Duration: 20 * time.Second}, "at 5s kill 3\nat 5500ms move 3")
	if r.Counts.Refutations == 0 && r.NameConflicts == 0 {
		t.Error("no check detects a restart that keeps its start")
	}
}
