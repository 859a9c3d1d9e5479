package proxy

import (
	"hash/fnv"
	"slices"

	"saffronquay/internal/system/routing"
)

// queueShare is the part of a worker's places that may wait there beyond those that run, so that none stands idle between two items.
const queueShare = 8

// slots is this gatherer's part of the places of a worker. The live gatherers divide them: each computes the same parts, which differ
// by one place at most, and who has one more is another gatherer at each worker.
func (p *Proxy) slots(w *routing.Worker) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := max(len(p.edges), 1)
	rank, found := slices.BinarySearch(p.edges, p.settings.NodeName)
	if !found {
		rank = 0
	}
	places := w.Capacity + (w.Capacity+queueShare-1)/queueShare
	h := fnv.New32a()
	h.Write([]byte(w.ID))
	part := places / count
	if (rank+int(h.Sum32()%uint32(count)))%count < places%count {
		part++
	}
	return part
}
