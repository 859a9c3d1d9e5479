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

// Front translates between one client protocol and the broker's queries. It has no sockets. Calls come from many goroutines at a time.
type Front interface {
	// Open turns a request into a query and the function that turns its end into a response, or into a response without a query.
	Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response)
	// Class is the class of a request that the broker has to decide, as far as its header shows; empty for others.
	Class(m *http1.Message) string
	// Fault makes the answer to a request that could not be read or decided on.
	Fault(status int, text string) http1.Response
}

// Splitter is a Front that can split a request into several.
type Splitter interface {
	// Split makes a request of each part, and a way to join their answers; or a response where it can't; or neither.
	Split(m *http1.Message) (parts []*http1.Message, join func([]http1.Response, int64) http1.Response, resp *http1.Response)
}

// ListenerConfig bounds a listener.
type ListenerConfig struct {
	MaxConns int
	// MaxKeepAlive is how many connections clients may keep between requests; with more, answers end their connection.
	MaxKeepAlive int
	// IdleTimeout bounds the wait for a further request, FirstRequestTimeout the time from the accept until the first
	// request is complete, RequestTimeout the time from the first to the last byte of a later one.
	IdleTimeout, FirstRequestTimeout, RequestTimeout time.Duration
	// MaxPartialBytes bounds the bytes of unfinished requests, over all connections.
	MaxPartialBytes int64
	// RetryAfter is the Retry-After of an answer to a request beyond MaxPartialBytes; 0: the answer has none.
	RetryAfter time.Duration
}

const (
	clientReadSize = 4 << 10
	maxPipelined   = 4 // requests that may wait behind the one in work
	// faultGrace is how long requests before unreadable bytes may still take. linger is how long a connection is read
	// on after its last answer, and lingerBytes how much: a close over unread bytes resets the connection, which may
	// destroy an answer on its way.
	faultGrace     = 1500 * time.Millisecond
	linger         = time.Second
	lingerBytes    = 1 << 20
	idleEvictAfter = 2 * time.Second // from then on a connection may be closed to make place for others
	// A listener that ends its connections first lets answers end them. After idleCloseDelay it closes those that
	// have been idle for idleCloseMin, after idleCloseAll all that are idle.
	idleCloseDelay = time.Second
	idleCloseMin   = 500 * time.Millisecond
	idleCloseAll   = 1500 * time.Millisecond
	idleCloseTick  = 50 * time.Millisecond
	// Where no other process accepts the clients, new ones stay away 0.4 s after a listener has begun to leave, and a request later than
	// 0.7 s may find no time for its answer: after leaveCloseDelay all idle connections are closed.
	leaveCloseDelay = 450 * time.Millisecond
	// backlogTimeout is how long a listener that closes its socket still accepts what waits in the backlog.
	backlogTimeout = 20 * time.Millisecond
	noRequestAfter = 300 * time.Millisecond // a client that has not begun a request by then may be evicted
)

// Listener accepts clients' connections and answers their requests. Each connection has one goroutine that reads and, while requests
// are open, one that answers. mu guards the listener's fields below it and the state of all its connections.
type Listener struct {
	settings      atomic.Pointer[listenerSettings]
	engine        *Engine
	log           *slog.Logger
	socket        net.Listener
	leaving       atomic.Bool
	standby       atomic.Bool
	closingSocket atomic.Bool  // CloseSocket was called
	succeeded     atomic.Bool  // another process takes the clients
	lastQuery     atomic.Int64 // when a query last came in
	busyConns     atomic.Int64 // connections with a request being read, decided or answered
	partialBytes  atomic.Int64 // bytes of unfinished requests
	connRemoved   chan struct{}
	faultGrace    time.Duration // the constant, except in tests
	wg            sync.WaitGroup

	done chan struct{} // closed by Close

	mu              sync.Mutex
	closed          bool
	conns           map[*clientConn]bool
	idleCloser      chan struct{} // closed when idle connections may stay again; nil while they may
	idleCloserDelay time.Duration // with rest: how long after its beginning they end
}

// NewListener makes a listener on an open socket; Serve runs it, Close ends it and closes the socket.
func NewListener(l net.Listener, cfg ListenerConfig, e *Engine, f Front, logger *slog.Logger) *Listener {
	listener := &Listener{
		engine: e, log: logger, socket: l, faultGrace: faultGrace, connRemoved: make(chan struct{}, 1),
		conns: map[*clientConn]bool{}, done: make(chan struct{}),
	}
	listener.Reconfigure(cfg, f)
	return listener
}

// listenerSettings are the settings in force, replaced as a whole.
type listenerSettings struct {
	ListenerConfig
	front Front
}

// Reconfigure puts other bounds and another front in force for requests that are read from now on.
func (l *Listener) Reconfigure(cfg ListenerConfig, f Front) {
	l.settings.Store(&listenerSettings{cfg, f})
}

// Serve accepts connections until Close, HandOver or CloseSocket and then returns nil. After a failed accept, as with a full
// descriptor table, it closes an idle connection and backs off.
func (l *Listener) Serve() error {
	const most = time.Second
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
			wait = min(2*wait, most)
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

// waitForRemoval waits until a connection is removed, for d at most.
func (l *Listener) waitForRemoval(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.connRemoved:
	case <-t.C:
	}
}

// addConn starts to serve a connection. It returns false where the table of connections is full.
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

// Leave makes the listener not ready. It goes on accepting and answering; idle connections are closed after leaveCloseDelay.
func (l *Listener) Leave() {
	l.leaving.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(leaveCloseDelay, leaveCloseDelay)
}

// CloseSocket accepts what waits in the socket's backlog and closes the socket. Serve returns then.
func (l *Listener) CloseSocket() {
	l.closingSocket.Store(true)
	if !l.acceptUntil(time.Unix(1, 0)) { // wakes Serve, which looks at what waits itself: its own time for that begins then
		l.socket.Close()
	}
}

// acceptUntil sets the deadline of Accept; false where the socket has none.
func (l *Listener) acceptUntil(by time.Time) bool {
	s, ok := l.socket.(interface{ SetDeadline(time.Time) error })
	return ok && s.SetDeadline(by) == nil
}

// HandOver stops accepting. Each connection ends with its answer, or once it has been idle for a while. Another process may share the
// socket; it stays open there. relief says that this process accepts clients, so that answers need not keep them away.
func (l *Listener) HandOver(relief bool) {
	l.succeeded.Store(relief)
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

// Standby begins or ends a drain. During a drain the listener accepts and answers, but is not ready, and connections end with their
// answer or once they have been idle for a while.
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

// isReady reports whether new clients are welcome, here or at the process that shares the socket.
func (l *Listener) isReady() bool { return l.keepsAlive() || l.succeeded.Load() && !l.standby.Load() }

// Quiet reports whether no request is open and no query has come in since a time in Unix microseconds.
func (l *Listener) Quiet(since int64) bool {
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
