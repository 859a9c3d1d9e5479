package proxy

import (
	"hash/fnv"
	"slices"

	"saffronquay/internal/system/routing"
)

// queueShare is the part of a worker's places that may wait there beyond those that run, so that none stands idle between two items.
const queueShare = 8

// slots is this gatherer's part of the places of a worker. The live gatherers of the worker's zone divide them, so that texts cross no
// zones; where the zone has none, all gatherers do. Each computes the same parts, which differ by one place at most, and who has one more
// is another gatherer at each worker.
func (p *Proxy) slots(w *routing.Worker) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	edges := p.edges[w.Zone]
	if len(edges) == 0 {
		edges = p.allEdges
	}
	rank, found := slices.BinarySearch(edges, p.settings.NodeName)
	if !found && len(edges) > 0 {
		return 0
	}
	count := max(len(edges), 1)
	places := w.Capacity + (w.Capacity+queueShare-1)/queueShare
	h := fnv.New32a()
	h.Write([]byte(w.ID))
	part := places / count
	if (rank+int(h.Sum32()%uint32(count)))%count < places%count {
		part++
	}
	return part
}

// setEdge notes that a gatherer is alive.
func (p *Proxy) setEdge(name, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.edges[zone] = insert(p.edges[zone], name)
	p.allEdges = insert(p.allEdges, name)
}

// dropEdge notes that a gatherer is gone.
func (p *Proxy) dropEdge(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for zone, names := range p.edges {
		p.edges[zone] = remove(names, name)
	}
	p.allEdges = remove(p.allEdges, name)
}

func insert(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

func remove(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}
