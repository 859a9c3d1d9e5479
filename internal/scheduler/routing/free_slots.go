package routing

import "saffronquay/internal/scheduler/rpc"

// FreeSlots returns how many items this gatherer could start at the time now, by model and weight
// version, and in total. services are those of the routes of batch jobs. A slot of a worker with
// several models counts for each of its models, but only once in total. The order of the result is
// unspecified.
func (t *Table) FreeSlots(now int64, services []string) (byModel []*rpc.Room, total int) {
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
			available := false // for at least one model
			for model, version := range w.versions {
				if now >= w.rejections[model].until {
					free[weights{model, version}] += uint32(slots)
					available = true
				}
			}
			if available {
				total += slots
			}
		}
	}
	for key, count := range free {
		byModel = append(byModel, &rpc.Room{Model: key.model, Version: key.version, Free: count})
	}
	return byModel, total
}
