package routing

import (
	"saffronquay/internal/scheduler/rpc"
	"sync/atomic"
)

// Worker is one incarnation of a worker as this gatherer sees it: each start of a worker has an ID of its own. ID and Service never change and
// Address may be called by any goroutine; the table's lock guards the other fields.
type Worker struct {
	ID, Service string
	Zone        string
	Capacity    int // items and requests that it runs at a time

	address        atomic.Pointer[string]
	draining, lost bool              // as the registry says
	versions       map[string]uint64 // weight version by model; empty: it hasn't named any
	backlogMS      float64           // predicted time of this gatherer's requests in flight
	inFlight       int               // this gatherer's requests, items included
	itemsInFlight  int               // of these, items of batch jobs

	failures          int                         // in a row
	avoidedUntil      int64                       // since the last failure
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

// update takes over what the registry says, and reports whether the subsets of its service have to be computed again. The version of a model only
// grows here: an answer may have named a later one already.
func (w *Worker) update(i *rpc.Instance) (subsetsChange bool) {
	subsetsChange = w.Zone != i.Zone || w.Capacity != int(i.Capacity) || w.draining != i.Draining || w.lost != i.Lost
	w.address.Store(&i.Address)
	w.Zone, w.Capacity, w.draining, w.lost = i.Zone, int(i.Capacity), i.Draining, i.Lost
	for _, model := range i.Models {
		w.versions[model.Name] = max(w.versions[model.Name], model.Version)
	}
	return subsetsChange
}

// Address returns where the worker was announced last.
func (w *Worker) Address() string {
	if address := w.address.Load(); address != nil {
		return *address
	}
	return ""
}

// usable reports whether the worker counts in subsets. It depends only on what the registry says, so that all gatherers agree on it.
func (w *Worker) usable() bool { return !w.draining && !w.lost }
