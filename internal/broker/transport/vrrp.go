package transport

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/vrrp"
	"time"
)

// VirtualRouter runs a virtual router: it sends VRRP advertisements over UDP to each peer, and
// receives theirs.
type VirtualRouter struct {
	clock   Clock
	machine *vrrp.Machine
	conn    *net.UDPConn
	peers   []netip.AddrPort
	changed func(vrrp.State) // called on Run's goroutine
	log     *slog.Logger
	stop    chan struct{}
	done    chan struct{}
}

// NewVirtualRouter returns a virtual router on an open socket, which it takes ownership of; Run
// runs it. changed receives each new state, on Run's goroutine.
func NewVirtualRouter(clock Clock, cfg vrrp.Config, conn *net.UDPConn, peers []netip.AddrPort,
	changed func(vrrp.State), logger *slog.Logger,
) *VirtualRouter {
	return &VirtualRouter{
		clock: clock, machine: vrrp.New(cfg), conn: conn, peers: peers, changed: changed,
		log: logger, stop: make(chan struct{}), done: make(chan struct{}),
	}
}

type received struct {
	a    vrrp.Advertisement
	from netip.Addr
}

// Run takes part in the election until Stop is called, and then closes the socket.
func (r *VirtualRouter) Run() {
	defer close(r.done)
	in := make(chan received, 64)
	go r.read(in)
	state := r.machine.State()
	r.send(r.machine.Start(r.clock.Now()))
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if now := r.machine.State(); now != state {
			state = now
			logging.Info(r.log, logging.Vrrp, "state", state)
			r.changed(state)
		}
		if at, ok := r.machine.Timer(); ok {
			timer.Reset(time.Duration(max(0, at-r.clock.Now())) * time.Microsecond)
		}
		select {
		case <-timer.C:
			r.send(r.machine.Tick(r.clock.Now()))
		case m := <-in:
			r.send(r.machine.Receive(r.clock.Now(), m.a, m.from))
		case <-r.stop:
			r.send(r.machine.Stop())
			r.conn.Close()
			return
		}
	}
}

// Stop releases the virtual address, ends Run and waits for it.
func (r *VirtualRouter) Stop() {
	close(r.stop)
	<-r.done
}

// read passes on the peers' advertisements until the socket closes. It discards datagrams from
// other senders.
func (r *VirtualRouter) read(in chan<- received) {
	buf := make([]byte, 2048)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-r.done:
				return
			case <-r.stop:
				return
			default:
			}
			// On loopback, a peer that is down causes a read error (connection refused); the socket
			// remains usable.
			logging.Warn(r.log, logging.VrrpRead, "error", err)
			var netErr net.Error
			if !errors.As(err, &netErr) {
				return
			}
			continue
		}
		known := false
		for _, p := range r.peers {
			known = known || p.Addr() == from.Addr().Unmap()
		}
		a, err := vrrp.Parse(buf[:n])
		if !known || err != nil {
			logging.Warn(r.log, logging.VrrpDiscard, "from", from, "known", known, "error", err)
			continue
		}
		select {
		case in <- received{a, from.Addr().Unmap()}:
		case <-r.done:
			return
		}
	}
}

func (r *VirtualRouter) send(a *vrrp.Advertisement) {
	if a == nil {
		return
	}
	b, err := a.Append(nil)
	if err != nil {
		logging.Error(r.log, logging.VrrpSend, "error", err)
		return
	}
	for _, p := range r.peers {
		setWriteDeadline(r.conn, time.Now().Add(writeTimeout))
		if _, err := r.conn.WriteToUDPAddrPort(b, p); err != nil {
			logging.Warn(r.log, logging.VrrpSend, "to", p, "error", err)
		}
	}
}
