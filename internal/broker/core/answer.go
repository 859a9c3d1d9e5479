package core

import (
	sq "saffronquay"
	"saffronquay/internal/broker/merge"
)

// answer ends a query with the received parts. Whatever the module decides, the core fails a query
// below the class's minimum weight, and does not mark an incomplete answer as complete.
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

// refuse ends a query as one that the client may safely retry. A query of an at-most-once class
// fails instead if one of its parts may have run.
func (c *Core) refuse(q *openQuery, now, retryAfter int64) {
	overdue := c.isOverdue(q, now)
	if q.class.Effect == sq.AtMostOnce {
		for _, p := range q.parts {
			if p.mayHaveRun || p.hasSentAttempt() {
				c.finish(q, Final{Outcome: Failed, Overdue: overdue})
				return
			}
		}
	}
	c.finish(q, Final{Outcome: Refused, RetryAfter: c.RetryAdvice(retryAfter), Overdue: overdue})
}

// RetryAdvice returns how long a refused client should wait, in microseconds, given the module's
// advice (0: none) and Config.MaxRetryAfter. It returns 0 if the client is not to be advised.
func (c *Core) RetryAdvice(retryAfter int64) int64 {
	if !c.config.RetryAfter {
		return 0
	}
	if retryAfter <= 0 {
		return c.config.MaxRetryAfter
	}
	return min(retryAfter, c.config.MaxRetryAfter)
}

// overduePeriods is the number of periods before its deadline from which an ending query counts as
// overdue.
const overduePeriods = 2

func (c *Core) isOverdue(q *openQuery, now int64) bool {
	return now >= q.spec.Deadline-overduePeriods*c.config.Period
}

// failOverdueQueries fails the queries that are past their deadline plus AnswerGrace without a
// decision of the module, so that a fault of the module cannot lose a query. AnswerGrace leaves the
// module time to end the query itself.
func (c *Core) failOverdueQueries(now int64) {
	for _, q := range c.deadlines.takeDue(now) {
		c.emit(LogLine{Text: "deadline guard: query failed, the module did not end it within deadline and grace"})
		c.finish(q, Final{Outcome: Failed, Overdue: true})
		c.events = append(c.events, sq.ClientLeft{Query: q.id})
	}
}

// finish closes a query and emits its Final.
func (c *Core) finish(q *openQuery, f Final) {
	f.Query, f.Shards, f.AttemptTime, f.Attempts = q.id, len(q.parts), q.attemptTime, q.endedAttempts
	c.close(q)
	c.emit(f)
}

// close ends a query: it releases the query's resources and recalls its unsent attempts. Sent
// attempts run until they end.
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
