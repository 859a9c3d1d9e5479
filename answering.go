// When a query ends, and whether it is answered, refused or failed. Types are in api.go.

package saffronquay

import (
	"slices"
)

// reviewQueries ends every query that can be answered, that cannot earn any more value, or whose deadline
// has come, and admits or refuses new queries.
func (s *Scheduler) reviewQueries() {
	for _, q := range slices.Clone(s.openQueries) {
		switch {
		case q.isComplete():
			s.answer(q)
		case s.isBlocked(q):
			q.outcomeCounted = true // no evidence about the load
			s.abandon(q)
		case s.now >= q.Deadline-s.cfg.Period || s.cannotReachMinWeight(q):
			s.abandon(q)
		case s.now >= s.answerBy(q)-3*s.cfg.Period && s.answerable(q):
			// A partial answer now is compared with a complete answer after the latency target.
			if q.class.PartialValue*q.servedWeight()/max(q.class.CompleteWeight, 0.01) >= q.class.LateValue {
				s.answer(q)
			}
		case s.now >= s.valuableUntil(q):
			s.abandon(q)
		case !q.admitted:
			s.admit(q)
		}
	}
}

// answerBy returns the time by which to answer: the latency target, or earlier if clients of the class
// leave earlier.
func (s *Scheduler) answerBy(q *query) int64 {
	by := min(q.latencyTargetTime(), q.Deadline-s.cfg.Period)
	if w := s.expectedClientWait(q.class); w < float64(q.class.LatencyTarget) {
		return min(by, q.arrivedAt+int64(w))
	}
	return by
}

// valuableUntil returns the time after which an answer earns nothing or, under overload, little: late work
// would make other queries late too. This protects against a load under which every query is answered
// slightly too late. At-most-once queries are waited for, because their clients cannot retry them. The cost
// is that an answer that was due soon is not given.
func (s *Scheduler) valuableUntil(q *query) int64 {
	c := q.class
	if c.LateValue == 0 || c.LateValue < 0.5 && c.Effect != AtMostOnce && s.overload() > overloadThreshold {
		return q.latencyTargetTime()
	}
	return q.Deadline
}

// answerable reports whether a partial answer may be final.
func (s *Scheduler) answerable(q *query) bool {
	w := q.servedWeight()
	return w > 0 && w >= q.class.MinWeight && (q.inSecondStep || q.class.SecondStepParts == 0)
}

// cannotReachMinWeight reports whether the query can no longer reach the minimum weight for an answer.
func (s *Scheduler) cannotReachMinWeight(q *query) bool {
	if len(q.parts) == 0 {
		return !q.inSecondStep
	}
	w := q.weight(func(p *part) bool {
		return p.served || p.openAttempts() > 0 || s.mayAttempt(p) && s.hasHolder(p)
	})
	return w < min(q.class.MinWeight, q.class.CompleteWeight)-0.0001
}

// answer answers a query from the parts that have been served. It ends the query unless a second step
// follows.
func (s *Scheduler) answer(q *query) {
	complete := q.isComplete() && (!q.inSecondStep || q.firstStepComplete)
	s.statsOf(q.class).leaveRate.add(s.now, 4*q.class.LatencyTarget, 0)
	s.adjustAdmission(q, complete && s.now <= q.latencyTargetTime())
	s.emit(Answer{Query: q.ID, Complete: complete})
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		s.releaseParts(q)
		q.inSecondStep, q.firstStepComplete, q.parts = true, complete, nil
		return
	}
	s.endQuery(q)
}

// abandon ends a query that cannot earn any more value: with a partial answer where that is allowed, else
// with a refusal.
func (s *Scheduler) abandon(q *query) {
	if s.answerable(q) {
		s.answer(q)
		return
	}
	s.adjustAdmission(q, false)
	s.refuse(q, s.cfg.Limits.MaxRetryAfter)
}

// refuse ends a query without an answer. It advises the client when to retry, where Limits.RetryAfter
// permits.
func (s *Scheduler) refuse(q *query, after int64) {
	if !s.cfg.Limits.RetryAfter {
		after = 0
	}
	if s.mayRefuse(q) {
		s.emit(Refuse{Query: q.ID, RetryAfter: min(after, s.cfg.Limits.MaxRetryAfter)})
	} else {
		s.emit(Fail{Query: q.ID})
	}
	if q.firstArrivedAt == s.now || s.now < s.answerBy(q) {
		s.endedUnserved[q.signature()] = q.firstArrivedAt
	}
	s.endQuery(q)
}

// mayRefuse reports whether the client may be told that a retry is safe.
func (s *Scheduler) mayRefuse(q *query) bool {
	if q.class.Effect != AtMostOnce {
		return true
	}
	return !q.inSecondStep && !slices.ContainsFunc(q.parts, func(p *part) bool { return p.mayHaveRun() })
}
