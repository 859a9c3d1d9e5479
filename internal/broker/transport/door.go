package transport

import (
	"errors"
	"log/slog"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/logging"
	"sync"
	"time"
)

const (
	// DoorSockets is how many descriptors the operators' door needs at most, its listener included.
	DoorSockets = 16
	doorTime    = 3 * time.Second        // for a call to come in
	doorLinger  = 500 * time.Millisecond // read on after the answer: a reset would destroy it
	doorBytes   = 4 << 10                // of what is read on
)

// Door answers operators' calls on a listener of its own.
type Door struct {
	net  net.Listener
	desk adminapi.Program
	log  *slog.Logger
	wg   sync.WaitGroup

	mu     sync.Mutex
	closed bool
	callers
}

// callers are the open connections, the oldest first.
type callers []net.Conn

// NewDoor makes a door on an open listener; Serve runs it.
func NewDoor(l net.Listener, d adminapi.Program, logger *slog.Logger) *Door {
	return &Door{net: l, desk: d, log: logger}
}

// Serve accepts callers until Close.
func (d *Door) Serve() {
	for {
		conn, err := d.net.Accept()
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

// admit makes room where it has to. Guards against callers who say nothing and stay: the oldest goes, and one who
// means to call has long been answered by then.
func (d *Door) admit(conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		conn.Close()
		return
	}
	if len(d.callers) >= DoorSockets-1 {
		d.callers[0].Close()
		d.callers = d.callers[1:]
	}
	d.callers = append(d.callers, conn)
	d.wg.Add(1)
	go d.serve(conn)
}

func (d *Door) serve(conn net.Conn) {
	defer d.wg.Done()
	defer d.forget(conn)
	conn.SetDeadline(time.Now().Add(doorTime))
	var call adminapi.Call
	buf := make([]byte, 2*adminapi.MaxCall)
	for {
		n, err := conn.Read(buf)
		answer, done := call.Feed(buf[:n], d.desk)
		if !done && err != nil {
			answer, done = call.End(), true
		}
		if done {
			d.answer(conn, answer)
			return
		}
	}
}

func (d *Door) answer(conn net.Conn, answer []byte) {
	conn.SetDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(answer); err != nil {
		return // nobody reads it
	}
	if half, ok := conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(doorLinger))
	buf := make([]byte, 512)
	for left := doorBytes; left > 0; {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

func (d *Door) forget(conn net.Conn) {
	conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.callers {
		if c == conn {
			d.callers = append(d.callers[:i:i], d.callers[i+1:]...)
			return
		}
	}
}

// Close ends the door and its callers.
func (d *Door) Close() {
	d.net.Close()
	d.mu.Lock()
	d.closed = true
	for _, c := range d.callers {
		c.Close()
	}
	d.mu.Unlock()
	d.wg.Wait()
}
