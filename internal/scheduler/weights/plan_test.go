package weights

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// workers returns n workers of one service with version 1 of each model.
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

// rules returns Rules that allow mixed versions and have no demand.
func rules() *Rules {
	return &Rules{SingleVersion: func(string) bool { return false }, MaxConcurrent: ConcurrentLoads, Slots: func(string) float64 { return 0 }}
}

// A version is rolled out to the workers assigned to its model, a few at a time. Then no more
// orders are planned.
func TestPlanRollout(t *testing.T) {
	is := is.New(t)
	list := workers(9, "a", "b", "c")
	wanted := map[string]uint64{"a": 2}
	loads := 0
	for range 10 {
		orders := Plan(list, wanted, nil, rules())
		is.True(len(orders) <= 3)
		for _, o := range orders {
			is.Equal(o.Mode, ModeRetain)
			o.Instance.Models[0].Version = o.Version
			loads++
		}
	}
	is.Equal(loads, 3)
}

// The number of assigned workers grows with the demand, up to all workers. A worker with an order
// in flight gets no second one.
func TestAssignByDemand(t *testing.T) {
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

// Workers of a model with a single version per text finish running requests before they load. A
// lost worker gets no order.
func TestPlanModes(t *testing.T) {
	is := is.New(t)
	single := rules()
	single.SingleVersion = func(string) bool { return true }
	orders := Plan(workers(3, "a"), map[string]uint64{"a": 2}, nil, single)
	is.Equal(orders[0].Mode, ModeWait)
	lost := workers(1, "a")
	lost[0].Lost = true
	is.Equal(len(Plan(lost, map[string]uint64{"a": 2}, nil, rules())), 0)
}

// The cause of an order depends on the version that the worker has.
func TestPlanCause(t *testing.T) {
	is := is.New(t)
	for has, want := range map[uint64]Cause{0: CauseNoVersion, 4: CauseNextVersion, 3: CauseSkippedVersions} {
		w := workers(1, "a")
		w[0].Models[0].Version = has
		orders := Plan(w, map[string]uint64{"a": 5}, nil, rules())
		is.Equal(len(orders), 1)
		is.Equal(orders[0].Cause, want)
	}
}

// The bound on concurrent loads applies to each model separately: loads of one model do not delay
// those of another at other workers.
func TestPlanConcurrentModels(t *testing.T) {
	is := is.New(t)
	list := workers(9, "a", "b")
	busy := map[string]string{"i0": "a", "i1": "a"}
	orders := Plan(list, map[string]uint64{"a": 2, "b": 2}, busy, rules())
	count := map[string]int{}
	at := map[string]bool{}
	for _, o := range orders {
		count[o.Model]++
		is.True(!at[o.Instance.Id] && busy[o.Instance.Id] == "") // one order at a time per worker
		at[o.Instance.Id] = true
	}
	is.Equal(count["a"], 1) // two more are in flight
	is.Equal(count["b"], 3)
}
