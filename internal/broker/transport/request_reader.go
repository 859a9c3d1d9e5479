package transport

import (
	"errors"
	"net"
	"saffronquay/internal/broker/http1"
	"time"
)

// requestReader is the read side of one client connection. It is owned by the goroutine of
// clientConn.read.
type requestReader struct {
	c        *clientConn
	parser   http1.Parser
	buffered int64          // bytes of incomplete requests that are counted in Listener.partialBytes
	header   *http1.Message // the message whose header was read last
	complete *http1.Message // the message that was completed last
}

// read reads requests until the client disconnects, sends malformed bytes, takes too long or is
// evicted.
func (c *clientConn) read() {
	defer c.listener.wg.Done()
	r := &requestReader{c: c}
	defer r.end()
	r.parser.OnHeader = r.readHeader
	buf := make([]byte, clientReadSize)
	setReadDeadline(c.conn, c.accepted.Add(c.listener.settings.Load().FirstRequestTimeout))
	for {
		n, err := c.conn.Read(buf)
		if n > 0 && !r.feed(buf[:n]) {
			return
		}
		if err != nil && !r.continueAfter(err) {
			return
		}
	}
}

// end marks the read side as ended. It closes the connection unless a request is still being
// answered.
func (r *requestReader) end() {
	c := r.c
	c.listener.partialBytes.Add(-r.buffered)
	close(c.clientGone)
	over := false
	c.update(func() { c.readEnded, over = true, !c.answering })
	if over {
		c.close()
	}
}

// readHeader records a request's header, and sends 100 Continue if the client waits for it.
func (r *requestReader) readHeader(m *http1.Message) {
	r.header = m
	// No other goroutine writes now: a client that waits for 100 Continue has no earlier request
	// open.
	if m.Header.Get("Expect") == "100-continue" && !r.c.isAnswering() {
		setWriteDeadline(r.c.conn, time.Now().Add(writeTimeout))
		_, _ = r.c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows at the next read
	}
}

// feed parses received bytes and queues the complete requests. It returns false if nothing more is
// to be read.
func (r *requestReader) feed(b []byte) bool {
	c := r.c
	r.parser.Feed(b)
	batch, err := parseComplete(&r.parser)
	if n := len(batch); n > 0 {
		r.complete = batch[n-1]
	}
	now := int64(r.parser.Buffered())
	if c.listener.partialBytes.Add(now-r.buffered) > c.listener.settings.Load().MaxPartialBytes && err == nil && now > 0 {
		// A request that was not read completely has not run: a retry is safe.
		err = &http1.Error{Status: statusUnavailable, Text: "too many bytes of incomplete requests"}
	}
	r.buffered = now
	if r.header != r.complete {
		c.countFailed(err, r.header)
	}
	// A client may have disconnected before its request was read, for example while its connection
	// waited to be accepted. Such a request must not put load on servers.
	if len(batch) > 0 && err == nil {
		if _, gone := peek(c.conn); gone {
			return false
		}
	}
	if c.enqueue(batch, err, !r.parser.Idle()) {
		c.discardUntilClosed()
		return false
	}
	return true
}

// continueAfter handles a failed read. It returns true if the connection continues: it timed out
// while idle, but bytes have arrived since.
func (r *requestReader) continueAfter(err error) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	if r.parser.Idle() {
		return r.c.continueIfUnread()
	}
	slow := &http1.Error{Status: statusRequestTimeout, Text: "request not complete within the time limit"}
	if r.header != r.complete {
		r.c.countFailed(slow, r.header)
	}
	r.c.enqueue(nil, slow, false)
	r.c.discardUntilClosed()
	return false
}

// countFailed counts requests that end with an error of their connection instead of an answer of
// their own.
func (c *clientConn) countFailed(fault error, ms ...*http1.Message) {
	if fault == nil {
		return
	}
	e := &http1.Error{Status: statusBadRequest}
	errors.As(fault, &e)
	for _, m := range ms {
		c.listener.engine.metrics.CountAnswer(c.listener.settings.Load().front.Class(m), e.Status)
	}
}

// parseComplete returns the complete messages that the parser has buffered.
func parseComplete(p *http1.Parser) (batch []*http1.Message, err error) {
	for {
		m, err := p.Next()
		if m == nil || err != nil {
			return batch, err
		}
		batch = append(batch, m)
	}
}
