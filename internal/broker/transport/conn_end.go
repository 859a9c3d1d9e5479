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

// closeIfEmpty closes a retired connection that has no calls left.
func (p *pool) closeIfEmpty(now int64, c *serverConn) {
	if c.retired && len(c.calls) == 0 && len(c.backlog) == 0 && !c.closed {
		p.closeConn(now, c, false)
	}
}

// quietLimit returns how long a connection with open calls may deliver nothing before further calls
// use another connection, in microseconds. It scales with the typical latency, within bounds,
// because load varies from day to day and servers pause now and then.
func (p *pool) quietLimit() int64 { return p.scaledTimeout(8, 30_000) }

// scaledTimeout returns n times the typical latency, limited to the range from minimum to
// unresponsiveAfter. While no latency is known it returns unresponsiveAfter. Times are
// microseconds.
func (p *pool) scaledTimeout(n float64, minimum int64) int64 {
	if p.typicalLatency == 0 {
		return unresponsiveAfter
	}
	return min(max(int64(n*p.typicalLatency), minimum), unresponsiveAfter)
}

// unansweredSince returns since when a connection has had an open call and has delivered nothing; 0
// if it has no open call.
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
	return max(oldest, c.lastReadAt, c.upAt)
}

// overtakenLimit is how many calls on other connections must overtake a quiet connection before it
// is closed. A lower limit would close connections on which a long call is running, since another
// core of the server may answer a call meanwhile.
const overtakenLimit = 3

// countOvertaken counts, for each quiet connection of a server, that the server has answered a call
// that was sent later, at sent.
func (p *pool) countOvertaken(s *server, sent int64) {
	for _, c := range s.conns {
		if since := c.unansweredSince(); since > 0 && sent > since+p.quietLimit() {
			c.overtakenBy++
		}
	}
}

// closeIfOvertaken closes a connection that is quiet while its server answers calls on other
// connections that were sent well after it became quiet. This detects links that fail without a
// reset, on which calls would otherwise wait until their deadline. The attempts on the connection
// may have run; they end as ConnectionClosed, which is not counted against the server. If
// connections carry one call at a time, a long call looks the same, so nothing is concluded.
func (p *pool) closeIfOvertaken(now int64, c *serverConn) {
	if p.dialect.Streams() < 2 || c.overtakenBy < overtakenLimit {
		return
	}
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.ConnectionClosed})
	}
	p.closeConn(now, c, false)
}

// unresponsiveAfter is how long a connection with an open call may deliver nothing before it gets
// no further calls, in microseconds. It is longer than the pauses of servers.
const unresponsiveAfter = 1_500_000

// closeLongestIdle closes the connection that has been idle longest, to make room for a new one.
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

// closeMalformed closes a connection that delivered malformed bytes. The oldest open attempt is
// assumed to be the one with the malformed answer and ends as Errored; the others end as ConnectionClosed.
// Any of them may have run. None ends as Broken, which counts against queries that crash servers.
func (p *pool) closeMalformed(now int64, c *serverConn, err error) {
	if !errors.Is(err, core.ErrConnectionEnding) {
		p.lastLossAt = now
	}
	o := sq.Errored
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
		o = sq.ConnectionClosed
	}
	p.closeConn(now, c, false)
}

// closeConn closes a connection and ends the attempts on it. An attempt whose frame was not written
// completely has not run; the others may have. How much was written is known only once the writer
// has ended (writerEnded); before that, everything queued may have been sent. Otherwise an attempt
// that must not run twice could be sent again while its first frame is still being written.
func (p *pool) closeConn(now int64, c *serverConn, writerEnded bool) {
	if c.closed {
		return
	}
	c.closed = true
	if c.lateTimer != nil { // nil if it was not dialled, as in tests
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
	lost := sq.Broken
	for _, id := range sortedKeys(c.calls) {
		o := sq.Unreachable
		if f := c.calls[id]; f != nil && (f.number <= done || !writerEnded) {
			// One lost connection is one sign of a fault, however many calls were open: only the
			// first call ends as Broken, so that neither the server nor the keys of the other
			// queries are blamed for the rest.
			o, lost = lost, sq.ConnectionClosed
			p.lastLossAt = now
		}
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: o})
	}
	if s.draining && len(s.conns) == 0 && p.servers[s.id] == s {
		delete(p.servers, s.id)
	}
}

// sweep closes connections that have been idle for two thirds of IdleClose, before the server's
// machine closes them, connections whose answer has stalled, and unresponsive ones.
func (p *pool) sweep(now int64) {
	for _, s := range p.servers {
		for _, c := range append([]*serverConn(nil), s.conns...) {
			switch {
			case c.partialReadAt > 0 && (now-c.partialReadAt > maxAnswerPause || now-c.partialSince > maxAnswerTime):
				p.closeMalformed(now, c, errStalled)
			case len(c.calls) > 0:
				p.closeIfOvertaken(now, c)
			case c.up && len(c.calls) == 0 && now-c.usedAt > p.cfg.IdleClose*2/3:
				p.closeConn(now, c, false)
			}
		}
	}
}
