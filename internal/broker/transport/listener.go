package transport

import (
	"errors"
	"log/slog"
	"net"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/logging"
	"sync"
	"sync/atomic"
	"time"
)

// Front translates between one client protocol and the broker's queries. It has no sockets. It must
// be safe for concurrent use.
type Front interface {
	// Open turns a request into a query and a function that turns its final result into a response,
	// or into a response without a query.
	Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response)
	// Class returns the class of a request that the broker has to decide, as far as its header
	// shows it; empty for others.
	Class(m *http1.Message) string
	// Fault returns the response to a request that could not be parsed or decided.
	Fault(status int, text string) http1.Response
}

// Splitter is a Front that can split a request into several.
type Splitter interface {
	// Split returns a request for each part, and a function that joins their responses. It returns
	// a response instead if the request cannot be split, and neither if it need not be.
	Split(m *http1.Message) (parts []*http1.Message, join func([]http1.Response, int64) http1.Response, resp *http1.Response)
}

// ListenerConfig has the limits of a listener.
type ListenerConfig struct {
	MaxConns int
	// MaxKeepAlive is how many connections clients may keep between requests. Beyond it, an answer
	// ends its connection.
	MaxKeepAlive int
	// IdleTimeout bounds the wait for a further request, FirstRequestTimeout the time from the
	// accept until the first request is complete, RequestTimeout the time from the first to the
	// last byte of a later one.
	IdleTimeout, FirstRequestTimeout, RequestTimeout time.Duration
	// MaxPartialBytes bounds the bytes of incomplete requests, over all connections.
	MaxPartialBytes int64
	// RetryAfter is the Retry-After of the answer to a request that exceeds MaxPartialBytes; 0: the
	// answer has none.
	RetryAfter time.Duration
}

const (
	clientReadSize = 4 << 10
	maxPipelined   = 4 // requests that may wait behind the one in progress
	// faultGrace is how long requests before malformed bytes may still run. linger is how long a
	// connection is read after its last answer, and lingerBytes how much is read: closing a
	// connection over unread bytes resets it, which may destroy an answer in transit.
	faultGrace     = 1500 * time.Millisecond
	linger         = time.Second
	lingerBytes    = 1 << 20
	idleEvictAfter = 2 * time.Second // idle for longer, a connection may be closed to make room for others
	// A listener that drains first lets answers end the connections. After idleCloseDelay it closes
	// those that have been idle for idleCloseMin, after idleCloseAll all that are idle.
	idleCloseDelay = time.Second
	idleCloseMin   = 500 * time.Millisecond
	idleCloseAll   = 1500 * time.Millisecond
	idleCloseTick  = 50 * time.Millisecond
	// If no other process accepts the clients, new ones stop arriving 0.4 s after a listener has
	// begun to leave, and a request that arrives later than 0.7 s may be too late to be answered:
	// after leaveCloseDelay all idle connections are closed.
	leaveCloseDelay = 450 * time.Millisecond
	// backlogTimeout is how long a listener that closes its socket still accepts connections from
	// the backlog.
	backlogTimeout = 20 * time.Millisecond
	noRequestAfter = 300 * time.Millisecond // a client that has not begun a request by then may be evicted
)

// Listener accepts client connections and answers their requests. Each connection has one goroutine
// that reads and, while requests are open, one that answers. mu guards the listener's fields below
// it and the state of all its connections.
type Listener struct {
	settings      atomic.Pointer[listenerSettings]
	engine        *Engine
	log           *slog.Logger
	socket        net.Listener
	leaving       atomic.Bool
	standby       atomic.Bool
	closingSocket atomic.Bool  // CloseSocket was called
	succeeded     atomic.Bool  // another process accepts the clients
	lastQuery     atomic.Int64 // when the last query arrived, in Unix microseconds
	busyConns     atomic.Int64 // connections with a request being read, executed or answered
	partialBytes  atomic.Int64 // bytes of incomplete requests
	connRemoved   chan struct{}
	faultGrace    time.Duration // the constant of this name, except in tests
	wg            sync.WaitGroup

	done chan struct{} // closed by Close

	mu              sync.Mutex
	closed          bool
	conns           map[*clientConn]bool
	idleCloser      chan struct{} // closed to stop closing idle connections; nil: it is not running
	idleCloserDelay time.Duration // how long after its start idleCloser begins to close connections
}

// NewListener returns a listener on an open socket, which it takes ownership of. Serve runs it;
// Close stops it and closes the socket.
func NewListener(l net.Listener, cfg ListenerConfig, e *Engine, f Front, logger *slog.Logger) *Listener {
	listener := &Listener{
		engine: e, log: logger, socket: l, faultGrace: faultGrace, connRemoved: make(chan struct{}, 1),
		conns: map[*clientConn]bool{}, done: make(chan struct{}),
	}
	listener.Reconfigure(cfg, f)
	return listener
}

// listenerSettings are the settings in force. They are replaced as a unit.
type listenerSettings struct {
	ListenerConfig
	front Front
}

// Reconfigure applies other limits and another front to requests that are read from now on.
func (l *Listener) Reconfigure(cfg ListenerConfig, f Front) {
	l.settings.Store(&listenerSettings{cfg, f})
}

// Serve accepts connections until Close, HandOver or CloseSocket is called, and then returns nil.
// After a failed accept, for example because the descriptor table is full, it closes an idle
// connection and backs off.
func (l *Listener) Serve() error {
	const maxWait = time.Second
	wait := 5 * time.Millisecond
	for last := false; ; {
		conn, err := l.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var timeout net.Error
		if l.closingSocket.Load() && errors.As(err, &timeout) && timeout.Timeout() {
			if !last && l.acceptUntil(time.Now().Add(backlogTimeout)) {
				last = true
				continue
			}
			l.socket.Close()
			return nil
		}
		if err != nil {
			logging.Warn(l.log, logging.Accept, "error", err)
			l.evict(0)
			l.waitForRemoval(wait)
			wait = min(2*wait, maxWait)
			continue
		}
		wait = 5 * time.Millisecond
		if l.isCrowded() {
			l.evict(1)
		}
		for !l.addConn(conn) {
			l.evict(0)
			l.waitForRemoval(50 * time.Millisecond)
		}
	}
}

// waitForRemoval waits until a connection is removed, for at most d.
func (l *Listener) waitForRemoval(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.connRemoved:
	case <-t.C:
	}
}

// addConn starts to serve a connection. It returns false if the connection table is full.
func (l *Listener) addConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		conn.Close()
		return true
	}
	if len(l.conns) >= l.settings.Load().MaxConns {
		return false
	}
	c := &clientConn{
		listener: l, conn: conn, accepted: time.Now(), idleSince: time.Now(), clientGone: make(chan struct{}),
		malformed: make(chan struct{}), flooded: make(chan struct{}), lastAnswerDone: make(chan struct{}),
	}
	l.conns[c] = true
	l.wg.Add(1)
	go c.read()
	return true
}

func (l *Listener) removeConn(c *clientConn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	select {
	case l.connRemoved <- struct{}{}:
	default:
	}
}

// Leave makes the listener not ready. The listener continues to accept and to answer; idle
// connections are closed after leaveCloseDelay.
func (l *Listener) Leave() {
	l.leaving.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(leaveCloseDelay, leaveCloseDelay)
}

// CloseSocket accepts the connections in the socket's backlog and closes the socket. Serve returns
// then.
func (l *Listener) CloseSocket() {
	l.closingSocket.Store(true)
	if !l.acceptUntil(time.Unix(1, 0)) { // wakes Serve, which then accepts from the backlog for backlogTimeout
		l.socket.Close()
	}
}

// acceptUntil sets the deadline of Accept. It returns false if the socket does not support one.
func (l *Listener) acceptUntil(by time.Time) bool {
	s, ok := l.socket.(interface{ SetDeadline(time.Time) error })
	return ok && s.SetDeadline(by) == nil
}

// HandOver stops accepting. Each connection ends with its answer, or after it has been idle for a
// while. The socket stays open in another process that shares it. If successorAccepts, that process
// accepts clients, so this one still reports that it is ready.
func (l *Listener) HandOver(successorAccepts bool) {
	l.succeeded.Store(successorAccepts)
	l.leaving.Store(true)
	l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(idleCloseDelay, idleCloseAll)
}

// Conns returns the number of open client connections.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Standby begins or ends a drain. During a drain the listener accepts and answers but is not ready,
// and connections end with their answer or after they have been idle for a while.
func (l *Listener) Standby(on bool) {
	l.standby.Store(on)
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.startIdleCloser(idleCloseDelay, idleCloseAll)
	} else if l.idleCloser != nil && !l.leaving.Load() {
		close(l.idleCloser)
		l.idleCloser = nil
	}
}

// keepsAlive reports whether connections stay open after an answer.
func (l *Listener) keepsAlive() bool { return !l.leaving.Load() && !l.standby.Load() }

// isReady reports whether new clients are accepted, by this process or by the one that shares the
// socket.
func (l *Listener) isReady() bool { return l.keepsAlive() || l.succeeded.Load() && !l.standby.Load() }

// IdleSince reports whether no request is open and no query has arrived since the given time in
// Unix microseconds.
func (l *Listener) IdleSince(since int64) bool {
	return l.busyConns.Load() == 0 && l.lastQuery.Load() < since
}

// Close closes the socket and all connections, and waits for their goroutines.
func (l *Listener) Close() {
	l.socket.Close()
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	for c := range l.conns {
		c.conn.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
