package routing

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"
)

// Table contains the workers and gatherers that the registry lists, and what this gatherer has
// observed of the workers. Its lock also guards the fields of all its workers and reservations.
type Table struct {
	self  Gatherer
	gates featuregate.Gates

	mu             sync.Mutex
	random         *rand.Rand
	byID           map[string]*Worker
	byService      map[string][]*Worker // in the order of insertion
	estimates      map[string]*latencyEstimate
	gatherers      gatherers
	subsets        map[string]*subset // by service; computed on demand, deleted when outdated
	roundRobinTurn int
	changed        chan struct{} // closed and replaced by signalChange
}

// Gatherer identifies a gatherer and its zone.
type Gatherer struct{ Name, Zone string }

// NewTable returns an empty table for the gatherer self. The caller must not use random afterwards.
func NewTable(self Gatherer, gates featuregate.Gates, random *rand.Rand) *Table {
	return &Table{
		self:      self,
		gates:     gates,
		random:    random,
		byID:      map[string]*Worker{},
		byService: map[string][]*Worker{},
		estimates: map[string]*latencyEstimate{},
		gatherers: gatherers{byZone: map[string][]string{}},
		subsets:   map[string]*subset{},
		changed:   make(chan struct{}),
	}
}

// Changed returns a channel that is closed at the next change that may free capacity: a worker or
// gatherer was put, a gatherer was removed, a reservation was released, or a weight version
// changed. To miss no change, call it before reading the state that the wait depends on.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// signalChange closes the channel of Changed. t.mu must be held.
func (t *Table) signalChange() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// PutWorker adds a worker or updates its registration. What this gatherer has observed of the
// worker is kept.
func (t *Table) PutWorker(i *rpc.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[i.Id]
	if w == nil {
		w = newWorker(i)
		t.byID[i.Id] = w
		t.byService[i.Service] = append(t.byService[i.Service], w)
		delete(t.subsets, w.Service)
	}
	if w.update(i) {
		delete(t.subsets, w.Service)
	}
	t.signalChange()
}

// RemoveWorker removes a worker and unregisters its counters. Reservations of it may still be
// released.
func (t *Table) RemoveWorker(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[id]
	if w == nil {
		return
	}
	w.draining, w.lost = true, true
	w.rejectionCounters.unregister(w)
	w.rejectionCounters = nil
	delete(t.byID, id)
	delete(t.subsets, w.Service)
	t.byService[w.Service] = slices.DeleteFunc(t.byService[w.Service], func(x *Worker) bool { return x == w })
}

// PutGatherer adds a live gatherer, or moves a known one to another zone.
func (t *Table) PutGatherer(g Gatherer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatherers.put(g)
	clear(t.subsets)
	t.signalChange()
}

// RemoveGatherer removes a gatherer that has failed or left.
func (t *Table) RemoveGatherer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatherers.remove(name)
	clear(t.subsets)
	t.signalChange()
}

// RecordVersion sets the weight version of a model that a worker's answer has reported. Unlike
// PutWorker, it may lower the version.
func (t *Table) RecordVersion(w *Worker, model string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.versions[model] != version {
		w.versions[model] = version
		t.signalChange()
	}
}

// RecordLoad sets a worker's backlog to the load that its answer reports: the number of requests
// that run and wait there, times averageMS.
func (t *Table) RecordLoad(w *Worker, running, waiting int, averageMS float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.backlogMS = float64(running+waiting) * averageMS
}
