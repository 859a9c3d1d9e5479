package transport

import "saffronquay/internal/broker/core"

// Permit says whether queries are admitted, and under which version of the policy. Times are Unix microseconds of the engine's clock.
type Permit struct {
	Version        uint64
	Expires        int64 // end of the lease: from then on no query is admitted
	Suspended      bool  // a change is being put in force: queries wait until HoldEnd, then they are refused in doubt
	SuspendedUntil int64
	RetryAfter     int64 // wait before a retry after a refusal, microseconds
}

// suspendedQuery is a query that waits while a change of the policy is put in force.
type suspendedQuery struct {
	query  core.Query
	ticket *Ticket
}

// SetPermit puts a permit in force and returns once it is: afterwards no query is admitted by an earlier one. As long as it was never
// called every query is admitted.
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

// checkPermit reports whether a query may be admitted now. One that may not is suspended or refused, and the caller is done with it.
// It is called at the admission of a query, not at its arrival, and allocates nothing where it returns true.
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

// admitSuspended checks the suspended queries again once the suspension is over: after a new permit, or at its end.
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
