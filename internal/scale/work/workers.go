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

// Config describes a simulated fleet of workers.
type Config struct {
	Workers, Cells int
	Host           string        // loopback address where all of them listen; empty: 127.0.0.1
	Delay          time.Duration // average between a call and its answer; 0: immediate
	Value          int           // bytes in the answer to a part
	Seed           uint64        // of the delays
}

// Counts contains the fleet's counters since its start.
type Counts struct {
	Opened    int64 `json:"opened"` // connections, including those still open
	Open      int64 `json:"open"`
	Calls     int64 `json:"calls"` // frames that carried parts
	Parts     int64 `json:"parts"`
	Cancelled int64 `json:"given_up"`
	Received  int64 `json:"received"` // bytes of complete frames
	Sent      int64 `json:"sent"`     // bytes
	Malformed int64 `json:"spoilt"`   // malformed frames
}

// Workers is a fleet of simulated workers, each with its own listener.
type Workers struct {
	cfg       Config
	addresses []string

	opened, open, calls, parts, cancelled, received, sent, malformed atomic.Int64

	wg   sync.WaitGroup
	done chan struct{} // closed by Close

	mu        sync.Mutex
	listeners []net.Listener
	conns     map[net.Conn]bool
}

const (
	maxFrameBytes     = 1 << 20 // bytes of a call
	writeTimeout      = 2 * time.Second
	frameBuffer       = 2 << 10 // bytes, one buffer per connection
	maxPendingAnswers = 64      // delayed answers per connection
)

// Listen starts a fleet. The caller must call Close.
func Listen(cfg Config) (*Workers, error) {
	if cfg.Workers < 1 || cfg.Cells < 1 || cfg.Value < 0 || cfg.Delay < 0 {
		return nil, fmt.Errorf("work: invalid fleet: %d workers, %d cells, %d bytes per answer, delay %v; want at least 1 worker and 1 cell, and no negative value", cfg.Workers, cfg.Cells, cfg.Value, cfg.Delay)
	}
	if cfg.Host == "" {
		cfg.Host = "127.0.0.1"
	}
	w := &Workers{cfg: cfg, done: make(chan struct{}), conns: map[net.Conn]bool{}}
	for i := range cfg.Workers {
		l, err := net.Listen("tcp", net.JoinHostPort(cfg.Host, "0"))
		if err != nil {
			w.Close()
			return nil, fmt.Errorf("work: listen for worker %d of %d: %w", i, cfg.Workers, err)
		}
		w.listeners, w.addresses = append(w.listeners, l), append(w.addresses, l.Addr().String())
		w.wg.Add(1)
		go w.accept(l, rand.New(rand.NewPCG(cfg.Seed, uint64(i))))
	}
	return w, nil
}

// Close closes all listeners and connections and waits for their goroutines.
func (w *Workers) Close() {
	w.mu.Lock()
	select {
	case <-w.done:
	default:
		close(w.done)
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

// Counts returns the current counters.
func (w *Workers) Counts() Counts {
	return Counts{
		Opened: w.opened.Load(), Open: w.open.Load(), Calls: w.calls.Load(), Parts: w.parts.Load(), Cancelled: w.cancelled.Load(),
		Received: w.received.Load(), Sent: w.sent.Load(), Malformed: w.malformed.Load(),
	}
}

// Address returns the listen address of a worker.
func (w *Workers) Address(i int) string { return w.addresses[i] }

// Name returns the instance ID of a worker in discovery.
func Name(i int) string { return fmt.Sprintf("s-%08x", i) }

func (w *Workers) accept(l net.Listener, rng *rand.Rand) {
	defer w.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return // closed, or out of file descriptors, which the caller has planned for
		}
		seed := rng.Uint64()
		w.mu.Lock()
		select {
		case <-w.done:
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

func (w *Workers) removeConn(conn net.Conn) {
	conn.Close()
	w.open.Add(-1)
	w.mu.Lock()
	delete(w.conns, conn)
	w.mu.Unlock()
}

// serve answers the calls of one connection, immediately or, with a delay, each on its own timer.
func (w *Workers) serve(conn net.Conn, seed uint64) {
	defer w.wg.Done()
	defer w.removeConn(conn)
	r := bufio.NewReaderSize(conn, frameBuffer)
	c := &connWriter{w: w, conn: conn, rng: rand.New(rand.NewPCG(seed, 1))}
	var head [4]byte
	var body []byte
	for {
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n < 1 || n > maxFrameBytes {
			w.malformed.Add(1)
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
				w.malformed.Add(1)
				conn.SetWriteDeadline(time.Now().Add(writeTimeout))
				conn.Write(frame([]byte("Na call that can't be read")))
				return
			}
			w.calls.Add(1)
			w.parts.Add(int64(parts))
			c.answer(answers)
		case 'A':
			w.cancelled.Add(1)
		default:
			w.malformed.Add(1)
			return
		}
	}
}

// connWriter is the writing side of one connection.
type connWriter struct {
	w    *Workers
	conn net.Conn
	rng  *rand.Rand // used by the reading goroutine only

	mu      sync.Mutex
	pending int
}

// answer writes answers immediately, or after a random delay of half to one and a half times the
// mean.
func (c *connWriter) answer(b []byte) {
	d := c.w.cfg.Delay
	if d == 0 {
		c.write(b)
		return
	}
	c.mu.Lock()
	if c.pending >= maxPendingAnswers {
		c.mu.Unlock()
		c.write(b)
		return
	}
	c.pending++
	c.mu.Unlock()
	time.AfterFunc(d/2+time.Duration(c.rng.Int64N(int64(d)+1)), func() {
		c.mu.Lock()
		c.pending--
		c.mu.Unlock()
		c.write(b)
	})
}

// write writes complete frames. Timers may call it concurrently; net.Conn serializes the writes.
func (c *connWriter) write(b []byte) {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(b); err != nil {
		c.conn.Close() // the reader sees the error
		return
	}
	c.w.sent.Add(int64(len(b)))
}

// answers parses a call and encodes the answers to its parts.
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

// value returns a worker's answer for a shard: the shard's number, padded to the given length.
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
