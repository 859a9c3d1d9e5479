package transport

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/core"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

var errStalled = errors.New("an answer that stands still")

type serverConn struct {
	server         *server
	session        core.Session
	conn           net.Conn // nil until it is up
	up             bool
	retired        bool // takes no further calls and closes once it is empty
	closed         bool
	backlog        []core.Call               // waiting for the connection to come up
	calls          map[core.AttemptID]*frame // out, with the write that carries each; nil: in the backlog
	lastWrite      int64                     // writes handed over
	written        *atomic.Int64             // number of the last write that was completed
	writes         *outbox
	usedAt         int64
	heardAt        int64
	openedAt       int64
	upAt           int64
	isSpare        bool        // opened since another is late
	hasSpare       bool        // has one, or is one: there is no further
	lateTimer      *time.Timer // until it is, itself
	overtakenBy    int         // calls that left after it fell silent and were answered elsewhere
	sentAt         map[core.AttemptID]int64
	partialHeardAt int64 // when the last bytes of an unfinished answer came; 0: there is none
	partialSince   int64 // when its first bytes came
}

func (p *pool) dial(now int64, s *server) *serverConn {
	if p.conns >= p.cfg.MaxConns {
		p.closeLongestIdle(now)
		if p.conns >= p.cfg.MaxConns {
			return nil
		}
	}
	c := &serverConn{
		server: s, session: p.dialect.NewSession(s.address), calls: map[core.AttemptID]*frame{},
		sentAt: map[core.AttemptID]int64{}, written: &atomic.Int64{},
		writes: newOutbox(4*p.dialect.Streams() + 16), usedAt: now, openedAt: now,
	}
	s.conns = append(s.conns, c)
	p.conns++
	address, timeout := s.address, time.Duration(p.cfg.ConnectTimeout)*time.Microsecond
	c.lateTimer = p.afterFunc(time.Duration(p.lateAfter())*time.Microsecond, func() {
		p.post(func(now int64) {
			if !c.up && !c.closed {
				p.lateShare += (1 - p.lateShare) / 16
			}
			p.openSpare(now, c)
		})
	})
	go func() {
		conn, err := p.connect(address, timeout)
		if err != nil {
			p.post(func(now int64) { p.closeConn(now, c, false) })
			return
		}
		p.post(func(now int64) { p.connected(now, c, conn) })
	}()
	return c
}

// lateAfter is how long a connection may take to come up before another is opened beside it, in microseconds: well above what they usually
// take, and well below what is waited for one at most. Where none has come up yet nothing is known of that.
func (p *pool) lateAfter() int64 {
	most := max(p.cfg.ConnectTimeout/4, 1000)
	if p.typicalDial == 0 {
		return most
	}
	return min(max(int64(8*p.typicalDial), 20_000), most)
}

// oftenLate is the share of late connections from which all are: then servers have more handshakes to do than they can, and a second one for
// each would add to that. Guards a fleet that has just been restarted.
const lateShareLimit = 0.5

// isLate opens another connection beside one that is late to come up while calls wait for it; whichever is up first takes them. Guards
// calls against a handshake that is lost, and their servers against being taken for slow or gone because of it. Harm: to a machine that is
// gone two connections are tried for one.
func (p *pool) openSpare(now int64, c *serverConn) {
	if c.up || c.closed || c.hasSpare || c.server.draining || len(c.calls) == 0 || p.lateShare > lateShareLimit || len(c.server.conns) >= maxConnsPerServer {
		return
	}
	if o := p.dial(now, c.server); o != nil {
		c.hasSpare, o.hasSpare, o.isSpare = true, true, true
	}
}

// takeOver has a connection that has come up take the calls that wait for others of its server, as far as it has room.
func (p *pool) adoptBacklog(c *serverConn) {
	for _, o := range c.server.conns {
		for !o.up && len(o.backlog) > 0 && len(c.calls)+len(o.backlog[0].Attempts) <= p.dialect.Streams() {
			call := o.backlog[0]
			o.backlog = o.backlog[1:]
			for _, a := range call.Attempts {
				c.calls[a.ID], c.sentAt[a.ID] = nil, o.sentAt[a.ID]
				p.byAttempt[a.ID] = c
				delete(o.calls, a.ID)
				delete(o.sentAt, a.ID)
			}
			c.backlog = append(c.backlog, call)
		}
	}
}

func (p *pool) connected(now int64, c *serverConn, conn net.Conn) {
	if c.closed {
		conn.Close()
		return
	}
	// heardAt stays unset: that a connection came up is no sign that its far end still lives.
	c.conn, c.up, c.usedAt, c.upAt = conn, true, now, now
	c.lateTimer.Stop()
	took := float64(now - c.openedAt)
	if took <= float64(p.lateAfter()) {
		p.lateShare -= p.lateShare / 16
	}
	if p.typicalDial == 0 {
		p.typicalDial = took
	}
	p.typicalDial += (min(took, 2*p.typicalDial) - p.typicalDial) / 16 // a few late ones say little of what is usual
	go p.runConn(c, conn)
	if !c.retired {
		p.adoptBacklog(c)
	}
	waiting := c.backlog
	c.backlog = nil
	for _, call := range waiting {
		if len(call.Attempts) > 0 && !c.closed {
			p.write(now, c, call)
		} else {
			for _, a := range call.Attempts {
				p.endAttempt(now, c, core.Reply{Attempt: a.ID, Outcome: sq.Unreachable})
			}
		}
	}
	if !c.closed {
		p.closeIfEmpty(now, c)
	}
}

// serve reads and writes one connection until it ends.
func (p *pool) runConn(c *serverConn, conn net.Conn) {
	stop, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		for {
			f := c.writes.next(stop)
			if f == nil {
				return
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(f.bytes); err != nil {
				conn.Close()
				return
			}
			p.metrics.Relayed.Add(int64(len(f.call.Attempts)))
			c.written.Store(f.number)
		}
	}()
	buf := make([]byte, readSize)
	taken := make(chan struct{}, 1)
	ended := false // in order: a reset is no end, and completes nothing
	for {
		n, err := conn.Read(buf) // the pool closes it when idle or silent for too long, so this ends
		if n > 0 {
			// Nothing more is read until this is taken in: guards against a server that sends without end, whose
			// bytes would pile up in the engine's inbox.
			if !p.post(func(now int64) { p.received(now, c, buf[:n]); taken <- struct{}{} }) {
				break
			}
			select {
			case <-taken:
			case <-p.stopped:
			}
		}
		if err != nil {
			ended = errors.Is(err, io.EOF)
			break
		}
	}
	conn.Close()
	close(stop)
	<-written
	p.post(func(now int64) {
		if c.closed {
			return
		}
		if ended {
			for _, r := range c.session.Closed() {
				p.deliver(now, c, r)
			}
		}
		p.closeConn(now, c, true)
	})
}

func (p *pool) received(now int64, c *serverConn, b []byte) {
	if c.closed {
		return
	}
	c.heardAt, c.overtakenBy = now, 0
	replies, err := c.session.Feed(b)
	for _, r := range replies {
		c.usedAt = now
		p.deliver(now, c, r)
	}
	if err != nil {
		p.closeMalformed(now, c, err)
		return
	}
	if !c.session.Partial() {
		c.partialHeardAt, c.partialSince = 0, 0
	} else if c.partialHeardAt = now; c.partialSince == 0 || len(replies) > 0 {
		c.partialSince = now
	}
	p.closeIfEmpty(now, c)
}

// take takes an answer in. One that is yet to be read is read beside the engine, which others wait for, and ends its attempt
// when that is done; whatever becomes of its connection meanwhile, it has come in.
func (p *pool) deliver(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out || r.Read == nil {
		p.endAttempt(now, c, r)
		return
	}
	sent := c.sentAt[r.Attempt]
	p.forget(c, r.Attempt)
	go func() {
		read := r.Read()
		p.post(func(now int64) { p.learn(now, c, read, sent); p.onReply(now, read) })
	}()
}
