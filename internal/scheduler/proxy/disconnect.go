package proxy

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// disconnectWatchDelay is how long a request lasts before its client's connection is watched: most requests end before.
const disconnectWatchDelay = 80 * time.Millisecond

// expired is a deadline in the past: it ends reads that wait.
var expired = time.Unix(1, 0)

// disconnectWatch watches the connection of a client while a handler runs, which the HTTP server doesn't.
type disconnectWatch struct {
	conn  net.Conn
	timer *time.Timer
	done  chan struct{} // closed when the watch has ended; never where the timer was stopped before
}

// watchClient returns a context that ends when the client of a request disconnects, so that no worker goes on with the request. The watch
// begins after delay. The handler has to call stop before it answers; stop ends the context too.
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

// stop ends the watch and waits for its goroutine. It leaves the connection without a read deadline: the server sets one before it reads.
// The connection may be closed already; setting a deadline fails then, and the watch has ended by itself.
func (d *disconnectWatch) stop() {
	if d.timer.Stop() {
		return
	}
	_ = d.conn.SetReadDeadline(expired)
	<-d.done
	_ = d.conn.SetReadDeadline(time.Time{})
}

// waitForClose waits until the peer has closed a connection, bytes have arrived on it, or its read deadline has passed. It reports whether the
// peer has closed or reset it. It reads no bytes.
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
	return err == nil && closed // the error is the read deadline that stop has set
}
