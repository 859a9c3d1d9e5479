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

// These tests force the moments at which a connection ends while a request is open: the listener's
// connections are real sockets whose reads and writes stop at a hook.

// syncPoint is a point at which a goroutine waits for the test. It stops one goroutine each time it
// is armed.
type syncPoint struct {
	mu      sync.Mutex
	armed   bool
	reached chan struct{}
	release chan struct{}
}

func (x *syncPoint) arm() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.armed, x.reached, x.release = true, make(chan struct{}), make(chan struct{})
}

// pass blocks until the test releases the point, if it is armed.
func (x *syncPoint) pass() {
	x.mu.Lock()
	armed, reached, release := x.armed, x.reached, x.release
	x.armed = false
	x.mu.Unlock()
	if armed {
		close(reached)
		<-release
	}
}

func (x *syncPoint) wait(t *testing.T) {
	t.Helper()
	select {
	case <-x.reached:
	case <-time.After(testTimeout):
		t.Fatal("the synchronization point was not reached")
	}
}

// hookedConn is a connection whose reads can be stopped before and after the socket is read, and
// whose writes can be stopped before.
type hookedConn struct {
	*net.TCPConn
	h *hooks
}

type hooks struct{ beforeRead, afterRead, afterTime, beforeWrite, beforeAccept syncPoint }

func (c hookedConn) Read(b []byte) (int, error) {
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

func (c hookedConn) Write(b []byte) (int, error) {
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
	return hookedConn{c, l.h}, nil
}

// countingFront is an echoFront that counts the queries it opens.
type countingFront struct {
	echoFront
	opened *atomic.Int64
}

func (f countingFront) Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	f.opened.Add(1)
	return f.echoFront.Open(m, now, ready)
}

// testListener is a listener with hooked connections, and its engine.
type testListener struct {
	*hooks
	t      *testing.T
	l      *Listener
	e      *Engine
	opened atomic.Int64
	served chan error
}

func newTestListener(t *testing.T) *testListener {
	w := &testListener{hooks: &hooks{}, t: t, served: make(chan error, 1)}
	gatherer := core.New(core.Config{Period: 1000, Shards: 1, Classes: []sq.Class{{Name: "c"}}}, module{})
	quiet := slog.New(slog.DiscardHandler)
	w.e = NewEngine(NewClock(), gatherer, PoolConfig{MaxConns: 1, IdleClose: 1 << 40}, platform.Workers{PerConn: 1}, adminapi.NewMetrics(), quiet)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20}
	w.l = NewListener(hookedListener{socket.(*net.TCPListener), w.hooks}, cfg, w.e, countingFront{opened: &w.opened}, quiet)
	w.l.faultGrace = time.Hour
	go w.e.Run()
	go func() { w.served <- w.l.Serve() }()
	t.Cleanup(func() { w.l.Close(); w.e.Stop() })
	return w
}

func (w *testListener) dial() net.Conn {
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

// idleConn returns a client connection that has had an answer and is idle.
func (w *testListener) idleConn() net.Conn {
	w.t.Helper()
	conn := w.dial()
	fmt.Fprint(conn, get)
	w.answer(conn)
	w.waitForConn("the connection is idle", func(c *clientConn) bool { return c.hasRequested && !c.answering })
	return conn
}

// answer reads one answer.
func (w *testListener) answer(conn net.Conn) *http1.Message {
	w.t.Helper()
	p := http1.Parser{Response: true}
	for buf := make([]byte, 1); ; {
		if _, err := conn.Read(buf); err != nil {
			w.t.Fatalf("read an answer: %v", err)
		}
		p.Feed(buf)
		if m, err := p.Next(); m != nil || err != nil {
			return m
		}
	}
}

// waitForConn waits until a connection of the listener is in a state.
func (w *testListener) waitForConn(what string, is func(*clientConn) bool) {
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
			w.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// A connection that is being closed while a request on it has been read, or is in the socket,
// answers that request and then closes, whether it is closed by an eviction, by a drain or because
// the listener leaves. Otherwise a request would be executed without a client to answer.
func TestEviction_AnswersRequestInTransit(t *testing.T) {
	for name, end := range map[string]func(w *testListener){
		"evicted": func(w *testListener) { w.l.evict(0) },
		"drained": func(w *testListener) { w.l.mu.Lock(); w.l.standby.Store(true); w.l.mu.Unlock(); w.closeAllIdle() },
		"leaving": func(w *testListener) { w.l.leaving.Store(true); w.closeAllIdle() },
	} {
		for _, read := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/read=%t", name, read), func(t *testing.T) {
				w := newTestListener(t)
				conn := w.idleConn()
				if read { // the bytes are on their way from the socket to the listener
					w.afterRead.arm()
					fmt.Fprint(conn, get)
					w.afterRead.wait(t)
					end(w)
					close(w.afterRead.release)
				} else { // they arrive as the reader is about to end
					w.afterTime.arm()
					end(w)
					w.afterTime.wait(t)
					fmt.Fprint(conn, get)
					w.waitForConn("the bytes are in the socket", func(c *clientConn) bool { return hasUnread(c.conn) })
					close(w.afterTime.release)
				}
				if m := w.answer(conn); m.Status != 200 || !m.Close {
					t.Errorf("status %d, Connection: close %t; want 200 and true", m.Status, m.Close)
				}
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("read after the last answer: %v, want EOF", err)
				}
				if n := w.opened.Load(); n != 2 {
					t.Errorf("%d requests started, want 2", n)
				}
			})
		}
	}
}

// closeAllIdle closes idle connections as if they had been idle for long.
func (w *testListener) closeAllIdle() { w.l.closeIdle(time.Now().Add(time.Hour), true) }

// An idle connection without a request is closed in order when it is evicted or drained.
func TestEviction_ClosesIdleConnInOrder(t *testing.T) {
	for name, end := range map[string]func(w *testListener){"evicted": func(w *testListener) { w.l.evict(0) }, "drained": (*testListener).closeAllIdle} {
		t.Run(name, func(t *testing.T) {
			w := newTestListener(t)
			conn := w.idleConn()
			end(w)
			if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("read after the last answer: %v, want EOF", err)
			}
		})
	}
}

// Bytes that arrive after the last request do not cause a reset, which would destroy the last
// answer.
func TestLastAnswer_SurvivesUnreadBytes(t *testing.T) {
	w := newTestListener(t)
	conn := w.dial()
	w.beforeWrite.arm()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	w.beforeWrite.wait(t) // the answer is about to be sent
	w.afterRead.arm()
	fmt.Fprint(conn, "\r\n")
	w.afterRead.wait(t) // so that later bytes stay unread
	fmt.Fprint(conn, strings.Repeat("more ", 100))
	w.waitForConn("the bytes are in the socket", func(c *clientConn) bool { return hasUnread(c.conn) })
	close(w.beforeWrite.release)
	w.waitForConn("the last answer has been sent", func(c *clientConn) bool { return !c.answering })
	close(w.afterRead.release)
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), "200 OK") {
		t.Errorf("got %q, %v", got, err)
	}
}

// A request that waits behind another one is not started after its client has disconnected, even if
// the other's answer has just been written.
func TestClientLeft_DropsQueuedRequest(t *testing.T) {
	w := newTestListener(t)
	conn := w.dial()
	w.beforeWrite.arm()
	fmt.Fprint(conn, get+get)
	w.beforeWrite.wait(t)
	w.waitForConn("both requests have arrived", func(c *clientConn) bool { return len(c.queue) == 1 })
	conn.Close()
	w.waitForConn("the reader has ended", func(c *clientConn) bool { return c.readEnded })
	close(w.beforeWrite.release)
	w.waitFor(func() bool { return w.l.Conns() == 0 })
	if n := w.opened.Load(); n != 1 {
		t.Errorf("%d requests started, want 1", n)
	}
}

func (w *testListener) waitFor(is func() bool) {
	w.t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			w.t.Fatal("timed out waiting for a condition")
		}
	}
}

// A request whose client has disconnected before the request is read is not started, for example
// because its connection waited to be accepted. The test keeps the listener from reading the end of
// the connection itself.
func TestClientLeft_DropsUnreadRequest(t *testing.T) {
	for _, reset := range []bool{false, true} {
		w := newTestListener(t)
		conn := w.idleConn()
		w.afterRead.arm()
		fmt.Fprint(conn, get)
		w.afterRead.wait(t)
		w.beforeRead.arm() // in case the reader reads again
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
		w.waitForConn("the disconnect has arrived", func(c *clientConn) bool { _, gone := peek(c.conn); return gone })
		close(w.afterRead.release)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.waitFor(func() bool { return w.l.Conns() == 0 || w.opened.Load() > 1 })
		}()
		select {
		case <-ended:
		case <-w.beforeRead.reached: // the reader reads again, and cannot see the end of the connection before the request is started or not
			w.waitFor(func() bool { return w.opened.Load() > 1 })
		}
		close(w.beforeRead.release)
		<-ended
		if n := w.opened.Load(); n != 1 {
			t.Errorf("reset %t: %d requests started, want 1", reset, n)
		}
	}
}

// A request that has arrived in part when the listener begins to leave is read completely and
// answered, and its connection ends with the answer.
func TestLeave_AnswersPartialRequest(t *testing.T) {
	w := newTestListener(t)
	conn := w.dial()
	fmt.Fprint(conn, get[:10])
	w.waitForConn("the request has arrived in part", func(c *clientConn) bool { return c.partial })
	w.l.Leave()
	w.closeAllIdle()
	fmt.Fprint(conn, get[10:])
	if m := w.answer(conn); m.Status != 200 || !m.Close {
		t.Errorf("status %d, Connection: close %t; want 200 and true", m.Status, m.Close)
	}
	w.waitFor(func() bool { return w.l.Conns() == 0 })
}

// A client may send bytes without end after a malformed request, so that its disconnect would not
// be noticed: its open query is abandoned after lingerBytes. faultGrace is an hour here.
func TestFlood_AbandonsOpenQuery(t *testing.T) {
	w := newTestListener(t)
	conn := w.dial()
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: x\r\n\r\nwhat now?\r\n\r\n")
	w.waitForConn("the malformed bytes have been read", func(c *clientConn) bool { return c.fault != nil })
	go func() {
		conn.Write(make([]byte, 2*lingerBytes)) // fails once the connection is closed
	}()
	w.waitFor(func() bool { return w.e.OpenQueries() == 0 && w.l.Conns() == 0 })
}

// A listener that closes its socket serves the clients that have already connected. Otherwise a
// connection that waits to be accepted is reset.
func TestCloseSocketServesBacklog(t *testing.T) {
	w := newTestListener(t)
	first := w.idleConn()
	w.beforeAccept.arm()
	var waiting []net.Conn
	for i := range 4 {
		if i == 1 {
			w.beforeAccept.wait(t) // Serve is at its next Accept, with the first of them or before it
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
			t.Errorf("status %d, want 200", m.Status)
		}
	}
	select {
	case err := <-w.served:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Serve did not return after CloseSocket")
	}
	if _, err := first.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v, want EOF", err)
	}
	if conn, err := net.Dial("tcp", w.l.socket.Addr().String()); !errors.Is(err, syscall.ECONNREFUSED) {
		if err == nil {
			conn.Close()
		}
		t.Errorf("dial after CloseSocket: %v, want connection refused", err)
	}
}

// The deadline of a query that arrives when the process may soon be killed is limited to that time.
func TestKillDeadline_BoundsQueryDeadline(t *testing.T) {
	for _, tc := range []struct{ by, deadline, want int64 }{{0, 9e6, 9e6}, {3e6, 9e6, 3e6}, {3e6, 2e6, 2e6}} {
		seen := make(chan int64, 1)
		gatherer := core.New(core.Config{Period: 1, Shards: 1, Classes: []sq.Class{{Name: "c"}}}, deadlineRecorder{seen: seen})
		e := NewEngine(NewClock(), gatherer, PoolConfig{}, platform.Workers{PerConn: 1}, adminapi.NewMetrics(), slog.New(slog.DiscardHandler))
		go e.Run()
		now := e.clock.Now()
		if tc.by > 0 {
			e.SetKillDeadline(now + tc.by)
		}
		e.Open(core.Query{Class: "c", Deadline: now + tc.deadline, Parts: []core.QueryPart{{Weight: 1}}})
		if got := <-seen - now; got != tc.want {
			t.Errorf("%+v: deadline %d", tc, got)
		}
		e.Stop()
	}
}

// deadlineRecorder is a module that records the deadlines of queries.
type deadlineRecorder struct {
	module
	seen chan int64
}

func (m deadlineRecorder) Step(_ int64, events []sq.Event) []sq.Action {
	for _, e := range events {
		if q, ok := e.(sq.Query); ok {
			m.seen <- q.Deadline
		}
	}
	return nil
}
