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

// seeds returns how many histories TestProof plays.
func seeds() uint64 {
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		return 5000
	}
	return 120
}

// mostSeeds is how many histories a seeded bug is looked for in.
const mostSeeds = 3000

// firstSeeds are shortly before the first histories that show a bug: the search begins there to save time.
var firstSeeds = map[Bug]uint64{CountContactOnly: 115, LocalRefusals: 30}

// TestProof plays the control plane under faults: no rule is broken, and the checks detect each seeded bug, also those of the simulation of the
// replica groups.
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
	caught := 0
	for _, bug := range Bugs {
		if r, ok := noticed(bug); ok {
			caught++
			t.Logf("%s: seed %d: %v", bug, r.Seed, r.Err)
		} else {
			t.Errorf("not noticed: %s", bug)
		}
	}
	for _, bug := range consensusmodel.Bugs {
		if seed, err := consensusmodel.DetectBug(bug); err != nil {
			caught++
			t.Logf("%s: seed %d: %v", bug, seed, err)
		} else {
			t.Errorf("not noticed: %s", bug)
		}
	}
	t.Logf("%+v", total)
	t.Logf("proof: seeds=%d lost=%d refused=%d twice=%d two_winners=%d two_holders=%d back=%d wrong_caller=%d over_budget=%d stuck=%d snapshots=%d installed=%d bugs_caught=%d/%d", seeds(),
		broken[Lost], broken[Refused], broken[Duplicated], broken[TwoWinners], broken[TwoHolders], broken[Regressed], broken[WrongCaller], broken[OverBudget], broken[Stuck],
		total.SnapshotsMade, total.SnapshotsReceived, caught, len(Bugs)+len(consensusmodel.Bugs))
	is.True(total.Orders > 0 && total.Repeated > 0 && total.Jobs > 0 && total.Calls > 0 && total.SnapshotsReceived > 0)
	is.True(total.Wipes > 0 && total.Cuts > 0 && total.Halves > 0 && total.Overlaps > 0 && total.Replacements > 0 && total.Retirements > 0 && total.ClockStep > 0)
}

// noticed looks for a history in which the checks detect a seeded bug.
func noticed(bug Bug) (first Result, ok bool) {
	Scan(max(firstSeeds[bug], 1), mostSeeds, bug, func(r Result) bool {
		if r.Err != nil {
			first, ok = r, true
		}
		return !ok
	})
	return first, ok
}

// TestTrace prints what happens in one history: SAFFRONQUAY_SEED says which, SAFFRONQUAY_BUG which bug is seeded.
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseUint(os.Getenv("SAFFRONQUAY_SEED"), 10, 64)
	if err != nil {
		t.Skip("SAFFRONQUAY_SEED is not set")
	}
	o := Seeded(seed, Bug(os.Getenv("SAFFRONQUAY_BUG")))
	o.Trace = func(format string, values ...any) { fmt.Printf(format+"\n", values...) }
	report, err := Play(o)
	t.Logf("%+v %v", report, err)
}

// TestScan plays many histories and prints those that break a rule: SAFFRONQUAY_SCAN says how many.
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

// TestSeedsRepeat plays histories twice: the same seed gives the same history.
func TestSeedsRepeat(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		first, err := Play(Seeded(seed, NoBug))
		again, errAgain := Play(Seeded(seed, NoBug))
		if first != again || fmt.Sprint(err) != fmt.Sprint(errAgain) {
			t.Errorf("seed %d: %+v %v, then %+v %v", seed, first, err, again, errAgain)
		}
	}
}

// TestHuntBugs prints the first history in which each seeded bug is detected: SAFFRONQUAY_HUNT says among how many seeds.
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
				t.Errorf("%q: seed %d: %v is no violation", bug, r.Seed, r.Err)
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
