package work

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config is a hollow fleet of workers.
type Config struct {
	Workers, Cells int
	Host           string        // of loopback, where all of them listen; empty: 127.0.0.1
	Delay          time.Duration // between a call and its answer, on average; 0: it is answered at once
	Value          int           // bytes that a worker gives for a part
	Seed           uint64        // of the delays
}

// Counts are what a fleet has seen since its start.
type Counts struct {
	Opened   int64 `json:"opened"` // connections, those that are open still included
	Open     int64 `json:"open"`
	Calls    int64 `json:"calls"` // frames that carried parts
	Parts    int64 `json:"parts"`
	GivenUp  int64 `json:"given_up"`
	Received int64 `json:"received"` // bytes, of frames whole
	Sent     int64 `json:"sent"`     // bytes
	Spoilt   int64 `json:"spoilt"`   // frames that could not be read
}

// Workers are hollow workers, each with a listener of its own.
type Workers struct {
	cfg       Config
	addresses []string

	opened, open, calls, parts, givenUp, received, sent, spoilt atomic.Int64

	wg   sync.WaitGroup
	over chan struct{} // closed by Close

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
}

const (
	mostFrame   = 1 << 20 // bytes of a call
	writeWithin = 2 * time.Second
	frameBuffer = 2 << 10 // bytes; one is kept for each connection
	unanswered  = 64      // answers that wait on one connection
)

// Listen opens a fleet; Close ends it.
func Listen(cfg Config) (*Workers, error) {
	if cfg.Workers < 1 || cfg.Cells < 1 || cfg.Value < 0 || cfg.Delay < 0 {
		return nil, fmt.Errorf("%d workers in %d cells, %d bytes and %v an answer make no sense", cfg.Workers, cfg.Cells, cfg.Value, cfg.Delay)
	}
	if cfg.Host == "" {
		cfg.Host = "127.0.0.1"
	}
	w := &Workers{cfg: cfg, over: make(chan struct{}), conns: map[net.Conn]bool{}}
	for i := range cfg.Workers {
		l, err := net.Listen("tcp", net.JoinHostPort(cfg.Host, "0"))
		if err != nil {
			w.Close()
			return nil, fmt.Errorf("worker %d of %d: %w", i, cfg.Workers, err)
		}
		w.listeners, w.addresses = append(w.listeners, l), append(w.addresses, l.Addr().String())
		w.wg.Add(1)
		go w.accept(l, rand.New(rand.NewPCG(cfg.Seed, uint64(i))))
	}
	return w, nil
}

// Close ends all listeners and connections, and waits for them.
func (w *Workers) Close() {
	w.mu.Lock()
	select {
	case <-w.over:
	default:
		close(w.over)
	}
	for _, l := range w.listeners {
		l.Close()
	}
	for c := range w.conns {
		c.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// Counts tells what was seen so far.
func (w *Workers) Counts() Counts {
	return Counts{
		Opened: w.opened.Load(), Open: w.open.Load(), Calls: w.calls.Load(), Parts: w.parts.Load(), GivenUp: w.givenUp.Load(),
		Received: w.received.Load(), Sent: w.sent.Load(), Spoilt: w.spoilt.Load(),
	}
}

// Address is where a worker listens.
func (w *Workers) Address(i int) string { return w.addresses[i] }

// Name is what discovery calls a worker.
func Name(i int) string { return fmt.Sprintf("s-%08x", i) }

func (w *Workers) accept(l net.Listener, rng *rand.Rand) {
	defer w.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed, or out of descriptors: the caller has counted them
		}
		seed := rng.Uint64()
		w.mu.Lock()
		select {
		case <-w.over:
			w.mu.Unlock()
			conn.Close()
			return
		default:
		}
		w.conns[conn] = true
		w.wg.Add(1)
		w.mu.Unlock()
		w.opened.Add(1)
		w.open.Add(1)
		go w.serve(conn, seed)
	}
}

func (w *Workers) forget(conn net.Conn) {
	conn.Close()
	w.open.Add(-1)
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

// serve answers the calls of one connection, at once or, with a delay, each when its own timer says so.
func (w *Workers) serve(conn net.Conn, seed uint64) {
	defer w.wg.Done()
	defer w.forget(conn)
	r := bufio.NewReaderSize(conn, frameBuffer)
	c := &caller{w: w, conn: conn, rng: rand.New(rand.NewPCG(seed, 1))}
	var head [4]byte
	var body []byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n < 1 || n > mostFrame {
			w.spoilt.Add(1)
			return
		}
		if cap(body) < int(n) {
			body = make([]byte, n)
		}
		body = body[:n]
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		w.received.Add(int64(4 + n))
		switch body[0] {
		case 'R':
			answers, parts, ok := w.answers(body[1:])
			if !ok {
				w.spoilt.Add(1)
				conn.SetWriteDeadline(time.Now().Add(writeWithin))
				conn.Write(frame([]byte("Na call that can't be read")))
				return
			}
			w.calls.Add(1)
			w.parts.Add(int64(parts))
			c.answer(answers)
		case 'A':
			w.givenUp.Add(1)
		default:
			w.spoilt.Add(1)
			return
		}
	}
}

// caller is one connection's side that writes.
type caller struct {
	w    *Workers
	conn net.Conn
	rng  *rand.Rand // the reader's

	mu      sync.Mutex
	waiting int
}

// answer writes answers at once, or after a delay drawn from half to one and a half times the mean.
func (c *caller) answer(b []byte) {
	d := c.w.cfg.Delay
	if d == 0 {
		c.write(b)
		return
	}
	c.mu.Lock()
	if c.waiting >= unanswered {
		c.mu.Unlock()
		c.write(b)
		return
	}
	c.waiting++
	c.mu.Unlock()
	time.AfterFunc(d/2+time.Duration(c.rng.Int64N(int64(d)+1)), func() {
		c.mu.Lock()
		c.waiting--
		c.mu.Unlock()
		c.write(b)
	})
}

// write writes whole frames; several timers may, so one at a time is the connection's own business.
func (c *caller) write(b []byte) {
	c.conn.SetWriteDeadline(time.Now().Add(writeWithin))
	if _, err := c.conn.Write(b); err != nil {
		c.conn.Close() // its reader sees that
		return
	}
	c.w.sent.Add(int64(len(b)))
}

// answers reads a call and words the answers to its parts.
func (w *Workers) answers(call []byte) (out []byte, parts int, ok bool) {
	for len(call) > 0 {
		line, rest, found := bytes.Cut(call, []byte{'\n'})
		f := bytes.Fields(line)
		if !found || len(f) != 4 {
			return nil, 0, false
		}
		n, err := strconv.Atoi(string(f[3]))
		if err != nil || n < 0 || n > len(rest) {
			return nil, 0, false
		}
		body := append([]byte{'Y'}, f[0]...)
		body = append(body, " OK 1840277719 backlog=1,utilization=0.61\n"...)
		body = append(body, value(f[1], w.cfg.Value)...)
		out = append(out, frame(body)...)
		call = rest[n:]
		parts++
	}
	return out, parts, parts > 0
}

// value is what a worker gives for a shard: its number in front, and as many bytes as are wanted.
func value(shard []byte, bytes int) []byte {
	v := make([]byte, bytes)
	for i := range v {
		v[i] = 'v'
	}
	copy(v, shard)
	return v
}

func frame(body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
