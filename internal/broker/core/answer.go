package core

import (
	sq "saffronquay"
	"saffronquay/internal/broker/merge"
)

// answer gives the client what was received. Whatever the module says, it never gives less than the class's minimum weight, and never marks an answer complete
// that is not.
func (c *Core) answer(action sq.Answer) {
	q := c.queries[action.Query]
	if q == nil {
		return
	}
	f := Final{Outcome: Answered}
	pieces := make([]merge.PartCoverage, 0, len(q.parts))
	for _, p := range q.parts {
		if p.received {
			f.Values = append(f.Values, Value{Shard: p.spec.Shard, Data: p.value, Part: p.decoded})
		}
		pieces = append(pieces, merge.PartCoverage{
			Weight: p.spec.Weight, Shard: p.spec.Shard, From: p.spec.Span.From, To: p.spec.Span.To, Received: p.received,
		})
	}
	extent := merge.CompletenessPolicy{CompleteWeight: q.class.CompleteWeight, MinWeight: q.class.MinWeight}.Evaluate(pieces)
	if !extent.Answerable {
		c.finish(q, Final{Outcome: Failed})
		return
	}
	f.Complete = action.Complete && extent.Complete
	f.Fraction, f.Missing = extent.Fraction, extent.Missing
	c.finish(q, f)
}

// refuse ends a query as one that the client may safely repeat. A query of an at-most-once class of which a part may have run fails instead.
func (c *Core) refuse(q *openQuery, now, retryAfter int64) {
	overdue := c.isOverdue(q, now)
	if q.class.Effect == sq.AtMostOnce {
		for _, p := range q.parts {
			if p.mayRun || p.hasSentAttempt() {
				c.finish(q, Final{Outcome: Failed, Overdue: overdue})
				return
			}
		}
	}
	c.finish(q, Final{Outcome: Refused, RetryAfter: c.RetryAdvice(retryAfter), Overdue: overdue})
}

// RetryAdvice returns how long a refused client should wait, in microseconds, for the module's advice (0: none), within Config.MaxRetryAfter. 0 means that the client
// gets no advice.
func (c *Core) RetryAdvice(retryAfter int64) int64 {
	if !c.config.RetryAfter {
		return 0
	}
	if retryAfter <= 0 {
		return c.config.MaxRetryAfter
	}
	return min(retryAfter, c.config.MaxRetryAfter)
}

// overduePeriods is how many periods before its deadline a query that ends counts as overdue.
const overduePeriods = 2

func (c *Core) isOverdue(q *openQuery, now int64) bool {
	return now >= q.spec.Deadline-overduePeriods*c.config.Period
}

// failOverdueQueries fails the queries that are past their deadline and AnswerGrace without a decision of the module. So a fault of the module can't lose a
// query; the grace gives the module the first word.
func (c *Core) failOverdueQueries(now int64) {
	for _, q := range c.deadlines.takeDue(now) {
		c.emit(LogLine{Text: "deadline guard: the module left a query unanswered"})
		c.finish(q, Final{Outcome: Failed, Overdue: true})
		c.events = append(c.events, sq.ClientLeft{Query: q.id})
	}
}

// finish closes a query and gives its Final.
func (c *Core) finish(q *openQuery, f Final) {
	f.Query, f.Shards, f.AttemptTime, f.Attempts = q.id, len(q.parts), q.attemptTime, q.endedAttempts
	c.close(q)
	c.emit(f)
}

// close ends a query: it releases what the query has open and takes back its unsent attempts. Attempts that were sent run on until they end.
func (c *Core) close(q *openQuery) {
	q.ended = true
	delete(c.queries, q.id)
	if q.spec.Unique {
		delete(c.labels, q.spec.Label)
	}
	c.open -= 1 + len(q.parts)
	for _, p := range q.parts {
		c.valueBytes -= p.size
		p.size = 0
		c.recallUnsent(p)
		if len(p.running) == 0 {
			c.removePart(p)
		}
	}
}
