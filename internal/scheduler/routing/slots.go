package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// queueDivisor sets how many items may wait at a worker: one for each queueDivisor that run, rounded up, so that the worker is not idle between two
// items.
const queueDivisor = 8

// slots returns the number of items that all gatherers together may have in flight at the worker.
func (w *Worker) slots() int { return w.Capacity + (w.Capacity+queueDivisor-1)/queueDivisor }

// divideSlots returns this gatherer's slots at each worker, by id. The workers of a zone are divided among the gatherers that serve it. Every gatherer
// that knows the same workers and gatherers computes the same division, without messages. t.mu must be locked.
func (t *Table) divideSlots(workers []*Worker) map[string]int {
	byZone := map[string][]*Worker{}
	for _, w := range workers {
		byZone[w.Zone] = append(byZone[w.Zone], w)
	}
	own := map[string]int{}
	for zone, zoneWorkers := range byZone {
		names := t.gatherers.serving(zone)
		rank, found := slices.BinarySearch(names, t.self.Name)
		if !found && len(names) > 0 {
			continue
		}
		if t.gates.CompactSlots && len(names) > 0 {
			divideCompactly(zoneWorkers, names, rank, own)
		} else {
			divideEvenly(zoneWorkers, rank, max(len(names), 1), own)
		}
	}
	return own
}

// divideCompactly adds the slots of the gatherer with a rank among names to own. Each gatherer gets the same number of slots, differing by one at
// most, at as few workers as possible: few gatherers use the same worker, and each of them knows most of its load. A worker's slots go to the gatherers
// in the order of their rendezvous hashes with it until each has its number, so that a change of workers or gatherers moves few slots.
func divideCompactly(workers []*Worker, names []string, rank int, own map[string]int) {
	sorted := slices.Clone(workers)
	slices.SortFunc(sorted, func(a, b *Worker) int { return cmp.Or(cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID)) })
	unassigned := evenSlotCounts(sorted, len(names))
	for _, w := range sorted {
		free := w.slots()
		for _, gatherer := range rendezvousOrder(w.ID, names) {
			assigned := min(unassigned[gatherer], free)
			unassigned[gatherer] -= assigned
			free -= assigned
			if gatherer == rank && assigned > 0 {
				own[w.ID] = assigned
			}
			if free == 0 {
				break
			}
		}
	}
}

// evenSlotCounts divides the number of all workers' slots into count parts that differ by one at most.
func evenSlotCounts(workers []*Worker, count int) []int {
	total := 0
	for _, w := range workers {
		total += w.slots()
	}
	counts := make([]int, count)
	for i := range counts {
		counts[i] = (i+1)*total/count - i*total/count
	}
	return counts
}

// rendezvousOrder returns the indexes of names in the order of their hashes with a worker.
func rendezvousOrder(workerID string, names []string) []int {
	hashes := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		hashes[i], order[i] = hash(name+"/"+workerID), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
	return order
}

// divideEvenly adds the slots of the gatherer with a rank among count ones to own. The slots of each worker are divided among all gatherers. The
// parts differ by one at most; the worker's hash decides which gatherers get one more.
func divideEvenly(workers []*Worker, rank, count int, own map[string]int) {
	for _, w := range workers {
		slots := w.slots()
		assigned := slots / count
		if (rank+int(hash(w.ID)%uint64(count)))%count < slots%count {
			assigned++
		}
		own[w.ID] = assigned
	}
}

// hash must be the same in all gatherers.
func hash(s string) uint64 { return xxhash.Sum64String(s) }
