package weights

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// workers returns n workers of one service that have version 1 of the models.
func workers(n int, models ...string) (list []*rpc.Instance) {
	for i := range n {
		w := &rpc.Instance{Id: fmt.Sprintf("i%d", i), Service: "s", Capacity: 10}
		for _, m := range models {
			w.Models = append(w.Models, &rpc.ModelWeights{Name: m, Version: 1})
		}
		list = append(list, w)
	}
	return list
}

// rules allow several versions and know of no demand.
func rules() *Rules {
	return &Rules{SingleVersion: func(string) bool { return false }, MaxConcurrent: ConcurrentLoads, Slots: func(string) float64 { return 0 }}
}

// A version reaches its model's part of the workers a few at a time, and the plan ends.
func TestRollOut(t *testing.T) {
	is := is.New(t)
	list := workers(9, "a", "b", "c")
	wanted := map[string]uint64{"a": 2}
	loads := 0
	for range 10 {
		orders := Plan(list, wanted, nil, rules())
		is.True(len(orders) <= 3)
		for _, o := range orders {
			is.Equal(o.Mode, Retain)
			o.Instance.Models[0].Version = o.Version
			loads++
		}
	}
	is.Equal(loads, 3)
}

// More demand brings more workers, up to all; a worker with an order in flight gets no second one.
func TestDemandAssignsMoreWorkers(t *testing.T) {
	is := is.New(t)
	for slots, want := range map[float64]int{0: 3, 20: 4, 40: 6, 1000: 9} {
		r := rules()
		r.Slots = func(model string) float64 {
			if model == "a" {
				return slots
			}
			return 0
		}
		is.Equal(len(assign(workers(9, "a", "b", "c"), r)["a"]), want)
	}
	busy := map[string]string{}
	for _, w := range workers(9, "a") {
		busy[w.Id] = "a"
	}
	is.Equal(len(Plan(workers(9, "a"), map[string]uint64{"a": 2}, busy, rules())), 0)
}

// Texts of one version are not mixed: their model's workers end what runs before they load. A lost worker gets no order.
func TestModes(t *testing.T) {
	is := is.New(t)
	single := rules()
	single.SingleVersion = func(string) bool { return true }
	orders := Plan(workers(3, "a"), map[string]uint64{"a": 2}, nil, single)
	is.Equal(orders[0].Mode, Wait)
	lost := workers(1, "a")
	lost[0].Lost = true
	is.Equal(len(Plan(lost, map[string]uint64{"a": 2}, nil, rules())), 0)
}

// Orders carry the cause for which they are sent.
func TestOrdersCarryTheirCause(t *testing.T) {
	is := is.New(t)
	for has, want := range map[uint64]Cause{0: NoVersion, 4: NextVersion, 3: SkippedVersions} {
		w := workers(1, "a")
		w[0].Models[0].Version = has
		orders := Plan(w, map[string]uint64{"a": 5}, nil, rules())
		is.Equal(len(orders), 1)
		is.Equal(orders[0].Cause, want)
	}
}

// The bound on concurrent loads is one for each model: loads of one model do not wait for those of another, at other workers.
func TestModelsLoadBesideEachOther(t *testing.T) {
	is := is.New(t)
	list := workers(9, "a", "b")
	busy := map[string]string{"i0": "a", "i1": "a"}
	orders := Plan(list, map[string]uint64{"a": 2, "b": 2}, busy, rules())
	count := map[string]int{}
	at := map[string]bool{}
	for _, o := range orders {
		count[o.Model]++
		is.True(!at[o.Instance.Id] && busy[o.Instance.Id] == "") // one order at a time for each worker
		at[o.Instance.Id] = true
	}
	is.Equal(count["a"], 1) // two are in flight
	is.Equal(count["b"], 3)
}
