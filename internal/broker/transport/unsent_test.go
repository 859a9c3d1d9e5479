package transport

import (
	"fmt"
	"io"
	"net"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/merge"
	"saffronquay/internal/broker/opensearch"
	"saffronquay/internal/broker/platform"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	sq "saffronquay"
)

// blockedWrite gives the server a connection whose writer is blocked in the frame of call 1, of
// which the far end has read one byte.
func blockedWrite(t *testing.T, b *testPool) (far net.Conn) {
	t.Helper()
	b.dialect = platform.Workers{PerConn: 8}
	b.pool.updateFleet(0, sq.FleetChanged{Servers: []sq.Server{{ID: "s", Health: sq.Ready}}}, map[sq.ServerID]string{"s": "127.0.0.1:1"})
	near, far := net.Pipe()
	c := &serverConn{
		server: b.servers["s"], session: b.dialect.NewSession(""), conn: near, up: true, calls: map[core.AttemptID]*frame{},
		sentAt: map[core.AttemptID]int64{}, written: new(atomic.Int64), writes: newOutbox(8),
	}
	b.servers["s"].conns, b.conns = []*serverConn{c}, 1
	ended := make(chan struct{})
	go func() { b.runConn(c, near); close(ended) }()
	t.Cleanup(func() { far.Close(); <-ended })
	b.call(0, callOf(1))
	if _, err := io.ReadFull(far, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	return far
}

// readFrames reads frames from the far end up to and including upTo, and returns their bodies.
func readFrames(t *testing.T, far net.Conn, upTo string) (frames []string) {
	t.Helper()
	far.SetReadDeadline(time.Now().Add(testTimeout))
	missing := 1 // the first byte of the first frame's length has been read
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(far, head[missing:]); err != nil {
			t.Fatalf("read a frame: %v, after %q", err, frames)
		}
		missing = 0
		body := make([]byte, int(head[2])<<8|int(head[3]))
		if _, err := io.ReadFull(far, body); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, string(body))
		if len(body) > 0 && string(body) == upTo {
			return frames
		}
	}
}

func frameOf(ids ...core.AttemptID) string {
	c := core.Call{}
	for _, id := range ids {
		c.Attempts = append(c.Attempts, callOf(id).Attempts...)
	}
	return string(platform.Workers{PerConn: 1}.NewSession("").Call(nil, c, 0)[4:])
}

// A call that waits behind a blocked write has not been sent: it is removed when its query is over,
// its client has disconnected, its attempt is cancelled or its server drains. A call that is being
// written stays, and so do other attempts of the same call. Otherwise workers work for queries that
// nobody waits for, and frames that were queued in time reach a draining server late.
func TestCancelIfUnsent_CallBehindBlockedWrite(t *testing.T) {
	both := core.Call{Server: "s", Attempts: append(callOf(2).Attempts, callOf(3).Attempts...)}
	for name, tc := range map[string]struct {
		do   func(b *testPool)
		ends map[core.AttemptID]sq.Outcome
		want []string
	}{
		"query over": {
			func(b *testPool) { b.cancelIfUnsent(1, 1); b.cancelIfUnsent(1, 2); b.cancelIfUnsent(1, 3) },
			map[core.AttemptID]sq.Outcome{2: sq.NotSent, 3: sq.NotSent},
			[]string{frameOf(1), frameOf(9)},
		},
		"one of two attempts over": {
			func(b *testPool) { b.cancelIfUnsent(1, 2) },
			map[core.AttemptID]sq.Outcome{2: sq.NotSent},
			[]string{frameOf(1), frameOf(3), frameOf(9)},
		},
		"cancelled": {func(b *testPool) { b.cancelAttempt(1, 2); b.cancelAttempt(1, 3) }, map[core.AttemptID]sq.Outcome{}, []string{frameOf(1), frameOf(9)}},
		"cancelled while being written": {
			func(b *testPool) { b.cancelAttempt(1, 1) },
			map[core.AttemptID]sq.Outcome{},
			[]string{frameOf(1), frameOf(2, 3), "Aq.1", frameOf(9)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestPool()
			far := blockedWrite(t, b)
			b.call(0, both)
			tc.do(b)
			b.call(2, callOf(9))
			got := readFrames(t, far, frameOf(9))
			if len(got) != len(tc.want) || len(b.ends) != len(tc.ends) {
				t.Fatalf("written: %q, want %q; outcomes %v, want %v", got, tc.want, b.ends, tc.ends)
			}
			for i := range got {
				if got[i] != tc.want[i] {
					t.Errorf("written: %q, want %q", got, tc.want)
				}
			}
			for id, o := range tc.ends {
				if b.ends[id] != o {
					t.Errorf("outcomes %v, want %v", b.ends, tc.ends)
				}
			}
		})
	}
	t.Run("server drains", func(t *testing.T) {
		b := newTestPool()
		far := blockedWrite(t, b)
		b.call(0, both)
		b.fleet(1, sq.Draining, 0, "")
		if len(b.ends) != 2 || b.ends[2] != sq.Unreachable || b.ends[3] != sq.Unreachable {
			t.Errorf("outcomes %v", b.ends)
		}
		if got := readFrames(t, far, frameOf(1)); len(got) != 1 {
			t.Errorf("written: %q", got)
		}
		c := b.servers["s"].conns[0]
		if f := c.writes.take(); f != nil {
			t.Errorf("a frame of %d bytes is still queued for a draining server", len(f.bytes))
		}
	})
}

// A call that waits for a connection is removed as well; the connection is then established without
// calls.
func TestCancelIfUnsent_CallWaitingForConn(t *testing.T) {
	address, _ := acceptor(t)
	b := newTestPool()
	b.fleet(0, sq.Ready, 0, address)
	b.call(0, callOf(1))
	b.call(0, callOf(2))
	b.cancelIfUnsent(1, 1)
	if len(b.ends) != 1 || b.ends[1] != sq.NotSent {
		t.Errorf("outcomes %v", b.ends)
	}
	b.cancelIfUnsent(1, 2)
	b.next(t, 2) // the connection is established
	c := b.servers["s"].conns[0]
	if b.ends[2] != sq.NotSent || c.lastWrite != 0 || len(c.calls) != 0 {
		t.Errorf("outcomes %v, %d writes", b.ends, c.lastWrite)
	}
}

// If a connection is late and a call waits for it, one spare is opened; whichever is established
// first gets the call. The other one is kept for later calls.
func TestOpenSpare_LateConn(t *testing.T) {
	for _, spareFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("spareFirst=%t", spareFirst), func(t *testing.T) {
			b := newTestPool()
			ups := make(chan chan net.Conn, 4)
			b.connect = func(string, time.Duration) (net.Conn, error) {
				up := make(chan net.Conn)
				ups <- up
				return <-up, nil
			}
			b.fleet(0, sq.Ready, 0, "s:1")
			establish := func(up chan net.Conn) (frames chan string) {
				near, far := net.Pipe()
				t.Cleanup(func() { far.Close() })
				up <- near
				b.next(t, 30_000)
				frames = make(chan string, 4)
				go func() {
					for {
						head := make([]byte, 4)
						if _, err := io.ReadFull(far, head); err != nil {
							return
						}
						body := make([]byte, head[3])
						io.ReadFull(far, body)
						frames <- string(body)
					}
				}()
				return frames
			}
			b.call(0, callOf(1))
			first := <-ups
			c := b.servers["s"].conns[0]
			b.openSpare(20_000, c)
			spare := <-ups
			b.openSpare(40_000, c) // the timer fires again, and so does that of the spare
			b.openSpare(40_000, b.servers["s"].conns[1])
			if n := len(b.servers["s"].conns); n != 2 {
				t.Fatalf("%d connections, want 2", n)
			}
			one, other := spare, first
			if !spareFirst {
				one, other = first, spare
			}
			got, none := establish(one), establish(other)
			select {
			case f := <-got:
				if !strings.HasPrefix(f, "Rq.1 1 ") {
					t.Errorf("first established connection: got %q", f)
				}
			case <-time.After(testTimeout):
				t.Error("the first established connection got no call")
			}
			b.call(50_000, callOf(2)) // the most loaded connection gets it
			if f := <-got; !strings.HasPrefix(f, "Rq.2 2 ") || len(none) != 0 || b.conns != 2 || len(b.ends) != 0 {
				t.Errorf("second call: got %q; the other connection got %d, %d connections, outcomes %v", f, len(none), b.conns, b.ends)
			}
		})
	}
	b := newTestPool()
	b.connect = func(string, time.Duration) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }
	b.fleet(0, sq.Ready, 0, "s:1")
	b.call(0, callOf(1))
	c := b.servers["s"].conns[0]
	b.cancelIfUnsent(1, 1)
	if b.openSpare(20_000, c); b.conns != 1 {
		t.Error("a spare was opened although no call waits")
	}
	b.call(2, callOf(2))
	b.lateShare = lateShareLimit + 0.01
	if b.openSpare(20_000, c); b.conns != 1 {
		t.Error("a spare was opened although most connections are late")
	}
	b.lateShare = 0
	b.fleet(3, sq.Draining, 0, "")
	if b.openSpare(20_000, c); b.conns > 1 {
		t.Error("a spare was opened to a draining server")
	}
}

// An answer without a length is complete when its connection is closed in order. A reset does not
// complete it.
func TestReset_CompletesNoAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		reset bool
		want  sq.Outcome
	}{"in order": {false, sq.Served}, "reset": {true, sq.Broken}} {
		t.Run(name, func(t *testing.T) {
			address, conns := acceptor(t)
			b := newTestPool()
			b.dialect = opensearch.ServerProtocol{}
			b.fleet(0, sq.Ready, 0, address)
			b.call(0, core.Call{Server: "s", Attempts: []core.Attempt{{ID: 1, Due: 1 << 40, Text: []byte("{}"), Plan: &merge.Plan{}}}})
			b.next(t, 1)
			far := <-conns
			defer far.Close()
			far.SetDeadline(time.Now().Add(testTimeout))
			if _, err := far.Read(make([]byte, 4096)); err != nil {
				t.Fatal(err)
			}
			io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\n"+
				`{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":0,"relation":"eq"},"hits":[]}}`)
			b.next(t, 2) // the whole answer is processed before the connection ends
			if tc.reset {
				far.(*net.TCPConn).SetLinger(0)
			}
			far.Close()
			for len(b.ends) == 0 {
				b.next(t, 3)
			}
			if b.ends[1] != tc.want {
				t.Errorf("outcome %d, want %d", b.ends[1], tc.want)
			}
		})
	}
}
