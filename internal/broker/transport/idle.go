package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// isCrowded reports whether idle connections should be closed: at three quarters of the table, so that new clients need not wait, or
// where clients keep as many connections as they may.
func (l *Listener) isCrowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.settings.Load().MaxConns*3/4 || l.keptAlive() >= l.settings.Load().MaxKeepAlive
}

// endsAfterAnswer reports whether a connection ends with the present answer: it was to be closed anyway, or clients keep more
// connections than MaxKeepAlive. Guards against clients that ask one thing and keep their connection, which others then lack. The
// answer announces the end, so that no request crosses it, unlike a later close. Requests that have come in already are answered
// first.
func (l *Listener) endsAfterAnswer(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(c.queue) == 0 && (c.endsNext || l.keptAlive() > l.settings.Load().MaxKeepAlive)
}

// keptAlive counts the connections that have had a request and may send another. The lock is held.
func (l *Listener) keptAlive() int {
	n := 0
	for c := range l.conns {
		if c.hasRequested && c.fault == nil {
			n++
		}
	}
	return n
}

// evict closes the connection with the highest evictionRank, and of equal ones the one that has been idle for longest, so that neither
// old connections nor faulty clients keep new ones out. Ranks below least stay.
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

// evict ends an idle connection; the lock is held. The connection's reader closes it, as only that goroutine knows that no request has
// been read: a close from here could cross a request that is then executed without a client to answer to.
func (c *clientConn) evict() {
	c.evicted = true
	if c.fault != nil { // it has had its last answer, and is only read on
		c.conn.Close()
		return
	}
	setReadDeadline(c.conn, time.Unix(1, 0))
}

// continueIfUnread reports whether a connection goes on although its read deadline is over, since bytes wait in the socket. If it was
// to be evicted it ends with the answer to them.
func (c *clientConn) continueIfUnread() bool {
	if !hasUnread(c.conn) {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelEviction()
	return true
}

// cancelEviction lets a connection go on until its next answer; the lock is held.
func (c *clientConn) cancelEviction() {
	c.endsNext = c.endsNext || c.evicted
	c.evicted = false
	setReadDeadline(c.conn, time.Now().Add(c.listener.settings.Load().RequestTimeout))
}

// evictionRank orders connections for evict: 3 has had its error answer, 2 has sent no request for a while, 1 is long idle, 0 is idle,
// -1 must stay. The lock is held.
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

// startIdleCloser starts to close idle connections: from after on those that have been idle for idleCloseMin, from last on all. One
// that runs goes on as it is unless the new one begins sooner. The lock is held.
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

// runIdleCloser runs closeIdle at every tick until it is stopped or the listener closes.
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

// closeIdle evicts connections without an open request. Bytes that wait in the socket keep a connection, since a close over them would
// reset it, and so does a new connection's pending first request for idleCloseMin.
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

// hasUnread reports whether bytes wait in a connection's socket.
func hasUnread(conn net.Conn) bool {
	waits, _ := peek(conn)
	return waits
}

// peek looks at a connection's socket without reading: waits reports that bytes wait, gone that the far end has closed or reset it.
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
