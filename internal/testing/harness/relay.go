package harness

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	portAttempts      = 32 // to find a port that is free for UDP and TCP
	streamDialTimeout = time.Second
)

// relay is the address at which one member is reached: a UDP and a TCP socket of the same port.
type relay struct {
	net    *Net
	member int
	udp    *net.UDPConn
	tcp    net.Listener

	mu     sync.Mutex
	target netip.AddrPort // not valid: messages lead nowhere
	conns  map[net.Conn]bool
	closed bool
}

// newRelay opens a relay to a member at an address, on a port that the system chooses. Cleanup closes it; its goroutines end then.
func newRelay(t T, n *Net, to int, at netip.Addr) *relay {
	t.Helper()
	for range portAttempts {
		tcp, err := listen(netip.AddrPortFrom(at, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addrPort(tcp.Addr())))
		if err != nil {
			tcp.Close()
			continue
		}
		r := &relay{net: n, member: to, udp: udp, tcp: tcp, conns: map[net.Conn]bool{}}
		go r.forwardDatagrams()
		go r.acceptStreams()
		t.Cleanup(r.close)
		return r
	}
	t.Fatal("no port that UDP and TCP both have free")
	return nil
}

// address returns where the others reach the member.
func (r *relay) address() netip.AddrPort { return addrPort(r.udp.LocalAddr()) }

// setTarget says where the member listens; not valid: nowhere.
func (r *relay) setTarget(at netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = at
}

// currentTarget returns where the member listens; not valid: nowhere.
func (r *relay) currentTarget() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// close closes the sockets and all streams. It does not wait for datagrams that are delayed; these are dropped.
func (r *relay) close() {
	r.udp.Close()
	r.tcp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		c.Close()
	}
}

// forwardDatagrams delivers the datagrams until the relay is closed.
func (r *relay) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		size, src, err := r.udp.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		b := append([]byte(nil), buf[:size]...)
		for _, late := range r.net.copyDelays(src.Addr(), r.member) {
			send := func() {
				if to := r.currentTarget(); to.IsValid() {
					_, _ = r.udp.WriteToUDPAddrPort(b, to) // a datagram may be lost
				}
			}
			if late == 0 {
				send()
			} else {
				time.AfterFunc(late, send)
			}
		}
	}
}

// acceptStreams accepts streams until the relay is closed.
func (r *relay) acceptStreams() {
	for {
		conn, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.forwardStream(conn)
	}
}

// forwardStream connects an accepted stream to the member and copies both directions until one of them ends or a fault cuts them.
func (r *relay) forwardStream(in net.Conn) {
	defer in.Close()
	src := addrPort(in.RemoteAddr()).Addr()
	to := r.currentTarget()
	if _, ok := r.net.streamDelay(src, r.member); !ok || !to.IsValid() {
		return
	}
	out, err := dial(to.String(), streamDialTimeout)
	if err != nil {
		return
	}
	defer out.Close()
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return
	}
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	over := make(chan struct{})
	go func() {
		if r.copyDirection(src, in, out) { // neither side is to wait for the other
			in.Close()
			out.Close()
		}
		close(over)
	}()
	r.copyDirection(src, out, in)
	in.Close()
	out.Close()
	<-over
	r.mu.Lock()
	delete(r.conns, in)
	delete(r.conns, out)
	r.mu.Unlock()
}

// copyDirection copies one direction of a stream until its end, which it passes on. cut is true where a fault or a failed write ended it.
func (r *relay) copyDirection(src netip.Addr, from, to net.Conn) (cut bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			late, ok := r.net.streamDelay(src, r.member)
			if !ok {
				return true
			}
			time.Sleep(late)
			if _, err := to.Write(buf[:n]); err != nil {
				return true
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = half.CloseWrite() // fails where the stream has ended already
			}
			return false
		}
	}
}

// Relay is an address of a process that is no member of the group, behind the same faults.
type Relay struct{ r *relay }

// Relay opens a relay with the index i, which no member has and by which scripts name the process. The process sends from the address at.
func (g *Group) Relay(i int, at netip.Addr) *Relay {
	g.T.Helper()
	g.Net.AddSender(at, i)
	return &Relay{newRelay(g.T, g.Net, i, at)}
}

// Address returns where the members reach the process.
func (r *Relay) Address() netip.AddrPort { return r.r.address() }

// SetTarget says where the process listens; not valid: nowhere.
func (r *Relay) SetTarget(at netip.AddrPort) { r.r.setTarget(at) }
