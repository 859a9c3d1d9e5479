package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// queueDivisor sets how many items may be queued at a worker: one per queueDivisor of its capacity,
// rounded up, so that the worker is not idle between two items.
const queueDivisor = 8

// slots returns the number of items that all gatherers together may have in flight at the worker:
// those that run and those that are queued.
func (w *Worker) slots() int { return w.Capacity + (w.Capacity+queueDivisor-1)/queueDivisor }

// divideSlots returns this gatherer's slots at each worker, by id. The slots of a zone's workers
// are divided among the gatherers that serve the zone. Gatherers that know the same workers and
// gatherers compute the same division without communication. t.mu must be held.
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

// divideCompactly adds the slots of the gatherer names[rank] to own. The numbers of slots of the
// gatherers differ by at most one, and each gatherer's slots are at as few workers as possible: few
// gatherers then use the same worker, and each of them knows most of its load. A worker's slots are
// assigned to the gatherers in the order of their rendezvous hashes with it until each gatherer has
// its number, so that a change of workers or gatherers moves few slots.
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

// evenSlotCounts divides the total number of the workers' slots into count parts that differ by at
// most one.
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

// rendezvousOrder returns the indexes of names, sorted by the hash of each name with the worker's
// ID.
func rendezvousOrder(workerID string, names []string) []int {
	hashes := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		hashes[i], order[i] = hash(name+"/"+workerID), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a, b)) })
	return order
}

// divideEvenly adds the slots of the gatherer with a rank among count gatherers to own. The slots
// of each worker are divided among all gatherers. The parts differ by at most one; the worker's
// hash decides which gatherers get one more.
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
