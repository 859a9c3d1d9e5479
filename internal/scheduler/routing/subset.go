package routing

import "slices"

// minZoneCapacityRatio is the minimum capacity per gatherer of a zone, as a fraction of the
// capacity per gatherer of all zones, with which requests prefer their zone. Below it, the zone's
// workers would get more than twice the load of the others.
const minZoneCapacityRatio = 0.5

// subset is this gatherer's share of a service's workers. It is immutable.
type subset struct {
	slots     map[string]int  // items that the gatherer may have in flight, by worker id
	preferred map[string]bool // ids of the workers that the gatherer's requests prefer
}

// subset returns this gatherer's share of a service's workers. It is computed again after a change
// of workers or gatherers. t.mu must be held.
func (t *Table) subset(service string) *subset {
	if s := t.subsets[service]; s != nil {
		return s
	}
	unusable := func(w *Worker) bool { return !w.usable() }
	workers := slices.DeleteFunc(slices.Clone(t.byService[service]), unusable)
	s := &subset{
		slots:     t.divideSlots(workers),
		preferred: preferredWorkers(t.self, &t.gatherers, workers),
	}
	t.subsets[service] = s
	return s
}

// preferredWorkers returns the ids of the workers that a gatherer's requests prefer: those of its
// zone, to reduce the number of connections and the traffic between zones, or all workers if its
// zone has too little capacity for its gatherers.
func preferredWorkers(self Gatherer, gatherers *gatherers, workers []*Worker) map[string]bool {
	zoneCapacity, capacity := 0, 0
	preferred := map[string]bool{}
	for _, w := range workers {
		capacity += w.Capacity
		if w.Zone == self.Zone {
			zoneCapacity += w.Capacity
			preferred[w.ID] = true
		}
	}
	perGathererInZone := float64(zoneCapacity) / float64(max(len(gatherers.byZone[self.Zone]), 1))
	perGatherer := float64(capacity) / float64(max(len(gatherers.all), 1))
	if perGathererInZone >= minZoneCapacityRatio*perGatherer {
		return preferred
	}
	for _, w := range workers {
		preferred[w.ID] = true
	}
	return preferred
}
