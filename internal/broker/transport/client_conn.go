package transport

import (
	"errors"
	"io"
	"net"
	"saffronquay/internal/broker/http1"
	"strconv"
	"time"
)

// clientConn is one client connection. One goroutine reads, and so notices when the client
// disconnects. While requests are open a second goroutine answers them, one at a time and in order.
type clientConn struct {
	listener       *Listener
	conn           net.Conn
	accepted       time.Time
	clientGone     chan struct{} // closed when the client has disconnected
	malformed      chan struct{} // closed when it has sent bytes that cannot be parsed
	flooded        chan struct{} // closed when it has sent lingerBytes after those
	lastAnswerDone chan struct{} // closed after the last answer, whether or not it was sent

	// Fields below are guarded by listener.mu.
	queue        []*http1.Message
	fault        *http1.Error // why its bytes cannot be parsed; later requests are not answered
	faultAt      time.Time
	answering    bool
	partial      bool // a request has arrived in part
	hasRequested bool // a complete request has arrived
	evicted      bool // to be closed unless a request arrives first
	endsNext     bool // the connection ends with the next answer
	readEnded    bool // the reader has ended
	busy         bool
	idleSince    time.Time // when it last became idle
}

// update calls f under the listener's lock. If the connection becomes busy or idle, it updates the
// listener's count of busy connections and sets the idle deadline.
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
		setReadDeadline(c.conn, c.idleSince.Add(c.listener.settings.Load().IdleTimeout))
	}
}

// enqueue queues requests for answering and, after them, the fault that makes the remaining bytes
// unreadable. It returns true if nothing more is to be read. It never blocks: a reader that waits
// for space in the queue would not notice that its client disconnects.
func (c *clientConn) enqueue(batch []*http1.Message, fault error, partial bool) (last bool) {
	c.update(func() { last = c.enqueueLocked(batch, fault, partial) })
	return last
}

// enqueueLocked implements enqueue. The caller holds the listener's lock.
func (c *clientConn) enqueueLocked(batch []*http1.Message, fault error, partial bool) bool {
	if c.fault != nil { // the last answer has been sent
		return true
	}
	if fault == nil && len(c.queue)+len(batch) > maxPipelined {
		fault = &http1.Error{Status: statusBadRequest, Text: "too many pipelined requests"}
		c.countFailed(fault, batch...)
		batch = nil
	}
	if c.evicted { // these bytes were received before the eviction
		c.cancelEviction()
	}
	now := time.Now()
	if partial && (!c.partial || len(batch) > 0) && c.hasRequested {
		setReadDeadline(c.conn, now.Add(c.listener.settings.Load().RequestTimeout))
	}
	c.partial = partial
	c.queue = append(c.queue, batch...)
	c.hasRequested = c.hasRequested || len(batch) > 0
	if fault != nil {
		c.setFault(fault, now)
	}
	if len(c.queue) > 0 || fault != nil {
		c.startAnswering()
	}
	if c.answering && !partial && fault == nil {
		setReadDeadline(c.conn, time.Time{}) // a connection with an open query is not idle
	}
	return fault != nil
}

// setFault records the error that ends the connection. The caller holds the listener's lock.
func (c *clientConn) setFault(fault error, now time.Time) {
	c.fault, c.faultAt, c.partial = &http1.Error{Status: statusBadRequest, Text: fault.Error()}, now, false
	errors.As(fault, &c.fault)
	close(c.malformed)
}

// startAnswering starts the goroutine that answers, unless it is running. The caller holds the
// listener's lock.
func (c *clientConn) startAnswering() {
	if c.answering {
		return
	}
	c.answering = true
	c.listener.wg.Add(1)
	go c.answer()
}

// discardUntilClosed reads and discards input after malformed bytes, up to lingerBytes, so that a
// disconnect is noticed and the error answer reaches the client. After lingerBytes it stops
// reading: the connection counts as flooded, and its open query is abandoned.
func (c *clientConn) discardUntilClosed() {
	setReadDeadline(c.conn, time.Now().Add(faultGrace+linger))
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

// next returns the request to answer next, or the fault to end the connection with. Both are nil if
// the connection is idle again.
func (c *clientConn) next() (m *http1.Message, fault *http1.Error) {
	c.update(func() {
		switch {
		case c.readEnded && c.fault == nil: // the client has disconnected: queued requests are not started
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

// answer answers the queued requests in order until the queue is empty or the connection ends.
func (c *clientConn) answer() {
	defer c.listener.wg.Done()
	for {
		m, fault := c.next()
		switch {
		case fault != nil:
			r := c.listener.settings.Load().front.Fault(fault.Status, fault.Text)
			if after := c.listener.settings.Load().RetryAfter; fault.Status == statusUnavailable && after > 0 {
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

// finish ends the connection after its last answer: immediately if the answer could not be written
// or no unread bytes remain, otherwise once the client has closed it or linger has passed.
func (c *clientConn) finish(reads bool) {
	over := false
	c.update(func() {
		c.queue = nil
		c.answering, over = false, c.readEnded
		if c.fault == nil {
			// The client was told that this answer is the last. Closing the socket over unread
			// bytes would reset the connection and might destroy the answer.
			c.fault, over = &http1.Error{}, over || !hasUnread(c.conn)
		}
	})
	close(c.lastAnswerDone)
	half, ok := c.conn.(interface{ CloseWrite() error })
	switch {
	case over || !reads || !ok || half.CloseWrite() != nil:
		c.close()
	default:
		setReadDeadline(c.conn, time.Now().Add(linger))
	}
}

// closeIfReadEnded closes the connection if its reader has ended in the meantime.
func (c *clientConn) closeIfReadEnded() {
	c.listener.mu.Lock()
	over := c.readEnded && !c.answering
	c.listener.mu.Unlock()
	if over {
		c.close()
	}
}

// close closes and removes the connection. It is idempotent.
func (c *clientConn) close() {
	c.conn.Close()
	c.listener.removeConn(c)
}

func (c *clientConn) write(r http1.Response, last bool) bool {
	setWriteDeadline(c.conn, time.Now().Add(writeTimeout))
	_, err := c.conn.Write(r.Append(nil, last))
	return err == nil
}
