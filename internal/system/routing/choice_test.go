package routing

import (
	"saffronquay/internal/system/decisions"
	"testing"

	"github.com/matryer/is"
)

func withPolicy(policy decisions.Policy) *Table {
	use := decisions.All()
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
	x := withPolicy(decisions.Predicted)
	long := load(x)
	is.True(x.Pick(0, anywhere, 1).Worker != long)
	x = withPolicy(decisions.LeastRequests)
	long = load(x)
	is.Equal(x.Pick(0, anywhere, 1).Worker, long)
	x = withPolicy(decisions.RoundRobin)
	seen := map[string]bool{}
	for range 4 {
		seen[x.Pick(0, anywhere, 1).Worker.ID] = true
	}
	is.Equal(len(seen), 4)
	for _, policy := range []decisions.Policy{decisions.Random, decisions.TwoChoices} {
		x, seen = withPolicy(policy), map[string]bool{}
		for range 100 {
			k := x.Pick(0, anywhere, 1)
			seen[k.Worker.ID] = true
			k.Clear()
		}
		is.Equal(len(seen), 4)
	}
}
