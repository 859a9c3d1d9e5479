package simulation

// firstSeeds are seeds from which on each bug is detected soon; the search begins there to save minutes.
var firstSeeds = map[Bug]uint64{KeepIdentity: 16, FoundTwice: 16, TrustLease: 12, SwapAtOnce: 250}

const (
	detectLengthMS = 40_000 // length of the histories in which a bug is looked for
	lastSeed       = 4000   // of those histories
)

// DetectBug plays histories with a seeded bug until a check detects it. It returns that history's seed, and the violation as the error; both are
// zero if no history shows the bug.
func DetectBug(bug Bug) (seed uint64, violation error) {
	for seed = max(firstSeeds[bug], 1); seed <= lastSeed; seed++ {
		if _, err := Play(Options{Seed: seed, Machines: 3, Spares: int(seed % 2), LengthMS: detectLengthMS, Bug: bug}); err != nil {
			return seed, err
		}
	}
	return 0, nil
}
