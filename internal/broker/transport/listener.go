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

// Front is one dialect towards clients. It knows no socket.
type Front interface {
	// Open turns a request into a query and the way to word its end, or into a response at once.
	Open(m *http1.Message, now int64, ready bool) (core.Query, func(core.Final, int64) http1.Response, *http1.Response)
	// Class is the class of a request that the broker has to decide, as far as its head tells; empty for others.
	Class(m *http1.Message) string
	// Fault words the answer to a request that could not be read or decided on.
	Fault(status int, text string) http1.Response
}

// Many is a Front some of whose requests are several.
type Splitter interface {
	// Split makes a request of each part, and a way to join their answers; or a response where it can't; or neither.
	Split(m *http1.Message) (parts []*http1.Message, join func([]http1.Response, int64) http1.Response, resp *http1.Response)
}

// ListenerConfig bounds a listener.
type ListenerConfig struct {
	MaxConns int
	// Enough is how many connections clients may keep between requests; with more, answers end their connection.
	MaxKeepAlive int
	// Idle bounds the wait for a further request. First bounds the time from connecting until the first request
	// is whole, Slow the time that a later one may take to come in.
	IdleTimeout, FirstRequestTimeout, RequestTimeout time.Duration
	// MaxHeld bounds the bytes of unfinished requests, over all connections.
	MaxPartialBytes int64
	// RetryAfter is when one who is turned away for that may come back; 0: clients are not told.
	RetryAfter time.Duration
}

const (
	clientReadSize = 4 << 10
	maxPipelined   = 4 // requests that may wait behind the one in work
	// faultGrace is how long what came in before unreadable bytes may still take, linger how long is read on
	// after their answer, and lingerBytes how much: closing over unread bytes resets the connection, which may
	// destroy an answer on its way.
	faultGrace     = 1500 * time.Millisecond
	linger         = time.Second
	lingerBytes    = 1 << 20
	idleEvictAfter = 2 * time.Second // then a connection may be closed where room is wanted
	// Once its connections are to go, a listener first lets answers end them. From restAfter on it closes those that
	// have been idle for restIdle, from restLast on all that are idle.
	idleCloseDelay = time.Second
	idleCloseMin   = 500 * time.Millisecond
	idleCloseAll   = 1500 * time.Millisecond
	idleCloseTick  = 50 * time.Millisecond
	// Where nobody else takes the clients, new ones stay away 0.4 s after a listener has begun to leave, and what comes later than 0.7 s may
	// find no time for its answer: then all that is idle goes at once.
	leaveCloseDelay = 450 * time.Millisecond
	// lastCalls is how long what waits to be accepted is still taken in when a listener closes its socket.
	backlogTimeout = 20 * time.Millisecond
	noRequestAfter = 300 * time.Millisecond // clients that mean to ask do so at once
)

// Listener accepts clients' connections and answers their requests.
type Listener struct {
	settings      atomic.Pointer[listenerSettings]
	engine        *Engine
	log           *slog.Logger
	socket        net.Listener
	leaving       atomic.Bool
	standby       atomic.Bool
	closingSocket atomic.Bool  // it closes its socket once what waits there is accepted
	succeeded     atomic.Bool  // another process takes the clients
	lastQuery     atomic.Int64 // when a query last came in
	busyConns     atomic.Int64 // connections with a request being read, decided or answered
	partialBytes  atomic.Int64 // bytes of unfinished requests
	connRemoved   chan struct{}
	faultGrace    time.Duration // faultGrace, but in tests
	wg            sync.WaitGroup

	done chan struct{} // closed by Close

	mu              sync.Mutex
	closed          bool
	conns           map[*clientConn]bool
	idleCloser      chan struct{} // closed when idle connections may stay again; nil while they may
	idleCloserDelay time.Duration // with rest: how long after its beginning they end
}

// NewListener makes a listener on an open socket; Serve runs it.
func NewListener(l net.Listener, cfg ListenerConfig, e *Engine, f Front, logger *slog.Logger) *Listener {
	listener := &Listener{
		engine: e, log: logger, socket: l, faultGrace: faultGrace, connRemoved: make(chan struct{}, 1),
		conns: map[*clientConn]bool{}, done: make(chan struct{}),
	}
	listener.Reconfigure(cfg, f)
	return listener
}

// terms are what a listener works by.
type listenerSettings struct {
	ListenerConfig
	front Front
}

// Reconfigure puts other bounds and another front in force, for requests that are taken from now on.
func (l *Listener) Reconfigure(cfg ListenerConfig, f Front) {
	l.settings.Store(&listenerSettings{cfg, f})
}

// Serve accepts connections until Close. Errors of accept, such as a full table of descriptors, back off.
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

// pause waits until a connection is freed, for so long at most.
func (l *Listener) waitForRemoval(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-l.connRemoved:
	case <-t.C:
	}
}

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

// Leave makes the listener not ready; it goes on accepting and answering, and soon ends what is idle.
func (l *Listener) Leave() {
	l.leaving.Store(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(leaveCloseDelay, leaveCloseDelay)
}

// LastCalls takes in what waits to be accepted and closes the socket. Serve ends then.
func (l *Listener) CloseSocket() {
	l.closingSocket.Store(true)
	if !l.acceptUntil(time.Unix(1, 0)) { // wakes Serve, which looks at what waits itself: its own time for that begins then
		l.socket.Close()
	}
}

// acceptUntil bounds the wait for a further connection, where the socket can do so.
func (l *Listener) acceptUntil(by time.Time) bool {
	s, ok := l.socket.(interface{ SetDeadline(time.Time) error })
	return ok && s.SetDeadline(by) == nil
}

// HandOver stops accepting and ends each connection with its answer, or once it has been idle for a while. The
// socket may be another process's too: closing it here is all that happens to it. With relief that process takes
// clients, so that this is no time to tell them to stay away.
func (l *Listener) HandOver(relief bool) {
	l.succeeded.Store(relief)
	l.leaving.Store(true)
	l.socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(idleCloseDelay, idleCloseAll)
}

// Conns is how many clients' connections are open.
func (l *Listener) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Standby drains, or ends the drain: it goes on accepting and answering, but is not ready, and connections end with
// their answer or once they have been idle for a while.
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

// stays tells that connections may go on after an answer, ready that new clients are welcome.
func (l *Listener) keepsAlive() bool { return !l.leaving.Load() && !l.standby.Load() }

func (l *Listener) isReady() bool { return l.keepsAlive() || l.succeeded.Load() && !l.standby.Load() }

// Quiet tells that no request is in hand and that none has come in since a time, in microseconds.
func (l *Listener) Quiet(since int64) bool {
	return l.busyConns.Load() == 0 && l.lastQuery.Load() < since
}

// Close ends the listener and all its connections.
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
