package transport

import "saffronquay/internal/broker/core"

// Permit is whether queries may be let in, and under which version of the policy. Times are by the engine's clock.
type Permit struct {
	Version        uint64
	Expires        int64 // of the lease: from then on nothing is let in
	Suspended      bool  // a change is being put in force: queries wait until HoldEnd, then they are refused in doubt
	SuspendedUntil int64
	RetryAfter     int64 // when it may be worth to come again after a refusal, microseconds
}

// paused is a query that waits while a change is put in force.
type suspendedQuery struct {
	query  core.Query
	ticket *Ticket
}

// Permit has a permit in force, and returns once it is: no query is let in by the one before afterwards. Without any call everything is
// let in.
func (e *Engine) SetPermit(p Permit) {
	over := make(chan struct{})
	if !e.post(func(now int64) {
		e.permit = &p
		e.admitSuspended(now)
		close(over)
	}) {
		return
	}
	select {
	case <-over:
	case <-e.stopped:
	}
}

// permitted tells whether a query is let in now; one that is not is held or refused, and over for the caller. It is asked where a query
// is let in, not where it comes. It allocates nothing where it says yes.
func (e *Engine) checkPermit(now int64, a core.Query, t *Ticket) bool {
	p := e.permit
	switch {
	case p == nil:
		return true
	case p.Suspended && now < p.SuspendedUntil && len(e.suspended) < maxSuspended:
		e.suspended = append(e.suspended, suspendedQuery{a, t})
		return false
	case p.Suspended || now >= p.Expires:
		later := p.RetryAfter
		if p.Suspended && now < p.SuspendedUntil {
			later = p.SuspendedUntil - now
		}
		t.Final <- core.Final{Outcome: core.Refused, RetryAfter: e.core.RetryAdvice(later), Shards: len(a.Parts)}
		e.releaseGate(now, t)
		return false
	}
	t.policy = p.Version + 1
	return true
}

const maxSuspended = 4096

// release looks at the queries that wait once more: after a new permit, and when their time is over.
func (e *Engine) admitSuspended(now int64) {
	if len(e.suspended) == 0 || e.permit.Suspended && now < e.permit.SuspendedUntil {
		return
	}
	all := e.suspended
	e.suspended = nil
	for _, x := range all {
		if !x.ticket.left {
			e.admit(now, x.query, x.ticket)
		}
	}
}
