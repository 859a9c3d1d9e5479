package routing

import "saffronquay/internal/scheduler/rpc"

// FreeSlots returns how many items this gatherer could begin at the time now, by model and weight version, and in all. services are those of batch
// jobs' routes. A slot of a worker with several models is in several rooms, but counts one time in total. The rooms come in no particular order.
func (t *Table) FreeSlots(now int64, services []string) (rooms []*rpc.Room, total int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type weights struct {
		model   string
		version uint64
	}
	free := map[weights]uint32{}
	for _, service := range services {
		subset := t.subset(service)
		for _, w := range t.byService[service] {
			slots := subset.slots[w.ID] - w.itemsInFlight
			if !w.usable() || now < w.avoidedUntil || slots <= 0 {
				continue
			}
			open := false // for any model
			for model, version := range w.versions {
				if now >= w.rejections[model].until {
					free[weights{model, version}] += uint32(slots)
					open = true
				}
			}
			if open {
				total += slots
			}
		}
	}
	for key, count := range free {
		rooms = append(rooms, &rpc.Room{Model: key.model, Version: key.version, Free: count})
	}
	return rooms, total
}
