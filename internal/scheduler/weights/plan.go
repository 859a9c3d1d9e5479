package weights

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// workersPerLoad bounds the concurrent loads of a model: one in so many workers of a service loads at a time.
const workersPerLoad = 3

// ConcurrentLoads returns how many workers of a service may load a model's weights at a time, so that enough of the others go on serving.
func ConcurrentLoads(workers int) int { return (workers + workersPerLoad - 1) / workersPerLoad }

// Rules are what a plan depends on besides the workers. The functions must not block, and must not be nil.
type Rules struct {
	SingleVersion func(model string) bool    // whether a model's texts must be made by one version
	MaxConcurrent func(workers int) int      // bounds the orders in flight for one model in a service of so many workers
	Slots         func(model string) float64 // how many requests of a model its open jobs need to run concurrently; 0 where that isn't known
}

// Plan returns the orders to send now. wanted maps models to their newest named version. busy maps the ids of workers with an order in
// flight to the models that they load. Lost and draining workers, and those in flight, get no order; no worker gets two. Plan is pure; the
// services come in no fixed order.
func Plan(instances []*rpc.Instance, wanted map[string]uint64, busy map[string]string, rules *Rules) []Order {
	services := map[string][]*rpc.Instance{}
	for _, i := range instances {
		if !i.Lost {
			services[i.Service] = append(services[i.Service], i)
		}
	}
	var orders []Order
	for _, workers := range services {
		orders = append(orders, planService(workers, wanted, busy, rules)...)
	}
	return orders
}

// candidate is an order that a worker could get.
type candidate struct {
	Order
	behind   uint64  // versions between what the worker has and what is wanted
	progress float64 // fraction of the model's workers that have the wanted version
}

// planService plans the orders of one service. Models are ordered by the fraction of their workers that have the wanted version, the smallest first;
// the workers of a model by how many versions they are behind, the most first.
func planService(workers []*rpc.Instance, wanted map[string]uint64, busy map[string]string, rules *Rules) (orders []Order) {
	candidates := candidatesOf(workers, wanted, busy, rules)
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.progress, b.progress), cmp.Compare(b.behind, a.behind),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Instance.Id, b.Instance.Id),
		)
	})
	// A load takes capacity of its own model only, so each model has its own bound.
	loading := loadsByModel(workers, busy)
	most := rules.MaxConcurrent(len(workers))
	ordered := map[string]bool{}
	for _, c := range candidates {
		if ordered[c.Instance.Id] || loading[c.Model] >= most {
			continue
		}
		ordered[c.Instance.Id] = true
		loading[c.Model]++
		orders = append(orders, c.Order)
	}
	return orders
}

// loadsByModel counts the orders in flight.
func loadsByModel(workers []*rpc.Instance, busy map[string]string) map[string]int {
	loads := map[string]int{}
	for _, w := range workers {
		if model := busy[w.Id]; model != "" {
			loads[model]++
		}
	}
	return loads
}

// candidatesOf returns the orders that the workers lack, for the models that each is assigned.
func candidatesOf(workers []*rpc.Instance, wanted map[string]uint64, busy map[string]string, rules *Rules) (candidates []candidate) {
	assigned := assign(workers, rules)
	progress := map[string]float64{}
	for model, ids := range assigned {
		progress[model] = float64(countHaving(workers, model, wanted[model])) / float64(max(len(ids), 1))
	}
	for _, w := range workers {
		if busy[w.Id] != "" || w.Draining {
			continue
		}
		for _, m := range w.Models {
			if m.Version >= wanted[m.Name] || !assigned[m.Name][w.Id] {
				continue
			}
			mode := Retain
			if rules.SingleVersion(m.Name) {
				mode = Wait
			}
			version := wanted[m.Name]
			candidates = append(candidates, candidate{
				Order:    Order{Instance: w, Model: m.Name, Version: version, Mode: mode, Cause: causeOf(m.Version, version)},
				behind:   version - m.Version,
				progress: progress[m.Name],
			})
		}
	}
	return candidates
}

// countHaving counts the workers that have a version of a model, or a later one.
func countHaving(workers []*rpc.Instance, model string, version uint64) (n int) {
	for _, w := range workers {
		if slices.ContainsFunc(w.Models, func(m *rpc.ModelWeights) bool { return m.Name == model && m.Version >= version }) {
			n++
		}
	}
	return n
}
