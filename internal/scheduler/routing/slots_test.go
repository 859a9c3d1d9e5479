package routing

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// fleet is a table for each of some gatherers, all of which know the same.
type fleet []*Table

func newFleet(use featuregate.Gates, gatherers, workers, zones, capacity int) fleet {
	var f fleet
	for i := range gatherers {
		f = append(f, NewTable(Gatherer{Name: fmt.Sprintf("g%02d", i), Zone: fmt.Sprintf("z%d", i%zones)}, use, rand.New(rand.NewPCG(1, uint64(i)))))
	}
	for _, t := range f {
		for _, other := range f {
			t.PutGatherer(other.own)
		}
		for i := range workers {
			t.PutWorker(&rpc.Instance{Id: fmt.Sprintf("w%02d", i), Service: "s", Zone: fmt.Sprintf("z%d", i%zones), Capacity: uint32(capacity), Models: []*rpc.ModelWeights{{Name: "m", Version: 1}}})
		}
	}
	return f
}

// parts is how many places each gatherer has at each worker.
func (f fleet) parts() map[string][]int {
	parts := map[string][]int{}
	for i, t := range f {
		for id, n := range t.share("s").places {
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

func sharers(numbers []int) (count int) {
	for _, n := range numbers {
		if n > 0 {
			count++
		}
	}
	return count
}

// Each way of dividing gives out all places of each worker, once, to gatherers of its zone, and the same number to each gatherer of a zone.
func TestPlacesAreDividedWholly(t *testing.T) {
	for _, compact := range []bool{true, false} {
		for _, size := range [][4]int{{60, 48, 4, 6}, {6, 9, 3, 12}, {1, 1, 1, 1}, {3, 50, 1, 4}, {40, 2, 2, 6}} {
			t.Run(fmt.Sprint(compact, size), func(t *testing.T) {
				is := is.New(t)
				use := featuregate.All()
				use.CompactPlaces = compact
				f := newFleet(use, size[0], size[1], size[2], size[3])
				parts := f.parts()
				is.Equal(len(parts), size[1])
				perGatherer := map[int]int{}
				for id, list := range parts {
					is.Equal(sum(list), f[0].byID[id].places())
					for i, n := range list {
						is.True(n == 0 || f[i].own.Zone == f[0].byID[id].Zone)
						perGatherer[i] += n
					}
				}
				if !compact {
					return
				}
				for i, t := range f {
					for j, other := range f {
						if t.own.Zone == other.own.Zone {
							is.True(perGatherer[i]-perGatherer[j] <= 1)
						}
					}
				}
			})
		}
	}
}

// Few gatherers share a worker, and each gatherer works at few.
func TestPlacesAreCompact(t *testing.T) {
	is := is.New(t)
	shared := func(compact bool) (count int) {
		use := featuregate.All()
		use.CompactPlaces = compact
		for _, list := range newFleet(use, 60, 48, 4, 6).parts() {
			count += sharers(list)
		}
		return count
	}
	is.True(shared(true) <= shared(false)/2)
}

// A worker that leaves, or a gatherer, moves few of the places of the others.
func TestChangesMoveFewPlaces(t *testing.T) {
	is := is.New(t)
	f := newFleet(featuregate.All(), 16, 12, 1, 6)
	before := f.parts()
	moved := func() (count int) {
		for id, list := range f.parts() {
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
	before = f.parts()
	gone := f[5].own.Name
	f = append(f[:5:5], f[6:]...)
	for id, list := range before {
		before[id] = append(list[:5:5], list[6:]...)
	}
	for _, t := range f {
		t.RemoveGatherer(gone)
	}
	is.True(moved() < total/3)
}

// A zone without gatherers is served by all of them.
func TestZoneWithoutGatherers(t *testing.T) {
	is := is.New(t)
	f := newFleet(featuregate.All(), 4, 2, 1, 6)
	for _, t := range f {
		t.PutWorker(&rpc.Instance{Id: "far", Service: "s", Zone: "elsewhere", Capacity: 6, Models: []*rpc.ModelWeights{{Name: "m", Version: 1}}})
	}
	is.Equal(sum(f.parts()["far"]), 7)
}
