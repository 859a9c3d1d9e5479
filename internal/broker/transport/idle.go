package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// isCrowded reports whether idle connections should be closed: when three quarters of the
// connection table are in use, so that new clients need not wait, or when clients keep as many
// connections as they may.
func (l *Listener) isCrowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) >= l.settings.Load().MaxConns*3/4 || l.keptAlive() >= l.settings.Load().MaxKeepAlive
}

// endsAfterAnswer reports whether a connection ends with the current answer: because it was to be
// closed anyway, or because clients keep more connections than MaxKeepAlive. Otherwise clients that
// send one request and keep their connection would exhaust the table. The answer announces the end,
// so that no request crosses it, unlike with a later close. Requests that have already arrived are
// answered first.
func (l *Listener) endsAfterAnswer(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(c.queue) == 0 && (c.endsNext || l.keptAlive() > l.settings.Load().MaxKeepAlive)
}

// keptAlive counts the connections that have had a request and may send another. The caller holds
// the lock.
func (l *Listener) keptAlive() int {
	n := 0
	for c := range l.conns {
		if c.hasRequested && c.fault == nil {
			n++
		}
	}
	return n
}

// evict closes the connection with the highest evictionRank, provided that it is at least minRank;
// among equals, the one that has been idle longest. It prevents old connections and faulty clients
// from keeping new clients out.
func (l *Listener) evict(minRank int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var pick *clientConn
	for c := range l.conns {
		if n := c.evictionRank(now); n >= minRank && (pick == nil || n > pick.evictionRank(now) || n == pick.evictionRank(now) && c.idleSince.Before(pick.idleSince)) {
			pick = c
		}
	}
	if pick != nil {
		pick.evict()
	}
}

// evict ends an idle connection. The caller holds the lock. The connection is closed by its reader,
// since only that goroutine knows that no request has been read: closing it here could cross a
// request that would then be executed without a client to answer.
func (c *clientConn) evict() {
	c.evicted = true
	if c.fault != nil { // its last answer has been sent; the rest of its input is only discarded
		c.conn.Close()
		return
	}
	setReadDeadline(c.conn, time.Unix(1, 0))
}

// continueIfUnread reports whether a connection continues although its read deadline has passed,
// because unread bytes are in the socket. If it was being evicted, it ends with the answer to them.
func (c *clientConn) continueIfUnread() bool {
	if !hasUnread(c.conn) {
		return false
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.cancelEviction()
	return true
}

// cancelEviction keeps a connection open until its next answer. The caller holds the lock.
func (c *clientConn) cancelEviction() {
	c.endsNext = c.endsNext || c.evicted
	c.evicted = false
	setReadDeadline(c.conn, time.Now().Add(c.listener.settings.Load().RequestTimeout))
}

// evictionRank orders connections for evict: 3: has had its error answer; 2: has sent no request
// for a while; 1: long idle; 0: idle; -1: must not be evicted. The caller holds the lock.
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

// startIdleCloser starts a goroutine that closes idle connections: once after has passed, those
// that have been idle for idleCloseMin; once last has passed, all of them. A running one is
// replaced only if the new one begins sooner. The caller holds the lock.
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

// runIdleCloser calls closeIdle at every tick until it is stopped or the listener closes.
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

// closeIdle evicts connections without an open request. It keeps a connection with unread bytes in
// its socket, since closing it would cause a reset, and a new connection that has not sent its
// first request yet for idleCloseMin.
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

// hasUnread reports whether unread bytes are in a connection's socket.
func hasUnread(conn net.Conn) bool {
	waits, _ := peek(conn)
	return waits
}

// peek inspects a connection's socket without consuming data: waits reports unread bytes, gone that
// the far end has closed or reset the connection.
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
