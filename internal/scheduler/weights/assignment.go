package weights

import (
	"cmp"
	"hash/fnv"
	"math"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	// spareWorkers is the number of workers per model in addition to those that its open jobs need.
	spareWorkers = 1
	// headroom is the factor applied to the demand of the open jobs: items differ in length, and
	// workers slow down at full capacity.
	headroom = 1.25
)

// assign chooses the workers on which each model of a service is kept up to date, and returns their
// ids by model. A model gets as many workers as its open jobs need plus a reserve, but at least an
// even share. The other workers do not load it, so that a new version interrupts as few requests as
// possible. The models are spread evenly over the workers.
func assign(workers []*rpc.Instance, rules *Rules) map[string]map[string]bool {
	usable := slices.DeleteFunc(slices.Clone(workers), func(w *rpc.Instance) bool { return w.Draining })
	models := modelsOf(usable)
	assigned := map[string]map[string]bool{}
	load := map[string]int{} // number of models by worker
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

// workersFor returns the number of workers assigned to a model, given the number of models in its
// service.
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

// modelsOf returns the sorted names of the models that the workers serve.
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

// rank returns a hash by which workers are ordered for the model with the given index. It depends
// only on the worker's ID and the index.
func rank(w *rpc.Instance, model int) uint32 {
	h := fnv.New32a()
	h.Write([]byte{byte(model)})
	h.Write([]byte(w.Id))
	return h.Sum32()
}
