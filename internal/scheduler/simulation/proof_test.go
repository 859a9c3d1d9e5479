package simulation

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"

	consensusmodel "saffronquay/internal/scheduler/consensus/simulation"
)

// seeds returns the number of histories that TestProof runs without a bug.
func seeds() uint64 {
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		return 5000
	}
	return 120
}

// maxSeeds is the number of histories after which the search for a violation by a seeded bug fails.
const maxSeeds = 3000

// firstSeeds has seeds shortly before the first history that detects a bug. The search starts there to
// save time.
var firstSeeds = map[Bug]uint64{CountContactOnly: 115, LocalRefusals: 30}

// TestProof runs histories of the control plane under faults. No rule may be violated, and the checks
// must detect each seeded bug, including those of the simulation of the replica groups.
func TestProof(t *testing.T) {
	is := is.New(t)
	var total Report
	broken := map[Rule]int{}
	Scan(1, seeds(), NoBug, func(r Result) bool {
		total.Add(r.Report)
		var violation *ViolationError
		if errors.As(r.Err, &violation) {
			broken[violation.Rule]++
			t.Errorf("seed %d: %v", r.Seed, r.Err)
		}
		return true
	})
	detected := 0
	for _, bug := range Bugs {
		if r, ok := detectBug(bug); ok {
			detected++
			t.Logf("%s: seed %d: %v", bug, r.Seed, r.Err)
		} else {
			t.Errorf("seeded bug not detected: %s", bug)
		}
	}
	for _, bug := range consensusmodel.Bugs {
		if seed, err := consensusmodel.DetectBug(bug); err != nil {
			detected++
			t.Logf("%s: seed %d: %v", bug, seed, err)
		} else {
			t.Errorf("seeded bug not detected: %s", bug)
		}
	}
	t.Logf("%+v", total)
	t.Logf("proof: seeds=%d lost=%d refused=%d twice=%d two_winners=%d two_holders=%d back=%d wrong_caller=%d over_budget=%d stuck=%d snapshots=%d installed=%d bugs_caught=%d/%d", seeds(),
		broken[Lost], broken[Refused], broken[Duplicated], broken[ConflictingOrders], broken[ConflictingDispatchers], broken[Regressed], broken[WrongCaller], broken[OverBudget], broken[Stuck],
		total.SnapshotsMade, total.SnapshotsReceived, detected, len(Bugs)+len(consensusmodel.Bugs))
	is.True(total.Orders > 0 && total.Repeated > 0 && total.Jobs > 0 && total.Calls > 0 && total.SnapshotsReceived > 0)
	is.True(total.Wipes > 0 && total.Cuts > 0 && total.Halves > 0 && total.Overlaps > 0 && total.Replacements > 0 && total.Retirements > 0 && total.ClockStep > 0)
}

// detectBug searches for a history in which the checks detect a seeded bug.
func detectBug(bug Bug) (first Result, ok bool) {
	Scan(max(firstSeeds[bug], 1), maxSeeds, bug, func(r Result) bool {
		if r.Err != nil {
			first, ok = r, true
		}
		return !ok
	})
	return first, ok
}

// TestTrace prints the trace of the history of the seed SAFFRONQUAY_SEED, with the seeded bug
// SAFFRONQUAY_BUG.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_SEED"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_SEED is not set")
	}
	o := OptionsForSeed(seed, Bug(os.Getenv("SAFFRONQUAY_BUG")))
	o.Trace = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
	report, err := Play(o)
	t.Logf("%+v %v", report, err)
}

// TestScan runs SAFFRONQUAY_SCAN histories and reports those that violate a rule.
func TestScan(t *testing.T) {
	count, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_SCAN"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_SCAN is not set")
	}
	var total Report
	Scan(1, count, Bug(os.Getenv("SAFFRONQUAY_BUG")), func(r Result) bool {
		total.Add(r.Report)
		if r.Err != nil {
			t.Errorf("seed %d: %v", r.Seed, r.Err)
		}
		return true
	})
	t.Logf("%+v", total)
}

// TestPlay_Deterministic runs histories twice: the same seed must give the same history.
func TestPlay_Deterministic(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		first, err := Play(OptionsForSeed(seed, NoBug))
		again, errAgain := Play(OptionsForSeed(seed, NoBug))
		if first != again || fmt.Sprint(err) != fmt.Sprint(errAgain) {
			t.Errorf("seed %d: %+v %v, then %+v %v", seed, first, err, again, errAgain)
		}
	}
}

// TestHuntBugs logs, for each seeded bug, the first history that detects it among SAFFRONQUAY_HUNT
// seeds.
func TestHuntBugs(t *testing.T) {
	count, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_HUNT"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_HUNT is not set")
	}
	for _, bug := range Bugs {
		found := map[Rule]int{}
		var first Result
		played := 0
		Scan(1, count, bug, func(r Result) bool {
			played++
			if r.Err == nil {
				return true
			}
			var violation *ViolationError
			if !errors.As(r.Err, &violation) {
				t.Errorf("%q: seed %d: error %v is not a *ViolationError", bug, r.Seed, r.Err)
				return false
			}
			found[violation.Rule]++
			if first.Err == nil || r.Seed < first.Seed {
				first = r
			}
			return true
		})
		t.Logf("%q: %v of %d; seed %d: %v", bug, found, played, first.Seed, first.Err)
	}
}
