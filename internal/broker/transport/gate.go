package transport

import (
	"errors"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
)

// ErrNoContract is the error of a query whose team has no contract, or none for the query's class.
var ErrNoContract = errors.New("transport: no contract for the team and class of the query")

// queuedQuery is a query that waits at the admission gate.
type queuedQuery struct {
	query  core.Query
	ticket *Ticket
}

// SetContracts applies admission contracts. With nil there are none, and the queries that wait at
// the gate are admitted.
func (e *Engine) SetContracts(cfg *admission.Config) {
	e.post(func(now int64) {
		switch {
		case cfg == nil && e.gate != nil:
			e.gate = nil
			for _, id := range sortedKeys(e.queued) {
				h := e.queued[id]
				delete(e.queued, id)
				h.ticket.gate = 0
				e.admit(now, h.query, h.ticket)
			}
		case cfg == nil:
		case e.gate == nil:
			e.gate = admission.New(*cfg)
		default:
			e.gate.Reconfigure(*cfg)
			e.admitStarted(now)
		}
	})
}

// TeamStatuses returns the accounts of at most limit teams, the busiest first. They are sorted on
// the caller's goroutine.
func (e *Engine) TeamStatuses(limit int) (out []admission.TeamStatus) {
	got := make(chan []admission.TeamStatus, 1)
	e.post(func(int64) {
		var all []admission.TeamStatus
		if e.gate != nil {
			all = e.gate.TeamStatuses()
		}
		got <- all
	})
	select {
	case out = <-got:
	case <-e.stopped:
	}
	return admission.TopTeams(out, limit)
}

// arrive passes a query to the gate if there is one. The core receives the query once the gate
// admits it.
func (e *Engine) arrive(now int64, a core.Query, t *Ticket) {
	if e.killDeadline > 0 {
		a.Deadline = min(a.Deadline, e.killDeadline)
	}
	if e.gate == nil {
		e.admit(now, a, t)
		return
	}
	if longest := e.gate.MaxDeadline(a.Tenant); longest > 0 {
		a.Deadline = min(a.Deadline, now+longest)
	}
	work := int64(0)
	for _, p := range a.Parts {
		work += p.Work
	}
	e.lastGateID++
	t.gate = e.lastGateID
	v, after := e.gate.Arrive(now, admission.Request{ID: t.gate, Team: a.Tenant, Class: a.Class, Parts: len(a.Parts), Work: float64(work), Deadline: a.Deadline})
	switch v {
	case admission.Admitted:
		e.admit(now, a, t)
	case admission.Queued:
		e.queued[t.gate] = &queuedQuery{a, t}
		e.admitStarted(now)
	case admission.RejectedBacklog, admission.RejectedQueueFull:
		t.gate = 0
		t.Final <- core.Final{Outcome: core.Refused, RetryAfter: e.core.RetryAdvice(after), Shards: len(a.Parts)}
	default:
		t.gate = 0
		t.Err <- ErrNoContract
	}
}

// admit opens a query in the core if the permit allows it.
func (e *Engine) admit(now int64, a core.Query, t *Ticket) {
	if !e.checkPermit(now, a, t) {
		return
	}
	id, final, err := e.core.Open(now, a)
	switch {
	case err != nil:
		t.Err <- err
		e.releaseGate(now, t)
	case final != nil:
		t.Final <- *final
		e.releaseGate(now, t)
	default:
		t.id = id
		e.waiting[id] = func(f core.Final) {
			f.Policy = t.policy
			t.Final <- f
			if e.gate != nil && t.gate != 0 {
				e.gate.Done(t.gate, float64(f.AttemptTime), f.Attempts)
				e.admitStarted(e.clock.Now())
			}
		}
	}
}

// releaseGate returns a query's admission to the gate if the core gives no final answer for the
// query.
func (e *Engine) releaseGate(now int64, t *Ticket) {
	if e.gate == nil || t.gate == 0 {
		return
	}
	delete(e.queued, t.gate)
	e.gate.Done(t.gate, 0, 0)
	e.admitStarted(now)
}

// admitStarted admits the queued queries that the gate has started.
func (e *Engine) admitStarted(now int64) {
	for _, id := range e.gate.StartQueued() {
		if h := e.queued[id]; h != nil {
			delete(e.queued, id)
			e.admit(now, h.query, h.ticket)
		} else {
			e.gate.Done(id, 0, 0)
		}
	}
}

// refuseExpired refuses queries that have waited too long at the gate.
func (e *Engine) refuseExpired(now int64) {
	if e.gate == nil {
		return
	}
	ids, after := e.gate.ExpireQueued(now)
	for i, id := range ids {
		if h := e.queued[id]; h != nil {
			delete(e.queued, id)
			h.ticket.gate = 0
			h.ticket.Final <- core.Final{Outcome: core.Refused, RetryAfter: e.core.RetryAdvice(after[i]), Shards: len(h.query.Parts)}
		}
	}
}
