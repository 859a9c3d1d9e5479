package routing

// nearLeast is the least part of its even share of a service's capacity that a gatherer must find in its own zone for its requests to prefer
// that zone: with less, the zone's workers would be loaded more than twice as much as the others.
const nearLeast = 0.5

// nearby returns the workers of a service that a gatherer's requests prefer: those of its zone, so that fewer connections are opened and
// fewer bytes cross zones; all where its zone has too few for its gatherers.
func nearby(own Gatherer, all *gatherers, workers []*Worker) map[string]bool {
	capacity, total := 0, 0
	near := map[string]bool{}
	for _, w := range workers {
		total += w.Capacity
		if w.Zone == own.Zone {
			capacity += w.Capacity
			near[w.ID] = true
		}
	}
	each := float64(capacity) / float64(max(len(all.byZone[own.Zone]), 1))
	even := float64(total) / float64(max(len(all.all), 1))
	if each >= nearLeast*even {
		return near
	}
	for _, w := range workers {
		near[w.ID] = true
	}
	return near
}
