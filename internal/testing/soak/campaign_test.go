package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) { harness.Main(m) }

// A short campaign has no violations, and writes its report and its history.
func TestCampaign(t *testing.T) {
	program, err := harness.Binary()
	if err != nil {
		t.Fatal(err)
	}
	cfg := Config{Seed: 3, Processes: 4, Voters: 3, Length: 14 * time.Second, Faults: 4, Program: program, Dir: t.TempDir(), Logf: t.Logf}
	r, err := Run(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r.Verdict(cfg))
	if len(r.Violations) > 0 {
		t.Errorf("violations: %s", strings.Join(r.Violations, "\n"))
	}
	path, err := Report(cfg, r, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil || !strings.Contains(string(text), "No violations") || strings.Count(string(text), "<svg") != 3 {
		t.Errorf("report of %d bytes, error %v: want \"No violations\" and 3 plots", len(text), err)
	}
	if history, err := os.ReadFile(filepath.Join(cfg.Dir, "history-3.jsonl")); err != nil || strings.Count(string(history), "\n") < r.Queries {
		t.Errorf("history of %d bytes, error %v: want a line per query", len(history), err)
	}
}

// Shrink reduces a script of thirty steps to the only one that causes a violation.
func TestShrink(t *testing.T) {
	s := faults.Random(5, 8, 30, time.Minute)
	bad := s[17]
	runs := 0
	got, err := Shrink(Config{}, s, 100, func(cfg Config) (r Result, err error) {
		runs++
		if slices.ContainsFunc(cfg.Script, func(x faults.Step) bool { return x.String() == bad.String() }) {
			r.Violations = []string{"violation"}
		}
		return r, nil
	})
	if err != nil || len(got) != 1 || got[0].String() != bad.String() {
		t.Errorf("script after %d runs, shrunk from %d steps: %v, error %v", runs, len(s), got, err)
	}
}

// A campaign detects a bug that is seeded into each part of the program. Runs only with
// SAFFRONQUAY_LONG=1.
func TestCampaign_DetectsSeededBugs(t *testing.T) {
	if os.Getenv("SAFFRONQUAY_LONG") == "" {
		t.Skip("takes minutes: SAFFRONQUAY_LONG=1")
	}
	program := filepath.Join(t.TempDir(), "seeded")
	if out, err := exec.Command("go", "build", "-tags", "seeded", "-o", program, "saffronquay/cmd/saffronquay").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, bug := range []string{"fleet:dead-tries", "rollout:own-timeout", "share:impatient"} {
		t.Run(bug, func(t *testing.T) {
			t.Setenv("SAFFRONQUAY_SEEDED_BUG", bug)
			for seed := uint64(1); seed <= 6; seed++ {
				cfg := Config{Seed: seed, Processes: 6, Voters: 3, Length: 40 * time.Second, Faults: 25, Program: program, Dir: t.TempDir(), Logf: t.Logf}
				r, err := Run(cfg)
				if err != nil {
					t.Fatal(err)
				}
				if len(r.Violations) > 0 {
					t.Logf("seed %d: %s", seed, r.Violations[0])
					return
				}
			}
			t.Error("no violation with any of six seeds")
		})
	}
}
