package routing

import (
	"saffronquay/internal/scheduler/featuregate"
	"testing"

	"github.com/matryer/is"
)

func withPolicy(policy featuregate.Policy) *Table {
	use := featuregate.All()
	use.Policy = policy
	x := newFleet(use, 1, 4, 1, 6)[0]
	return x
}

// The baselines choose as their names say.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	// One worker has a long request, the others have two short ones each.
	load := func(x *Table) *Worker {
		long := x.charge(x.byID["w00"], 1000, false).Worker
		for _, id := range []string{"w01", "w02", "w03"} {
			for range 2 {
				x.charge(x.byID[id], 10, false)
			}
		}
		return long
	}
	x := withPolicy(featuregate.Predicted)
	long := load(x)
	is.True(x.Pick(0, anywhere, 1).Worker != long)
	x = withPolicy(featuregate.LeastRequests)
	long = load(x)
	is.Equal(x.Pick(0, anywhere, 1).Worker, long)
	x = withPolicy(featuregate.RoundRobin)
	seen := map[string]bool{}
	for range 4 {
		seen[x.Pick(0, anywhere, 1).Worker.ID] = true
	}
	is.Equal(len(seen), 4)
	for _, policy := range []featuregate.Policy{featuregate.Random, featuregate.TwoChoices} {
		x, seen = withPolicy(policy), map[string]bool{}
		for range 100 {
			k := x.Pick(0, anywhere, 1)
			seen[k.Worker.ID] = true
			k.Release()
		}
		is.Equal(len(seen), 4)
	}
}
