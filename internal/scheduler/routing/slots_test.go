package routing

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// fleet contains one table per gatherer. All tables have the same workers and gatherers.
type fleet []*Table

func newFleet(gates featuregate.Gates, gatherers, workers, zones, capacity int) fleet {
	var f fleet
	for i := range gatherers {
		f = append(f, NewTable(Gatherer{Name: fmt.Sprintf("g%02d", i), Zone: fmt.Sprintf("z%d", i%zones)}, gates, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for _, t := range f {
		for _, other := range f {
			t.PutGatherer(other.self)
		}
		for i := range workers {
			t.PutWorker(&rpc.Instance{Id: fmt.Sprintf("w%02d", i), Service: "s", Zone: fmt.Sprintf("z%d", i%zones), Capacity: uint32(capacity), Models: []*rpc.ModelWeights{{Name: "m", Version: 1}}})
		}
	}
	return f
}

// slots returns the slots of each gatherer, by worker id.
func (f fleet) slots() map[string][]int {
	parts := map[string][]int{}
	for i, t := range f {
		for id, n := range t.subset("s").slots {
			if parts[id] == nil {
				parts[id] = make([]int, len(f))
			}
			parts[id][i] = n
		}
	}
	return parts
}

func sum(numbers []int) (total int) {
	for _, n := range numbers {
		total += n
	}
	return total
}

func countPositive(numbers []int) (count int) {
	for _, n := range numbers {
		if n > 0 {
			count++
		}
	}
	return count
}

// Both divisions assign each slot of each worker to exactly one gatherer of its zone. With the
// compact one, the numbers of slots of the gatherers of a zone differ by at most one.
func TestDivideSlotsAssignsAll(t *testing.T) {
	for _, compact := range []bool{true, false} {
		for _, c := range []struct {
			name                                string
			gatherers, workers, zones, capacity int
		}{
			{"many of both", 60, 48, 4, 6},
			{"more workers, large ones", 6, 9, 3, 12},
			{"one of each", 1, 1, 1, 1},
			{"few gatherers", 3, 50, 1, 4},
			{"few workers", 40, 2, 2, 6},
		} {
			t.Run(fmt.Sprintf("compact %v, %s", compact, c.name), func(t *testing.T) {
				is := is.New(t)
				gates := featuregate.All()
				gates.CompactSlots = compact
				f := newFleet(gates, c.gatherers, c.workers, c.zones, c.capacity)
				slots := f.slots()
				is.Equal(len(slots), c.workers)
				perGatherer := map[int]int{}
				for id, list := range slots {
					is.Equal(sum(list), f[0].byID[id].slots())
					for i, n := range list {
						is.True(n == 0 || f[i].self.Zone == f[0].byID[id].Zone)
						perGatherer[i] += n
					}
				}
				if !compact {
					return
				}
				for i, table := range f {
					for j, other := range f {
						if table.self.Zone == other.self.Zone {
							is.True(perGatherer[i]-perGatherer[j] <= 1)
						}
					}
				}
			})
		}
	}
}

// The compact division uses at most half as many pairs of gatherer and worker as the even one.
func TestDivideSlotsCompactPairs(t *testing.T) {
	is := is.New(t)
	shared := func(compact bool) (count int) {
		gates := featuregate.All()
		gates.CompactSlots = compact
		for _, list := range newFleet(gates, 60, 48, 4, 6).slots() {
			count += countPositive(list)
		}
		return count
	}
	is.True(shared(true) <= shared(false)/2)
}

// The removal of a worker or a gatherer moves less than a third of the slots.
func TestDivideSlotsStability(t *testing.T) {
	is := is.New(t)
	f := newFleet(featuregate.All(), 16, 12, 1, 6)
	before := f.slots()
	moved := func() (count int) {
		for id, list := range f.slots() {
			for i, n := range list {
				count += max(0, n-before[id][i])
			}
		}
		return count
	}
	total := 12 * 7
	for _, t := range f {
		t.RemoveWorker("w03")
	}
	is.True(moved() < total/3)
	before = f.slots()
	removed := f[5].self.Name
	f = append(f[:5:5], f[6:]...)
	for id, list := range before {
		before[id] = append(list[:5:5], list[6:]...)
	}
	for _, t := range f {
		t.RemoveGatherer(removed)
	}
	is.True(moved() < total/3)
}

// The slots of workers in a zone without gatherers are divided among all gatherers.
func TestDivideSlotsZoneWithoutGatherers(t *testing.T) {
	is := is.New(t)
	f := newFleet(featuregate.All(), 4, 2, 1, 6)
	for _, t := range f {
		t.PutWorker(&rpc.Instance{Id: "far", Service: "s", Zone: "elsewhere", Capacity: 6, Models: []*rpc.ModelWeights{{Name: "m", Version: 1}}})
	}
	is.Equal(sum(f.slots()["far"]), 7)
}
