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
	// AdminSockets is the maximum number of descriptors of the admin endpoint, its listener
	// included.
	AdminSockets     = 16
	adminCallTimeout = 3 * time.Second        // for a call to arrive completely
	adminLinger      = 500 * time.Millisecond // for reading on after the answer: a reset would destroy the answer
	adminLingerBytes = 4 << 10                // at most this many bytes are read on
)

// AdminListener serves the admin endpoint on a listener of its own. It is safe for concurrent use.
type AdminListener struct {
	socket  net.Listener
	handler adminapi.Program
	log     *slog.Logger
	wg      sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  []net.Conn // open connections, oldest first
}

// NewAdminListener returns an admin listener on an open socket, which it takes ownership of. Serve
// runs it; Close stops it and closes the socket.
func NewAdminListener(l net.Listener, d adminapi.Program, logger *slog.Logger) *AdminListener {
	return &AdminListener{socket: l, handler: d, log: logger}
}

// Serve accepts connections until Close is called.
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

// admit starts to serve a connection. If all descriptors are in use, it closes the oldest
// connection first, so that callers that connect and send nothing cannot block the endpoint.
func (d *AdminListener) admit(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		conn.Close()
		return
	}
	if len(d.conns) >= AdminSockets-1 {
		d.conns[0].Close()
		d.conns = d.conns[1:]
	}
	d.conns = append(d.conns, conn)
	d.wg.Add(1)
	go d.serve(conn)
}

func (d *AdminListener) serve(conn net.Conn) {
	defer d.wg.Done()
	defer d.forget(conn)
	defer panicguard.Contain(func(p *panicguard.PanicError) { // the closed connection tells the caller that its call was not answered
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
		return // the caller has disconnected
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
	for i, c := range d.conns {
		if c == conn {
			d.conns = append(d.conns[:i:i], d.conns[i+1:]...)
			return
		}
	}
}

// Close closes the socket and all open connections, and waits for their goroutines.
func (d *AdminListener) Close() {
	d.socket.Close()
	d.mu.Lock()
	d.closed = true
	for _, c := range d.conns {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}
