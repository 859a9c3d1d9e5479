package simulation

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

const length = 40_000 // ms of virtual time

func seeds() uint64 {
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		return 2000
	}
	return 30
}

// TestProof plays groups of three and five under faults: nothing that was acknowledged is lost, and each seeded bug is noticed.
func TestProof(t *testing.T) {
	is := is.New(t)
	var total Report
	unfinished := 0
	for seed := uint64(1); seed <= seeds(); seed++ {
		options := Options{Seed: seed, Machines: 3, Spares: int(seed % 2), Length: length}
		if seed%5 == 0 {
			options.Machines, options.Spares = 5, 1
		}
		report, err := Play(options)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.Acknowledged += report.Acknowledged
		total.Elections += report.Elections
		total.Crashes += report.Crashes
		total.Wipes += report.Wipes
		total.Swaps += report.Swaps
		total.Reads += report.Reads
		total.Snapshots += report.Snapshots
		if report.Unfinished {
			t.Logf("seed %d: no leader at the end", seed)
			unfinished++
		}
	}
	caught := 0
	for _, bug := range Bugs {
		if seed, err := Hunt(bug); err != nil {
			caught++
			t.Logf("%s: seed %d: %v", bug, seed, err)
		} else {
			t.Errorf("not noticed: %s", bug)
		}
	}
	t.Logf("proof: seeds=%d acknowledged=%d elections=%d crashes=%d wipes=%d swaps=%d reads=%d snapshots_installed=%d lost=0 unfinished=%d bugs_caught=%d/%d", seeds(),
		total.Acknowledged, total.Elections, total.Crashes, total.Wipes, total.Swaps, total.Reads, total.Snapshots, unfinished, caught, len(Bugs))
	is.Equal(unfinished, 0)
	is.True(total.Wipes > 0 && total.Swaps > 0 && total.Reads > 0 && total.Snapshots > 0)
}
