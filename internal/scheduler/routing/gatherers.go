package routing

import "slices"

// gatherers contains the sorted names of the live gatherers. Gatherers with the same set compute
// the same division of slots.
type gatherers struct {
	byZone map[string][]string
	all    []string
}

// put adds a gatherer. If it is already known in another zone, it is moved.
func (g *gatherers) put(x Gatherer) {
	for zone, names := range g.byZone {
		if zone != x.Zone {
			g.byZone[zone] = removeName(names, x.Name)
		}
	}
	g.byZone[x.Zone] = insertName(g.byZone[x.Zone], x.Name)
	g.all = insertName(g.all, x.Name)
}

func (g *gatherers) remove(name string) {
	for zone, names := range g.byZone {
		g.byZone[zone] = removeName(names, name)
	}
	g.all = removeName(g.all, name)
}

// serving returns the gatherers that send items to the workers of a zone: those of the same zone,
// to avoid traffic between zones, or all gatherers if the zone has none.
func (g *gatherers) serving(zone string) []string {
	if names := g.byZone[zone]; len(names) > 0 {
		return names
	}
	return g.all
}

// insertName adds a name to a sorted list unless the list already contains it.
func insertName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

// removeName removes a name from a sorted list if the list contains it.
func removeName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}
