package simulation

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

const proofLengthMS = 40_000 // of virtual time

// lastProofSeed returns the number of histories, which is larger if SAFFRONQUAY_LONG is set.
func lastProofSeed() uint64 {
	if os.Getenv("SAFFRONQUAY_LONG") != "" {
		return 2000
	}
	return 30
}

// proofOptions returns the options of a seed's history: groups of three, and of five for every
// fifth seed.
func proofOptions(seed uint64) Options {
	options := Options{Seed: seed, Machines: 3, Spares: int(seed % 2), LengthMS: proofLengthMS}
	if seed%5 == 0 {
		options.Machines, options.Spares = 5, 1
	}
	return options
}

// TestProof runs groups of three and five under faults: no acknowledged command is lost, and each
// seeded bug is detected.
func TestProof(t *testing.T) {
	is := is.New(t)
	var total Report
	leaderless := 0
	for seed := uint64(1); seed <= lastProofSeed(); seed++ {
		report, err := Play(proofOptions(seed))
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total.Acknowledged += report.Acknowledged
		total.Elections += report.Elections
		total.Crashes += report.Crashes
		total.DiskLosses += report.DiskLosses
		total.PlacementChanges += report.PlacementChanges
		total.Reads += report.Reads
		total.Snapshots += report.Snapshots
		total.Transfers += report.Transfers
		if report.NoLeaderAtEnd {
			t.Logf("seed %d: no leader at the end", seed)
			leaderless++
		}
	}
	detected := 0
	for _, bug := range Bugs {
		if seed, err := DetectBug(bug); err != nil {
			detected++
			t.Logf("%s: seed %d: %v", bug, seed, err)
		} else {
			t.Errorf("seeded bug not detected: %s", bug)
		}
	}
	t.Logf("proof: seeds=%d acknowledged=%d elections=%d crashes=%d wipes=%d swaps=%d reads=%d snapshots_installed=%d transfers=%d lost=0 unfinished=%d bugs_caught=%d/%d", lastProofSeed(),
		total.Acknowledged, total.Elections, total.Crashes, total.DiskLosses, total.PlacementChanges, total.Reads, total.Snapshots, total.Transfers, leaderless, detected, len(Bugs))
	is.Equal(leaderless, 0)
	is.True(total.DiskLosses > 0 && total.PlacementChanges > 0 && total.Reads > 0 && total.Snapshots > 0 && total.Transfers > 0)
}
