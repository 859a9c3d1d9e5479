package routing

import (
	"saffronquay/internal/scheduler/featuregate"
	"testing"

	"github.com/matryer/is"
)

func newTableWithPolicy(policy featuregate.Policy) *Table {
	gates := featuregate.All()
	gates.Policy = policy
	table := newFleet(gates, 1, 4, 1, 6)[0]
	return table
}

// Each policy of package featuregate picks workers by its own rule.
func TestPickPolicies(t *testing.T) {
	is := is.New(t)
	// One worker has one long request, the others have two short ones each.
	load := func(table *Table) *Worker {
		long := table.reserve(table.byID["w00"], 1000, false).Worker
		for _, id := range []string{"w01", "w02", "w03"} {
			for range 2 {
				table.reserve(table.byID[id], 10, false)
			}
		}
		return long
	}
	table := newTableWithPolicy(featuregate.Predicted)
	long := load(table)
	is.True(table.Pick(0, anyWorker, 1).Worker != long)
	table = newTableWithPolicy(featuregate.LeastRequests)
	long = load(table)
	is.Equal(table.Pick(0, anyWorker, 1).Worker, long)
	table = newTableWithPolicy(featuregate.RoundRobin)
	seen := map[string]bool{}
	for range 4 {
		seen[table.Pick(0, anyWorker, 1).Worker.ID] = true
	}
	is.Equal(len(seen), 4)
	for _, policy := range []featuregate.Policy{featuregate.Random, featuregate.TwoChoices} {
		table, seen = newTableWithPolicy(policy), map[string]bool{}
		for range 100 {
			reservation := table.Pick(0, anyWorker, 1)
			seen[reservation.Worker.ID] = true
			reservation.Release()
		}
		is.Equal(len(seen), 4)
	}
}
