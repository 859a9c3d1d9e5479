package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/logging"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
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
	net           net.Listener
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
		engine: e, log: logger, net: l, faultGrace: faultGrace, connRemoved: make(chan struct{}, 1),
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
		conn, err := l.net.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		var timeout net.Error
		if l.closingSocket.Load() && errors.As(err, &timeout) && timeout.Timeout() {
			if !last && l.acceptUntil(time.Now().Add(backlogTimeout)) {
				last = true
				continue
			}
			l.net.Close()
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

// crowded tells that room is wanted: before the table is full, or each new client would wait for it.
func (l *Listener) isCrowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.settings.Load().MaxConns*3/4 || l.keptAlive() >= l.settings.Load().MaxKeepAlive
}

// ends tells that a connection is to end with the answer that is due: it was to end anyway, or clients keep as many
// connections as they may. Guards against clients that ask once and keep their connection: what they hold is missing to
// those who have yet to ask. Saying so in the answer, unlike closing later, can't cross a request; one that has come in
// already is answered first.
func (l *Listener) endsAfterAnswer(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(c.queue) == 0 && (c.endsNext || l.keptAlive() > l.settings.Load().MaxKeepAlive)
}

// kept counts the connections that have asked and may ask again.
func (l *Listener) keptAlive() int {
	n := 0
	for c := range l.conns {
		if c.hasRequested && c.fault == nil {
			n++
		}
	}
	return n
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

// evict closes the client connection that is missed least, so that neither old connections nor bad clients
// keep new ones out: first one that has had its error, then one that has never said anything, then one that has
// been idle for longest. With least 1 it has to have been idle for long enough.
func (l *Listener) evict(least int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var pick *clientConn
	for c := range l.conns {
		if n := c.evictionRank(now); n >= least && (pick == nil || n > pick.evictionRank(now) || n == pick.evictionRank(now) && c.idleSince.Before(pick.idleSince)) {
			pick = c
		}
	}
	if pick != nil {
		pick.evict()
	}
}

// evict has an idle connection end, under the listener's lock. Its reader ends it, who alone knows that no request has come in: closing
// it from here could cross one that has been read, and that would be sent on without anybody to answer to.
func (c *clientConn) evict() {
	c.evicted = true
	if c.fault != nil { // it has had its last answer, and is only read on
		c.conn.Close()
		return
	}
	c.conn.SetReadDeadline(time.Unix(1, 0))
}

// spared tells a reader whose time is up that the connection goes on all the same: bytes have come. Where it was to be evicted, it
// ends with the answer to them.
func (c *clientConn) continueIfUnread() bool {
	if !hasUnread(c.conn) {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelEviction()
	return true
}

// reprieve lets a connection go on until the next answer, under the listener's lock.
func (c *clientConn) cancelEviction() {
	c.endsNext = c.endsNext || c.evicted
	c.evicted = false
	c.conn.SetReadDeadline(time.Now().Add(c.listener.settings.Load().RequestTimeout))
}

// spare is how little a connection is missed; below nought where it must stay.
func (c *clientConn) evictionRank(now time.Time) int {
	age := now.Sub(c.idleSince)
	switch {
	case c.evicted || c.answering || len(c.queue) > 0 || c.fault == nil && c.partial:
		return -1
	case c.fault != nil:
		return 3
	case !c.hasRequested && age > noRequestAfter:
		return 2
	case c.hasRequested && age > idleEvictAfter:
		return 1
	case c.hasRequested:
		return 0
	}
	return -1
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
		l.net.Close()
	}
}

// acceptUntil bounds the wait for a further connection, where the socket can do so.
func (l *Listener) acceptUntil(by time.Time) bool {
	s, ok := l.net.(interface{ SetDeadline(time.Time) error })
	return ok && s.SetDeadline(by) == nil
}

// HandOver stops accepting and ends each connection with its answer, or once it has been idle for a while. The
// socket may be another process's too: closing it here is all that happens to it. With relief that process takes
// clients, so that this is no time to tell them to stay away.
func (l *Listener) HandOver(relief bool) {
	l.succeeded.Store(relief)
	l.leaving.Store(true)
	l.net.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startIdleCloser(idleCloseDelay, idleCloseAll)
}

// wind begins to end idle connections: after a while those that have been idle for long enough, at last all. One that has begun goes on
// as it is, unless the end is to come sooner.
func (l *Listener) startIdleCloser(after, last time.Duration) {
	if l.closed || l.idleCloser != nil && after >= l.idleCloserDelay {
		return
	}
	if l.idleCloser != nil {
		close(l.idleCloser)
	}
	l.idleCloser, l.idleCloserDelay = make(chan struct{}), after
	l.wg.Add(1)
	go l.runIdleCloser(l.idleCloser, after, last)
}

func (l *Listener) runIdleCloser(stop <-chan struct{}, after, last time.Duration) {
	defer l.wg.Done()
	began := time.Now()
	tick := time.NewTicker(idleCloseTick)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if age := now.Sub(began); age >= after {
				l.closeIdle(now, age >= last)
			}
		case <-stop:
			return
		case <-l.done:
			return
		}
	}
}

// endIdle ends connections without a request arriving or in hand. Guards requests that have come in and that the
// reader has not got to: closing over them would reset the connection under its client; and new connections, whose first
// request is on its way.
func (l *Listener) closeIdle(now time.Time, all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.evicted || c.partial || c.answering || len(c.queue) > 0 || c.fault != nil || hasUnread(c.conn) ||
			(!all || !c.hasRequested) && now.Sub(c.idleSince) < idleCloseMin {
			continue
		}
		c.evict()
	}
}

// unread tells that bytes wait on a connection.
func hasUnread(conn net.Conn) bool {
	waits, _ := peek(conn)
	return waits
}

// peek looks at what waits on a connection without reading it: bytes, or its far end's end.
func peek(conn net.Conn) (waits, gone bool) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false, false
	}
	if rc.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waits, gone = n > 0, n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
	}) != nil {
		return false, false
	}
	return waits, gone
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
func (l *Listener) isReady() bool    { return l.keepsAlive() || l.succeeded.Load() && !l.standby.Load() }

// Quiet tells that no request is in hand and that none has come in since a time, in microseconds.
func (l *Listener) Quiet(since int64) bool {
	return l.busyConns.Load() == 0 && l.lastQuery.Load() < since
}

// Close ends the listener and all its connections.
func (l *Listener) Close() {
	l.net.Close()
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

// clientConn is one client's connection. One goroutine reads, and so sees the client leave; while requests
// wait another answers them, one at a time and in order.
type clientConn struct {
	listener       *Listener
	conn           net.Conn
	accepted       time.Time
	clientGone     chan struct{} // closed when the client has left
	malformed      chan struct{} // closed when it has sent what can't be read
	flooded        chan struct{} // closed when it goes on sending behind that without end
	lastAnswerDone chan struct{} // closed when that has been answered, or can't be any more

	// Under l.mu:
	queue        []*http1.Message
	fault        *http1.Error // what it sent that can't be read; nothing after it is passed on
	faultAt      time.Time
	answering    bool
	partial      bool // a request has begun to come in
	hasRequested bool // a whole request has come in
	evicted      bool // it is to end, unless a request comes in first
	endsNext     bool // the next answer is the last
	readEnded    bool // the reader has ended
	busy         bool
	idleSince    time.Time // when it last became idle
}

// change alters the state under the listener's lock and keeps the count of busy connections.
func (c *clientConn) update(f func()) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	f()
	busy := c.answering || c.partial && !c.readEnded
	if busy == c.busy {
		return
	}
	c.busy = busy
	if busy {
		c.listener.busyConns.Add(1)
	} else {
		c.listener.busyConns.Add(-1)
		c.idleSince = time.Now()
	}
	if !busy && c.fault == nil {
		c.conn.SetReadDeadline(c.idleSince.Add(c.listener.settings.Load().IdleTimeout))
	}
}

func (c *clientConn) read() {
	defer c.listener.wg.Done()
	var held int64
	defer func() {
		c.listener.partialBytes.Add(-held)
		close(c.clientGone)
		over := false
		c.update(func() { c.readEnded, over = true, !c.answering })
		if over {
			c.close()
		}
	}()
	var p http1.Parser
	var head, last *http1.Message // that came in last, and whole
	p.OnHeader = func(m *http1.Message) {
		head = m
		// Nothing else is being written then: clients that wait for this have no request before it open.
		if m.Header.Get("Expect") == "100-continue" && !c.isAnswering() {
			c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // a failure shows at the next read
		}
	}
	buf := make([]byte, clientReadSize)
	c.conn.SetReadDeadline(c.accepted.Add(c.listener.settings.Load().FirstRequestTimeout))
	for {
		n, err := c.conn.Read(buf)
		if n > 0 {
			p.Feed(buf[:n])
			batch, perr := parseComplete(&p)
			if n := len(batch); n > 0 {
				last = batch[n-1]
			}
			now := int64(p.Buffered())
			if c.listener.partialBytes.Add(now-held) > c.listener.settings.Load().MaxPartialBytes && perr == nil && now > 0 {
				// What was not read to its end has not run: trying again is harmless.
				perr = &http1.Error{Status: 503, Text: "too much is coming in at once"}
			}
			held = now
			if head != last {
				c.countFailed(perr, head)
			}
			// Guards servers against requests whose client left before they were read, as where it waited to be accepted.
			if len(batch) > 0 && perr == nil {
				if _, gone := peek(c.conn); gone {
					return
				}
			}
			if c.enqueue(batch, perr, !p.Idle()) {
				c.discardUntilClosed()
				return
			}
		}
		if err != nil {
			var timeout net.Error
			late := errors.As(err, &timeout) && timeout.Timeout()
			if late && p.Idle() && c.continueIfUnread() {
				continue
			}
			if late && !p.Idle() {
				slow := &http1.Error{Status: 408, Text: "the request took too long to come in"}
				if head != last {
					c.countFailed(slow, head)
				}
				c.enqueue(nil, slow, false)
				c.discardUntilClosed()
			}
			return
		}
	}
}

// lost counts requests that end with a fault instead of an answer of their own.
func (c *clientConn) countFailed(fault error, ms ...*http1.Message) {
	if fault == nil {
		return
	}
	e := &http1.Error{Status: 400}
	errors.As(fault, &e)
	for _, m := range ms {
		c.listener.engine.metrics.CountAnswer(c.listener.settings.Load().front.Class(m), e.Status)
	}
}

// whole returns the messages that are complete.
func parseComplete(p *http1.Parser) (batch []*http1.Message, err error) {
	for {
		m, err := p.Next()
		if m == nil || err != nil {
			return batch, err
		}
		batch = append(batch, m)
	}
}

// take hands requests over to be answered, and what can't be read behind them. It never waits: guards against a
// client that fills the queue and leaves, whose going would not be seen while its reader waited for room.
func (c *clientConn) enqueue(batch []*http1.Message, fault error, partial bool) (bad bool) {
	c.update(func() {
		if c.fault != nil { // its last answer has left
			bad = true
			return
		}
		if fault == nil && len(c.queue)+len(batch) > maxPipelined {
			fault = &http1.Error{Status: 400, Text: "too many requests ahead of their answers"}
			c.countFailed(fault, batch...)
			batch = nil
		}
		if c.evicted { // these bytes were on their way from the socket to here
			c.cancelEviction()
		}
		now := time.Now()
		if partial && (!c.partial || len(batch) > 0) && c.hasRequested {
			c.conn.SetReadDeadline(now.Add(c.listener.settings.Load().RequestTimeout))
		}
		c.partial = partial
		c.queue = append(c.queue, batch...)
		c.hasRequested = c.hasRequested || len(batch) > 0
		if fault != nil {
			c.fault, c.faultAt, c.partial = &http1.Error{Status: 400, Text: fault.Error()}, now, false
			errors.As(fault, &c.fault)
			close(c.malformed)
		}
		if !c.answering && (len(c.queue) > 0 || fault != nil) {
			c.answering = true
			c.listener.wg.Add(1)
			go c.answer()
		}
		if c.answering && !partial && fault == nil {
			c.conn.SetReadDeadline(time.Time{}) // an open query is no idle connection
		}
		bad = fault != nil
	})
	return bad
}

// pass reads on past what can't be read, within bounds, so that the client's going is seen and the error
// reaches it. Beyond them its going can't be seen: what it still waits for is given up.
func (c *clientConn) discardUntilClosed() {
	c.conn.SetReadDeadline(time.Now().Add(faultGrace + linger))
	if n, err := io.CopyN(io.Discard, c.conn, lingerBytes); err == nil && n == lingerBytes {
		close(c.flooded)
		<-c.lastAnswerDone
	}
}

func (c *clientConn) isAnswering() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.answering
}

// next is the request to answer next, or the fault to end with; neither where the connection is idle again.
func (c *clientConn) next() (m *http1.Message, fault *http1.Error) {
	c.update(func() {
		switch {
		case c.readEnded && c.fault == nil: // nobody waits: what is queued is not begun
			c.queue, c.answering = nil, false
		case len(c.queue) > 0 && !c.readEnded && (c.fault == nil || time.Since(c.faultAt) < c.listener.faultGrace):
			m, c.queue = c.queue[0], c.queue[1:]
		case c.fault != nil:
			fault = c.fault
			c.countFailed(fault, c.queue...)
			c.queue = nil
		default:
			c.queue, c.answering = nil, false
		}
	})
	return m, fault
}

func (c *clientConn) answer() {
	defer c.listener.wg.Done()
	for {
		m, fault := c.next()
		switch {
		case fault != nil:
			r := c.listener.settings.Load().front.Fault(fault.Status, fault.Text)
			if after := c.listener.settings.Load().RetryAfter; fault.Status == 503 && after > 0 {
				seconds := int64((after + time.Second - 1) / time.Second)
				r.Fields = append(r.Fields, [2]string{"Retry-After", strconv.FormatInt(seconds, 10)})
			}
			c.write(r, true)
			c.finish(true)
			return
		case m == nil:
			c.closeIfReadEnded()
			return
		}
		if last, ok := c.serveRequest(m); last || !ok {
			c.finish(ok)
			return
		}
	}
}

// finish ends the connection after its last answer: at once where nobody reads it, else once the client has
// ended it too or the time to linger is over.
func (c *clientConn) finish(reads bool) {
	over := false
	c.update(func() {
		c.queue = nil
		c.answering, over = false, c.readEnded
		if c.fault == nil {
			// One who was told that the connection ends sends nothing more. Closing over what it has sent already would reset the
			// connection, and the answer with it.
			c.fault, over = &http1.Error{}, over || !hasUnread(c.conn)
		}
	})
	close(c.lastAnswerDone)
	half, ok := c.conn.(interface{ CloseWrite() error })
	switch {
	case over || !reads || !ok || half.CloseWrite() != nil:
		c.close()
	default:
		c.conn.SetReadDeadline(time.Now().Add(linger))
	}
}

// endIfOver closes the connection where its reader has ended meanwhile.
func (c *clientConn) closeIfReadEnded() {
	c.listener.mu.Lock()
	over := c.readEnded && !c.answering
	c.listener.mu.Unlock()
	if over {
		c.close()
	}
}

// close may be called more than once.
func (c *clientConn) close() {
	c.conn.Close()
	c.listener.removeConn(c)
}

func (c *clientConn) write(r http1.Response, last bool) bool {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(r.Append(nil, last))
	return err == nil
}
