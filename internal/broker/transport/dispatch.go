package transport

import (
	"saffronquay/internal/broker/core"

	sq "saffronquay"
)

// withdraw ends the attempts on a connection whose calls have not begun to be written, as
// Unreachable.
func (p *pool) withdraw(now int64, c *serverConn) {
	for _, id := range sortedKeys(c.calls) {
		if p.removeUnsent(now, c, id) {
			p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.Unreachable})
		}
	}
}

// removeUnsent removes an attempt from its connection if no byte of its call has been written yet,
// and reports whether it did. Other attempts of the same call stay.
func (p *pool) removeUnsent(now int64, c *serverConn, id core.AttemptID) bool {
	f, out := c.calls[id]
	if !out || c.closed {
		return false
	}
	without := func(all []core.Attempt) []core.Attempt {
		kept := make([]core.Attempt, 0, len(all))
		for _, a := range all {
			if a.ID != id {
				kept = append(kept, a)
			}
		}
		return kept
	}
	if f == nil {
		for i := range c.backlog {
			c.backlog[i].Attempts = without(c.backlog[i].Attempts)
		}
		return true
	}
	taken := c.writes.amend(f, func() {
		c.session.Unsent(id)
		f.call.Attempts = without(f.call.Attempts)
		if f.bytes = nil; len(f.call.Attempts) > 0 {
			f.bytes = c.session.Call(nil, f.call, now)
		}
	})
	return taken
}

// cancelIfUnsent removes an attempt whose answer is no longer needed, if its call has not begun to be
// written. The attempt ends as NotSent.
func (p *pool) cancelIfUnsent(now int64, id core.AttemptID) {
	if c := p.byAttempt[id]; c != nil && p.removeUnsent(now, c, id) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.NotSent})
		p.closeIfEmpty(now, c)
	}
}

// call sends a call over the most loaded connection with capacity, over one that is being
// established, or over a new one. For isolationPeriod after a connection was lost under a call, it
// uses the most recently used idle connection, or a new one while the limits allow it, and
// otherwise the least loaded one.
func (p *pool) call(now int64, call core.Call) {
	s := p.servers[call.Server]
	if s == nil || s.address == "" || s.draining {
		p.refuse(now, call)
		return
	}
	best := p.chooseConn(now, s, call)
	if best == nil {
		if best = p.dial(now, s); best == nil {
			p.refuse(now, call)
			return
		}
	}
	for _, a := range call.Attempts {
		best.calls[a.ID], best.sentAt[a.ID] = nil, now
		p.byAttempt[a.ID] = best
	}
	if !best.up {
		best.backlog = append(best.backlog, call)
		if now-best.openedAt > p.lateAfter() {
			p.openSpare(now, best)
		}
		return
	}
	p.write(now, best, call)
}

// chooseConn returns the connection for a call, or nil if a new one is needed.
func (p *pool) chooseConn(now int64, s *server, call core.Call) *serverConn {
	isolated := p.lastLossAt > 0 && now-p.lastLossAt < isolationPeriod
	canDial := len(s.conns) < maxConnsPerServer && p.conns < p.cfg.MaxConns*3/4
	var best *serverConn
	for _, c := range s.conns {
		if !p.canTake(now, c, call) || isolated && canDial && len(c.calls) > 0 {
			continue
		}
		if best == nil || c.preferredOver(best, isolated) {
			best = c
		}
	}
	return best
}

// canTake reports whether a connection has capacity for a call and shows no sign of a fault.
func (p *pool) canTake(now int64, c *serverConn, call core.Call) bool {
	if c.closed || c.retired || len(c.calls)+len(call.Attempts) > max(p.dialect.Streams(), len(call.Attempts)) {
		return false
	}
	if !c.up && c.hasSpare && !c.isSpare {
		return false // it may never be established; its spare may
	}
	if c.partialReadAt > 0 && len(c.calls) == 0 {
		return false // the rest of a cancelled call's answer is still to arrive
	}
	if since := c.unansweredSince(); since > 0 && now-since > p.quietLimit() && len(c.server.conns) < maxConnsPerServer {
		return false // it may be unresponsive
	}
	if c.up && now-c.usedAt > p.cfg.IdleClose*2/3 && len(c.calls) == 0 {
		return false // the far end may be closing it at this moment
	}
	return true
}

// preferredOver reports whether a call should use this connection rather than than. With alone set,
// connections with fewer calls are preferred.
func (c *serverConn) preferredOver(than *serverConn, alone bool) bool {
	n, m := len(c.calls), len(than.calls)
	switch {
	case alone && n != m:
		return n < m
	case c.up != than.up:
		return c.up
	case alone:
		return c.usedAt > than.usedAt
	}
	return n > m
}

// refuse ends the attempts of a call for which there is no connection, as Unreachable.
func (p *pool) refuse(now int64, call core.Call) {
	for _, a := range call.Attempts {
		p.onReply(now, core.Reply{Attempt: a.ID, Outcome: sq.Unreachable})
	}
}

// write queues a call for its connection's writer. A full queue means that the far end does not
// read, and ends the connection.
func (p *pool) write(now int64, c *serverConn, call core.Call) {
	f := &frame{bytes: c.session.Call(nil, call, now), call: call, number: c.lastWrite + 1}
	if !c.writes.put(f) { // the far end does not read
		p.closeConn(now, c, false)
		return
	}
	c.lastWrite++
	c.usedAt = now
	for _, a := range call.Attempts {
		c.calls[a.ID] = f
	}
}

// cancelAttempt cancels an attempt. If its call has not begun to be written it is removed from the
// queue, so that the server never receives it.
func (p *pool) cancelAttempt(now int64, id core.AttemptID) {
	c := p.byAttempt[id]
	if c == nil {
		return
	}
	unresponsive := c.lastReadAt < c.sentAt[id] && now-c.sentAt[id] > unresponsiveAfter
	unsent := p.removeUnsent(now, c, id)
	p.forget(c, id)
	if !c.up {
		return
	}
	if !unsent {
		b, keep := c.session.Cancel(nil, id)
		if !keep {
			p.closeConn(now, c, false)
			return
		}
		if len(b) > 0 {
			if !c.writes.put(&frame{bytes: b, number: c.lastWrite + 1}) {
				p.closeConn(now, c, false)
				return
			}
			c.lastWrite++
		}
	}
	// A machine that vanishes without a reset leaves the connection open at this end only: a
	// connection that has delivered nothing for so long gets no further calls.
	if unresponsive {
		c.retired = true
	}
	p.closeIfEmpty(now, c)
}
