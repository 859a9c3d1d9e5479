package transport

import (
	"errors"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yarrowwalk/internal/broker"
	"yarrowwalk/internal/http1"
)

// Front is one dialect towards clients. It knows no socket.
type Front interface {
	// Open turns a request into a query and the way to word its end, or into a response at once.
	Open(m *http1.Message, now int64, ready bool) (broker.Ask, func(broker.Final, int64) http1.Response, *http1.Response)
	// Fault words the answer to a request that could not be read or decided on.
	Fault(status int, text string) http1.Response
}

// ListenerConfig bounds a listener.
type ListenerConfig struct {
	MaxConns int
	// Idle bounds the wait for a further request, Slow the time that one may take to come in.
	Idle, Slow time.Duration
}

// Listener accepts clients' connections and answers their requests.
type Listener struct {
	cfg     ListenerConfig
	engine  *Engine
	front   Front
	log     *log.Logger
	net     net.Listener
	leaving atomic.Bool
	last    atomic.Int64 // when a query last came in
	busy    atomic.Int64 // requests being read, decided or answered
	freed   chan struct{}
	wg      sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*clientConn]bool
}

// NewListener makes a listener on an open socket; Serve runs it.
func NewListener(l net.Listener, cfg ListenerConfig, e *Engine, f Front, logger *log.Logger) *Listener {
	return &Listener{cfg: cfg, engine: e, front: f, log: logger, net: l, freed: make(chan struct{}, 1),
		conns: map[*clientConn]bool{}}
}

// Serve accepts connections until Close. Errors of accept, such as a full table of descriptors, back off.
func (l *Listener) Serve() error {
	const most = time.Second
	wait := 5 * time.Millisecond
	for {
		conn, err := l.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			l.log.Printf("level=warn event=accept error=%q", err)
			l.evict()
			l.pause(wait)
			wait = min(2*wait, most)
			continue
		}
		wait = 5 * time.Millisecond
		for !l.add(conn) {
			l.evict()
			l.pause(50 * time.Millisecond)
		}
	}
}

// pause waits until a connection is freed, for so long at most.
func (l *Listener) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.freed:
	case <-t.C:
	}
}

func (l *Listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return true
	}
	if len(l.conns) >= l.cfg.MaxConns {
		return false
	}
	c := &clientConn{l: l, net: conn, idleAt: time.Now(), requests: make(chan *http1.Message, 4),
		gone: make(chan struct{}), bad: make(chan struct{})}
	l.conns[c] = true
	l.wg.Add(2)
	go c.read()
	go c.answer()
	return true
}

func (l *Listener) remove(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// evict closes the client connection that has been idle for longest: a full table must not keep new clients
// out while old ones only hold their connections.
func (l *Listener) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *clientConn
	for c := range l.conns {
		if !c.idleAt.IsZero() && (oldest == nil || c.idleAt.Before(oldest.idleAt)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.idleAt = time.Time{}
		oldest.net.Close()
	}
}

// Leave makes the listener not ready; it goes on accepting and answering.
func (l *Listener) Leave() { l.leaving.Store(true) }

// Drain stops accepting and closes each connection once it is idle.
func (l *Listener) Drain() {
	l.leaving.Store(true)
	l.net.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.idleAt.IsZero() {
			c.net.Close()
		}
	}
}

// Quiet tells that no request is in hand and that none has come in since a time, in microseconds.
func (l *Listener) Quiet(since int64) bool { return l.busy.Load() == 0 && l.last.Load() < since }

// Close ends the listener and all its connections.
func (l *Listener) Close() {
	l.net.Close()
	l.mu.Lock()
	l.closed = true
	for c := range l.conns {
		c.net.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// clientConn is one client's connection: one goroutine reads, and so sees the client leave, the other
// answers, one request at a time.
type clientConn struct {
	l        *Listener
	net      net.Conn
	requests chan *http1.Message
	gone     chan struct{} // closed when the client has left
	bad      chan struct{} // closed when it has sent what can't be read; it may still wait for answers
	fault    *http1.Error  // set before bad is closed
	idleAt   time.Time     // since when it is idle; zero while it is not. Under l.mu
}

func (c *clientConn) setIdle(idle bool) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.idleAt = time.Time{}
	if idle {
		c.idleAt = time.Now()
	}
}

func (c *clientConn) read() {
	defer c.l.wg.Done()
	defer close(c.gone)
	var p http1.Parser
	p.Headed = func(m *http1.Message) {
		// Nothing else is being written then: clients that wait for this have no request before it open.
		if m.Header.Get("Expect") == "100-continue" && len(c.requests) == 0 {
			c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
			c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows at the next read
		}
	}
	buf := make([]byte, readChunk)
	partial := false
	for {
		if p.Idle() {
			c.net.SetReadDeadline(time.Now().Add(c.l.cfg.Idle))
		}
		n, err := c.net.Read(buf)
		if n > 0 {
			if !partial {
				partial = true
				c.l.busy.Add(1)
				c.setIdle(false)
				c.net.SetReadDeadline(time.Now().Add(c.l.cfg.Slow))
			}
			p.Feed(buf[:n])
			for {
				m, perr := p.Next()
				if perr != nil {
					c.l.busy.Add(-1)
					c.refuse(perr)
					return
				}
				if m == nil {
					break
				}
				c.l.busy.Add(1)
				// Never waits: guards against a client that fills the queue and leaves, whose going would not
				// be seen while this goroutine waited for room.
				select {
				case c.requests <- m:
				default:
					c.l.busy.Add(-2)
					c.refuse(&http1.Error{Status: 400, Text: "too many requests ahead of their answers"})
					return
				}
			}
			if p.Idle() {
				partial = false
				c.l.busy.Add(-1)
			}
		}
		if err != nil {
			if partial {
				c.l.busy.Add(-1)
			}
			var timeout net.Error
			if partial && errors.As(err, &timeout) && timeout.Timeout() {
				c.refuse(&http1.Error{Status: 408, Text: "the request took too long to come in"})
			}
			return
		}
	}
}

// refuse marks what can't be read and passes over the rest, so that the client's going is still seen.
func (c *clientConn) refuse(err error) {
	c.fault = &http1.Error{Status: 400, Text: err.Error()}
	errors.As(err, &c.fault)
	close(c.bad)
	c.net.SetReadDeadline(time.Now().Add(c.l.cfg.Idle))
	io.Copy(io.Discard, c.net) // ends with the connection, whichever side ends it
}

func (c *clientConn) answer() {
	defer c.l.wg.Done()
	defer c.l.remove(c)
	defer func() {
		c.net.Close()
		<-c.gone
		// What the reader had queued and is not answered any more has to be taken off the count, or the
		// listener would never be quiet.
		c.l.busy.Add(-int64(len(c.requests)))
	}()
	for {
		var m *http1.Message
		select {
		case m = <-c.requests:
		case <-c.gone:
			return
		case <-c.bad:
			select {
			case m = <-c.requests: // came in before what can't be read
			default:
				c.write(c.l.front.Fault(c.fault.Status, c.fault.Text), true)
				return
			}
		}
		last, ok := c.serve(m)
		c.setIdle(ok && !last)
		c.l.busy.Add(-1)
		if last || !ok {
			return
		}
	}
}

// serve answers one request; ok is false where the client is gone.
func (c *clientConn) serve(m *http1.Message) (last, ok bool) {
	now := c.l.engine.clock.Now()
	ask, word, resp := c.l.front.Open(m, now, !c.l.leaving.Load())
	if resp == nil {
		c.l.last.Store(now)
		t := c.l.engine.Open(ask)
		select {
		case f := <-t.Final:
			r := word(f, c.l.engine.clock.Now())
			resp = &r
		case err := <-t.Err:
			r := c.l.front.Fault(400, err.Error())
			resp = &r
		case <-c.gone:
			c.l.engine.Left(t)
			return true, false
		case <-c.l.engine.stopped:
			return true, false
		}
	}
	last = m.Close || c.l.leaving.Load()
	if m.Method == "HEAD" {
		resp.Body = nil
	}
	return last, c.write(*resp, last)
}

func (c *clientConn) write(r http1.Response, last bool) bool {
	c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(r.Append(nil, last))
	return err == nil
}
