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

// A change has to be known 6 s after discovery had it and could be reached, whichever call failed, was refused or was given up just before.
// So the longest duration of a failing call and the longest backoff after it sum up to less, with time left for a call that is
// answered as late as discovery answers any: 1 + 2.25 + 1 s for a watch, 1 + 3 + 1 s for a list, 4.25 + 0.7 s for a watch that
// times out. While nothing answers, a follower's calls come at intervals of a second at least.
const (
	dialTimeout     = time.Second             // the agent is on this machine: it answers immediately or not at all
	answerTimeout   = 2250 * time.Millisecond // until a call is answered: it may wait for two seconds in discovery's queue
	listReadTimeout = time.Second             // between two reads of a full list
	listTimeout     = 3 * time.Second         // for a full list: a peer that trickles is no better than an unresponsive one
	watchTimeout    = 4250 * time.Millisecond // between two complete lines: an empty one comes every 2 s. Then the watch counts as broken
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = time.Second
)

// source is what a follower follows: a full list, and a watch that delivers changes of it, one a line. All methods run on Run's
// goroutine.
type source interface {
	fullPath() string
	watchPath() string
	// applyFull and applyLine apply what an address has sent; after an error the connection is closed.
	applyFull(body []byte, from string) error
	applyLine(text []byte, from string) error
	// watchEnded gets the error that ended a watch.
	watchEnded(error)
}

// statusError is an HTTP status other than the expected 200.
type statusError int

func (s statusError) Error() string { return fmt.Sprintf("status %d", int(s)) }

// follower keeps a watch open at one address at a time, and fetches the full list first where that is needed. It owns the connection
// and passes what it receives to its source, on Run's goroutine.
type follower struct {
	source        source
	log           *slog.Logger
	maxBytes      int           // of a full list or a line
	rng           *rand.Rand    // draws the jitter; nil: none. Run's goroutine owns it
	needsFull     bool          // the full list comes first; Run's goroutine owns it
	onRequest     bool          // each watch needs a request of the module
	watchRequests chan struct{} // with onRequest
	dial          func(ctx context.Context, address string) (net.Conn, error)
	stop          chan struct{}
	done          chan struct{}

	mu      sync.Mutex
	address string
	moved   chan struct{} // closed, and replaced, when the address changes
}

func newFollower(address string, most int, s source, logger *slog.Logger) follower {
	return follower{
		source: s, log: logger, maxBytes: most, address: address, dial: dialPeer, watchRequests: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}), moved: make(chan struct{}),
	}
}

// SetAddress switches to another address immediately. What is known stays in force until the new address has delivered its full list.
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

// target returns the address to watch, and a channel that is closed once it has changed.
func (f *follower) target() (string, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.address, f.moved
}

// Run follows until Stop. After a failure it waits a backoff that grows from watchBackoffMin to watchBackoffMax, or for the next
// request where watches are requested.
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
		case <-moved: // no failure: the next address follows immediately
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

// SetJitterSeed has backoffs spread by random draws from a seed. Call it before Run. Guards a directory that many followers lost at
// the same moment against their reconnecting together.
func (f *follower) SetJitterSeed(seed uint64) { f.rng = rand.New(rand.NewPCG(seed, 0x5eed)) }

// jitter draws a wait from half to one and a half times the backoff.
func (f *follower) jitter(backoff time.Duration) time.Duration {
	if f.rng == nil {
		return backoff
	}
	return backoff/2 + time.Duration(f.rng.Int64N(int64(backoff)+1))
}

// Stop ends Run and waits for its end.
func (f *follower) Stop() {
	close(f.stop)
	<-f.done
}

// watch keeps one watch open until it ends, times out or has to move. received reports that something was received.
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
	// Versions of another address need not continue those heard before: guards against changes that are
	// counted from a list that was never received. The full list comes first there.
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

// readLines passes a watch's answer to the source, line by line, until it ends.
func (f *follower) readLines(conn net.Conn, address string, received bool) (bool, error) {
	p := http1.Parser{Response: true, BodyLimit: f.maxBytes}
	var line []byte
	var fault error
	status := 0
	by := time.Now().Add(answerTimeout)
	alive := func() { by = time.Now().Add(watchTimeout) }
	p.OnHeader = func(m *http1.Message) { status = m.Status; alive() }
	p.OnBody = func(b []byte) {
		line = append(line, b...)
		for fault == nil {
			i := bytes.IndexByte(line, '\n')
			if i < 0 {
				break
			}
			if text := bytes.TrimSpace(line[:i]); len(text) > 0 && status == 200 { // an empty one shows that the peer lives
				fault = f.source.applyLine(text, address)
			}
			line = line[i+1:]
			alive() // by complete lines: a peer that trickles keeps no watch alive
		}
		if len(line) > f.maxBytes {
			fault = fmt.Errorf("an object over %d bytes", f.maxBytes)
		}
	}
	buf := make([]byte, readSize)
	for {
		setReadDeadline(conn, by)
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
			return true, fmt.Errorf("the watch was ended")
		case rerr != nil:
			return received, fmt.Errorf("read: %w", rerr)
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
		return fmt.Errorf("request: %w", err)
	}
	return nil
}

// fetchFull requests the full list and passes it to the source. A list without a length ends with its connection; a reset does not
// complete it.
func (f *follower) fetchFull(conn net.Conn, address string) error {
	if err := sendRequest(conn, f.source.fullPath(), address); err != nil {
		return err
	}
	p := http1.Parser{Response: true, BodyLimit: f.maxBytes}
	buf := make([]byte, readSize)
	end := time.Now().Add(listTimeout)
	for {
		by := time.Now().Add(listReadTimeout)
		if p.Idle() { // it waits in discovery's queue
			by = time.Now().Add(answerTimeout)
		}
		if by.After(end) {
			by = end
		}
		setReadDeadline(conn, by)
		n, rerr := conn.Read(buf)
		p.Feed(buf[:n])
		m, err := p.Next()
		if m == nil && err == nil && errors.Is(rerr, io.EOF) {
			m, err = p.End()
		}
		switch {
		case err != nil:
			return fmt.Errorf("full list: %w", err)
		case m != nil && m.Status != 200:
			return fmt.Errorf("full list: %w", statusError(m.Status))
		case m != nil:
			return f.source.applyFull(m.Body, address)
		case rerr != nil:
			return fmt.Errorf("full list: %w", rerr)
		}
	}
}
