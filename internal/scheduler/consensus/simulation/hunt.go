package simulation

// first is a history that shows each bug soon: the search begins there, so that it doesn't take minutes.
var first = map[Bug]uint64{KeepIdentity: 74, FoundTwice: 74, TrustLease: 58}

// huntLength is how long the histories are that a bug is looked for in, in ms of virtual time.
const huntLength = 40_000

// mostSeeds is how many histories a seeded bug is looked for in.
const mostSeeds = 4000

// Hunt plays with a seeded bug until it is noticed; the error says how.
func Hunt(bug Bug) (seed uint64, err error) {
	for seed = max(first[bug], 1); seed <= mostSeeds; seed++ {
		if _, err = Play(Options{Seed: seed, Machines: 3, Spares: int(seed % 2), Length: huntLength, Bug: bug}); err != nil {
			return seed, err
		}
	}
	return 0, nil
}
