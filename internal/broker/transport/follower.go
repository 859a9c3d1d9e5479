package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/logging"
	"sync"
	"time"
)

// A change must be known within 6 s after discovery has it and is reachable, even if the
// previous call failed, was refused or was abandoned just before. The longest failing call and
// the longest backoff after it therefore add up to less, with time left for a call that is
// answered at discovery's slowest: 1 + 2.25 + 1 s for a watch, 1 + 3 + 1 s for a list, 4.25 +
// 0.7 s for a watch that times out. While discovery does not answer, a follower's calls are at
// least one second apart.
const (
	dialTimeout     = time.Second             // the agent is on this machine: it answers immediately or not at all
	answerTimeout   = 2250 * time.Millisecond // until a call is answered: it may wait 2 s in discovery's queue
	listReadTimeout = time.Second             // between two reads of a full list
	listTimeout     = 3 * time.Second         // for a full list: bounds a peer that sends it in trickles
	watchTimeout    = 4250 * time.Millisecond // between two complete lines, of which the peer sends one every 2 s
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = time.Second
)

// source is what a follower follows: a full list, and a watch that delivers its changes, one per
// line. All methods are called on Run's goroutine.
type source interface {
	fullPath() string
	watchPath() string
	// applyFull and applyLine apply what an address has sent. If they return an error, the
	// connection is closed.
	applyFull(body []byte, from string) error
	applyLine(text []byte, from string) error
	// watchEnded is called with the error that ended a watch.
	watchEnded(error)
}

// statusError is an unexpected HTTP status, that is, any other than 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("HTTP status %d", int(s)) }

// follower keeps a watch open at one address at a time, and first fetches the full list if
// necessary. It owns the connection and passes what it receives to its source, on Run's goroutine.
type follower struct {
	source        source
	log           *slog.Logger
	maxBytes      int           // limit of a full list or a line
	rng           *rand.Rand    // source of the jitter; nil: none; owned by Run's goroutine
	needsFull     bool          // the full list is fetched first; owned by Run's goroutine
	onRequest     bool          // each watch needs a request of the module
	watchRequests chan struct{} // requests, used if onRequest is set
	dial          func(ctx context.Context, address string) (net.Conn, error)
	stop          chan struct{}
	done          chan struct{}

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed, and replaced, when the address changes
}

func newFollower(address string, maxBytes int, s source, logger *slog.Logger) follower {
	return follower{
		source: s, log: logger, maxBytes: maxBytes, address: address, dial: dialPeer, watchRequests: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}), moved: make(chan struct{}),
	}
}

// SetAddress switches to another address immediately. The known state stays in force until the new
// address has delivered its full list.
func (f *follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address = address
	close(f.moved)
	f.moved = make(chan struct{})
}

// target returns the address to watch, and a channel that is closed when the address changes.
func (f *follower) target() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address, f.moved
}

// Run follows the address until Stop is called. After a failure it waits for a backoff that grows
// from watchBackoffMin to watchBackoffMax or, if watches are made on request, for the next request.
func (f *follower) Run() {
	defer close(f.done)
	backoff := watchBackoffMin
	last, _ := f.target()
	for waits := f.onRequest; ; {
		if waits {
			select {
			case <-f.watchRequests:
			case <-f.stop:
				return
			}
		}
		address, moved := f.target()
		if address != last {
			last, f.needsFull, backoff = address, true, watchBackoffMin
		}
		received, err := f.watch(address, moved)
		select {
		case <-f.stop:
			return
		case <-moved: // not a failure: the next address is watched immediately
			waits = false
			logging.Info(f.log, logging.WatchMoved, "from", address)
			continue
		default:
		}
		f.source.watchEnded(err)
		if waits = f.onRequest; waits {
			continue
		}
		if received {
			backoff = watchBackoffMin
		}
		t := time.NewTimer(f.jitter(backoff))
		select {
		case <-t.C:
		case <-moved:
			t.Stop()
		case <-f.stop:
			t.Stop()
			return
		}
		backoff = min(2*backoff, watchBackoffMax)
	}
}

// SetJitterSeed enables jitter on backoffs, drawn from a seed. Call it before Run. Without it,
// followers that lose a directory at the same moment all reconnect together.
func (f *follower) SetJitterSeed(seed uint64) { f.rng = rand.New(rand.NewPCG(seed, 0x5eed)) }

// jitter returns a wait between half the backoff and one and a half times the backoff.
func (f *follower) jitter(backoff time.Duration) time.Duration {
	if f.rng == nil {
		return backoff
	}
	return backoff/2 + time.Duration(f.rng.Int64N(int64(backoff)+1))
}

// Stop ends Run and waits for it.
func (f *follower) Stop() {
	close(f.stop)
	<-f.done
}

// watch keeps one watch open until it ends, times out or the address changes. received reports
// whether anything was received.
func (f *follower) watch(address string, moved <-chan struct{}) (received bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-f.stop:
		case <-moved:
		case <-ctx.Done():
		}
		cancel()
	}()
	conn, err := f.dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// The versions of another address need not continue those of the previous one. The full list is
	// fetched first, so that changes are never applied to a list that was not received.
	if f.needsFull {
		if err := f.fetchFull(conn, address); err != nil {
			return false, err
		}
		f.needsFull, received = false, true
	}
	if err := sendRequest(conn, f.source.watchPath(), address); err != nil {
		return received, err
	}
	return f.readLines(conn, address, received)
}

// readLines passes a watch's response to the source, line by line, until it ends.
func (f *follower) readLines(conn net.Conn, address string, received bool) (bool, error) {
	p := http1.Parser{Response: true, BodyLimit: f.maxBytes}
	var line []byte
	var fault error
	status := 0
	deadline := time.Now().Add(answerTimeout)
	alive := func() { deadline = time.Now().Add(watchTimeout) }
	p.OnHeader = func(m *http1.Message) { status = m.Status; alive() }
	p.OnBody = func(b []byte) {
		line = append(line, b...)
		for fault == nil {
			i := bytes.IndexByte(line, '\n')
			if i < 0 {
				break
			}
			if text := bytes.TrimSpace(line[:i]); len(text) > 0 && status == 200 { // an empty line is a heartbeat
				fault = f.source.applyLine(text, address)
			}
			line = line[i+1:]
			alive() // only complete lines count, so that a peer that trickles bytes does not keep a watch open
		}
		if len(line) > f.maxBytes {
			fault = fmt.Errorf("watch: object exceeds %d bytes", f.maxBytes)
		}
	}
	buf := make([]byte, readSize)
	for {
		setReadDeadline(conn, deadline)
		n, rerr := conn.Read(buf)
		p.Feed(buf[:n])
		m, perr := p.Next()
		switch {
		case perr != nil:
			return received, perr
		case status != 0 && status != 200:
			return received, statusError(status)
		case fault != nil:
			return received, fault
		case m != nil:
			return true, fmt.Errorf("watch: stream closed by the peer")
		case rerr != nil:
			return received, fmt.Errorf("watch: read: %w", rerr)
		}
		received = true
	}
}

// dialPeer connects to an address within dialTimeout.
func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return conn, nil
}

// sendRequest sends a GET request.
func sendRequest(conn net.Conn, target, host string) error {
	setWriteDeadline(conn, time.Now().Add(writeTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, host, nil, nil)); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	return nil
}

// fetchFull requests the full list and passes it to the source. A list without a length ends with
// its connection; a reset does not complete it.
func (f *follower) fetchFull(conn net.Conn, address string) error {
	if err := sendRequest(conn, f.source.fullPath(), address); err != nil {
		return err
	}
	p := http1.Parser{Response: true, BodyLimit: f.maxBytes}
	buf := make([]byte, readSize)
	end := time.Now().Add(listTimeout)
	for {
		deadline := time.Now().Add(listReadTimeout)
		if p.Idle() { // it waits in discovery's queue
			deadline = time.Now().Add(answerTimeout)
		}
		if deadline.After(end) {
			deadline = end
		}
		setReadDeadline(conn, deadline)
		n, rerr := conn.Read(buf)
		p.Feed(buf[:n])
		m, err := p.Next()
		if m == nil && err == nil && errors.Is(rerr, io.EOF) {
			m, err = p.End()
		}
		switch {
		case err != nil:
			return fmt.Errorf("fetch full list: %w", err)
		case m != nil && m.Status != 200:
			return fmt.Errorf("fetch full list: %w", statusError(m.Status))
		case m != nil:
			return f.source.applyFull(m.Body, address)
		case rerr != nil:
			return fmt.Errorf("fetch full list: %w", rerr)
		}
	}
}
