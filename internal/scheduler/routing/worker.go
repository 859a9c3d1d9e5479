package routing

import (
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
)

// Worker is this gatherer's view of one incarnation of a worker: each start of a worker has a new
// ID. ID and Service are immutable and Address is safe for concurrent use; the table's lock guards
// the other fields.
type Worker struct {
	ID, Service string
	Zone        string
	Capacity    int // items and requests that it runs concurrently

	address        atomic.Pointer[string]
	draining, lost bool              // according to the registry
	versions       map[string]uint64 // weight version by model; empty: the worker has reported none
	backlogMS      float64           // predicted time of this gatherer's requests in flight
	inFlight       int               // this gatherer's requests, items included
	itemsInFlight  int               // of these, items of batch jobs

	failures          int                         // consecutive ones
	avoidedUntil      int64                       // set by the last failure; 0 after a success
	rejections        map[string]rejectionBackoff // by model
	rejectionCounters rejectionCounters           // nil after the worker was removed
	recentPrompts     recentPrompts
}

func newWorker(i *rpc.Instance) *Worker {
	return &Worker{
		ID:                i.Id,
		Service:           i.Service,
		versions:          map[string]uint64{},
		rejections:        map[string]rejectionBackoff{},
		rejectionCounters: rejectionCounters{},
	}
}

// update applies the registry's state and reports whether the subsets of the service have to be
// recomputed. It never lowers the version of a model, since an answer may already have reported a
// later one.
func (w *Worker) update(i *rpc.Instance) (subsetsChange bool) {
	subsetsChange = w.Zone != i.Zone || w.Capacity != int(i.Capacity) || w.draining != i.Draining || w.lost != i.Lost
	w.address.Store(&i.Address)
	w.Zone, w.Capacity, w.draining, w.lost = i.Zone, int(i.Capacity), i.Draining, i.Lost
	for _, model := range i.Models {
		w.versions[model.Name] = max(w.versions[model.Name], model.Version)
	}
	return subsetsChange
}

// Address returns the address at which the worker was last announced.
func (w *Worker) Address() string {
	if address := w.address.Load(); address != nil {
		return *address
	}
	return ""
}

// usable reports whether the worker is included in subsets. It depends only on the registry's
// state, so that all gatherers agree on it.
func (w *Worker) usable() bool { return !w.draining && !w.lost }
