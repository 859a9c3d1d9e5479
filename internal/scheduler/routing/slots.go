package routing

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// queueShare is the part, one in so many, of a worker's places that may wait there beyond those that run, so that none stands idle between two
// items.
const queueShare = 8

// places is the number of items that may be at a worker.
func (w *Worker) places() int { return w.Capacity + (w.Capacity+queueShare-1)/queueShare }

// gatherers are the live ones, by zone and in all, in the order of their names.
type gatherers struct {
	byZone map[string][]string
	all    []string
}

func (g *gatherers) put(x Gatherer) {
	g.byZone[x.Zone] = insert(g.byZone[x.Zone], x.Name)
	g.all = insert(g.all, x.Name)
}

func (g *gatherers) remove(name string) {
	for zone, names := range g.byZone {
		g.byZone[zone] = remove(names, name)
	}
	g.all = remove(g.all, name)
}

// of are the gatherers that send items to the workers of a zone: those of that zone, so that texts cross no zones; where it has none, all.
func (g *gatherers) of(zone string) []string {
	if names := g.byZone[zone]; len(names) > 0 {
		return names
	}
	return g.all
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

// share is this gatherer's part of a service.
type share struct {
	places map[string]int  // for items, by worker
	near   map[string]bool // workers that its requests prefer
}

// share returns this gatherer's part of a service; the caller holds the lock.
func (t *Table) share(service string) *share {
	s := t.shares[service]
	if s == nil {
		workers := slices.DeleteFunc(slices.Clone(t.byService[service]), func(w *Worker) bool { return !w.usable() })
		s = &share{places: t.divide(workers), near: nearby(t.own, &t.gatherers, workers)}
		t.shares[service] = s
	}
	return s
}

// divide returns this gatherer's part of the places of each worker, by zones. Each gatherer computes the same division, without a word between
// them.
func (t *Table) divide(workers []*Worker) map[string]int {
	byZone := map[string][]*Worker{}
	for _, w := range workers {
		byZone[w.Zone] = append(byZone[w.Zone], w)
	}
	places := map[string]int{}
	for zone, list := range byZone {
		names := t.gatherers.of(zone)
		rank, found := slices.BinarySearch(names, t.own.Name)
		if !found && len(names) > 0 {
			continue
		}
		if t.use.CompactPlaces && len(names) > 0 {
			divideCompactly(list, names, rank, places)
		} else {
			divideEvenly(list, rank, max(len(names), 1), places)
		}
	}
	return places
}

// divideCompactly gives each gatherer the same number of places, one more at most, at as few workers as possible, so that few gatherers share
// a worker and each of them sees most of its load. A worker's places go to the gatherers in the order of their rendezvous hashes with it, as
// far as these have room, so that a change of workers or gatherers moves few places.
func divideCompactly(workers []*Worker, names []string, rank int, places map[string]int) {
	row := slices.Clone(workers)
	slices.SortFunc(row, func(a, b *Worker) int { return cmp.Or(cmp.Compare(hash(a.ID), hash(b.ID)), cmp.Compare(a.ID, b.ID)) })
	room := evenRooms(row, len(names))
	for _, w := range row {
		left := w.places()
		for _, g := range rendezvous(w.ID, names) {
			part := min(room[g], left)
			room[g] -= part
			left -= part
			if g == rank && part > 0 {
				places[w.ID] = part
			}
			if left == 0 {
				break
			}
		}
	}
}

// evenRooms divides the places of all workers by their number alone.
func evenRooms(workers []*Worker, count int) []int {
	total := 0
	for _, w := range workers {
		total += w.places()
	}
	rooms := make([]int, count)
	for i := range rooms {
		rooms[i] = (i+1)*total/count - i*total/count
	}
	return rooms
}

// rendezvous orders gatherers, by their places in the list, for a worker.
func rendezvous(worker string, names []string) []int {
	weights := make([]uint64, len(names))
	order := make([]int, len(names))
	for i, name := range names {
		weights[i], order[i] = hash(name+"/"+worker), i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(weights[a], weights[b]), cmp.Compare(a, b)) })
	return order
}

// divideEvenly divides the places of each worker among all gatherers. The parts differ by one place at most, and who has one more is another
// gatherer at each worker.
func divideEvenly(workers []*Worker, rank, count int, places map[string]int) {
	for _, w := range workers {
		n := w.places()
		part := n / count
		if (rank+int(hash(w.ID)%uint64(count)))%count < n%count {
			part++
		}
		places[w.ID] = part
	}
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

// Rooms tells how many items could begin now, by model and version, and in all; services are those that batch jobs' routes go to.
func (t *Table) FreeSlots(now int64, services []string) (rooms []*rpc.Room, want int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type place struct {
		model   string
		version uint64
	}
	free := map[place]uint32{}
	for _, service := range services {
		share := t.share(service)
		for _, w := range t.byService[service] {
			n := share.places[w.ID] - w.items
			if !w.usable() || now < w.avoidUntil || n <= 0 {
				continue
			}
			open := false
			for model, version := range w.versions {
				if now >= w.refusals[model].until {
					free[place{model, version}] += uint32(n)
					open = true
				}
			}
			if open {
				want += n
			}
		}
	}
	for p, n := range free {
		rooms = append(rooms, &rpc.Room{Model: p.model, Version: p.version, Free: n})
	}
	return rooms, want
}
