package transport

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/http1"
	"strconv"
	"time"
)

// clientConn is one client's connection. One goroutine reads, and so sees the client leave; while requests
// wait another answers them, one at a time and in order.
type clientConn struct {
	listener       *Listener
	conn           net.Conn
	accepted       time.Time
	clientGone     chan struct{} // closed when the client has left
	malformed      chan struct{} // closed when it has sent what can't be read
	flooded        chan struct{} // closed when it goes on sending behind that without end
	lastAnswerDone chan struct{} // closed when that has been answered, or can't be any more

	// Under l.mu:
	queue        []*http1.Message
	fault        *http1.Error // what it sent that can't be read; nothing after it is passed on
	faultAt      time.Time
	answering    bool
	partial      bool // a request has begun to come in
	hasRequested bool // a whole request has come in
	evicted      bool // it is to end, unless a request comes in first
	endsNext     bool // the next answer is the last
	readEnded    bool // the reader has ended
	busy         bool
	idleSince    time.Time // when it last became idle
}

// change alters the state under the listener's lock and keeps the count of busy connections.
func (c *clientConn) update(f func()) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	f()
	busy := c.answering || c.partial && !c.readEnded
	if busy == c.busy {
		return
	}
	c.busy = busy
	if busy {
		c.listener.busyConns.Add(1)
	} else {
		c.listener.busyConns.Add(-1)
		c.idleSince = time.Now()
	}
	if !busy && c.fault == nil {
		c.conn.SetReadDeadline(c.idleSince.Add(c.listener.settings.Load().IdleTimeout))
	}
}

func (c *clientConn) read() {
	defer c.listener.wg.Done()
	var held int64
	defer func() {
		c.listener.partialBytes.Add(-held)
		close(c.clientGone)
		over := false
		c.update(func() { c.readEnded, over = true, !c.answering })
		if over {
			c.close()
		}
	}()
	var p http1.Parser
	var head, last *http1.Message // that came in last, and whole
	p.OnHeader = func(m *http1.Message) {
		head = m
		// Nothing else is being written then: clients that wait for this have no request before it open.
		if m.Header.Get("Expect") == "100-continue" && !c.isAnswering() {
			c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows at the next read
		}
	}
	buf := make([]byte, clientReadSize)
	c.conn.SetReadDeadline(c.accepted.Add(c.listener.settings.Load().FirstRequestTimeout))
	for {
		n, err := c.conn.Read(buf)
		if n > 0 {
			p.Feed(buf[:n])
			batch, perr := parseComplete(&p)
			if n := len(batch); n > 0 {
				last = batch[n-1]
			}
			now := int64(p.Buffered())
			if c.listener.partialBytes.Add(now-held) > c.listener.settings.Load().MaxPartialBytes && perr == nil && now > 0 {
				// What was not read to its end has not run: trying again is harmless.
				perr = &http1.Error{Status: 503, Text: "too much is coming in at once"}
			}
			held = now
			if head != last {
				c.countFailed(perr, head)
			}
			// Guards servers against requests whose client left before they were read, as where it waited to be accepted.
			if len(batch) > 0 && perr == nil {
				if _, gone := peek(c.conn); gone {
					return
				}
			}
			if c.enqueue(batch, perr, !p.Idle()) {
				c.discardUntilClosed()
				return
			}
		}
		if err != nil {
			var timeout net.Error
			late := errors.As(err, &timeout) && timeout.Timeout()
			if late && p.Idle() && c.continueIfUnread() {
				continue
			}
			if late && !p.Idle() {
				slow := &http1.Error{Status: 408, Text: "the request took too long to come in"}
				if head != last {
					c.countFailed(slow, head)
				}
				c.enqueue(nil, slow, false)
				c.discardUntilClosed()
			}
			return
		}
	}
}

// lost counts requests that end with a fault instead of an answer of their own.
func (c *clientConn) countFailed(fault error, ms ...*http1.Message) {
	if fault == nil {
		return
	}
	e := &http1.Error{Status: 400}
	errors.As(fault, &e)
	for _, m := range ms {
		c.listener.engine.metrics.CountAnswer(c.listener.settings.Load().front.Class(m), e.Status)
	}
}

// whole returns the messages that are complete.
func parseComplete(p *http1.Parser) (batch []*http1.Message, err error) {
	for {
		m, err := p.Next()
		if m == nil || err != nil {
			return batch, err
		}
		batch = append(batch, m)
	}
}

// take hands requests over to be answered, and what can't be read behind them. It never waits: guards against a
// client that fills the queue and leaves, whose going would not be seen while its reader waited for room.
func (c *clientConn) enqueue(batch []*http1.Message, fault error, partial bool) (bad bool) {
	c.update(func() {
		if c.fault != nil { // its last answer has left
			bad = true
			return
		}
		if fault == nil && len(c.queue)+len(batch) > maxPipelined {
			fault = &http1.Error{Status: 400, Text: "too many requests ahead of their answers"}
			c.countFailed(fault, batch...)
			batch = nil
		}
		if c.evicted { // these bytes were on their way from the socket to here
			c.cancelEviction()
		}
		now := time.Now()
		if partial && (!c.partial || len(batch) > 0) && c.hasRequested {
			c.conn.SetReadDeadline(now.Add(c.listener.settings.Load().RequestTimeout))
		}
		c.partial = partial
		c.queue = append(c.queue, batch...)
		c.hasRequested = c.hasRequested || len(batch) > 0
		if fault != nil {
			c.fault, c.faultAt, c.partial = &http1.Error{Status: 400, Text: fault.Error()}, now, false
			errors.As(fault, &c.fault)
			close(c.malformed)
		}
		if !c.answering && (len(c.queue) > 0 || fault != nil) {
			c.answering = true
			c.listener.wg.Add(1)
			go c.answer()
		}
		if c.answering && !partial && fault == nil {
			c.conn.SetReadDeadline(time.Time{}) // an open query is no idle connection
		}
		bad = fault != nil
	})
	return bad
}

// pass reads on past what can't be read, within bounds, so that the client's going is seen and the error
// reaches it. Beyond them its going can't be seen: what it still waits for is given up.
func (c *clientConn) discardUntilClosed() {
	c.conn.SetReadDeadline(time.Now().Add(faultGrace + linger))
	if n, err := io.CopyN(io.Discard, c.conn, lingerBytes); err == nil && n == lingerBytes {
		close(c.flooded)
		<-c.lastAnswerDone
	}
}

func (c *clientConn) isAnswering() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.answering
}

// next is the request to answer next, or the fault to end with; neither where the connection is idle again.
func (c *clientConn) next() (m *http1.Message, fault *http1.Error) {
	c.update(func() {
		switch {
		case c.readEnded && c.fault == nil: // nobody waits: what is queued is not begun
			c.queue, c.answering = nil, false
		case len(c.queue) > 0 && !c.readEnded && (c.fault == nil || time.Since(c.faultAt) < c.listener.faultGrace):
			m, c.queue = c.queue[0], c.queue[1:]
		case c.fault != nil:
			fault = c.fault
			c.countFailed(fault, c.queue...)
			c.queue = nil
		default:
			c.queue, c.answering = nil, false
		}
	})
	return m, fault
}

func (c *clientConn) answer() {
	defer c.listener.wg.Done()
	for {
		m, fault := c.next()
		switch {
		case fault != nil:
			r := c.listener.settings.Load().front.Fault(fault.Status, fault.Text)
			if after := c.listener.settings.Load().RetryAfter; fault.Status == 503 && after > 0 {
				seconds := int64((after + time.Second - 1) / time.Second)
				r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(seconds, 10)})
			}
			c.write(r, true)
			c.finish(true)
			return
		case m == nil:
			c.closeIfReadEnded()
			return
		}
		if last, ok := c.serveRequest(m); last || !ok {
			c.finish(ok)
			return
		}
	}
}

// finish ends the connection after its last answer: at once where nobody reads it, else once the client has
// ended it too or the time to linger is over.
func (c *clientConn) finish(reads bool) {
	over := false
	c.update(func() {
		c.queue = nil
		c.answering, over = false, c.readEnded
		if c.fault == nil {
			// One who was told that the connection ends sends nothing more. Closing over what it has sent already would reset the
			// connection, and the answer with it.
			c.fault, over = &http1.Error{}, over || !hasUnread(c.conn)
		}
	})
	close(c.lastAnswerDone)
	half, ok := c.conn.(interface{ CloseWrite() error })
	switch {
	case over || !reads || !ok || half.CloseWrite() != nil:
		c.close()
	default:
		c.conn.SetReadDeadline(time.Now().Add(linger))
	}
}

// endIfOver closes the connection where its reader has ended meanwhile.
func (c *clientConn) closeIfReadEnded() {
	c.listener.mu.Lock()
	over := c.readEnded && !c.answering
	c.listener.mu.Unlock()
	if over {
		c.close()
	}
}

// close may be called more than once.
func (c *clientConn) close() {
	c.conn.Close()
	c.listener.removeConn(c)
}

func (c *clientConn) write(r http1.Response, last bool) bool {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(r.Append(nil, last))
	return err == nil
}
