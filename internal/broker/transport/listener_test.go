package transport

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/platform"
	"strings"
	"testing"
	"time"

	sq "saffronquay"
)

const testTimeout = 20 * time.Second

type module struct{}

func (module) Step(int64, []sq.Event) []sq.Action { return nil }

func (module) Snapshot() sq.Snapshot { return sq.Snapshot{} }

func (module) Rotation() (listed, out int) { return 3, 1 }

// echoFront is a front whose requests are answered immediately or, under /held, never.
type echoFront struct{}

func (echoFront) Open(m *http1.Message, now int64, _ bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	if m.Target == "/panic" {
		panic("a fault of the front")
	}
	if m.Target == "/held" {
		return core.Query{Class: "c", Deadline: now + 1<<40, Parts: []core.QueryPart{{Weight: 1}}}, nil, nil
	}
	return core.Query{}, nil, &http1.Response{Status: 200, Body: []byte("ok")}
}

func (echoFront) Class(m *http1.Message) string { return strings.TrimPrefix(m.Target, "/") }

func (echoFront) Fault(status int, text string) http1.Response {
	return http1.Response{Status: status, Body: []byte(text)}
}

func serve(t *testing.T, cfg ListenerConfig) (*Listener, *Engine) {
	gatherer := core.New(core.Config{Period: 1000, Shards: 1, Classes: []sq.Class{{Name: "c"}}}, module{})
	quiet := slog.New(slog.DiscardHandler)
	e := NewEngine(NewClock(), gatherer, PoolConfig{MaxConns: 1, IdleClose: 1 << 40}, platform.Workers{PerConn: 1}, adminapi.NewMetrics(), quiet)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewListener(l, cfg, e, echoFront{}, quiet)
	go e.Run()
	go s.Serve()
	t.Cleanup(func() { s.Close(); e.Stop() })
	return s, e
}

// A panic on one client's request is answered with status 500 and is counted; the process and the
// connection continue.
func TestFrontPanic_AnsweredWith500(t *testing.T) {
	s, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", s.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\nGET /good HTTP/1.1\r\nHost: h\r\n\r\n")
	reader := bufio.NewReader(conn)
	for _, want := range []int{500, 200} {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, answer.Body)
		if answer.StatusCode != want {
			t.Errorf("status %d, want %d", answer.StatusCode, want)
		}
	}
	if n, open := e.metrics.Panics.Load(), e.metrics.OpenRequests.Load(); n != 1 || open != 0 {
		t.Errorf("%d panics, %d open requests; want 1 and 0", n, open)
	}
}

// Clients that disconnect with requests queued, open or half sent leave no request in the
// listener's counts: a gatherer that shuts down waits until they are zero.
func TestQuiet_AfterClientsDisconnect(t *testing.T) {
	l, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	request := func(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for i := range 60 {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := request("/")
		for range i % 5 { // no more than the queue holds: each is read while the first is open
			text += request("/held")
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(conn, text+"GET /half"[:i%10])
		if i%2 == 0 { // some disconnect before the first answer, some after it
			io.ReadFull(conn, make([]byte, 12))
		}
		conn.Close()
	}
	end := time.Now().Add(testTimeout)
	for !l.IdleSince(e.clock.Now()+1) || e.OpenQueries() > 0 {
		if time.Now().After(end) {
			t.Fatalf("%d busy connections, %d open queries; want 0", l.busyConns.Load(), e.OpenQueries())
		}
	}
}

// A connection with more pipelined requests than the queue holds is ended. Waiting for space in the
// queue would hide that the client disconnects.
func TestPipelining_RejectsExcessRequests(t *testing.T) {
	l, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	for range 50 {
		fmt.Fprint(conn, "GET /soon HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	if got, err := io.ReadAll(conn); err != nil && len(got) == 0 {
		t.Errorf("no answer: %v", err)
	}
	end := time.Now().Add(testTimeout)
	for !l.IdleSince(e.clock.Now()+1) || e.OpenQueries() > 0 {
		if time.Now().After(end) {
			t.Fatalf("%d busy connections, %d open queries; want 0", l.busyConns.Load(), e.OpenQueries())
		}
	}
}

// A request that is not complete in time is answered with status 408, and its connection is closed.
func TestSlowRequest(t *testing.T) {
	l, _ := serve(t, ListenerConfig{
		MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: 50 * time.Millisecond, RequestTimeout: 50 * time.Millisecond,
		MaxPartialBytes: 1 << 20,
	})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, "GET / HT")
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	got, err := io.ReadAll(conn)
	if err != nil || len(got) < 12 || string(got[9:12]) != "408" {
		t.Errorf("got %q, %v", got, err)
	}
}

// A client that sends nothing is disconnected after FirstRequestTimeout.
func TestUnresponsiveClient(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: 50 * time.Millisecond, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
		t.Errorf("got %q, %v", got, err)
	}
}

// Malformed bytes behind an open query are answered soon, and the query is abandoned, so that the
// answer does not wait for the query's end.
func TestMalformedRequest_AbandonsOpenQuery(t *testing.T) {
	l, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: x\r\n\r\nwhat now?\r\n\r\n")
	if got, err := io.ReadAll(conn); err != nil || len(got) < 12 || string(got[9:12]) != "400" {
		t.Errorf("got %q, %v", got, err)
	}
	if n := e.OpenQueries(); n != 0 {
		t.Errorf("%d queries are open, want 0", n)
	}
}

// The bytes of incomplete requests are limited in total; a request beyond the limit is answered
// with a Retry-After.
func TestPartialBytesAreBounded(t *testing.T) {
	l, _ := serve(t, ListenerConfig{
		MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 10_000,
		RetryAfter: 500 * time.Millisecond,
	})
	half := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + string(make([]byte, 6000))
	var conns []net.Conn
	for range 2 {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		conns = append(conns, conn)
		fmt.Fprint(conn, half)
		for end := time.Now().Add(testTimeout); l.partialBytes.Load() < 6000; {
			if time.Now().After(end) {
				t.Fatalf("%d bytes of incomplete requests, want 6000", l.partialBytes.Load())
			}
		}
	}
	got, err := io.ReadAll(conns[1])
	if err != nil || len(got) < 12 || string(got[9:12]) != "503" || !strings.Contains(string(got), "\r\nRetry-After: 1\r\n") {
		t.Errorf("got %q, %v", got, err)
	}
	conns[0].Close()
	for end := time.Now().Add(testTimeout); l.partialBytes.Load() != 0; {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of incomplete requests after all connections ended, want 0", l.partialBytes.Load())
		}
	}
}

// evictionRank decides which connection is closed to make room for another.
func TestEvictionRank(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		conn clientConn
		want int
	}{
		"error answered":                {clientConn{fault: &http1.Error{}, idleSince: now}, 3},
		"no request":                    {clientConn{idleSince: ago(time.Second)}, 2},
		"just connected":                {clientConn{idleSince: now}, -1},
		"long idle":                     {clientConn{hasRequested: true, idleSince: ago(3 * time.Second)}, 1},
		"idle":                          {clientConn{hasRequested: true, idleSince: ago(time.Second)}, 0},
		"request open":                  {clientConn{hasRequested: true, answering: true, idleSince: ago(time.Hour)}, -1},
		"request open, malformed bytes": {clientConn{fault: &http1.Error{}, answering: true, idleSince: ago(time.Hour)}, -1},
		"partial request":               {clientConn{hasRequested: true, partial: true, idleSince: ago(time.Hour)}, -1},
		"being evicted":                 {clientConn{evicted: true, idleSince: ago(time.Hour)}, -1},
	} {
		if got := c.conn.evictionRank(now); got != c.want {
			t.Errorf("%s: rank %d, want %d", name, got, c.want)
		}
	}
}

// Beyond MaxKeepAlive, an answer ends its connection, so that clients that send one request and
// keep the connection do not exhaust the table.
func TestMaxKeepAlive_EndsExcessConns(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 4, MaxKeepAlive: 2, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	ask := func() (conn net.Conn, closing bool) {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		p := http1.Parser{Response: true}
		for buf := make([]byte, 1); ; {
			if _, err := conn.Read(buf); err != nil {
				t.Fatal(err)
			}
			p.Feed(buf)
			if m, err := p.Next(); m != nil || err != nil {
				return conn, err == nil && m.Close
			}
		}
	}
	for i := range 12 {
		conn, closing := ask()
		if closing != (i >= 2) {
			t.Fatalf("client %d: Connection: close: %t", i, closing)
		}
		if closing {
			if _, err := conn.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // io.EOF itself is wanted
				t.Fatalf("client %d: %v", i, err)
			}
		}
	}
}

// A connection beyond MaxKeepAlive does not end before requests that have already arrived are
// answered.
func TestMaxKeepAlive_AnswersPipelinedRequests(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 4, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 3))
	got, err := io.ReadAll(conn)
	if n := strings.Count(string(got), "HTTP/1.1 200"); err != nil || n != 3 {
		t.Errorf("%d answers, want 3; %v", n, err)
	}
}

// After a handover the listener completes a request that has arrived in part and closes idle
// connections; the socket stays open for the process that shares it. Clients must not see a reset
// while the program is replaced.
func TestHandOver(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	file, err := l.socket.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	other, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(conn, text)
		return conn
	}
	idle, half := dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), dial("GET / HTTP/1.1\r\n")
	answer := make([]byte, 512)
	if n, err := idle.Read(answer); err != nil || strings.Contains(string(answer[:n]), "Connection: close") {
		t.Fatalf("answer before the handover: %q, %v", answer[:n], err)
	}
	for !l.partial(1) {
		time.Sleep(time.Millisecond)
	}
	l.HandOver(true)
	if !l.isReady() || l.keepsAlive() {
		t.Error("want ready without keep-alive: the successor accepts clients")
	}
	if n, err := idle.Read(answer); err != io.EOF { //nolint:errorlint // io.EOF itself is wanted
		t.Errorf("idle connection: got %q, %v, want EOF", answer[:n], err)
	}
	fmt.Fprint(half, "Host: x\r\n\r\n")
	if got, err := io.ReadAll(half); err != nil || !strings.Contains(string(got), "200 OK") || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("connection with a partial request: got %q, %v", got, err)
	}
	for l.Conns() > 0 {
		time.Sleep(time.Millisecond)
	}
	dial("")
	if conn, err := other.Accept(); err != nil {
		t.Errorf("accept on the other process's socket: %v", err)
	} else {
		conn.Close()
	}
}

// The end of a standby stops the closing of idle connections; the next standby starts it again.
func TestStandby_EndStopsIdleCloser(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	for range 2 {
		l.Standby(true)
		l.Standby(true)
		rest := l.idleCloser
		if rest == nil || l.isReady() {
			t.Fatal("the listener does not drain")
		}
		l.Standby(false)
		select {
		case <-rest:
		default:
			t.Error("idle connections are still being closed")
		}
		if !l.isReady() {
			t.Error("the listener is not ready again")
		}
	}
}

// partial reports whether at least n connections have a partial request.
func (l *Listener) partial(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.partial {
			n--
		}
	}
	return n <= 0
}

// On standby a new connection has time for its first request, however late it arrives.
func TestStandby_ServesNewConn(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	l.Standby(true)
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for l.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	for range 2 {
		l.closeIdle(now, true)
	}
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	conn.SetDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(conn); err != nil || !strings.Contains(string(got), "200 OK") || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("got %q, %v", got, err)
	}
}
