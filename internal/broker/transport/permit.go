package transport

import "saffronquay/internal/broker/core"

// Permit is whether queries may be let in, and under which version of the policy. Times are by the engine's clock.
type Permit struct {
	Number  uint64
	Until   int64 // of the lease: from then on nothing is let in
	Holding bool  // a change is being put in force: queries wait until HoldEnd, then they are refused in doubt
	HoldEnd int64
	Later   int64 // when it may be worth to come again after a refusal, microseconds
}

// paused is a query that waits while a change is put in force.
type paused struct {
	ask core.Query
	t   *Ticket
}

// Permit has a permit in force, and returns once it is: no query is let in by the one before afterwards. Without any call everything is
// let in.
func (e *Engine) Permit(p Permit) {
	over := make(chan struct{})
	if !e.post(func(now int64) {
		e.permit = &p
		e.release(now)
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
func (e *Engine) permitted(now int64, a core.Query, t *Ticket) bool {
	p := e.permit
	switch {
	case p == nil:
		return true
	case p.Holding && now < p.HoldEnd && len(e.paused) < mostPaused:
		e.paused = append(e.paused, paused{a, t})
		return false
	case p.Holding || now >= p.Until:
		later := p.Later
		if p.Holding && now < p.HoldEnd {
			later = p.HoldEnd - now
		}
		t.Final <- core.Final{Outcome: core.Refused, RetryAfter: e.core.RetryAdvice(later), Shards: len(a.Parts)}
		e.leave(now, t)
		return false
	}
	t.policy = p.Number + 1
	return true
}

const mostPaused = 4096

// release looks at the queries that wait once more: after a new permit, and when their time is over.
func (e *Engine) release(now int64) {
	if len(e.paused) == 0 || e.permit.Holding && now < e.permit.HoldEnd {
		return
	}
	all := e.paused
	e.paused = nil
	for _, x := range all {
		if !x.t.left {
			e.admit(now, x.ask, x.t)
		}
	}
}
