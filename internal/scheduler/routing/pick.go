package routing

import "saffronquay/internal/scheduler/featuregate"

// scoreTolerance is the difference, in milliseconds, up to which two predicted backlogs count as equal.
const scoreTolerance = 1e-6

// candidate is a worker that a request may go to.
type candidate struct {
	worker  *Worker
	avoided bool
	score   float64 // the policy takes the least
}

// compare returns -1 where c is the better candidate, 1 where other is, and 0 where they are equal. Any candidate that is not avoided is better than
// any that is; then the score decides.
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

// Pick reserves the best worker that the query allows at the time now, and returns nil where there is none. With the policy Predicted that is the
// one with the least predicted backlog; equal ones are drawn at random. An avoided worker is taken only where no other is left, and never for an item.
// costMS, from EstimateCost, is added to the worker's backlog until the reservation is released, which the caller must do.
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
			if t.random.IntN(ties) == 0 { // of n equal candidates each is left with the probability 1/n
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

// candidates returns the workers that a request may go to with their scores, narrowed down as the policies TwoChoices and RoundRobin want it.
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

// score returns the number by which the policy compares workers; the least is chosen. A worker that this gatherer does not prefer counts as if one more such request were in flight there.
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
