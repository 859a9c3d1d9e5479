// When a query ends, and how: answered, refused or failed. Types are in api.go.

package saffronquay

import (
	"slices"
)

// reviewQueries ends every query that can be answered, that earns nothing any more, or whose time is up, and
// admits or refuses the new ones.
func (s *Scheduler) reviewQueries() {
	for _, q := range slices.Clone(s.openQueries) {
		switch {
		case q.isComplete():
			s.answer(q)
		case s.isBlocked(q):
			q.outcomeCounted = true // it says nothing about the load
			s.giveUp(q)
		case s.now >= q.Deadline-s.cfg.Period || s.hopeless(q):
			s.giveUp(q)
		case s.now >= s.answerBy(q)-3*s.cfg.Period && s.answerable(q):
			// Nothing later earns more: a partial answer now against the late value.
			if q.class.PartialValue*q.servedWeight()/max(q.class.CompleteWeight, 0.01) >= q.class.LateValue {
				s.answer(q)
			}
		case s.now >= s.valuableUntil(q):
			s.giveUp(q)
		case !q.admitted:
			s.admit(q)
		}
	}
}

// answerBy is the time to answer by: the latency target, or before it as long as clients are seen to wait.
func (s *Scheduler) answerBy(q *query) int64 {
	by := min(q.latencyTargetTime(), q.Deadline-s.cfg.Period)
	if w := s.expectedClientWait(q.class); w < float64(q.class.LatencyTarget) {
		return min(by, q.arrivedAt+int64(w))
	}
	return by
}

// valuableUntil is the time after which an answer earns nothing, or under overload little: what is worked on
// then makes others late too. Guards against a load under which all is answered, and all a little too late.
// What must not run twice is waited for: its client cannot retry it. Cost: an answer that was to come soon is
// not given.
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

// hopeless reports that the least weight for an answer can no longer be served.
func (s *Scheduler) hopeless(q *query) bool {
	if len(q.parts) == 0 {
		return !q.inSecondStep
	}
	w := q.weight(func(p *part) bool {
		return p.served || p.openAttempts() > 0 || s.mayAttempt(p) && s.hasHolder(p)
	})
	return w < min(q.class.MinWeight, q.class.CompleteWeight)-0.0001
}

// answer answers a query with the parts that are served. It ends the query unless a second step follows.
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

// giveUp ends a query that earns nothing any more, with what is served if that may be answered.
func (s *Scheduler) giveUp(q *query) {
	if s.answerable(q) {
		s.answer(q)
		return
	}
	s.adjustAdmission(q, false)
	s.refuse(q, s.cfg.Limits.MaxRetryAfter)
}

// refuse ends a query unserved and says when to retry, where that is permitted.
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

// mayRefuse reports whether a client may be promised that a retry does no harm.
func (s *Scheduler) mayRefuse(q *query) bool {
	if q.class.Effect != AtMostOnce {
		return true
	}
	return !q.inSecondStep && !slices.ContainsFunc(q.parts, func(p *part) bool { return p.mayHaveRun() })
}
