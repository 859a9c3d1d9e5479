package transport

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/platform"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	sq "saffronquay"
)

// These tests force the moments in which an end meets an open request: the listener's connections are real sockets whose reads and writes
// stop at a hook.

// crossing is a point at which one goroutine waits for the test. Only once it is armed.
type crossing struct {
	mu      sync.Mutex
	armed   bool
	reached chan struct{}
	release chan struct{}
}

func (x *crossing) arm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.armed, x.reached, x.release = true, make(chan struct{}), make(chan struct{})
}

// pass waits for the test once, where it is armed.
func (x *crossing) pass() {
	x.mu.Lock()
	armed, reached, release := x.armed, x.reached, x.release
	x.armed = false
	x.mu.Unlock()
	if armed {
		close(reached)
		<-release
	}
}

func (x *crossing) wait(t *testing.T) {
	t.Helper()
	select {
	case <-x.reached:
	case <-time.After(testTimeout):
		t.Fatal("the crossing was never reached")
	}
}

// hooked is a connection whose reads stop before or after the socket, and whose writes stop before it.
type hooked struct {
	*net.TCPConn
	h *hooks
}

type hooks struct{ beforeRead, afterRead, afterTime, beforeWrite, beforeAccept crossing }

func (c hooked) Read(b []byte) (int, error) {
	c.h.beforeRead.pass()
	n, err := c.TCPConn.Read(b)
	var timeout net.Error
	switch {
	case n > 0:
		c.h.afterRead.pass()
	case errors.As(err, &timeout) && timeout.Timeout():
		c.h.afterTime.pass()
	}
	return n, err
}

func (c hooked) Write(b []byte) (int, error) {
	c.h.beforeWrite.pass()
	return c.TCPConn.Write(b)
}

type hookedListener struct {
	*net.TCPListener
	h *hooks
}

func (l hookedListener) Accept() (net.Conn, error) {
	l.h.beforeAccept.pass()
	c, err := l.TCPListener.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return hooked{c, l.h}, nil
}

// counted is a front like echo that counts the queries it opens.
type counted struct {
	echo
	opened *atomic.Int64
}

func (f counted) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	f.opened.Add(1)
	return f.echo.Open(m, now, ready)
}

// ends is a listener with hooks, and a client of it.
type ends struct {
	*hooks
	t      *testing.T
	l      *Listener
	e      *Engine
	opened atomic.Int64
	served chan error
}

func newEnds(t *testing.T) *ends {
	w := &ends{hooks: &hooks{}, t: t, served: make(chan error, 1)}
	gatherer := core.New(core.Config{Period: 1000, Shards: 1, Classes: []sq.Class{{Name: "c"}}}, module{})
	quiet := slog.New(slog.DiscardHandler)
	w.e = NewEngine(NewClock(), gatherer, PoolConfig{MaxConns: 1, IdleClose: 1 << 40}, platform.Workers{PerConn: 1}, adminapi.NewMetrics(), quiet)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20}
	w.l = NewListener(hookedListener{socket.(*net.TCPListener), w.hooks}, cfg, w.e, counted{opened: &w.opened}, quiet)
	w.l.faultGrace = time.Hour
	go w.e.Run()
	go func() { w.served <- w.l.Serve() }()
	t.Cleanup(func() { w.l.Close(); w.e.Stop() })
	return w
}

func (w *ends) dial() net.Conn {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.l.socket.Addr().String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// rests is a client's connection that has had an answer and is idle.
func (w *ends) rests() net.Conn {
	w.t.Helper()
	conn := w.dial()
	fmt.Fprint(conn, get)
	w.answer(conn)
	w.until("it rests", func(c *clientConn) bool { return c.hasRequested && !c.answering })
	return conn
}

// answer reads one answer.
func (w *ends) answer(conn net.Conn) *http1.Message {
	w.t.Helper()
	p := http1.Parser{Response: true}
	for buf := make([]byte, 1); ; {
		if _, err := conn.Read(buf); err != nil {
			w.t.Fatalf("no answer: %v", err)
		}
		p.Feed(buf)
		if m, err := p.Next(); m != nil || err != nil {
			return m
		}
	}
}

// until waits for a state of the one connection.
func (w *ends) until(what string, is func(*clientConn) bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		w.l.mu.Lock()
		ok := false
		for c := range w.l.conns {
			ok = ok || is(c)
		}
		w.l.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

// A connection that is to be ended while its request has been read, or lies in the socket, answers that request first and ends with it;
// whether it has to make room, is idle on a drain or had its time. Guards requests that would be read and sent on with nobody to answer to.
func TestAnEndThatMeetsARequest(t *testing.T) {
	for name, end := range map[string]func(w *ends){
		"evicted":     func(w *ends) { w.l.evict(0) },
		"drained":     func(w *ends) { w.l.mu.Lock(); w.l.standby.Store(true); w.l.mu.Unlock(); w.endIdle() },
		"told to end": func(w *ends) { w.l.leaving.Store(true); w.endIdle() },
	} {
		for _, read := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/read=%t", name, read), func(t *testing.T) {
				w := newEnds(t)
				conn := w.rests()
				if read { // the bytes are on their way from the socket to the listener
					w.afterRead.arm()
					fmt.Fprint(conn, get)
					w.afterRead.wait(t)
					end(w)
					close(w.afterRead.release)
				} else { // they come in as the reader is about to end
					w.afterTime.arm()
					end(w)
					w.afterTime.wait(t)
					fmt.Fprint(conn, get)
					w.until("they lie in the socket", func(c *clientConn) bool { return hasUnread(c.conn) })
					close(w.afterTime.release)
				}
				if m := w.answer(conn); m.Status != 200 || !m.Close {
					t.Errorf("answered %d, closing %t", m.Status, m.Close)
				}
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("its end: %v", err)
				}
				if n := w.opened.Load(); n != 2 {
					t.Errorf("%d requests begun", n)
				}
			})
		}
	}
}

// endIdle ends what is idle, as if it had been for long.
func (w *ends) endIdle() { w.l.closeIdle(time.Now().Add(time.Hour), true) }

// An idle connection that nothing comes in on just ends, in order.
func TestAnEndThatMeetsNothing(t *testing.T) {
	for name, end := range map[string]func(w *ends){"evicted": func(w *ends) { w.l.evict(0) }, "drained": (*ends).endIdle} {
		t.Run(name, func(t *testing.T) {
			w := newEnds(t)
			conn := w.rests()
			end(w)
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("its end: %v", err)
			}
		})
	}
}

// What has come in behind a last answer doesn't reset the connection, which would take the answer along.
func TestALastAnswerOverUnreadBytes(t *testing.T) {
	w := newEnds(t)
	conn := w.dial()
	w.beforeWrite.arm()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	w.beforeWrite.wait(t) // the answer is about to leave
	w.afterRead.arm()
	fmt.Fprint(conn, "\r\n")
	w.afterRead.wait(t) // so that what comes next lies unread
	fmt.Fprint(conn, strings.Repeat("more ", 100))
	w.until("it lies in the socket", func(c *clientConn) bool { return hasUnread(c.conn) })
	close(w.beforeWrite.release)
	w.until("its last answer has left", func(c *clientConn) bool { return !c.answering })
	close(w.afterRead.release)
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), "200 OK") {
		t.Errorf("%q, %v", got, err)
	}
}

// A request that waits behind another is not begun once its client has left, although the other's answer has just been written.
func TestNothingQueuedIsBegunForAClientThatHasLeft(t *testing.T) {
	w := newEnds(t)
	conn := w.dial()
	w.beforeWrite.arm()
	fmt.Fprint(conn, get+get)
	w.beforeWrite.wait(t)
	w.until("both have come in", func(c *clientConn) bool { return len(c.queue) == 1 })
	conn.Close()
	w.until("its reader has ended", func(c *clientConn) bool { return c.readEnded })
	close(w.beforeWrite.release)
	w.until2(func() bool { return w.l.Conns() == 0 })
	if n := w.opened.Load(); n != 1 {
		t.Errorf("%d requests begun, want 1", n)
	}
}

func (w *ends) until2(is func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("never")
		}
	}
}

// A request whose client has left before it is read is not begun, as where its connection waited to be accepted. What lies behind its bytes, the
// client's end, is kept from being read here.
func TestNothingIsBegunForAClientThatLeftBeforeItWasRead(t *testing.T) {
	for _, reset := range []bool{false, true} {
		w := newEnds(t)
		conn := w.rests()
		w.afterRead.arm()
		fmt.Fprint(conn, get)
		w.afterRead.wait(t)
		w.beforeRead.arm() // should it come round
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
		w.until("its end is there", func(c *clientConn) bool { _, gone := peek(c.conn); return gone })
		close(w.afterRead.release)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.until2(func() bool { return w.l.Conns() == 0 || w.opened.Load() > 1 })
		}()
		select {
		case <-ended:
		case <-w.beforeRead.reached: // it has come round, and does not learn of the end before the request is begun, or not
			w.until2(func() bool { return w.opened.Load() > 1 })
		}
		close(w.beforeRead.release)
		<-ended
		if n := w.opened.Load(); n != 1 {
			t.Errorf("reset %t: %d requests begun, want 1", reset, n)
		}
	}
}

// A request that is arriving as a listener begins to leave is read to its end and answered, and its connection ends with that.
func TestRequestSplitInTransitAsAListenerLeaves(t *testing.T) {
	w := newEnds(t)
	conn := w.dial()
	fmt.Fprint(conn, get[:10])
	w.until("it arrives", func(c *clientConn) bool { return c.partial })
	w.l.Leave()
	w.endIdle()
	fmt.Fprint(conn, get[10:])
	if m := w.answer(conn); m.Status != 200 || !m.Close {
		t.Errorf("answered %d, closing %t", m.Status, m.Close)
	}
	w.until2(func() bool { return w.l.Conns() == 0 })
}

// Behind what can't be read a client may go on sending without end, so that its going would not be seen: what it still waits for is given
// up then. The grace of such a connection is an hour here.
func TestAFloodEndsWhatItsClientWaitsFor(t *testing.T) {
	w := newEnds(t)
	conn := w.dial()
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: x\r\n\r\nwhat now?\r\n\r\n")
	w.until("it is at fault", func(c *clientConn) bool { return c.fault != nil })
	go func() {
		conn.Write(make([]byte, 2*lingerBytes)) // fails once the connection is closed
	}()
	w.until2(func() bool { return w.e.OpenQueries() == 0 && w.l.Conns() == 0 })
}

// When a listener closes its socket, who has connected already is served. Without that a connection which waits to be accepted is reset.
func TestCloseSocketServesBacklog(t *testing.T) {
	w := newEnds(t)
	first := w.rests()
	w.beforeAccept.arm()
	var waiting []net.Conn
	for i := range 4 {
		if i == 1 {
			w.beforeAccept.wait(t) // Serve has come round, with the first of them or before it
		}
		conn := w.dial()
		fmt.Fprint(conn, get)
		waiting = append(waiting, conn)
	}
	w.l.Leave()
	w.l.CloseSocket()
	close(w.beforeAccept.release)
	for _, conn := range waiting {
		if m := w.answer(conn); m.Status != 200 {
			t.Errorf("answered %d", m.Status)
		}
	}
	select {
	case err := <-w.served:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("it goes on accepting")
	}
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the one that rested: %v", err)
	}
	if conn, err := net.Dial("tcp", w.l.socket.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			conn.Close()
		}
		t.Errorf("it still listens: %v", err)
	}
}

// What arrives when the process may soon be killed has its end before, whatever time its client gives.
func TestWhatArrivesLateEndsBeforeTheProcessMay(t *testing.T) {
	for _, tc := range []struct{ by, deadline, want int64 }{{0, 9e6, 9e6}, {3e6, 9e6, 3e6}, {3e6, 2e6, 2e6}} {
		seen := make(chan int64, 1)
		gatherer := core.New(core.Config{Period: 1, Shards: 1, Classes: []sq.Class{{Name: "c"}}}, watched{seen: seen})
		e := NewEngine(NewClock(), gatherer, PoolConfig{}, platform.Workers{PerConn: 1}, adminapi.NewMetrics(), slog.New(slog.DiscardHandler))
		go e.Run()
		now := e.clock.Now()
		if tc.by > 0 {
			e.SetKillDeadline(now + tc.by)
		}
		e.Open(core.Query{Class: "c", Deadline: now + tc.deadline, Parts: []core.QueryPart{{Weight: 1}}})
		if got := <-seen - now; got != tc.want {
			t.Errorf("%+v: it may last until %d", tc, got)
		}
		e.Stop()
	}
}

// watched is a module that records the deadlines of queries.
type watched struct {
	module
	seen chan int64
}

func (m watched) Step(_ int64, events []sq.Event) []sq.Action {
	for _, e := range events {
		if q, ok := e.(sq.Query); ok {
			m.seen <- q.Deadline
		}
	}
	return nil
}
