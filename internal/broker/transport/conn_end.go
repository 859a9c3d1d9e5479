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

func (p *pool) closeIfEmpty(now int64, c *serverConn) {
	if c.retired && len(c.calls) == 0 && len(c.backlog) == 0 && !c.closed {
		p.closeConn(now, c, false)
	}
}

// hush is how long a connection with calls out may say nothing before further calls take another one, in
// microseconds. It goes by what calls usually take: days differ in scale, and servers stand still for a while.
func (p *pool) quietLimit() int64 { return p.scaledTimeout(8, 30_000) }

func (p *pool) scaledTimeout(n float64, least int64) int64 {
	if p.typicalLatency == 0 {
		return unresponsiveAfter
	}
	return min(max(int64(n*p.typicalLatency), least), unresponsiveAfter)
}

// waits is since when a connection owes an answer and has said nothing; 0 where it owes none.
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

// overtaken is how many calls have to overtake a silent connection before it is given up: one may be served by
// another core while a long one is in work.
const overtakenLimit = 3

// overtakes takes note that a server has answered a call which left at a time.
func (p *pool) noteOvertaken(s *server, sent int64) {
	for _, c := range s.conns {
		if since := c.unansweredSince(); since > 0 && sent > since+p.quietLimit() {
			c.overtakenBy++
		}
	}
}

// strand ends a connection that has fallen silent while its server goes on answering: on others it has answered
// calls that left well after this one fell silent. Guards against links that are cut without a word, on which
// calls would wait until their time is up. What was out there may have run, and says nothing of the server. Where
// one connection carries one call, a long call looks the same, so nothing is concluded.
func (p *pool) closeIfOvertaken(now int64, c *serverConn) {
	if p.dialect.Streams() < 2 || c.overtakenBy < overtakenLimit {
		return
	}
	for _, id := range sortedKeys(c.calls) {
		p.endAttempt(now, c, core.Reply{Attempt: id, Outcome: sq.Stranded})
	}
	p.closeConn(now, c, false)
}

// silence is how long a connection with a call out may say nothing before it takes no further calls, in
// microseconds. Servers stand still for less.
const unresponsiveAfter = 1_500_000

// shed closes the connection that has been idle for longest, so that there is room for a new one.
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

// spoil ends a connection whose bytes are of no use. The attempt that has been out for longest is taken to be
// the one whose answer was spoilt; the others are given up with the connection. Either may have run. They are
// not reported as broken: that is how queries look that bring down what serves them.
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

// fail ends a connection. What was not written whole has never run; the rest may have. Only once the writer
// has ended (settled) is it known how much it wrote: before, all that was handed to it may have left. Guards
// against a part that must not run twice being sent again while its first frame is on its way.
func (p *pool) closeConn(now int64, c *serverConn, settled bool) {
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
		if f := c.calls[id]; f != nil && (f.number <= done || !settled) {
			// One break is one piece of evidence, however many calls were out: guards servers, and the keys of
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

// sweep closes idle connections before the server's machine does, those on which an answer stands still, and
// those that have fallen silent.
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
