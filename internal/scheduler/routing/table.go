package routing

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync"
)

// Worker is one start of a worker as this gatherer sees it.
type Worker struct {
	ID, Address, Service, Zone string
	Capacity                   int

	draining, lost bool
	versions       map[string]uint64
	backlog        float64 // predicted, ms
	out            int     // requests of this gatherer
	items          int     // of these, items of batch jobs
	failures       int     // in a row
	avoidUntil     int64
	refusals       map[string]refusal // by model
	refusalCounts  refusalCounts
	prompts        recentPrompts
}

// usable tells whether a worker takes part in the division of places and in subsets. All gatherers know that of a worker in the same way.
func (w *Worker) usable() bool { return !w.draining && !w.lost }

// Table holds the workers and the other gatherers.
type Table struct {
	mu        sync.Mutex
	own       Gatherer
	use       featuregate.Gates
	byID      map[string]*Worker
	byService map[string][]*Worker
	classes   map[string]*class
	gatherers gatherers
	shares    map[string]*share // by service; empty after a change
	random    *rand.Rand
	turn      int // of RoundRobin
	changed   chan struct{}
}

// Gatherer names a gatherer and its zone.
type Gatherer struct{ Name, Zone string }

// NewTable returns an empty table of a gatherer.
func NewTable(own Gatherer, use featuregate.Gates, random *rand.Rand) *Table {
	return &Table{
		own: own, use: use, byID: map[string]*Worker{}, byService: map[string][]*Worker{}, classes: map[string]*class{},
		gatherers: gatherers{byZone: map[string][]string{}}, shares: map[string]*share{}, random: random, changed: make(chan struct{}),
	}
}

func (t *Table) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Changed returns a channel that is closed when a worker may have become able to take more.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Put adds a worker or replaces what is known of it.
func (t *Table) PutWorker(i *rpc.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[i.Id]
	if w == nil {
		w = &Worker{ID: i.Id, Service: i.Service, versions: map[string]uint64{}, refusals: map[string]refusal{}, refusalCounts: refusalCounts{}}
		t.byID[i.Id] = w
		t.byService[i.Service] = append(t.byService[i.Service], w)
		delete(t.shares, w.Service)
	}
	if w.Zone != i.Zone || w.Capacity != int(i.Capacity) || w.draining != i.Draining || w.lost != i.Lost {
		delete(t.shares, w.Service)
	}
	w.Address, w.Zone, w.Capacity, w.draining, w.lost = i.Address, i.Zone, int(i.Capacity), i.Draining, i.Lost
	for _, m := range i.Models {
		w.versions[m.Name] = max(w.versions[m.Name], m.Version)
	}
	t.signal()
}

// Remove forgets a worker.
func (t *Table) RemoveWorker(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[id]
	if w == nil {
		return
	}
	w.draining, w.lost = true, true
	w.refusalCounts.forget(w)
	w.refusalCounts = nil
	delete(t.byID, id)
	delete(t.shares, w.Service)
	t.byService[w.Service] = slices.DeleteFunc(t.byService[w.Service], func(x *Worker) bool { return x == w })
}

// PutGatherer notes that a gatherer is alive.
func (t *Table) PutGatherer(g Gatherer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatherers.put(g)
	clear(t.shares)
	t.signal()
}

// RemoveGatherer notes that a gatherer is gone.
func (t *Table) RemoveGatherer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gatherers.remove(name)
	clear(t.shares)
	t.signal()
}

// SawVersion notes which version of a model a worker's answer named.
func (t *Table) RecordVersion(w *Worker, model string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.versions[model] != version {
		w.versions[model] = version
		t.signal()
	}
}

// Reported resets a worker's backlog to what its answer says of its load: the requests that run and wait there, each taken for the
// average time.
func (t *Table) RecordLoad(w *Worker, running, waiting int, average float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.backlog = float64(running+waiting) * average
}
