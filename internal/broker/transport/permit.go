package transport

import "saffronquay/internal/broker/core"

// Permit states whether queries are admitted, and under which version of the policy. Times are Unix
// microseconds of the engine's clock.
type Permit struct {
	Version        uint64
	Expires        int64 // end of the lease: from then on no query is admitted
	Suspended      bool  // a policy change is being applied: queries wait until SuspendedUntil and are then refused
	SuspendedUntil int64
	RetryAfter     int64 // wait before a retry after a refusal, in microseconds
}

// suspendedQuery is a query that waits while a policy change is applied.
type suspendedQuery struct {
	query  core.Query
	ticket *Ticket
}

// SetPermit applies a permit and returns once it is in force: from then on no query is admitted
// under an earlier one. Until the first call every query is admitted.
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

// checkPermit reports whether a query may be admitted now. A query that may not is suspended or
// refused here, and the caller must not process it further. The check belongs to the admission of a
// query, not to its arrival. It does not allocate if it returns true.
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

// maxSuspended is the maximum number of suspended queries; further ones are refused.
const maxSuspended = 4096

// admitSuspended checks the suspended queries again once the suspension is over, because of a new
// permit or because its time has passed.
func (e *Engine) admitSuspended(now int64) {
	if len(e.suspended) == 0 || e.permit.Suspended && now < e.permit.SuspendedUntil {
		return
	}
	all := e.suspended
	e.suspended = nil
	for _, x := range all {
		if !x.ticket.clientLeft {
			e.admit(now, x.query, x.ticket)
		}
	}
}
