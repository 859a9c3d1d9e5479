package routing

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

func newTestTable(workers ...*rpc.Instance) *Table {
	t := NewTable(Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	for _, w := range workers {
		t.PutWorker(w)
	}
	return t
}

func newInstance(id string, version uint64) *rpc.Instance {
	return &rpc.Instance{Id: id, Service: "s", Address: id, Capacity: 4, Models: []*rpc.ModelWeights{{Name: "m", Version: version}}}
}

var anyWorker = &Query{Services: []string{"s"}}

// Pick chooses the worker with the least predicted backlog, not the one with the fewest requests.
// Release subtracts the cost that the reservation has added.
func TestPickLeastPredictedBacklog(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1), newInstance("b", 1))
	long := table.Pick(0, anyWorker, 100)
	for range 3 {
		is.True(table.Pick(0, anyWorker, 10).Worker != long.Worker)
	}
	long.Release()
	long.Release() // no effect
	is.Equal(table.Pick(0, anyWorker, 10).Worker, long.Worker)
}

func TestPickBreaksTiesAtRandom(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1), newInstance("b", 1), newInstance("c", 1))
	count := map[string]int{}
	for range 3000 {
		reservation := table.Pick(0, anyWorker, 1)
		count[reservation.Worker.ID]++
		reservation.Release()
	}
	for _, id := range []string{"a", "b", "c"} {
		is.True(count[id] > 850 && count[id] < 1150)
	}
}

// A request is sent only to workers of its services that are not draining, have matching weights
// and are not excluded.
func TestPickFilter(t *testing.T) {
	is := is.New(t)
	draining := newInstance("d", 9)
	draining.Draining = true
	other := newInstance("o", 9)
	other.Service = "other"
	table := newTestTable(newInstance("a", 1), newInstance("b", 2), newInstance("c", 3), draining, other)
	query := &Query{Services: []string{"s"}, Model: "m", MinVersion: 2}
	is.Equal(table.Pick(0, &Query{Services: []string{"s"}, Model: "m", MinVersion: 2, ExactVersion: 2}, 1).Worker.ID, "b")
	is.Equal(table.Pick(0, query, 1).Worker.ID, "c")
	query.Exclude = map[string]bool{"b": true, "c": true}
	is.True(table.Pick(0, query, 1) == nil)
	is.True(table.Pick(0, &Query{Services: []string{"s"}, Model: "unknown"}, 1) == nil)
	table.RemoveWorker("c")
	is.True(table.Pick(0, &Query{Services: []string{"s"}, Model: "m", MinVersion: 3}, 1) == nil)
}

// A failed worker is avoided until it serves a request, but is picked for a request, not for an
// item, if there is no other.
func TestPickAvoidsFailedWorker(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1), newInstance("b", 1))
	a := table.byID["a"]
	table.RecordFailure(1000, a)
	for range 20 {
		is.Equal(table.Pick(1001, anyWorker, 1).Worker.ID, "b")
	}
	is.Equal(table.Pick(1001, &Query{Services: []string{"s"}, Exclude: map[string]bool{"b": true}}, 1).Worker.ID, "a")
	is.True(table.Pick(1001, &Query{Services: []string{"s"}, Exclude: map[string]bool{"b": true}, Item: true}, 1) == nil)
	table.RecordSuccess(a)
	is.True(a.avoidedUntil == 0)
}

// The estimated cost depends on the route's latency and on the tokens of the request; a reported
// load replaces the backlog.
func TestEstimateCost(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1))
	is.Equal(table.EstimateCost("r", 150, Usage{}), 150.0)
	table.RecordLatency("r", 150, 40, Usage{Output: 100})
	is.Equal(table.EstimateCost("r", 150, Usage{Output: 200}), 80.0)
	table.RecordLoad(table.byID["a"], 3, 2, 40)
	is.Equal(table.byID["a"].backlogMS, 200.0)
}

// A single gatherer has all five slots of each worker of capacity four: four to run and one to
// queue.
func TestFreeSlots(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1), newInstance("b", 2))
	reservation := table.Pick(0, &Query{Services: []string{"s"}, Model: "m", MinVersion: 2, Item: true}, 1)
	is.Equal(reservation.Worker.ID, "b")
	slots, total := table.FreeSlots(0, []string{"s"})
	is.Equal(total, 9)
	is.Equal(len(slots), 2)
	table.RecordRejection(0, reservation.Worker, "m", RejectedNotExecuted)
	_, total = table.FreeSlots(1, []string{"s"})
	is.Equal(total, 5)
}

// A worker may be announced at a new address while requests to it start: its address is read
// without the table's lock.
func TestWorkerAddressConcurrentUpdate(t *testing.T) {
	is := is.New(t)
	table := newTestTable(newInstance("a", 1))
	reservation := table.Pick(0, anyWorker, 1)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		for range 100 {
			moved := newInstance("a", 1)
			moved.Address = "b"
			table.PutWorker(moved)
		}
	}()
	for range 100 {
		address := reservation.Worker.Address()
		is.True(address == "a" || address == "b")
	}
	<-announced
	is.Equal(reservation.Worker.Address(), "b")
}

// A gatherer that rejoins in another zone shares the slots of the workers there, and no longer
// those of its former zone.
func TestGatherersPutMovesZone(t *testing.T) {
	is := is.New(t)
	var live gatherers
	live.byZone = map[string][]string{}
	live.put(Gatherer{Name: "a", Zone: "x"})
	live.put(Gatherer{Name: "b", Zone: "x"})
	live.put(Gatherer{Name: "a", Zone: "y"})
	is.Equal(live.serving("x"), []string{"b"})
	is.Equal(live.serving("y"), []string{"a"})
	is.Equal(live.all, []string{"a", "b"})
	live.put(Gatherer{Name: "b", Zone: "y"})
	is.Equal(live.serving("x"), []string{"a", "b"}) // zone x has no gatherers left
}
