package transport

import (
	"errors"
	"net"
	"saffronquay/internal/broker/http1"
	"time"
)

// requestReader is the read side of one client's connection. The goroutine of clientConn.read owns it.
type requestReader struct {
	c        *clientConn
	parser   http1.Parser
	buffered int64          // bytes of unfinished requests that are counted in Listener.partialBytes
	header   *http1.Message // whose header was read last
	complete *http1.Message // that was read completely last
}

// read reads requests until the client leaves, breaks the rules, takes too long or is evicted.
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

// end says that nothing more is read. The connection closes here unless a request is still being answered.
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

// readHeader notes a request's header, and asks for its body where the client waits for that.
func (r *requestReader) readHeader(m *http1.Message) {
	r.header = m
	// Nothing else is being written then: clients that wait for this have no request before it open.
	if m.Header.Get("Expect") == "100-continue" && !r.c.isAnswering() {
		setWriteDeadline(r.c.conn, time.Now().Add(writeTimeout))
		_, _ = r.c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows at the next read
	}
}

// feed parses what was read and queues the complete requests. It returns false once nothing more is to be read.
func (r *requestReader) feed(b []byte) bool {
	c := r.c
	r.parser.Feed(b)
	batch, err := parseComplete(&r.parser)
	if n := len(batch); n > 0 {
		r.complete = batch[n-1]
	}
	now := int64(r.parser.Buffered())
	if c.listener.partialBytes.Add(now-r.buffered) > c.listener.settings.Load().MaxPartialBytes && err == nil && now > 0 {
		// A request that was not read to its end has not run: a retry is harmless.
		err = &http1.Error{Status: statusUnavailable, Text: "too much is coming in at once"}
	}
	r.buffered = now
	if r.header != r.complete {
		c.countFailed(err, r.header)
	}
	// Guards servers against requests whose client left before they were read, as where it waited to be accepted.
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

// continueAfter handles a failed read. It returns true where the connection goes on: its idle time was over, but bytes have come.
func (r *requestReader) continueAfter(err error) bool {
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	if r.parser.Idle() {
		return r.c.continueIfUnread()
	}
	slow := &http1.Error{Status: statusRequestTimeout, Text: "the request took too long to come in"}
	if r.header != r.complete {
		r.c.countFailed(slow, r.header)
	}
	r.c.enqueue(nil, slow, false)
	r.c.discardUntilClosed()
	return false
}

// countFailed counts requests that end with an error of their connection instead of an answer of their own.
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

// parseComplete returns the complete messages.
func parseComplete(p *http1.Parser) (batch []*http1.Message, err error) {
	for {
		m, err := p.Next()
		if m == nil || err != nil {
			return batch, err
		}
		batch = append(batch, m)
	}
}
