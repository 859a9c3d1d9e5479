package routing

import "saffronquay/internal/scheduler/featuregate"

// Ticket is a request that is out at a worker.
type Reservation struct {
	Worker  *Worker
	table   *Table
	cost    float64
	item    bool
	cleared bool
}

// tie is how far two predictions may be apart and count as equal, in milliseconds.
const tie = 1e-6

// candidate is a worker that a request may go to.
type candidate struct {
	worker  *Worker
	avoided bool
	score   float64 // what the policy wants least of
}

// compare tells whether a candidate is better than another one (-1), as good (0) or worse (1).
func (c candidate) compare(d candidate) int {
	switch {
	case c.avoided != d.avoided:
		if d.avoided {
			return -1
		}
		return 1
	case c.score < d.score-tie:
		return -1
	case c.score > d.score+tie:
		return 1
	}
	return 0
}

// Pick returns a ticket for the worker with the least predicted backlog among those that the query allows, and charges it with the cost.
// It returns nil where no worker fits.
func (t *Table) Pick(now int64, q *Query, cost float64) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best candidate
	ties := 0
	for _, c := range t.candidates(now, q, cost) {
		switch order := c.compare(best); {
		case best.worker == nil || order < 0:
			best, ties = c, 1
		case order == 0:
			if ties++; t.random.IntN(ties) == 0 {
				best = c
			}
		}
	}
	if best.worker == nil {
		return nil
	}
	countPick(q.Item, best.avoided, ties)
	if q.SharedPrompt != "" {
		sharedPrompts[best.worker.prompts.meet(q.SharedPrompt)].Inc()
	}
	return t.charge(best.worker, cost, q.Item)
}

// candidates are the workers that a request may go to, with what the policy thinks of them.
func (t *Table) candidates(now int64, q *Query, cost float64) (list []candidate) {
	for _, service := range q.Services {
		share := t.share(service)
		for _, w := range t.byService[service] {
			if !q.allows(w) {
				continue
			}
			avoided := w.avoided(now, q.Model)
			if q.Item && (avoided || w.items >= share.places[w.ID]) {
				continue // it can wait for a place
			}
			list = append(list, candidate{w, avoided, t.score(w, share, cost)})
		}
	}
	if t.use.Policy == featuregate.TwoChoices && len(list) > 2 {
		first := t.random.IntN(len(list))
		second := (first + 1 + t.random.IntN(len(list)-1)) % len(list)
		return []candidate{list[first], list[second]}
	}
	if t.use.Policy == featuregate.RoundRobin && len(list) > 0 {
		t.turn++
		return []candidate{list[t.turn%len(list)]}
	}
	return list
}

// score is what the policy wants least of. A worker that isn't near counts as if one more such request were out at it.
func (t *Table) score(w *Worker, s *share, cost float64) float64 {
	switch t.use.Policy {
	case featuregate.Predicted:
		if t.use.NearbyWorkers && !s.near[w.ID] {
			return w.backlog + cost
		}
		return w.backlog
	case featuregate.LeastRequests, featuregate.TwoChoices:
		return float64(w.out)
	}
	return 0
}

// charge adds a request to its worker's backlog.
func (t *Table) charge(w *Worker, cost float64, item bool) *Reservation {
	w.backlog += cost
	w.out++
	if item {
		w.items++
	}
	return &Reservation{Worker: w, table: t, cost: cost, item: item}
}

// Clear takes a request off its worker's backlog, whatever its outcome. Later calls do nothing.
func (k *Reservation) Release() {
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
