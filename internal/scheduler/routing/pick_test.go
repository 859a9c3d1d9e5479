package routing

import (
	"saffronquay/internal/scheduler/featuregate"
	"testing"

	"github.com/matryer/is"
)

func withPolicy(policy featuregate.Policy) *Table {
	gates := featuregate.All()
	gates.Policy = policy
	table := newFleet(gates, 1, 4, 1, 6)[0]
	return table
}

// The baselines choose what their names say.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	// One worker has a long request, the others have two short ones each.
	load := func(table *Table) *Worker {
		long := table.reserve(table.byID["w00"], 1000, false).Worker
		for _, id := range []string{"w01", "w02", "w03"} {
			for range 2 {
				table.reserve(table.byID[id], 10, false)
			}
		}
		return long
	}
	table := withPolicy(featuregate.Predicted)
	long := load(table)
	is.True(table.Pick(0, anywhere, 1).Worker != long)
	table = withPolicy(featuregate.LeastRequests)
	long = load(table)
	is.Equal(table.Pick(0, anywhere, 1).Worker, long)
	table = withPolicy(featuregate.RoundRobin)
	seen := map[string]bool{}
	for range 4 {
		seen[table.Pick(0, anywhere, 1).Worker.ID] = true
	}
	is.Equal(len(seen), 4)
	for _, policy := range []featuregate.Policy{featuregate.Random, featuregate.TwoChoices} {
		table, seen = withPolicy(policy), map[string]bool{}
		for range 100 {
			reservation := table.Pick(0, anywhere, 1)
			seen[reservation.Worker.ID] = true
			reservation.Release()
		}
		is.Equal(len(seen), 4)
	}
}
