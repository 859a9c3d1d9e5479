package transport

import (
	"errors"
	"log/slog"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/panicguard"
	"sync"
	"time"
)

const (
	// AdminSockets is how many descriptors the admin endpoint needs at most, its listener included.
	AdminSockets     = 16
	adminCallTimeout = 3 * time.Second        // for a call to come in
	adminLinger      = 500 * time.Millisecond // read on after the answer: a reset would destroy it
	adminLingerBytes = 4 << 10                // of what is read on
)

// AdminListener serves the admin endpoint on a listener of its own. Its methods may be called from any goroutine.
type AdminListener struct {
	socket  net.Listener
	handler adminapi.Program
	log     *slog.Logger
	wg      sync.WaitGroup

	mu     sync.Mutex
	closed bool
	calls  []net.Conn // open connections, the oldest first
}

// NewAdminListener makes an admin listener on an open socket; Serve runs it, Close ends it and closes the socket.
func NewAdminListener(l net.Listener, d adminapi.Program, logger *slog.Logger) *AdminListener {
	return &AdminListener{socket: l, handler: d, log: logger}
}

// Serve accepts callers until Close.
func (d *AdminListener) Serve() {
	for {
		conn, err := d.socket.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logging.Warn(d.log, logging.DoorAccept, "error", err)
			time.Sleep(5 * time.Millisecond)
			continue
		}
		d.admit(conn)
	}
}

// admit serves a connection. Where all descriptors are in use the oldest connection is closed first: guards against callers that
// connect, send nothing and stay.
func (d *AdminListener) admit(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		conn.Close()
		return
	}
	if len(d.calls) >= AdminSockets-1 {
		d.calls[0].Close()
		d.calls = d.calls[1:]
	}
	d.calls = append(d.calls, conn)
	d.wg.Add(1)
	go d.serve(conn)
}

func (d *AdminListener) serve(conn net.Conn) {
	defer d.wg.Done()
	defer d.forget(conn)
	defer panicguard.Contain(func(p *panicguard.PanicError) { // the caller sees a closed connection, which says that its call has no answer
		logging.Error(d.log, logging.Panic, "where", "call of an operator", "error", p.Error(), "stack", string(p.Stack))
	})
	setDeadline(conn, time.Now().Add(adminCallTimeout))
	var call adminapi.Call
	buf := make([]byte, 2*adminapi.MaxCall)
	for {
		n, err := conn.Read(buf)
		answer, done := call.Feed(buf[:n], d.handler)
		if !done && err != nil {
			answer, done = call.End(), true
		}
		if done {
			d.answer(conn, answer)
			return
		}
	}
}

func (d *AdminListener) answer(conn net.Conn, answer []byte) {
	setDeadline(conn, time.Now().Add(writeTimeout))
	if _, err := conn.Write(answer); err != nil {
		return // the caller has left
	}
	if half, ok := conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	setReadDeadline(conn, time.Now().Add(adminLinger))
	buf := make([]byte, 512)
	for left := adminLingerBytes; left > 0; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

func (d *AdminListener) forget(conn net.Conn) {
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.calls {
		if c == conn {
			d.calls = append(d.calls[:i:i], d.calls[i+1:]...)
			return
		}
	}
}

// Close closes the socket and all open calls, and waits until they have ended.
func (d *AdminListener) Close() {
	d.socket.Close()
	d.mu.Lock()
	d.closed = true
	for _, c := range d.calls {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}
