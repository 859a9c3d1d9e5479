package transport

import (
	"errors"
	"saffronquay/internal/broker/core"

	sq "saffronquay"
)

// closeIdle closes the idle connections to a server.
func (p *pool) closeIdle(now int64, id sq.ServerID) {
	if s := p.servers[id]; s != nil {
		for _, c := range append([]*serverConn(nil), s.conns...) {
			if c.up && len(c.calls) == 0 {
				p.closeConn(now, c, false)
			}
		}
	}
}

// closeIfEmpty closes a retired connection that has no call left.
func (p *pool) closeIfEmpty(now int64, c *serverConn) {
	if c.retired && len(c.calls) == 0 && len(c.backlog) == 0 && !c.closed {
		p.closeConn(now, c, false)
	}
}

// quietLimit is how long a connection with open calls may deliver nothing before further calls take another one, in microseconds. It
// scales with the typical latency of calls, within bounds: load differs from day to day, and servers pause for a while.
func (p *pool) quietLimit() int64 { return p.scaledTimeout(8, 30_000) }

// scaledTimeout is n typical latencies, at least least and at most unresponsiveAfter; unresponsiveAfter while no latency is known. In
// microseconds.
func (p *pool) scaledTimeout(n float64, least int64) int64 {
	if p.typicalLatency == 0 {
		return unresponsiveAfter
	}
	return min(max(int64(n*p.typicalLatency), least), unresponsiveAfter)
}

// unansweredSince is since when a connection has an open call and has delivered nothing; 0 where it has none.
func (c *serverConn) unansweredSince() int64 {
	oldest := int64(0)
	for _, at := range c.sentAt {
		if oldest == 0 || at < oldest {
			oldest = at
		}
	}
	if oldest == 0 || !c.up {
		return 0
	}
	return max(oldest, c.heardAt, c.upAt)
}

// overtakenLimit is how many calls on other connections have to overtake a quiet connection before it is closed: another core of the
// server may answer one while a long call runs.
const overtakenLimit = 3

// countOvertaken counts, for the quiet connections of a server, that it has answered a call which left later, at sent.
func (p *pool) countOvertaken(s *server, sent int64) {
	for _, c := range s.conns {
		if since := c.unansweredSince(); since > 0 && sent > since+p.quietLimit() {
			c.overtakenBy++
		}
	}
}

// closeIfOvertaken closes a connection that has become quiet while its server answers on others, even calls that left well after this
// one became quiet. Guards against links that fail without a reset, on which calls would wait until their deadline. The attempts on it
// may have run; they end as Stranded, which says nothing about the server. Where a connection carries one call at a time a long call
// looks the same, so nothing is concluded.
func (p *pool) closeIfOvertaken(now int64, c *serverConn) {
	if p.dialect.Streams() < 2 || c.overtakenBy < overtakenLimit {
		return
	}
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.Stranded})
	}
	p.closeConn(now, c, false)
}

// unresponsiveAfter is how long a connection with an open call may deliver nothing before it takes no further calls, in microseconds.
// Servers pause for less.
const unresponsiveAfter = 1_500_000

// closeLongestIdle closes the connection that has been idle for longest, to make room for a new one.
func (p *pool) closeLongestIdle(now int64) {
	var oldest *serverConn
	for _, s := range p.servers {
		for _, c := range s.conns {
			if c.up && len(c.calls) == 0 && (oldest == nil || c.usedAt < oldest.usedAt) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		p.closeConn(now, oldest, false)
	}
}

// closeMalformed closes a connection that delivered malformed bytes. The attempt that has been open for longest is taken for the one
// with the malformed answer and ends as Errored; the others end as Stranded. Any of them may have run. They don't end as Broken, which
// counts against queries that bring servers down.
func (p *pool) closeMalformed(now int64, c *serverConn, err error) {
	if !errors.Is(err, core.ErrConnectionEnding) {
		p.lastLossAt = now
	}
	o := sq.Errored
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
		o = sq.Stranded
	}
	p.closeConn(now, c, false)
}

// closeConn ends a connection and the attempts on it. What was not written completely has never run; the rest may have. Only once the
// writer has ended (writerEnded) is it known how much it wrote; before, all that was queued may have left. Guards against sending an
// attempt that must not run twice again while its first frame is on its way.
func (p *pool) closeConn(now int64, c *serverConn, writerEnded bool) {
	if c.closed {
		return
	}
	c.closed = true
	if c.lateTimer != nil { // it was not dialled, as in tests
		c.lateTimer.Stop()
	}
	p.conns--
	if c.conn != nil {
		c.conn.Close()
	}
	s := c.server
	for i, o := range s.conns {
		if o == c {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	done := c.written.Load()
	ran := sq.Broken
	for _, id := range sortedKeys(c.calls) {
		o := sq.Unreachable
		if f := c.calls[id]; f != nil && (f.number <= done || !writerEnded) {
			// One lost connection is one sign of a fault, however many calls were open: guards servers, and the keys of
			// queries, against being blamed for what else was lost with the connection.
			o, ran = ran, sq.Stranded
			p.lastLossAt = now
		}
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
	}
	if s.draining && len(s.conns) == 0 && p.servers[s.id] == s {
		delete(p.servers, s.id)
	}
}

// sweep closes idle connections before the server's machine does, connections whose answer has stopped, and unresponsive ones.
func (p *pool) sweep(now int64) {
	for _, s := range p.servers {
		for _, c := range append([]*serverConn(nil), s.conns...) {
			switch {
			case c.partialHeardAt > 0 && (now-c.partialHeardAt > maxAnswerPause || now-c.partialSince > maxAnswerTime):
				p.closeMalformed(now, c, errStalled)
			case len(c.calls) > 0:
				p.closeIfOvertaken(now, c)
			case c.up && len(c.calls) == 0 && now-c.usedAt > p.cfg.IdleClose*2/3:
				p.closeConn(now, c, false)
			}
		}
	}
}
