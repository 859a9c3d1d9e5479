package transport

import (
	"errors"
	"net"
	"syscall"
	"time"
)

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
