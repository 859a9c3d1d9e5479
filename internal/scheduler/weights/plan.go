// Package weights brings the workers of a service to the versions of weights that were named. One machine at a time sends orders to the
// workers of a shard (package registry); this package decides which ones, and carries them out.
package weights

import (
	"cmp"
	"hash/fnv"
	"math"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Mode says what becomes of requests that run when new weights are loaded.
type Mode string

// The modes.
const (
	Wait   Mode = "wait"   // they end first
	Retain Mode = "retain" // they go on under the new version
)

// Order is one change of weights of one worker.
type Order struct {
	Instance *rpc.Instance
	Model    string
	Version  uint64
	Mode     Mode
	Cause    Cause
}

// Cause is why weights are ordered.
type Cause string

// The causes.
const (
	NextVersion     Cause = "next_version" // the worker has the version before
	SkippedVersions Cause = "skips"        // it has one further back: the versions between were never loaded there
	NoVersion       Cause = "empty"        // it has none
)

func causeOf(has, wanted uint64) Cause {
	switch {
	case has == 0:
		return NoVersion
	case wanted-has > 1:
		return SkippedVersions
	}
	return NextVersion
}

// Rules are what a plan follows.
type Rules struct {
	SingleVersion func(model string) bool    // whether a model's texts must be made by one version
	MaxConcurrent func(workers int) int      // bounds the orders under way for one model in a service of so many workers
	Slots         func(model string) float64 // how many requests of a model its open jobs need to run at once; 0 where that isn't known
}

// Plan returns the orders to send now. wanted holds the newest named version by model, busy the workers that an order is under way at and the
// models that they load.
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

func planService(workers []*rpc.Instance, wanted map[string]uint64, busy map[string]string, rules *Rules) (orders []Order) {
	// A load takes places of its own model only, so each model has its own bound.
	loading := map[string]int{}
	for _, w := range workers {
		if model := busy[w.Id]; model != "" {
			loading[model]++
		}
	}
	most := rules.MaxConcurrent(len(workers))
	type candidate struct {
		Order
		behind uint64
		done   float64 // part of the model's workers that have this version already
	}
	var candidates []candidate
	homes := assign(workers, rules)
	held := map[string]float64{}
	for model, ids := range homes {
		held[model] = float64(holding(workers, model, wanted[model])) / float64(max(len(ids), 1))
	}
	for _, w := range workers {
		if busy[w.Id] != "" || w.Draining {
			continue
		}
		for _, m := range w.Models {
			if m.Version >= wanted[m.Name] || !homes[m.Name][w.Id] {
				continue
			}
			mode := Retain
			if rules.SingleVersion(m.Name) {
				mode = Wait
			}
			candidates = append(candidates, candidate{
				Order{w, m.Name, wanted[m.Name], mode, causeOf(m.Version, wanted[m.Name])},
				wanted[m.Name] - m.Version, held[m.Name],
			})
		}
	}
	// The models go first of whose workers the smallest part has the version, and of these the workers that lag most.
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.done, b.done), cmp.Compare(b.behind, a.behind), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Instance.Id, b.Instance.Id))
	})
	taken := map[string]bool{}
	for _, c := range candidates {
		if taken[c.Instance.Id] || loading[c.Model] >= most {
			continue
		}
		taken[c.Instance.Id] = true
		loading[c.Model]++
		orders = append(orders, c.Order)
	}
	return orders
}

func holding(workers []*rpc.Instance, model string, version uint64) (n int) {
	for _, w := range workers {
		if slices.ContainsFunc(w.Models, func(m *rpc.ModelWeights) bool { return m.Name == model && m.Version >= version }) {
			n++
		}
	}
	return n
}

const (
	// spareHomes is the number of workers that serve a model beyond those that its open jobs need.
	spareHomes = 1
	// headroom is how much more than that is reckoned with: items differ in length, and workers slow down when they are full.
	headroom = 1.25
)

// assign chooses the workers that each model of a service is kept up to date on: as many as its open jobs need and a few more, but at least
// its even share, so that a new version interrupts and costs as little as it can. Each worker serves about as many models as any other.
func assign(workers []*rpc.Instance, rules *Rules) map[string]map[string]bool {
	var models []string
	var fit []*rpc.Instance
	capacity := 0
	for _, w := range workers {
		if w.Draining {
			continue
		}
		fit = append(fit, w)
		capacity += int(w.Capacity)
		for _, m := range w.Models {
			if !slices.Contains(models, m.Name) {
				models = append(models, m.Name)
			}
		}
	}
	slices.Sort(models)
	homes := map[string]map[string]bool{}
	load := map[string]int{}
	for i, model := range models {
		share := len(fit)
		if len(models) > 1 && len(fit) > 0 {
			each := float64(max(capacity, 1)) / float64(len(fit))
			needed := int(math.Ceil(headroom*rules.Slots(model)/each)) + spareHomes
			share = min(max((len(fit)+len(models)-1)/len(models), needed), len(fit))
		}
		homes[model] = map[string]bool{}
		order := slices.Clone(fit)
		slices.SortFunc(order, func(a, b *rpc.Instance) int {
			return cmp.Or(cmp.Compare(load[a.Id], load[b.Id]), cmp.Compare(rank(a, i), rank(b, i)), cmp.Compare(a.Id, b.Id))
		})
		for _, w := range order[:share] {
			homes[model][w.Id] = true
			load[w.Id]++
		}
	}
	return homes
}

// rank orders workers for the model of a number, the same way as long as the worker lives.
func rank(w *rpc.Instance, model int) uint32 {
	h := fnv.New32a()
	h.Write([]byte{byte(model)})
	h.Write([]byte(w.Id))
	return h.Sum32()
}
