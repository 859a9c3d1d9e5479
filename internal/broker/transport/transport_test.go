package transport

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/platform"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sq "saffronquay"
)

const testTimeout = 20 * time.Second

// bench is a pool whose posts the test runs itself, and what became of its attempts.
type bench struct {
	*pool
	posted chan func(int64)
	ends   map[core.AttemptID]sq.Outcome
}

func newBench() *bench {
	b := &bench{posted: make(chan func(int64), 64), ends: map[core.AttemptID]sq.Outcome{}}
	b.pool = newPool(PoolConfig{ConnectTimeout: 1_000_000, IdleClose: 9_000_000, MaxConns: 4}, platform.Workers{PerConn: 2},
		func(f func(int64)) bool { b.posted <- f; return true })
	b.onReply = func(_ int64, r core.Reply) { b.ends[r.Attempt] = r.Outcome }
	b.afterFunc = func(time.Duration, func()) *time.Timer { return time.NewTimer(0) } // a test says itself when a connection is late
	return b
}

func (b *bench) fleet(now int64, health sq.Health, started int64, address string) {
	b.pool.updateFleet(now, sq.FleetChanged{Servers: []sq.Server{{ID: "s", Health: health, StartedAt: started}}},
		map[sq.ServerID]string{"s": address})
}

// next runs the next post.
func (b *bench) next(t *testing.T, now int64) {
	t.Helper()
	select {
	case f := <-b.posted:
		f(now)
	case <-time.After(testTimeout):
		t.Fatal("nothing was posted")
	}
}

// stalled gives the server a connection that is up and whose writer does not get to its queue of one.
func (b *bench) stalled(t *testing.T) *serverConn {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	s := b.servers["s"]
	c := &serverConn{
		server: s, session: b.dialect.NewSession(""), conn: near, up: true, calls: map[core.AttemptID]*frame{},
		sentAt: map[core.AttemptID]int64{}, written: new(atomic.Int64), writes: newOutbox(1),
	}
	s.conns, b.conns = []*serverConn{c}, 1
	return c
}

func callOf(id core.AttemptID) core.Call {
	return core.Call{Server: "s", Attempts: []core.Attempt{{ID: id, Label: "q", Shard: int(id), Due: 1 << 40}}}
}

// listener accepts connections and hands them to the test.
func acceptor(t *testing.T) (string, chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return l.Addr().String(), conns
}

// What was handed to a writer may be leaving just now. Until the writer has ended, only what it was never
// handed is known not to have run: guards against sending again what must not run twice.
func TestUnsettledWriterMayHaveSent(t *testing.T) {
	for settled, want := range map[bool]sq.Outcome{false: sq.Broken, true: sq.Unreachable} {
		b := newBench()
		b.fleet(0, sq.Ready, 0, "127.0.0.1:1")
		c := b.stalled(t)
		b.call(0, callOf(1))
		b.closeConn(0, c, settled)
		if got, ok := b.ends[1]; !ok || got != want {
			t.Errorf("settled %t: outcome %d %t, want %d", settled, got, ok, want)
		}
	}
}

// A full queue of writes means that the far end takes nothing: a call beyond it was never handed over.
func TestFullQueueNeverRan(t *testing.T) {
	b := newBench()
	b.fleet(0, sq.Ready, 0, "127.0.0.1:1")
	b.stalled(t)
	b.call(0, callOf(1))
	b.call(0, callOf(2))
	if b.ends[1] != sq.Broken || b.ends[2] != sq.Unreachable || len(b.ends) != 2 || b.conns != 0 {
		t.Errorf("%v, %d connections", b.ends, b.conns)
	}
}

// What still waits for a connection when its server drains must not leave any more.
func TestDrainWithdrawsWhatWaits(t *testing.T) {
	address, _ := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(0, callOf(1))
	b.fleet(1, sq.Draining, 0, address)
	if got, ok := b.ends[1]; !ok || got != sq.Unreachable {
		t.Errorf("outcome %d %t", got, ok)
	}
	b.call(2, callOf(2))
	if got, ok := b.ends[2]; !ok || got != sq.Unreachable {
		t.Errorf("a send to a draining server: %d %t", got, ok)
	}
	b.next(t, 3) // the connection comes up, for nobody
	if b.conns != 0 {
		t.Errorf("%d connections are kept", b.conns)
	}
}

// A machine that vanished leaves its connections open and unresponsive: a newer start time ends them.
func TestReplacedProcess(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(10, callOf(1))
	b.next(t, 20)
	far := <-conns
	defer far.Close()
	if _, err := io.ReadFull(far, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	b.fleet(30, sq.Ready, 25, address)
	if got, ok := b.ends[1]; !ok || got != sq.Broken {
		t.Errorf("outcome %d %t", got, ok)
	}
	b.call(40, callOf(2))
	if len(b.servers["s"].conns) != 1 || b.servers["s"].conns[0].openedAt != 40 {
		t.Error("the old connection was used again")
	}
}

// A connection that stayed unresponsive past a timeout takes no further calls, and closes once it is empty.
func TestUnresponsiveConnectionRetires(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(100, callOf(1))
	b.next(t, 100)
	b.call(110, callOf(2))
	far := <-conns
	defer far.Close()
	b.drop(unresponsiveAfter/2, 2)
	old := b.servers["s"].conns[0]
	if old.retired {
		t.Error("retired too soon")
	}
	b.drop(2*unresponsiveAfter, 1)
	if !old.closed {
		t.Error("a silent connection is kept")
	}
}

// Streams bound the calls on a connection; the pool's bound sheds idle connections before it refuses.
func TestStreamsAndBounds(t *testing.T) {
	address, _ := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	for id := core.AttemptID(1); id <= 9; id++ {
		b.call(0, callOf(id))
	}
	if b.conns != 4 || len(b.ends) != 1 || b.ends[9] != sq.Unreachable {
		t.Errorf("%d connections, %v", b.conns, b.ends)
	}
	for range 4 {
		b.next(t, 1)
	}
	b.drop(2, 1)
	b.drop(2, 2)
	b.fleet(3, sq.Ready, 0, address)
	b.pool.updateFleet(3, sq.FleetChanged{Servers: []sq.Server{{ID: "u", Health: sq.Ready}}}, map[sq.ServerID]string{"u": address})
	b.call(4, core.Call{Server: "u", Attempts: []core.Attempt{{ID: 10, Label: "q"}}})
	if _, ended := b.ends[10]; ended || b.conns != 4 || len(b.servers["s"].conns) != 3 {
		t.Errorf("%d connections, %v", b.conns, b.ends)
	}
	b.sweep(20_000_000)
	if len(b.servers["s"].conns) != 3 {
		t.Error("connections with calls out are not idle")
	}
}

type module struct{}

func (module) Step(int64, []sq.Event) []sq.Action { return nil }

func (module) Learned() sq.Learned { return sq.Learned{} }

func (module) Rotation() (listed, out int) { return 3, 1 }

// echo is a front whose requests are answered immediately or, under /held, never.
type echo struct{}

func (echo) Open(m *http1.Message, now int64, _ bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response) {
	if m.Target == "/held" {
		return core.Query{Class: "c", Deadline: now + 1<<40, Parts: []core.QueryPart{{Weight: 1}}}, nil, nil
	}
	return core.Query{}, nil, &http1.Response{Status: 200, Body: []byte("ok")}
}

func (echo) Class(m *http1.Message) string { return strings.TrimPrefix(m.Target, "/") }

func (echo) Fault(status int, text string) http1.Response {
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
	s := NewListener(l, cfg, e, echo{}, quiet)
	go e.Run()
	go s.Serve()
	t.Cleanup(func() { s.Close(); e.Stop() })
	return s, e
}

// Clients that go away with requests queued, open or half sent leave nothing on the listener's count: a
// gatherer that is to end must come to rest.
func TestComesToRest(t *testing.T) {
	l, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	request := func(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for i := range 60 {
		conn, err := net.Dial("tcp", l.socket.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		text := request("/")
		for range i % 5 { // no more than are queued: each is read while the first is open
			text += request("/held")
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(conn, text+"GET /half"[:i%10])
		if i%2 == 0 { // some are gone before, some after the first answer
			io.ReadFull(conn, make([]byte, 12))
		}
		conn.Close()
	}
	end := time.Now().Add(testTimeout)
	for !l.Quiet(e.clock.Now()+1) || e.OpenQueries() > 0 {
		if time.Now().After(end) {
			t.Fatalf("busy %d, held %d", l.busyConns.Load(), e.OpenQueries())
		}
	}
}

// More requests than are queued are not waited for: the client's going would not be seen meanwhile.
func TestTooFarAhead(t *testing.T) {
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
		t.Errorf("nothing was answered: %v", err)
	}
	end := time.Now().Add(testTimeout)
	for !l.Quiet(e.clock.Now()+1) || e.OpenQueries() > 0 {
		if time.Now().After(end) {
			t.Fatalf("busy %d, held %d", l.busyConns.Load(), e.OpenQueries())
		}
	}
}

// A request that is not complete in its time is answered 408 and its connection closed.
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
		t.Errorf("%q, %v", got, err)
	}
}

// Of what is out on a connection with malformed bytes the oldest has failed and the rest is given up; while
// such bytes are seen, calls travel alone, so that one malformed answer takes no other part along.
func TestMalformedBytes(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.lateShare = 1 // beside one that is late to come up no other is opened here
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	b.call(2, callOf(2))
	far := <-conns
	defer far.Close()
	if len(b.servers["s"].conns) != 1 {
		t.Fatalf("%d connections before anything was malformed", len(b.servers["s"].conns))
	}
	fmt.Fprint(far, "\xff\xff\xff\xff")
	b.next(t, 3)
	if b.ends[1] != sq.Errored || b.ends[2] != sq.Stranded || len(b.ends) != 2 || b.conns != 0 {
		t.Errorf("%v, %d connections", b.ends, b.conns)
	}
	b.call(4, callOf(3))
	b.call(4, callOf(4))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections for two calls, while servers send malformed bytes", n)
	}
	b.drop(4+isolationPeriod, 3)
	b.call(4+isolationPeriod, callOf(5))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections after that", n)
	}
}

// An answer that stands still is found out, and its connection takes no call meanwhile.
func TestAnswerThatStandsStill(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	fmt.Fprint(far, "\x00\x00\x00\x20Yq.1 OK")
	b.next(t, 2)
	b.sweep(2 + maxAnswerPause)
	if len(b.ends) != 0 {
		t.Fatalf("ended too soon: %v", b.ends)
	}
	b.drop(3+maxAnswerPause, 1)
	b.call(3+maxAnswerPause, callOf(2))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections: a call follows an unfinished answer", n)
	}
	b.sweep(3 + maxAnswerPause)
	if n := len(b.servers["s"].conns); n != 1 || b.lastLossAt == 0 {
		t.Errorf("%d connections, hurt at %d", n, b.lastLossAt)
	}
}

// An answer that comes byte by byte without an end is found out too, however steady it is, and so that calls don't go on following it. One whose
// predecessors on the connection do end is not.
func TestAnswerThatNeverEnds(t *testing.T) {
	for _, others := range []bool{false, true} {
		address, conns := acceptor(t)
		b := newBench()
		b.fleet(0, sq.Ready, 0, address)
		b.call(1, callOf(1))
		b.next(t, 1)
		b.call(1, callOf(2))
		far := <-conns
		defer far.Close()
		c := b.servers["s"].conns[0]
		now := int64(2)
		for i := range 12 {
			text := string(rune('a' + i))
			if i == 0 {
				text = "\x00\x00\x00\x20Yq.1 OK 1 -\n"
			}
			if others && i == 6 { // the first ends, and the second begins
				text = strings.Repeat("x", 32-len("Yq.1 OK 1 -\n")-5) + "\x00\x00\x00\x20Yq.2 OK 1 -\n"
			}
			fmt.Fprint(far, text)
			b.next(t, now)
			b.sweep(now)
			if now += maxAnswerPause * 2 / 3; c.closed {
				break
			}
		}
		if _, one := b.ends[1]; c.closed == others || !others && b.ends[1] != sq.Errored || others && (!one || b.ends[1] != sq.Served) {
			t.Errorf("others=%t: ended %t, %v", others, c.closed, b.ends)
		}
	}
}

// A server that sends without end has one chunk at a time with the engine, however slow that is.
func TestReadsNoFurtherThanTaken(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	far.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	far.Write(make([]byte, 1<<22)) // as much as the sockets hold
	if n := len(b.posted); n != 1 {
		t.Errorf("%d chunks wait for the engine", n)
	}
}

// Clients that send nothing are disconnected, and so is one whose first request is not completed.
func TestUnresponsiveClient(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: 50 * time.Millisecond, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
		t.Errorf("%q, %v", got, err)
	}
}

// What can't be read behind an open query is answered soon, and the query is given up: a client that breaks the
// rules must not wait for the query's own end.
func TestFaultBehindAnOpenQuery(t *testing.T) {
	l, e := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	conn, err := net.Dial("tcp", l.socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprint(conn, "GET /held HTTP/1.1\r\nHost: x\r\n\r\nwhat now?\r\n\r\n")
	if got, err := io.ReadAll(conn); err != nil || len(got) < 12 || string(got[9:12]) != "400" {
		t.Errorf("%q, %v", got, err)
	}
	if n := e.OpenQueries(); n != 0 {
		t.Errorf("%d queries are held", n)
	}
}

// Unfinished requests hold so many bytes in all; one more gets a Retry-After.
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
				t.Fatalf("%d bytes held", l.partialBytes.Load())
			}
		}
	}
	got, err := io.ReadAll(conns[1])
	if err != nil || len(got) < 12 || string(got[9:12]) != "503" || !strings.Contains(string(got), "\r\nRetry-After: 1\r\n") {
		t.Errorf("%q, %v", got, err)
	}
	conns[0].Close()
	for end := time.Now().Add(testTimeout); l.partialBytes.Load() != 0; {
		if time.Now().After(end) {
			t.Fatalf("%d bytes still held", l.partialBytes.Load())
		}
	}
}

// Which connection is closed to make place for another.
func TestSpareConnections(t *testing.T) {
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		conn clientConn
		want int
	}{
		"has had its error":       {clientConn{fault: &http1.Error{}, idleSince: now}, 3},
		"never said anything":     {clientConn{idleSince: ago(time.Second)}, 2},
		"has just connected":      {clientConn{idleSince: now}, -1},
		"long idle":               {clientConn{hasRequested: true, idleSince: ago(3 * time.Second)}, 1},
		"idle for a moment":       {clientConn{hasRequested: true, idleSince: ago(time.Second)}, 0},
		"waits for an answer":     {clientConn{hasRequested: true, answering: true, idleSince: ago(time.Hour)}, -1},
		"waits, and broke a rule": {clientConn{fault: &http1.Error{}, answering: true, idleSince: ago(time.Hour)}, -1},
		"is sending":              {clientConn{hasRequested: true, partial: true, idleSince: ago(time.Hour)}, -1},
		"is being closed":         {clientConn{evicted: true, idleSince: ago(time.Hour)}, -1},
	} {
		if got := c.conn.evictionRank(now); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// A connection that is unresponsive while its server goes on answering takes no further calls after quietLimit,
// and is given up once enough of them were answered elsewhere; nothing is concluded from a server that is unresponsive altogether.
func TestConnectionThatBecameUnresponsive(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.typicalLatency = 10_000
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	late := 1 + b.quietLimit() + 1
	b.call(late, callOf(2))
	b.next(t, late) // it is up
	second := <-conns
	defer second.Close()
	if n := len(b.servers["s"].conns); n != 2 {
		t.Fatalf("%d connections after quietLimit", n)
	}
	b.sweep(late + unresponsiveAfter)
	if len(b.ends) != 0 {
		t.Fatalf("nothing was answered, and yet %v", b.ends)
	}
	for id := core.AttemptID(2); ; id++ {
		fmt.Fprintf(second, "\x00\x00\x00\x0cYq.%d OK 7 -\n", id)
		b.next(t, late)
		b.sweep(late)
		if id == 1+overtakenLimit {
			break
		}
		if len(b.ends) != int(id)-1 || b.ends[id] != sq.Served {
			t.Fatalf("too soon: %v", b.ends)
		}
		b.call(late, callOf(id+1))
	}
	if b.ends[1] != sq.Stranded || len(b.servers["s"].conns) != 1 {
		t.Errorf("%v, %d connections", b.ends, len(b.servers["s"].conns))
	}
}

// A connection that breaks is one sign of a fault: one of its calls is broken, the others are stranded with it.
// Calls then travel alone, over the idle connection used last.
func TestBrokenConnection(t *testing.T) {
	address, conns := acceptor(t)
	b := newBench()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	b.call(2, callOf(2))
	far := <-conns
	if _, err := io.ReadFull(far, make([]byte, 40)); err != nil { // both frames have left
		t.Fatal(err)
	}
	far.Close()
	for len(b.ends) == 0 {
		b.next(t, 3)
	}
	if b.ends[1] != sq.Broken || b.ends[2] != sq.Stranded {
		t.Errorf("%v", b.ends)
	}
	b.call(4, callOf(3))
	b.call(4, callOf(4))
	b.next(t, 5)
	b.next(t, 6)
	if n := len(b.servers["s"].conns); n != 2 {
		t.Fatalf("%d connections for two calls", n)
	}
	b.drop(7, 3)
	b.drop(8, 4)
	last := b.servers["s"].conns[0]
	last.usedAt = 100
	b.call(101, callOf(5))
	if len(last.calls) != 1 || len(b.servers["s"].conns) != 2 {
		t.Error("the idle connection used last was passed over")
	}
}

// Clients that send one request and keep their connections get answers that end these, beyond MaxKeepAlive; what is kept
// beyond gives way when the table is full, however young it is.
func TestClientsThatKeepTheirConnections(t *testing.T) {
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
			t.Fatalf("client %d: told that its connection ends: %t", i, closing)
		}
		if closing {
			if _, err := conn.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // io.EOF itself is wanted
				t.Fatalf("client %d: %v", i, err)
			}
		}
	}
}

// A connection is not ended over a request that has come in already.
func TestScarceAnswersWhatHasComeIn(t *testing.T) {
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
		t.Errorf("%d answers, %v", n, err)
	}
}

// A listener that is handed over lets a request finish that is arriving, and ends what is idle; the socket itself
// stays open for the other process that holds it. Guards clients against resets while the program is replaced.
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
		t.Fatalf("before: %q %v", answer[:n], err)
	}
	for !l.partial(1) {
		time.Sleep(time.Millisecond)
	}
	l.HandOver(true)
	if !l.isReady() || l.keepsAlive() {
		t.Error("a successor takes the clients, so they are welcome")
	}
	if n, err := idle.Read(answer); err != io.EOF { //nolint:errorlint // io.EOF itself is wanted
		t.Errorf("the idle one got %q %v, want its end", answer[:n], err)
	}
	fmt.Fprint(half, "Host: x\r\n\r\n")
	if got, err := io.ReadAll(half); err != nil || !strings.Contains(string(got), "200 OK") || !strings.Contains(string(got), "Connection: close") {
		t.Errorf("the one arriving got %q %v", got, err)
	}
	for l.Conns() > 0 {
		time.Sleep(time.Millisecond)
	}
	dial("")
	if conn, err := other.Accept(); err != nil {
		t.Errorf("the other process's copy: %v", err)
	} else {
		conn.Close()
	}
}

// What ends idle connections on standby ends with it, and begins anew with the next.
func TestStandbyIsUndone(t *testing.T) {
	l, _ := serve(t, ListenerConfig{MaxConns: 8, MaxKeepAlive: 8, IdleTimeout: testTimeout, FirstRequestTimeout: testTimeout, RequestTimeout: testTimeout, MaxPartialBytes: 1 << 20})
	for range 2 {
		l.Standby(true)
		l.Standby(true)
		rest := l.idleCloser
		if rest == nil || l.isReady() {
			t.Fatal("it does not drain")
		}
		l.Standby(false)
		select {
		case <-rest:
		default:
			t.Error("connections are still being ended")
		}
		if !l.isReady() {
			t.Error("it is not ready again")
		}
	}
}

// partial reports whether so many connections have a request arriving.
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

// An attempt counts as relayed once its call's last byte has left, and not where the server goes before that.
func TestRelayedWhenWritten(t *testing.T) {
	b := newBench()
	b.fleet(0, sq.Ready, 0, "127.0.0.1:1")
	near, far := net.Pipe()
	c := &serverConn{
		server: b.servers["s"], session: b.dialect.NewSession(""), conn: near, up: true,
		calls: map[core.AttemptID]*frame{}, sentAt: map[core.AttemptID]int64{}, written: new(atomic.Int64), writes: newOutbox(4),
	}
	b.servers["s"].conns, b.conns = []*serverConn{c}, 1
	ended := make(chan struct{})
	go func() { b.runConn(c, near); close(ended) }()
	b.call(0, callOf(1))
	head := make([]byte, 4)
	io.ReadFull(far, head)
	io.ReadFull(far, make([]byte, head[3]))
	b.call(0, callOf(2))
	io.ReadFull(far, head[:3])
	far.Close()
	b.next(t, 1)
	<-ended
	if n := b.metrics.Relayed.Load(); n != 1 || b.ends[1] != sq.Broken && b.ends[1] != sq.Stranded || b.ends[2] != sq.Unreachable {
		t.Errorf("relayed %d, ends %v", n, b.ends)
	}
}

// On standby a connection that has just come in has time for its first request, however late it comes.
func TestStandbyServesWhatComes(t *testing.T) {
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
		t.Errorf("%q %v", got, err)
	}
}
