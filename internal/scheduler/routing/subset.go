package routing

import "slices"

// minZoneCapacityRatio is the least capacity for each gatherer in its own zone, as a fraction of the capacity for each gatherer in all zones, with
// which requests prefer their zone. With less, the zone's workers would be loaded more than twice as much as the others.
const minZoneCapacityRatio = 0.5

// subset is this gatherer's part of a service. It is never changed, only replaced.
type subset struct {
	slots     map[string]int  // items that it may have in flight, by worker id
	preferred map[string]bool // ids of the workers that its requests prefer
}

// subset returns this gatherer's part of a service, and computes it where a change of workers or gatherers has deleted it. t.mu must be locked.
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

// preferredWorkers returns the ids of the workers that a gatherer's requests prefer: those of its zone, so that fewer connections are opened and
// fewer bytes cross zones; all where its zone has too little capacity for its gatherers.
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
