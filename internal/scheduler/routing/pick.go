package routing

import "saffronquay/internal/scheduler/featuregate"

// scoreTolerance is the difference up to which two scores count as equal; for predicted backlogs it
// is in milliseconds.
const scoreTolerance = 1e-6

// candidate is a worker that a request may be sent to.
type candidate struct {
	worker  *Worker
	avoided bool
	score   float64 // lower is better
}

// compare returns -1 if c is the better candidate, 1 if other is, and 0 if they are equal. A
// candidate that is not avoided is better than one that is; otherwise the lower score is better.
func (c candidate) compare(other candidate) int {
	switch {
	case c.avoided != other.avoided:
		if other.avoided {
			return -1
		}
		return 1
	case c.score < other.score-scoreTolerance:
		return -1
	case c.score > other.score+scoreTolerance:
		return 1
	}
	return 0
}

// Pick reserves the best worker that the query allows at the time now, and returns nil if there is
// none. With the policy Predicted that is the worker with the least predicted backlog; ties are
// broken at random. An avoided worker is picked only if no other is available, and never for an
// item. costMS, from EstimateCost, is added to the worker's backlog until the caller releases the
// reservation.
func (t *Table) Pick(now int64, query *Query, costMS float64) *Reservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best candidate
	ties := 0
	for _, c := range t.candidates(now, query, costMS) {
		switch order := c.compare(best); {
		case best.worker == nil || order < 0:
			best, ties = c, 1
		case order == 0:
			ties++
			if t.random.IntN(ties) == 0 { // each of n ties is chosen with probability 1/n
				best = c
			}
		}
	}
	if best.worker == nil {
		return nil
	}
	countPick(query.Item, best.avoided, ties)
	if query.SharedPrompt != "" {
		countSharedPrompt(best.worker.recentPrompts.add(query.SharedPrompt))
	}
	return t.reserve(best.worker, costMS, query.Item)
}

// candidates returns the workers that a request may be sent to, with their scores. The policies
// TwoChoices and RoundRobin reduce them to two and one.
func (t *Table) candidates(now int64, query *Query, costMS float64) []candidate {
	var allowed []candidate
	for _, service := range query.Services {
		subset := t.subset(service)
		for _, w := range t.byService[service] {
			if !query.allows(w) {
				continue
			}
			avoided := w.avoided(now, query.Model)
			if query.Item && (avoided || w.itemsInFlight >= subset.slots[w.ID]) {
				continue
			}
			allowed = append(allowed, candidate{w, avoided, t.score(w, subset, costMS)})
		}
	}
	switch {
	case t.gates.Policy == featuregate.TwoChoices && len(allowed) > 2:
		first := t.random.IntN(len(allowed))
		second := (first + 1 + t.random.IntN(len(allowed)-1)) % len(allowed)
		return []candidate{allowed[first], allowed[second]}
	case t.gates.Policy == featuregate.RoundRobin && len(allowed) > 0:
		t.roundRobinTurn++
		return []candidate{allowed[t.roundRobinTurn%len(allowed)]}
	}
	return allowed
}

// score returns the number by which the policy compares workers; lower is better. With the policy
// Predicted and the gate NearbyWorkers, the cost of one more such request is added for a worker
// that this gatherer does not prefer.
func (t *Table) score(w *Worker, s *subset, costMS float64) float64 {
	switch t.gates.Policy {
	case featuregate.Predicted:
		if t.gates.NearbyWorkers && !s.preferred[w.ID] {
			return w.backlogMS + costMS
		}
		return w.backlogMS
	case featuregate.LeastRequests, featuregate.TwoChoices:
		return float64(w.inFlight)
	}
	return 0
}
