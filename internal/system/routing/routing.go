// Package routing picks the worker for each request, each item of a batch job and each stream that is taken up again: normally the one
// with the least predicted backlog among those that the request may go to, ties at random (Predicted, after Freire et al., "Scheduling
// Queries Across Replicas"). A worker's backlog is the summed predicted response time of this gatherer's requests that are out at it:
// sending adds a request's predicted time, and any outcome, a cancel or a cut too, removes it. Which workers a request may go to is a
// filter before that. It is pure: times are milliseconds that the caller gives.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"

	"saffronquay/internal/system/rpc"
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
	refused        map[string]int64 // until when it is taken to decline requests for a model; it is full, or loads weights
}

// Table holds the workers.
type Table struct {
	mu        sync.Mutex
	byID      map[string]*Worker
	byService map[string][]*Worker
	classes   map[string]*class
	random    *rand.Rand
	changed   chan struct{}
}

// NewTable returns an empty table.
func NewTable(random *rand.Rand) *Table {
	return &Table{byID: map[string]*Worker{}, byService: map[string][]*Worker{}, classes: map[string]*class{}, random: random, changed: make(chan struct{})}
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
func (t *Table) Put(i *rpc.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[i.Id]
	if w == nil {
		w = &Worker{ID: i.Id, Service: i.Service, versions: map[string]uint64{}, refused: map[string]int64{}}
		t.byID[i.Id] = w
		t.byService[i.Service] = append(t.byService[i.Service], w)
	}
	w.Address, w.Zone, w.Capacity, w.draining, w.lost = i.Address, i.Zone, int(i.Capacity), i.Draining, i.Lost
	for _, m := range i.Models {
		w.versions[m.Name] = max(w.versions[m.Name], m.Version)
	}
	t.signal()
}

// Remove forgets a worker.
func (t *Table) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.byID[id]
	if w == nil {
		return
	}
	w.draining, w.lost = true, true
	delete(t.byID, id)
	t.byService[w.Service] = slices.DeleteFunc(t.byService[w.Service], func(x *Worker) bool { return x == w })
}

// SawVersion notes which version of a model a worker's answer named.
func (t *Table) SawVersion(w *Worker, model string, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w.versions[model] != version {
		w.versions[model] = version
		t.signal()
	}
}

// Query says where a request may go.
type Query struct {
	Services   []string
	Model      string
	MinVersion uint64
	Exact      uint64 // the only version that fits; 0: any from MinVersion on
	Without    map[string]bool
	MostItems  func(w *Worker) int // bound on the items of this gatherer at a worker; nil: none
}

// Ticket is a request that is out at a worker.
type Ticket struct {
	Worker  *Worker
	table   *Table
	cost    float64
	item    bool
	cleared bool
}

// Pick returns a ticket for the worker with the least predicted backlog among those that the query allows, and charges it with the cost.
// It returns nil where no worker fits.
func (t *Table) Pick(now int64, q *Query, cost float64) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *Worker
	bestAvoided, ties := true, 0
	for _, service := range q.Services {
		for _, w := range t.byService[service] {
			if !q.allows(w) {
				continue
			}
			avoided := now < w.avoidUntil || now < w.refused[q.Model] || w.lost
			if avoided && q.MostItems != nil {
				continue // an item can wait for a better one
			}
			switch {
			case best == nil || bestAvoided && !avoided, avoided == bestAvoided && w.backlog < best.backlog-1e-6:
				best, bestAvoided, ties = w, avoided, 1
			case avoided == bestAvoided && w.backlog <= best.backlog+1e-6:
				if ties++; t.random.IntN(ties) == 0 {
					best = w
				}
			}
		}
	}
	if best == nil {
		return nil
	}
	best.backlog += cost
	best.out++
	if q.MostItems != nil {
		best.items++
	}
	return &Ticket{Worker: best, table: t, cost: cost, item: q.MostItems != nil}
}

func (q *Query) allows(w *Worker) bool {
	if w.draining || q.Without[w.ID] {
		return false
	}
	if q.Model != "" && len(w.versions) > 0 {
		version, ok := w.versions[q.Model]
		if !ok || version < q.MinVersion || q.Exact != 0 && version != q.Exact {
			return false
		}
	}
	return q.MostItems == nil || w.items < q.MostItems(w)
}

// Clear takes a request off its worker's backlog, whatever its outcome. Later calls do nothing.
func (k *Ticket) Clear() {
	t := k.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if k.cleared {
		return
	}
	k.cleared = true
	w := k.Worker
	w.out--
	if k.item {
		w.items--
	}
	w.backlog = max(0, w.backlog-k.cost)
	if w.out == 0 {
		w.backlog = 0
	}
	t.signal()
}

const (
	avoidFirstMS = 150
	avoidMostMS  = 2000
	refusedMS    = 100
)

// Failed notes that a worker did not answer; it is avoided for a while that grows with each failure in a row.
func (t *Table) Failed(now int64, w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures++
	w.avoidUntil = now + int64(min(avoidFirstMS<<min(w.failures-1, 10), avoidMostMS))
}

// Refused notes that a worker has declined a request for a model; empty where the request names none.
func (t *Table) Refused(now int64, w *Worker, model string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.refused[model] = now + refusedMS
}

// Served notes that a worker has answered.
func (t *Table) Served(w *Worker) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.failures, w.avoidUntil = 0, 0
}

// Reported resets a worker's backlog to what its answer says of its load: the requests that run and wait there, each taken for the
// average time.
func (t *Table) Reported(w *Worker, running, waiting int, average float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.backlog = float64(running+waiting) * average
}

// Rooms tells how many items could begin now, by model and version, and in all; services are those that the table's route goes to.
func (t *Table) Rooms(now int64, services []string, most func(w *Worker) int) (rooms []*rpc.Room, want int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	type place struct {
		model   string
		version uint64
	}
	free := map[place]uint32{}
	for _, service := range services {
		for _, w := range t.byService[service] {
			if w.draining || w.lost || now < w.avoidUntil {
				continue
			}
			n := most(w) - w.items
			if n <= 0 {
				continue
			}
			open := false
			for model, version := range w.versions {
				if now >= w.refused[model] {
					free[place{model, version}] += uint32(n)
					open = true
				}
			}
			if open {
				want += n
			}
		}
	}
	for p, n := range free {
		rooms = append(rooms, &rpc.Room{Model: p.model, Version: p.version, Free: n})
	}
	return rooms, want
}
