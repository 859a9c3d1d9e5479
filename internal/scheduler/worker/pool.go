// Package worker speaks HTTP/1.1 to workers: it sends a request over a kept or new connection and reads the answer, whole or event by
// event. Every error carries a verdict that says whether the request may have run.
package worker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/outcome"
	"saffronquay/internal/scheduler/transport"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	victoria "github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// Call is a request to a worker.
type Call struct {
	Address     string
	Method      string
	URI         string // path and query, as they came
	Host        string
	Headers     []Header
	Body        []byte
	DialTimeout time.Duration // that a new connection may take; 0: the usual
}

// Header is one header field.
type Header struct{ Name, Value string }

const (
	readBuffer    = 8 << 10
	headerMost    = 64 << 10
	idleUsual     = 4 * time.Second
	idleMostConns = 64
)

// Pool keeps connections to workers.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
}

// NewPool returns a pool without connections.
func NewPool() *Pool { return &Pool{idle: map[string][]*connection{}} }

type connection struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

// Answer is a worker's answer whose body has not been read yet. It must be closed.
type Answer struct {
	Status int
	Header fasthttp.ResponseHeader

	pool    *Pool
	address string
	conn    *connection
	body    io.Reader
	whole   bool // the body was read to its end
	stop    func() bool
	sent    *atomic.Bool // the whole request was; nil: before the answer was read
}

// directMost is the longest request that is sent before its answer is looked for. A worker may answer a longer one before it has read it.
const directMost = 16 << 10

// Do sends a request and reads the head of its answer. When the context ends, the connection is closed and whatever waits for it fails.
func (p *Pool) Do(ctx context.Context, call *Call) (*Answer, error) {
	conn, err := p.connect(call)
	if err != nil {
		return nil, outcome.Errorf(outcome.Failed, outcome.NotRun, err, "connect to %s", call.Address)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	fail := func(v outcome.Outcome, err error, what string) error {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			return outcome.Errorf(outcome.TimedOut, v, ctx.Err(), "%s %s", what, call.Address)
		}
		return outcome.Errorf(outcome.Failed, v, err, "%s %s", what, call.Address)
	}
	a := &Answer{pool: p, address: call.Address, conn: conn, stop: stop}
	if encoded := call.encode(); len(encoded) > directMost {
		a.sendBeside(encoded)
	} else if sent, err := conn.Write(encoded); err != nil {
		v := outcome.MayHaveRun
		if sent == 0 {
			v = outcome.NotRun
		}
		return nil, fail(v, err, "send to")
	}
	for {
		a.Header.Reset()
		if err := a.Header.Read(conn.reader); err != nil {
			return nil, fail(outcome.MayHaveRun, err, "read from")
		}
		if a.Status = a.Header.StatusCode(); a.Status >= 200 {
			break
		}
	}
	a.body = a.reader(call.Method)
	return a, nil
}

// sendBeside sends a request while its answer is read.
func (a *Answer) sendBeside(encoded []byte) {
	a.sent = &atomic.Bool{}
	conn, sent := a.conn, a.sent
	go func() {
		if _, err := conn.Write(encoded); err == nil {
			sent.Store(true)
		}
	}()
}

// encode writes the request as it goes over the connection.
func (c *Call) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(c.Body))
	b.WriteString(c.Method + " " + c.URI + " HTTP/1.1\r\nHost: " + c.Host + "\r\n")
	for _, h := range c.Headers {
		b.WriteString(h.Name)
		b.WriteString(": ")
		b.WriteString(h.Value)
		b.WriteString("\r\n")
	}
	if len(c.Body) > 0 || c.Method != fasthttp.MethodGet && c.Method != fasthttp.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(c.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(c.Body)
	return b.Bytes()
}

// connect takes a kept connection, or opens one.
func (p *Pool) connect(call *Call) (*connection, error) {
	now := time.Now()
	cause := openedNoneIdle
	for {
		conn := p.take(call.Address)
		if conn == nil {
			break
		}
		if now.Before(conn.expires) && conn.reader.Buffered() == 0 && quiet(conn.Conn) {
			return conn, nil
		}
		cause = openedClosed
		conn.Close()
	}
	opened[cause].Inc()
	wait := call.DialTimeout
	if wait == 0 {
		wait = transport.DialTimeout
	}
	raw, err := transport.DialWithin(call.Address, wait)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// openCause is why a connection is opened.
type openCause string

const (
	openedNoneIdle openCause = "none_idle" // there is none to the worker that isn't in use
	openedClosed   openCause = "closed"    // the ones that were kept have expired, or the worker has closed them
)

// opened counts new connections.
var opened = map[openCause]*victoria.Counter{openedNoneIdle: openedCounter(openedNoneIdle), openedClosed: openedCounter(openedClosed)}

func openedCounter(cause openCause) *victoria.Counter {
	return metrics.Counter("connections_opened_total", metrics.Label{Name: "cause", Value: string(cause)})
}

func (p *Pool) take(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// quiet tells whether a connection is open and nothing unasked has arrived on it.
func quiet(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// reader reads the body in the framing that the head states.
func (a *Answer) reader(method string) io.Reader {
	length := a.Header.ContentLength()
	switch {
	case method == fasthttp.MethodHead || a.Status == fasthttp.StatusNoContent || a.Status == fasthttp.StatusNotModified:
		a.whole = true
		return bytes.NewReader(nil)
	case length >= 0:
		a.whole = length == 0
		return &fixedReader{a, int64(length)}
	case length == -1:
		return &chunkedReader{answer: a}
	default:
		return &closingReader{a}
	}
}

// Read reads on in the body. It returns io.EOF only where the body is whole.
func (a *Answer) Read(b []byte) (int, error) { return a.body.Read(b) }

// ReadAll reads the whole body.
func (a *Answer) ReadAll() ([]byte, error) {
	if n := a.Header.ContentLength(); n > 0 && n < 1<<24 {
		b := make([]byte, n)
		_, err := io.ReadFull(a.body, b)
		return b, err
	}
	return io.ReadAll(a.body)
}

// Close ends the answer. The connection is kept where the body was read to its end and nothing speaks against it.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	conn := a.conn
	a.conn = nil
	unsent := a.sent != nil && !a.sent.Load() // nothing else may stand where the rest of the request is due
	if !a.stop() || !a.whole || unsent || a.Header.ConnectionClose() || conn.reader.Buffered() > 0 {
		conn.Close()
		return
	}
	conn.expires = time.Now().Add(a.idleTime())
	p := a.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if list := p.idle[a.address]; len(list) < idleMostConns {
		p.idle[a.address] = append(list, conn)
		return
	}
	conn.Close()
}

// Discard ends an answer that is not this call's, or can't be trusted, and its connection with it: the right answer may still come there.
func (a *Answer) Discard() {
	a.whole = false
	a.Close()
}

// IsSuccess reports whether the status is below 300. Heads with a status below 200 are never answers.
func (a *Answer) IsSuccess() bool { return a.Status < fasthttp.StatusMultipleChoices }

// Belongs tells whether an answer is to the request with an id.
func (a *Answer) IsFor(id string) bool {
	return IsAnswerFor(a.Status, string(a.Header.Peek("Request-Id")), id)
}

// Belongs tells whether an answer with a status that names a request is to the one with an id. A success has to name it; other answers may
// name none.
func IsAnswerFor(status int, named, id string) bool {
	return named == id || named == "" && status >= fasthttp.StatusMultipleChoices
}

// idleTime is how long the worker keeps the connection, less a margin.
func (a *Answer) idleTime() time.Duration {
	for _, part := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(seconds)*time.Second-time.Second/2, 0)
		}
	}
	return idleUsual
}

// Forget closes the kept connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, conn := range list {
		conn.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*connection
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.After(conn.expires) {
				old = append(old, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, conn := range old {
		conn.Close()
	}
}
