// Which parts are sent in a step, and which overdue ones are hedged or restarted. Types are in api.go.

package saffronquay

import (
	"cmp"
	"math"
	"slices"
)

// Tuning of attempts, from scores on recorded sites. A target is the shortest latency target.
const (
	rejectionPause      = 0.06 // delay before a part returns to a server that rejected it, in targets/attempt
	nearlyCompleteParts = 8    // a query is nearly complete if at most one in this many parts is missing
	urgentPredictions   = 3.0  // an attempt is urgent with less than this many predicted latencies left
)

// dispatch sends every selected part that is not in flight, the heaviest first, and then hedges or restarts
// overdue parts.
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
	var predictedLate []*part
	for _, p := range ready {
		r, t := s.chooseReplica(p)
		switch {
		case r == nil: // no replica becomes available within a step
		case s.isPredictedInTime(p, r, t):
			s.sendWithinBudget(p, r)
		default:
			predictedLate = append(predictedLate, p)
		}
	}
	for _, p := range predictedLate {
		q := p.query
		needed := q.class.MinWeight >= q.class.CompleteWeight || q.inSecondStep
		if needed || q.expectedWeight() < q.class.MinWeight {
			r, _ := s.chooseReplica(p)
			s.sendWithinBudget(p, r)
		}
	}
	// The budget is spent on the queries with the highest value per missing part first.
	slices.SortStableFunc(late, func(a, b *part) int {
		return cmp.Compare(b.query.valuePerMissingPart(), a.query.valuePerMissingPart())
	})
	for _, p := range late {
		s.attemptElsewhere(p)
	}
}

// selectParts selects the parts of a query that are to be sent and reports whether unselected parts remain.
// It selects as many as make a complete answer, the cheapest first, and one more for each that is overdue
// or has failed. Sending such a substitute does not count as a further attempt.
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

// isPredictedInTime reports whether a part sent to a replica is predicted to be served before its query is
// to be answered. Parts that are not are sent only as far as the answer needs them: otherwise the busiest
// servers would do work that is not used. This protects against overload of the fleet or of a few shards'
// holders, where partial answers are allowed. The cost is that an answer lacks parts whose prediction was
// too high.
func (s *Scheduler) isPredictedInTime(p *part, r *replica, predicted float64) bool {
	return predicted-s.failureDelay(p.query.class.Name, r) <= float64(s.answerBy(p.query)-s.now)
}

// sendWithinBudget sends a part if there is a replica for it and, for a further attempt, budget.
func (s *Scheduler) sendWithinBudget(p *part, r *replica) {
	if r != nil && (len(p.attempts) == 0 || s.extraAttemptBudget() >= 1) {
		s.send(p, r)
	}
}

// mayAttempt reports whether the rules allow one more attempt of a part: with no attempt in flight or, with
// hedging, one.
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

// extraAttemptBudget returns how many further attempts may be sent now. It drops records older than the
// budget's window.
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

// isOverdue reports whether a part's latest attempt has taken longer than predicted and its query is close
// to its time to answer. An earlier answer would earn no more, so the attempt is given that time. This
// protects the fleet from unnecessary hedges. The cost is that no time is left for another attempt if the
// further one fails too.
func (s *Scheduler) isOverdue(p *part) bool {
	a := p.attempts[len(p.attempts)-1]
	by, usual := s.answerBy(p.query), a.predicted
	if p.query.class.SecondStepParts > 0 && !p.query.inSecondStep {
		by -= (by - p.query.arrivedAt) / 3
	}
	if p.query.nearlyComplete() { // the latency that matters is that of another server
		work := s.meanForeignWork.mean(s.now, s.shortestTarget, 0) + s.partWork(p)
		usual = max(usual, work*s.medianLatencyRatio())
	}
	late := !a.ended && float64(s.now-a.sentAt) > s.restartPenalty()*a.predicted
	return late && float64(by-s.now) < urgentPredictions*usual
}

// restartPenalty returns the factor by which a further attempt must be faster than the first. It is 2 where
// the first must be cancelled, since the work done and the place in the queue are lost.
func (s *Scheduler) restartPenalty() float64 {
	if s.cfg.Limits.Hedging {
		return 1
	}
	return 2
}

// attemptElsewhere hedges an overdue part or, without hedging, cancels its attempt so that the part is sent
// again. It does so if another replica is predicted to answer before the first, whose remaining time is
// assumed to equal its elapsed time. The last few of many parts are hedged to any replica that is predicted
// in time, since the work of all other parts depends on them. This protects against unresponsive and slow
// servers. The cost is duplicate work when all servers are slow, which the comparison with the other
// replica's prediction limits.
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

// hedgePenalty returns the factor applied to the predicted latency of a further attempt: the mean ratio of
// observed to predicted latency and, where no budget limits hedges, the number of hedges sent for each that
// was served. This protects against hedges that add to an overload, above all where servers complete
// cancelled work. The cost is that hedges stay limited for a while after many servers were unresponsive at
// once.
func (s *Scheduler) hedgePenalty() float64 {
	d := max(1, s.meanPredictionRatio)
	if !s.cfg.Rules.Budgeted {
		d /= 1 - s.hedgeWaste.mean(s.now, 8*s.shortestTarget, 0)
	}
	return d
}

// valuePerMissingPart returns the query's value, weighted by its work, divided by the number of parts that
// are missing.
func (q *query) valuePerMissingPart() float64 {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return q.class.Value * float64(q.Work) / float64(max(missing, 1))
}
