// Which parts are sent in a step, and which overdue ones are hedged or restarted. Types are in api.go.

package saffronquay

import (
	"cmp"
	"math"
	"slices"
)

// Tuning of attempts. A target is the shortest latency target. Notes give the score that another value
// cost on a recorded site.
const (
	rejectionPause      = 0.06 // targets before a part returns to a server that rejected it, by attempt
	nearlyCompleteParts = 8    // one in so many parts may be missing of a nearly complete query
	urgentPredictions   = 3.0  // predictions left that make an attempt urgent; 2: lowell -0.02
)

// dispatch sends every selected part that waits, the heavy ones first, and then hedges or restarts what is
// overdue.
func (s *Scheduler) dispatch() {
	var ready, late []*part
	for _, q := range s.openQueries {
		spare := s.selectParts(q)
		for _, p := range q.parts {
			switch {
			case p.served || !p.selected:
			case p.openAttempts() == 0 && s.mayAttempt(p):
				ready = append(ready, p)
			case p.openAttempts() > 0 && !spare && s.isOverdue(p):
				late = append(late, p)
			}
		}
	}
	slices.SortStableFunc(ready, func(a, b *part) int { return cmp.Compare(s.partWork(b), s.partWork(a)) })
	var doubtful []*part
	for _, p := range ready {
		r, t := s.chooseReplica(p)
		switch {
		case r == nil: // nor will there be one in this step
		case s.isPredictedInTime(p, r, t):
			s.sendWithinBudget(p, r)
		default:
			doubtful = append(doubtful, p)
		}
	}
	for _, p := range doubtful {
		q := p.query
		needed := q.class.MinWeight >= q.class.CompleteWeight || q.inSecondStep
		if needed || q.expectedWeight() < q.class.MinWeight {
			r, _ := s.chooseReplica(p)
			s.sendWithinBudget(p, r)
		}
	}
	// The budget goes to the queries with the most value for each part missing.
	slices.SortStableFunc(late, func(a, b *part) int {
		return cmp.Compare(b.query.valuePerMissingPart(), a.query.valuePerMissingPart())
	})
	for _, p := range late {
		s.attemptElsewhere(p)
	}
}

// selectParts settles which parts of a query are wanted and reports whether others are spare: as many as make
// a complete answer, the cheapest first, and one more for each overdue or failed, which is no further
// attempt.
func (s *Scheduler) selectParts(q *query) bool {
	covered := 0.0
	var spare []*part
	for _, p := range q.parts {
		switch {
		case p.selected && (p.served || p.openAttempts() > 0 && !s.isOverdue(p) || len(p.attempts) == 0):
			covered += p.Weight
		case !p.selected:
			spare = append(spare, p)
		}
	}
	if len(spare) == 0 {
		return false
	}
	if s.sendsOnePartFirst(q) {
		if len(spare) < len(q.parts) {
			return true
		}
		covered = q.class.CompleteWeight - 1e-9
	}
	prices := map[*part]float64{}
	for _, p := range spare {
		prices[p] = math.Inf(1)
		if r, t := s.chooseReplica(p); r != nil {
			prices[p] = t / max(p.Weight, 1e-9)
		}
	}
	slices.SortStableFunc(spare, func(a, b *part) int { return cmp.Compare(prices[a], prices[b]) })
	n := 0
	for ; n < len(spare) && (q.inSecondStep || covered < q.class.CompleteWeight); n++ {
		spare[n].selected = true
		covered += spare[n].Weight
	}
	return n < len(spare)
}

// isPredictedInTime reports whether a part sent to a replica is predicted before its query is to be answered.
// Parts that are not are sent only as far as the answer needs them: the rest would be served for nothing at
// the busiest servers. Guards against overload of the fleet or of a few shards' holders, where partial
// answers are allowed. Cost: an answer lacks parts whose prediction was too high.
func (s *Scheduler) isPredictedInTime(p *part, r *replica, predicted float64) bool {
	return predicted-s.failureDelay(p.query.class.Name, r) <= float64(s.answerBy(p.query)-s.now)
}

// sendWithinBudget sends a part, where a replica has capacity for it and, beyond its first attempt, there is
// budget.
func (s *Scheduler) sendWithinBudget(p *part, r *replica) {
	if r != nil && (len(p.attempts) == 0 || s.extraAttemptBudget() >= 1) {
		s.send(p, r)
	}
}

// mayAttempt reports whether the rules allow one more attempt of a part while none, or with hedging one, is
// in flight.
func (s *Scheduler) mayAttempt(p *part) bool {
	if p.served || p.query.done || p.countedAttempts() >= max(1, s.cfg.Limits.MaxAttempts) {
		return false
	}
	if n := p.openAttempts(); n > 1 || n == 1 && !s.cfg.Limits.Hedging {
		return false
	}
	switch p.query.class.Effect {
	case AtMostOnce:
		return !p.mayHaveRun()
	case Deduplicated:
		for _, a := range p.attempts {
			if (!a.ended || a.mayHaveRun) && s.now > a.sentAt+p.query.class.DedupWindow-2*s.cfg.Period {
				return false
			}
		}
	}
	return true
}

// extraAttemptBudget is how many further attempts may leave now. It forgets what has left the budget's
// window.
func (s *Scheduler) extraAttemptBudget() float64 {
	r := s.cfg.Rules
	if !r.Budgeted {
		return math.Inf(1)
	}
	since := s.now - r.ExtraAttemptWindow
	for len(s.requestTimes) > 0 && s.requestTimes[0] <= since {
		s.requestTimes = s.requestTimes[1:]
	}
	for len(s.extraAttemptTimes) > 0 && s.extraAttemptTimes[0] < since {
		s.extraAttemptTimes = s.extraAttemptTimes[1:]
	}
	free := r.FreeExtraAttempts
	if s.now < s.freeExtrasFrom {
		free = 0
	}
	earned := math.Floor(free + r.ExtraAttemptRatio*float64(len(s.requestTimes)))
	return earned - float64(len(s.extraAttemptTimes))
}

// isOverdue reports whether a part's latest attempt has taken longer than predicted and its query's time is
// near: an answer before the latency target earns no more, so what may still come is waited for. Guards the
// fleet from hedges that are not needed. Cost: a further attempt that fails too leaves no time for another.
func (s *Scheduler) isOverdue(p *part) bool {
	a := p.attempts[len(p.attempts)-1]
	by, usual := s.answerBy(p.query), a.predicted
	if p.query.class.SecondStepParts > 0 && !p.query.inSecondStep {
		by -= (by - p.query.arrivedAt) / 3
	}
	if p.query.nearlyComplete() { // what counts is how long it takes elsewhere
		work := s.meanForeignWork.mean(s.now, s.shortestTarget, 0) + s.partWork(p)
		usual = max(usual, work*s.medianLatencyRatio())
	}
	late := !a.ended && float64(s.now-a.sentAt) > s.restartPenalty()*a.predicted
	return late && float64(by-s.now) < urgentPredictions*usual
}

// restartPenalty weighs what a further attempt discards: twice as much must be gained where the first has to
// be cancelled, since its work and its place in the queue are lost.
func (s *Scheduler) restartPenalty() float64 {
	if s.cfg.Limits.Hedging {
		return 1
	}
	return 2
}

// attemptElsewhere hedges an overdue part, or where that is not allowed cancels its attempt, so that it is
// sent again, if another replica should answer before the first, which is taken to need as long again. The
// last few of many parts are hedged wherever it should be in time: all the work of the others depends on
// them. Guards against unresponsive and slow servers. Cost: work done twice when all servers are slow, which
// the comparison with the other replica's own prediction keeps rare.
func (s *Scheduler) attemptElsewhere(p *part) {
	a := p.attempts[len(p.attempts)-1]
	r, t := s.chooseReplica(p)
	nearly := p.query.nearlyComplete() && s.cfg.Limits.Hedging
	if !nearly {
		t *= s.hedgePenalty()
	}
	if r == nil || s.extraAttemptBudget() < 1 || p.countedAttempts() >= s.cfg.Limits.MaxAttempts ||
		t > float64(s.answerBy(p.query)-s.now) || !nearly && t >= float64(s.now-a.sentAt)/s.restartPenalty() {
		return
	}
	if s.mayAttempt(p) {
		s.send(p, r)
		return
	}
	if !s.cfg.Limits.MayCancel || s.cfg.Limits.Hedging || p.query.class.Effect == AtMostOnce {
		return
	}
	s.emit(Cancel{Part: p.ID, Attempt: a.number})
}

// hedgePenalty is what the prediction for a further attempt is multiplied by: as much as answers usually
// exceed their prediction and, where no budget limits hedges, by the hedges sent for each that was served.
// Guards against hedges that add to a load which makes everything late; needed most where servers finish what
// is cancelled. Cost: after many servers were unresponsive together hedges are limited for a while.
func (s *Scheduler) hedgePenalty() float64 {
	d := max(1, s.meanPredictionRatio)
	if !s.cfg.Rules.Budgeted {
		d /= 1 - s.hedgeWaste.mean(s.now, 8*s.shortestTarget, 0)
	}
	return d
}

// valuePerMissingPart is the value that waits for each missing part of the query, by its work.
func (q *query) valuePerMissingPart() float64 {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return q.class.Value * float64(q.Work) / float64(max(missing, 1))
}
