package proxy

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// watchAfter is how long a request has to last before its client's connection is watched: most are over by then.
const disconnectWatchDelay = 80 * time.Millisecond

// departure cancels a request once its client has closed the connection, so that no worker goes on with it. The HTTP server gives no word of
// that while a handler runs.
type disconnectWatch struct {
	conn  net.Conn
	timer *time.Timer
	done  chan struct{} // closed when the watch has ended
}

// untilDeparture returns a context that ends when the client of a request leaves, once the request has lasted for so long. stop has to be
// called before the answer is written.
func watchClient(ctx *fasthttp.RequestCtx, after time.Duration) (within context.Context, stop func()) {
	within, cancel := context.WithCancel(context.Background())
	conn, ok := ctx.Conn().(syscall.Conn)
	if !ok {
		return within, cancel
	}
	d := &disconnectWatch{conn: ctx.Conn(), done: make(chan struct{})}
	d.timer = time.AfterFunc(after, func() {
		defer close(d.done)
		if waitForClose(conn) {
			cancel()
		}
	})
	return within, func() {
		d.stop()
		cancel()
	}
}

// stop ends the watch, and leaves the connection without a deadline for reads: the server sets one before it reads on.
func (d *disconnectWatch) stop() {
	if d.timer.Stop() {
		return
	}
	d.conn.SetReadDeadline(time.Unix(1, 0))
	<-d.done
	d.conn.SetReadDeadline(time.Time{})
}

// closed waits until a connection was closed by its peer, bytes have arrived on it, or a deadline for reads is set. It takes no bytes.
func waitForClose(conn syscall.Conn) (gone bool) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	raw.Read(func(descriptor uintptr) (done bool) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			return false
		}
		gone = err != nil || n == 0
		return true
	})
	return gone
}
