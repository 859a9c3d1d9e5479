package transport

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/panicguard"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

var errStalled = errors.New("transport: incomplete answer stalled")

// serverConn is one connection to a server, from its dial to its end. It is owned by the engine's
// goroutine, except for conn, written and writes, which the connection's own goroutines use as
// well.
type serverConn struct {
	server        *server
	session       core.Session
	conn          net.Conn // nil until it is established
	up            bool     // established
	retired       bool     // gets no further calls and closes once it is empty
	closed        bool
	backlog       []core.Call               // calls that wait until the connection is established
	calls         map[core.AttemptID]*frame // open calls and the frame that carries each; nil frame: in the backlog
	lastWrite     int64                     // number of the last write that was queued
	written       *atomic.Int64             // number of the last write that was completed
	writes        *outbox
	usedAt        int64                    // when a call was last sent or answered
	lastReadAt    int64                    // when bytes were last received
	openedAt      int64                    // when it was dialled
	upAt          int64                    // when it was established
	isSpare       bool                     // opened because another connection is late
	hasSpare      bool                     // has a spare or is one; no further spare is opened
	lateTimer     *time.Timer              // fires when this connection is late
	overtakenBy   int                      // answered calls on other connections that were sent after this one became quiet
	sentAt        map[core.AttemptID]int64 // when each open call was sent or queued
	partialReadAt int64                    // when bytes of an incomplete answer were last received; 0: there is none
	partialSince  int64                    // when its first bytes were received
}

// dial opens a connection. It returns nil if the limit on connections is reached and none of them
// is idle.
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

// lateAfter returns how long a connection may take to be established before another one is opened,
// in microseconds: well above the typical time, and well below the connect timeout; a quarter of
// that timeout until one has been established.
func (p *pool) lateAfter() int64 {
	limit := max(p.cfg.ConnectTimeout/4, 1000)
	if p.typicalDial == 0 {
		return limit
	}
	return min(max(int64(8*p.typicalDial), 20_000), limit)
}

// lateShareLimit is the fraction of late connections above which no spare is opened. Servers then
// cannot keep up with handshakes, as after a restart of the fleet, and spares would add more.
const lateShareLimit = 0.5

// openSpare opens a second connection if one is late and calls wait for it; the first to be
// established gets the calls. A lost handshake then neither delays calls nor makes the server look
// slow. The cost is that two connections are tried to a machine that is gone.
func (p *pool) openSpare(now int64, c *serverConn) {
	if c.up || c.closed || c.hasSpare || c.server.draining || len(c.calls) == 0 || p.lateShare > lateShareLimit || len(c.server.conns) >= maxConnsPerServer {
		return
	}
	if o := p.dial(now, c.server); o != nil {
		c.hasSpare, o.hasSpare, o.isSpare = true, true, true
	}
}

// adoptBacklog moves calls that wait for other connections of the same server to a connection that
// has been established, as far as it has capacity.
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

// connected starts the goroutines of a connection that has been established, and writes the calls
// that waited for it.
func (p *pool) connected(now int64, c *serverConn, conn net.Conn) {
	if c.closed {
		conn.Close()
		return
	}
	// lastReadAt stays unset: an established connection does not show that its far end is still
	// alive.
	c.conn, c.up, c.usedAt, c.upAt = conn, true, now, now
	c.lateTimer.Stop()
	took := float64(now - c.openedAt)
	if took <= float64(p.lateAfter()) {
		p.lateShare -= p.lateShare / 16
	}
	if p.typicalDial == 0 {
		p.typicalDial = took
	}
	p.typicalDial += (min(took, 2*p.typicalDial) - p.typicalDial) / 16 // limited, since a few late ones say little about the typical time
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

// runConn reads and writes one connection until it ends, and then reports its end to the pool. It
// waits for its writer.
func (p *pool) runConn(c *serverConn, conn net.Conn) {
	stop, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		p.writeFrames(c, conn, stop)
	}()
	ended := p.readAnswers(c, conn)
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

// writeFrames writes a connection's outbox until stop is closed or a write fails. An attempt counts
// as relayed once its frame is written.
func (p *pool) writeFrames(c *serverConn, conn net.Conn, stop <-chan struct{}) {
	for {
		f := c.writes.next(stop)
		if f == nil {
			return
		}
		setWriteDeadline(conn, time.Now().Add(writeTimeout))
		if _, err := conn.Write(f.bytes); err != nil {
			conn.Close()
			return
		}
		p.metrics.Relayed.Add(int64(len(f.call.Attempts)))
		c.written.Store(f.number)
	}
}

// readAnswers passes received bytes to the engine until a read fails; the pool closes the
// connection if it is idle or quiet for too long. It returns true if the far end closed the
// connection in order, since a reset completes no answer.
func (p *pool) readAnswers(c *serverConn, conn net.Conn) bool {
	buf := make([]byte, readSize)
	processed := make(chan struct{}, 1)
	for {
		n, err := conn.Read(buf)
		if n > 0 {
			// The next read waits until these bytes are processed. Otherwise the bytes of a server
			// that sends without end would accumulate in the engine's inbox.
			if !p.post(func(now int64) { p.received(now, c, buf[:n]); processed <- struct{}{} }) {
				return false
			}
			select {
			case <-processed:
			case <-p.stopped:
			}
		}
		if err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}

// received passes bytes to the connection's session and ends the attempts that they answer.
func (p *pool) received(now int64, c *serverConn, b []byte) {
	if c.closed {
		return
	}
	c.lastReadAt, c.overtakenBy = now, 0
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
		c.partialReadAt, c.partialSince = 0, 0
	} else if c.partialReadAt = now; c.partialSince == 0 || len(replies) > 0 {
		c.partialSince = now
	}
	p.closeIfEmpty(now, c)
}

// deliver ends the attempt of a reply. A reply that is yet to be parsed is parsed on a goroutine of
// its own, so that the engine does not wait; it counts as received even if its connection ends
// meanwhile.
func (p *pool) deliver(now int64, c *serverConn, r core.Reply) {
	if _, out := c.calls[r.Attempt]; !out || r.Read == nil {
		p.endAttempt(now, c, r)
		return
	}
	sent := c.sentAt[r.Attempt]
	p.forget(c, r.Attempt)
	go func() {
		read := p.readReply(r)
		p.post(func(now int64) { p.observeLatency(now, c, read, sent); p.onReply(now, read) })
	}()
}

// readReply parses a reply. An answer on which the parser panics counts as malformed: the attempt
// has run and ends as Errored.
func (p *pool) readReply(r core.Reply) (read core.Reply) {
	defer panicguard.Contain(func(panicked *panicguard.PanicError) {
		p.onPanic(panicked)
		read = core.Reply{Attempt: r.Attempt, Outcome: sq.Errored}
	})
	return r.Read()
}
