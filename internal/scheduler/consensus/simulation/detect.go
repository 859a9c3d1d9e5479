package simulation

// firstSeeds are the seeds at which the search for each bug starts. A later seed close to it
// detects the bug, so that the search saves minutes.
var firstSeeds = map[Bug]uint64{KeepIdentity: 16, FoundTwice: 16, TrustLease: 12, SwapAtOnce: 250}

const (
	detectLengthMS = 40_000 // length of the histories searched for a bug
	lastSeed       = 4000   // of the search
)

// DetectBug plays histories with a seeded bug until a check detects it. It returns the seed of that
// history and the violation as the error; both are zero if no history detects the bug.
func DetectBug(bug Bug) (seed uint64, violation error) {
	for seed = max(firstSeeds[bug], 1); seed <= lastSeed; seed++ {
		if _, err := Play(Options{Seed: seed, Machines: 3, Spares: int(seed % 2), LengthMS: detectLengthMS, Bug: bug}); err != nil {
			return seed, err
		}
	}
	return 0, nil
}
