package proxy

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// disconnectWatchDelay is the time after which the client's connection of a request is watched.
// Most requests end earlier and need no watch.
const disconnectWatchDelay = 80 * time.Millisecond

// pastDeadline is a read deadline in the past, which makes blocked reads return.
var pastDeadline = time.Unix(1, 0)

// disconnectWatch watches the connection of a client while a handler runs, because the HTTP server
// doesn't.
type disconnectWatch struct {
	conn  net.Conn
	timer *time.Timer
	done  chan struct{} // closed when the watch has ended; stays open if the timer was stopped first
}

// watchClient returns a context that is cancelled when the client of a request disconnects, so that
// the worker's call is cancelled as well. The watch starts after delay. The handler must call stop
// before it answers; stop also cancels the context.
func watchClient(ctx *fasthttp.RequestCtx, delay time.Duration) (client context.Context, stop func()) {
	client, cancel := context.WithCancel(context.Background())
	conn, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return client, cancel
	}
	watch := &disconnectWatch{conn: ctx.Conn(), done: make(chan struct{})}
	watch.timer = time.AfterFunc(delay, func() {
		defer close(watch.done)
		if waitForClose(conn) {
			cancel()
		}
	})
	return client, func() {
		watch.stop()
		cancel()
	}
}

// stop ends the watch and waits for its goroutine. It leaves the connection without a read
// deadline: the server sets one before it reads. If the connection is already closed, setting a
// deadline fails and the watch has already ended.
func (d *disconnectWatch) stop() {
	if d.timer.Stop() {
		return
	}
	_ = d.conn.SetReadDeadline(pastDeadline)
	<-d.done
	_ = d.conn.SetReadDeadline(time.Time{})
}

// waitForClose waits until the peer closes the connection, bytes arrive on it, or its read deadline
// passes. It reports whether the peer has closed or reset it. It consumes no bytes.
func waitForClose(conn syscall.Conn) (closed bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Read(func(descriptor uintptr) (done bool) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed // an error means that stop has set the read deadline
}
