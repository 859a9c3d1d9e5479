package transport

import (
	"fmt"
	"io"
	"net"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/panicguard"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sq "saffronquay"
)

// testPool is a pool whose posted functions are run by the test, and the outcomes of its attempts.
type testPool struct {
	*pool
	posted chan func(int64)
	ends   map[core.AttemptID]sq.Outcome // outcomes of the attempts that have ended
}

func newTestPool() *testPool {
	b := &testPool{posted: make(chan func(int64), 64), ends: map[core.AttemptID]sq.Outcome{}}
	b.pool = newPool(PoolConfig{ConnectTimeout: 1_000_000, IdleClose: 9_000_000, MaxConns: 4}, platform.Workers{PerConn: 2},
		func(f func(int64)) bool { b.posted <- f; return true })
	b.onReply = func(_ int64, r core.Reply) { b.ends[r.Attempt] = r.Outcome }
	b.afterFunc = func(time.Duration, func()) *time.Timer { return time.NewTimer(0) } // tests decide themselves when a connection is late
	return b
}

func (b *testPool) fleet(now int64, health sq.Health, started int64, address string) {
	b.pool.updateFleet(now, sq.FleetChanged{Servers: []sq.Server{{ID: "s", Health: health, StartedAt: started}}},
		map[sq.ServerID]string{"s": address})
}

// next runs the next posted function.
func (b *testPool) next(t *testing.T, now int64) {
	t.Helper()
	select {
	case f := <-b.posted:
		f(now)
	case <-time.After(testTimeout):
		t.Fatal("nothing was posted")
	}
}

// awaitPosted waits until a function has been posted, without running it.
func (b *testPool) awaitPosted(t *testing.T) {
	t.Helper()
	select {
	case f := <-b.posted:
		b.posted <- f
	case <-time.After(testTimeout):
		t.Fatal("nothing was posted")
	}
}

// stalled adds an established connection to the server, whose writer does not run and whose outbox
// holds one frame.
func (b *testPool) stalled(t *testing.T) *serverConn {
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

// acceptor accepts connections on a new socket and passes them to the test.
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

// A frame that was passed to a writer may be being written. Until the writer has ended, only calls
// that it never received are known not to have run. Otherwise an attempt that must not run twice
// could be sent again.
func TestCloseConn_RunningWriterMayHaveSent(t *testing.T) {
	for writerEnded, want := range map[bool]sq.Outcome{false: sq.Broken, true: sq.Unreachable} {
		b := newTestPool()
		b.fleet(0, sq.Ready, 0, "127.0.0.1:1")
		c := b.stalled(t)
		b.call(0, callOf(1))
		b.closeConn(0, c, writerEnded)
		if got, ok := b.ends[1]; !ok || got != want {
			t.Errorf("writer ended %t: outcome %d, ended %t, want outcome %d", writerEnded, got, ok, want)
		}
	}
}

// A full outbox means that the far end does not read: a further call was never sent and ends as
// Unreachable.
func TestFullOutbox_CallUnreachable(t *testing.T) {
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, "127.0.0.1:1")
	b.stalled(t)
	b.call(0, callOf(1))
	b.call(0, callOf(2))
	if b.ends[1] != sq.Broken || b.ends[2] != sq.Unreachable || len(b.ends) != 2 || b.conns != 0 {
		t.Errorf("outcomes %v, %d connections", b.ends, b.conns)
	}
}

// Calls that wait for a connection when their server drains are not sent any more.
func TestDrain_WithdrawsQueuedCalls(t *testing.T) {
	address, _ := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(0, callOf(1))
	b.fleet(1, sq.Draining, 0, address)
	if got, ok := b.ends[1]; !ok || got != sq.Unreachable {
		t.Errorf("outcome %d, ended %t", got, ok)
	}
	b.call(2, callOf(2))
	if got, ok := b.ends[2]; !ok || got != sq.Unreachable {
		t.Errorf("call to a draining server: outcome %d, ended %t, want Unreachable", got, ok)
	}
	b.next(t, 3) // the connection is established and has no calls
	if b.conns != 0 {
		t.Errorf("%d connections, want 0", b.conns)
	}
}

// A machine that vanished leaves its connections open and unresponsive: a newer start time closes
// them.
func TestReplacedProcess_ClosesConns(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
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
		t.Errorf("outcome %d, ended %t", got, ok)
	}
	b.call(40, callOf(2))
	if len(b.servers["s"].conns) != 1 || b.servers["s"].conns[0].openedAt != 40 {
		t.Error("the old connection was used again")
	}
}

// A connection that has been unresponsive for unresponsiveAfter gets no further calls and is closed
// once it is empty.
func TestUnresponsiveConnectionRetires(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(100, callOf(1))
	b.next(t, 100)
	b.call(110, callOf(2))
	far := <-conns
	defer far.Close()
	b.cancelAttempt(unresponsiveAfter/2, 2)
	old := b.servers["s"].conns[0]
	if old.retired {
		t.Error("retired too soon")
	}
	b.cancelAttempt(2*unresponsiveAfter, 1)
	if !old.closed {
		t.Error("the unresponsive connection was not closed")
	}
}

// Streams limits the calls on a connection. At its limit of connections the pool closes idle ones
// before it refuses a call.
func TestPoolLimits(t *testing.T) {
	address, _ := acceptor(t)
	b := newTestPool()
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
	b.cancelAttempt(2, 1)
	b.cancelAttempt(2, 2)
	b.fleet(3, sq.Ready, 0, address)
	b.pool.updateFleet(3, sq.FleetChanged{Servers: []sq.Server{{ID: "u", Health: sq.Ready}}}, map[sq.ServerID]string{"u": address})
	b.call(4, core.Call{Server: "u", Attempts: []core.Attempt{{ID: 10, Label: "q"}}})
	if _, ended := b.ends[10]; ended || b.conns != 4 || len(b.servers["s"].conns) != 3 {
		t.Errorf("%d connections, %v", b.conns, b.ends)
	}
	b.sweep(20_000_000)
	if len(b.servers["s"].conns) != 3 {
		t.Error("a connection with calls in flight was closed as idle")
	}
}

// Of the attempts on a connection with malformed bytes, the oldest ends as Errored and the others
// as ConnectionClosed. For isolationPeriod after that each call gets its own connection, so that one
// malformed answer affects no other part.
func TestMalformedAnswer_ClosesConn(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.lateShare = 1 // no spares are opened
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	b.call(2, callOf(2))
	far := <-conns
	defer far.Close()
	if len(b.servers["s"].conns) != 1 {
		t.Fatalf("%d connections before the malformed bytes, want 1", len(b.servers["s"].conns))
	}
	fmt.Fprint(far, "\xff\xff\xff\xff")
	b.next(t, 3)
	if b.ends[1] != sq.Errored || b.ends[2] != sq.ConnectionClosed || len(b.ends) != 2 || b.conns != 0 {
		t.Errorf("outcomes %v, %d connections", b.ends, b.conns)
	}
	b.call(4, callOf(3))
	b.call(4, callOf(4))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections for two calls within isolationPeriod, want 2", n)
	}
	b.cancelAttempt(4+isolationPeriod, 3)
	b.call(4+isolationPeriod, callOf(5))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections after isolationPeriod, want 2", n)
	}
}

// A stalled answer is detected, and its connection gets no call in the meantime.
func TestStalledAnswer_ClosesConn(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	fmt.Fprint(far, "\x00\x00\x00\x20Yq.1 OK")
	b.next(t, 2)
	b.sweep(2 + maxAnswerPause)
	if len(b.ends) != 0 {
		t.Fatalf("attempts ended too soon: %v", b.ends)
	}
	b.cancelAttempt(3+maxAnswerPause, 1)
	b.call(3+maxAnswerPause, callOf(2))
	if n := len(b.servers["s"].conns); n != 2 {
		t.Errorf("%d connections, want 2: a call was sent behind an incomplete answer", n)
	}
	b.sweep(3 + maxAnswerPause)
	if n := len(b.servers["s"].conns); n != 1 || b.lastLossAt == 0 {
		t.Errorf("%d connections, want 1; last loss at %d", n, b.lastLossAt)
	}
}

// An answer that arrives byte by byte without an end is detected as well, however steadily it
// arrives. A connection on which earlier answers do end is kept.
func TestEndlessAnswer_ClosesConn(t *testing.T) {
	for _, others := range []bool{false, true} {
		address, conns := acceptor(t)
		b := newTestPool()
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
			if others && i == 6 { // the first answer ends, and the second begins
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
			t.Errorf("others=%t: closed %t, outcomes %v", others, c.closed, b.ends)
		}
	}
}

// Of a server that sends without end, only one chunk at a time waits for the engine, however slow
// the engine is.
func TestReadAnswers_Backpressure(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	if _, err := far.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	b.awaitPosted(t) // a busy machine may take longer than the writes below
	far.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	far.Write(make([]byte, 1<<22)) // more than the socket buffers hold
	if n := len(b.posted); n != 1 {
		t.Errorf("%d chunks wait for the engine, want 1", n)
	}
}

// A connection that is quiet while its server answers on others gets no further calls after
// quietLimit, and is closed once overtakenLimit calls have been answered elsewhere. If the server
// is quiet on all connections, nothing is concluded.
func TestOvertakenConn_Closed(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.typicalLatency = 10_000
	b.call(1, callOf(1))
	b.next(t, 1)
	far := <-conns
	defer far.Close()
	late := 1 + b.quietLimit() + 1
	b.call(late, callOf(2))
	b.next(t, late) // the connection is established
	second := <-conns
	defer second.Close()
	if n := len(b.servers["s"].conns); n != 2 {
		t.Fatalf("%d connections after quietLimit, want 2", n)
	}
	b.sweep(late + unresponsiveAfter)
	if len(b.ends) != 0 {
		t.Fatalf("attempts ended before any answer: %v", b.ends)
	}
	for id := core.AttemptID(2); ; id++ {
		fmt.Fprintf(second, "\x00\x00\x00\x0cYq.%d OK 7 -\n", id)
		b.next(t, late)
		b.sweep(late)
		if id == 1+overtakenLimit {
			break
		}
		if len(b.ends) != int(id)-1 || b.ends[id] != sq.Served {
			t.Fatalf("closed too soon: %v", b.ends)
		}
		b.call(late, callOf(id+1))
	}
	if b.ends[1] != sq.ConnectionClosed || len(b.servers["s"].conns) != 1 {
		t.Errorf("outcomes %v, %d connections", b.ends, len(b.servers["s"].conns))
	}
}

// A broken connection is one sign of a fault: one of its calls ends as Broken, the others as
// ConnectionClosed. After that each call gets a connection of its own, preferably the most recently used
// idle one.
func TestBrokenConn_IsolatesCalls(t *testing.T) {
	address, conns := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(1, callOf(1))
	b.next(t, 1)
	b.call(2, callOf(2))
	far := <-conns
	if _, err := io.ReadFull(far, make([]byte, 40)); err != nil { // both frames have been sent
		t.Fatal(err)
	}
	far.Close()
	for len(b.ends) == 0 {
		b.next(t, 3)
	}
	if b.ends[1] != sq.Broken || b.ends[2] != sq.ConnectionClosed {
		t.Errorf("outcomes %v, want Broken and ConnectionClosed", b.ends)
	}
	b.call(4, callOf(3))
	b.call(4, callOf(4))
	b.next(t, 5)
	b.next(t, 6)
	if n := len(b.servers["s"].conns); n != 2 {
		t.Fatalf("%d connections for two calls, want 2", n)
	}
	b.cancelAttempt(7, 3)
	b.cancelAttempt(8, 4)
	last := b.servers["s"].conns[0]
	last.usedAt = 100
	b.call(101, callOf(5))
	if len(last.calls) != 1 || len(b.servers["s"].conns) != 2 {
		t.Error("the call did not use the most recently used idle connection")
	}
}

// An attempt counts as relayed once the last byte of its call has been written, and not if the
// connection ends before that.
func TestRelayed_CountsWrittenCalls(t *testing.T) {
	b := newTestPool()
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
	if n := b.metrics.Relayed.Load(); n != 1 || b.ends[1] != sq.Broken && b.ends[1] != sq.ConnectionClosed || b.ends[2] != sq.Unreachable {
		t.Errorf("relayed %d, want 1; outcomes %v", n, b.ends)
	}
}

// If the parser panics on a server's answer, the attempt ends as Errored; the process and the
// connection continue.
func TestParserPanic_EndsAttemptErrored(t *testing.T) {
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, "")
	c := b.stalled(t)
	panics := make(chan *panicguard.PanicError, 1)
	b.onPanic = func(p *panicguard.PanicError) { panics <- p }
	c.calls[1], c.sentAt[1] = nil, 0
	b.byAttempt[1] = c
	b.deliver(1, c, core.Reply{Attempt: 1, Outcome: sq.Served, Read: func() core.Reply { panic("a fault of the parser") }})
	b.next(t, 2)
	if b.ends[1] != sq.Errored || len(panics) != 1 || b.conns != 1 {
		t.Errorf("outcomes %v, %d panics, %d connections", b.ends, len(panics), b.conns)
	}
}
