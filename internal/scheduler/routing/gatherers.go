package routing

import "slices"

// gatherers holds the names of the gatherers that are alive, sorted. All gatherers that know the same ones divide slots in the same way.
type gatherers struct {
	byZone map[string][]string
	all    []string
}

// put adds a gatherer. One that is known in another zone moves to this one.
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

// serving returns the gatherers that send items to the workers of a zone: those of the zone, so that texts cross no zones; all where it has none.
func (g *gatherers) serving(zone string) []string {
	if names := g.byZone[zone]; len(names) > 0 {
		return names
	}
	return g.all
}

// insertName adds a name to a sorted list that may have it already.
func insertName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if found {
		return names
	}
	return slices.Insert(names, i, name)
}

// removeName takes a name out of a sorted list that may not have it.
func removeName(names []string, name string) []string {
	i, found := slices.BinarySearch(names, name)
	if !found {
		return names
	}
	return slices.Delete(names, i, i+1)
}
