package weights

import (
	"cmp"
	"hash/fnv"
	"math"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	// spareWorkers is the number of workers that serve a model beyond those that its open jobs need.
	spareWorkers = 1
	// headroom is the factor on what the open jobs need: items differ in length, and workers slow down when they are full.
	headroom = 1.25
)

// assign chooses the workers that each model of a service is kept up to date on, as ids by model: as many as its open jobs need and a few
// more, but at least an even fraction of them, so that a new version interrupts as few requests as it can. Each worker serves about as many
// models as any other.
func assign(workers []*rpc.Instance, rules *Rules) map[string]map[string]bool {
	usable := slices.DeleteFunc(slices.Clone(workers), func(w *rpc.Instance) bool { return w.Draining })
	models := modelsOf(usable)
	assigned := map[string]map[string]bool{}
	load := map[string]int{} // models by worker
	for i, model := range models {
		order := slices.Clone(usable)
		slices.SortFunc(order, func(a, b *rpc.Instance) int {
			return cmp.Or(cmp.Compare(load[a.Id], load[b.Id]), cmp.Compare(rank(a, i), rank(b, i)), cmp.Compare(a.Id, b.Id))
		})
		assigned[model] = map[string]bool{}
		for _, w := range order[:workersFor(model, len(models), usable, rules)] {
			assigned[model][w.Id] = true
			load[w.Id]++
		}
	}
	return assigned
}

// workersFor returns how many workers a model gets that is one of so many in its service.
func workersFor(model string, models int, workers []*rpc.Instance, rules *Rules) int {
	if models <= 1 || len(workers) == 0 {
		return len(workers)
	}
	capacity := 0
	for _, w := range workers {
		capacity += int(w.Capacity)
	}
	slotsPerWorker := float64(max(capacity, 1)) / float64(len(workers))
	needed := int(math.Ceil(headroom*rules.Slots(model)/slotsPerWorker)) + spareWorkers
	evenShare := (len(workers) + models - 1) / models
	return min(max(evenShare, needed), len(workers))
}

// modelsOf returns the names of the models that workers serve, sorted.
func modelsOf(workers []*rpc.Instance) (models []string) {
	for _, w := range workers {
		for _, m := range w.Models {
			if !slices.Contains(models, m.Name) {
				models = append(models, m.Name)
			}
		}
	}
	slices.Sort(models)
	return models
}

// rank orders workers for the model with a number. A worker keeps its rank.
func rank(w *rpc.Instance, model int) uint32 {
	h := fnv.New32a()
	h.Write([]byte{byte(model)})
	h.Write([]byte(w.Id))
	return h.Sum32()
}
