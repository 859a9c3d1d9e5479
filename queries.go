// Open queries, their parts and the attempts of the parts. This file makes no decisions.

package saffronquay

import (
	"fmt"
	"slices"
)

// partsPerQueryWeight is the maximum number of parts for which a query counts in means over parts, since
// parts of one query are similar.
const partsPerQueryWeight = 4.0

// query is an open query. It is in Scheduler.openQueries until its final answer has been emitted.
type query struct {
	Query
	class             *Class
	firstArrivedAt    int64   // of the first arrival, if this is known to be a client's retry
	arrivedAt         int64   // of this arrival
	parts             []*part // of the current step
	inSecondStep      bool    // the answer of the first step has been emitted
	firstStepComplete bool    // that answer was complete
	admitted          bool    // the query has passed admission
	outcomeCounted    bool    // the outcome has adjusted admission already, or must not adjust it
	done              bool    // the final answer has been emitted
}

// part is a part of a query's current step, or of an earlier step with attempts still in flight.
type part struct {
	Part
	query    *query
	attempts []*attempt // in the order of their sends
	selected bool       // to be sent for the answer; parts that are not selected are spare
	served   bool
}

// attempt is one send of a part to one replica.
type attempt struct {
	number           int  // index in part.attempts
	hedge            bool // sent while another attempt of the part was in flight
	replica          *replica
	sentAt           int64
	work             float64 // predicted work, including the call overhead
	predictedBacklog float64 // predicted work at the replica at the send, including this attempt
	reportedWork     float64 // the portion of predictedBacklog that comes from load reports
	predicted        float64 // latency predicted at the send
	connectionIdle   int64   // how long the connection had been idle at the send
	ended            bool
	mayHaveRun       bool  // the outcome does not prove that the attempt did not run
	brokeAt          int64 // time at which the connection broke during the attempt; 0: it did not
	retryAt          int64 // not resent to this replica before this time, since the replica rejected it
	holdersSince     int64 // version of the shard's holders at the send, under a table
	misplaced        bool  // the replica did not have the shard
}

// addQuery opens a query. A query of an unknown class is treated as one of the first class. The latency
// target of a client's retry counts from its first arrival.
func (s *Scheduler) addQuery(e Query) {
	class := s.classes[e.Class]
	if class == nil {
		class = &s.cfg.Classes[0]
	}
	q := &query{Query: e, class: class, firstArrivedAt: s.now, arrivedAt: s.now}
	if at, ok := s.endedUnserved[q.signature()]; ok && e.Key != "" {
		delete(s.endedUnserved, q.signature())
		if s.now < at+class.HardLimit {
			q.firstArrivedAt = at
		}
	}
	s.countQuery(e.Tenant)
	s.queries[e.ID], s.groups[e.Group] = q, q
	s.openQueries = append(s.openQueries, q)
}

// addPart adds a part to its open query. A part without an open query, or of a shard that does not exist,
// is ignored.
func (s *Scheduler) addPart(e Part) {
	q := s.groups[e.Group]
	if q == nil || q.done || s.table == nil && (e.Shard < 0 || e.Shard >= s.cfg.Shards) {
		return
	}
	p := &part{Part: e, query: q}
	q.parts = append(q.parts, p)
	s.parts[e.ID] = p
	c, by := s.partWork(p), averageWeight*min(1, partsPerQueryWeight*e.Weight)
	s.meanPartWork = movingAverage(s.meanPartWork, c, by)
	if e.Work > 0 {
		k := s.statsOf(q.class)
		k.meanPartWork = movingAverage(k.meanPartWork, c, by)
	}
}

// replan replaces a part, whose shard is no longer in force, with other parts.
func (s *Scheduler) replan(e Replanned) {
	p := s.parts[e.Part]
	if p == nil || p.query.done {
		return
	}
	p.query.parts = slices.DeleteFunc(p.query.parts, func(o *part) bool { return o == p })
	if p.openAttempts() == 0 {
		delete(s.parts, p.ID)
	}
	for _, n := range e.Into {
		s.addPart(n)
	}
}

// endQuery removes a query and cancels its attempts in flight.
func (s *Scheduler) endQuery(q *query) {
	s.releaseParts(q)
	q.done = true
	delete(s.queries, q.ID)
	delete(s.groups, q.Group)
	s.openQueries = slices.DeleteFunc(s.openQueries, func(o *query) bool { return o == q })
}

// releaseParts cancels the attempts of a query's parts, if cancelling is allowed, and removes parts without
// attempts in flight.
func (s *Scheduler) releaseParts(q *query) {
	for _, p := range q.parts {
		if s.cfg.Limits.MayCancel {
			s.cancelAttempts(p)
		}
		if p.openAttempts() == 0 {
			delete(s.parts, p.ID)
		}
	}
}

// cancelAttempts cancels the attempts of a part that are in flight.
func (s *Scheduler) cancelAttempts(p *part) {
	for _, a := range p.attempts {
		if !a.ended {
			s.emit(Cancel{Part: p.ID, Attempt: a.number})
		}
	}
}

// weight returns the total weight of the current step's parts for which of returns true.
func (q *query) weight(of func(*part) bool) float64 {
	w := 0.0
	for _, p := range q.parts {
		if of(p) {
			w += p.Weight
		}
	}
	return w
}

// servedWeight returns the weight of the parts that have been served.
func (q *query) servedWeight() float64 { return q.weight(func(p *part) bool { return p.served }) }

// expectedWeight returns the weight of the parts that have been served or are in flight.
func (q *query) expectedWeight() float64 {
	return q.weight(func(p *part) bool { return p.served || p.openAttempts() > 0 })
}

// allServed reports whether every part of the current step has been served.
func (q *query) allServed() bool {
	return !slices.ContainsFunc(q.parts, func(p *part) bool { return !p.served })
}

// isComplete reports whether the served parts make a complete answer of the current step.
func (q *query) isComplete() bool {
	if len(q.parts) == 0 {
		return false
	}
	if q.inSecondStep {
		return q.allServed()
	}
	return q.allServed() || q.servedWeight() >= q.class.CompleteWeight
}

// nearlyComplete reports whether at most one in nearlyCompleteParts of a query's parts is missing.
func (q *query) nearlyComplete() bool {
	missing := 0
	for _, p := range q.parts {
		if !p.served {
			missing++
		}
	}
	return missing*nearlyCompleteParts <= len(q.parts)
}

// brokeIndependently reports whether attempts of a query's parts broke on two servers in a way that no
// single event explains: the servers are in different zones or their zones are unknown, or one attempt was
// sent after the other broke.
func (q *query) brokeIndependently() bool {
	var broke []*attempt
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if a.brokeAt > 0 {
				broke = append(broke, a)
			}
		}
	}
	return slices.ContainsFunc(broke, func(a *attempt) bool {
		return slices.ContainsFunc(broke, func(b *attempt) bool {
			return a.replica != b.replica &&
				(a.replica.Zone == "" || a.replica.Zone != b.replica.Zone || a.sentAt >= b.brokeAt)
		})
	})
}

// latencyTargetTime returns the time by which an answer earns the full value.
func (q *query) latencyTargetTime() int64 {
	target := float64(q.class.LatencyTarget) + q.class.LatencyTargetStretch*float64(q.Work)
	return min(q.firstArrivedAt+int64(target), q.Deadline)
}

// signature returns a string that is the same for a query and for a client's retry of it. It identifies
// retries that are not marked as such.
func (q *query) signature() string { return fmt.Sprint(q.Class, " ", q.Key, " ", q.Work) }

// openAttempts returns the number of attempts in flight.
func (p *part) openAttempts() int {
	n := 0
	for _, a := range p.attempts {
		if !a.ended {
			n++
		}
	}
	return n
}

// countedAttempts returns the number of attempts that count against Limits.MaxAttempts. Misplaced attempts
// do not: they cost the server no work, and there is at most one per holder.
func (p *part) countedAttempts() int {
	n := 0
	for _, a := range p.attempts {
		if !a.misplaced {
			n++
		}
	}
	return n
}

// mayHaveRun reports whether an attempt of the part is in flight or may have run.
func (p *part) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended || a.mayHaveRun })
}

// outcomeMayHaveRun reports whether an attempt with this outcome may have run.
func outcomeMayHaveRun(o Outcome) bool {
	return o != Rejected && o != Unreachable && o != NotSent && o != Misplaced
}
