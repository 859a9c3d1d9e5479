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
	portAttempts      = 32 // attempts to find a port that is free for both UDP and TCP
	streamDialTimeout = time.Second
)

// relay forwards datagrams and streams to one member. It listens on a UDP and a TCP socket with the
// same port.
type relay struct {
	net    *Net
	member int
	udp    *net.UDPConn
	tcp    net.Listener

	mu     sync.Mutex
	target netip.AddrPort // invalid: messages are dropped
	conns  map[net.Conn]bool
	closed bool
}

// newRelay opens a relay to the member to at the address at, on a port chosen by the system. Cleanup
// closes it, which ends its goroutines.
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
	t.Fatal("open relay: found no port that is free for both UDP and TCP")
	return nil
}

// address returns the address through which the other members reach the member.
func (r *relay) address() netip.AddrPort { return addrPort(r.udp.LocalAddr()) }

// setTarget sets the address to forward to. An invalid address makes the relay drop all messages.
func (r *relay) setTarget(at netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = at
}

// currentTarget returns the address to forward to; invalid if there is none.
func (r *relay) currentTarget() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// close closes the sockets and all streams. Delayed datagrams are dropped.
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

// forwardDatagrams forwards datagrams until the relay is closed.
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
					_, _ = r.udp.WriteToUDPAddrPort(b, to) // datagrams may be lost
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

// forwardStream connects an accepted stream to the member and copies both directions until one of
// them ends or a fault cuts the link.
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
		if r.copyDirection(src, in, out) { // close both, so that neither direction waits for the other
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

// copyDirection copies one direction of a stream until EOF, which it propagates. cut is true if a fault
// or a failed write ended the copy.
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
				_ = half.CloseWrite() // fails if the stream is already closed
			}
			return false
		}
	}
}

// Relay is a relay for a process that is not a member of the group, subject to the same faults.
type Relay struct{ r *relay }

// Relay opens a relay for a process that is not a member. Fault scripts refer to it by the index i,
// which must not be that of a member. The process must send from the address at.
func (g *Group) Relay(i int, at netip.Addr) *Relay {
	g.T.Helper()
	g.Net.AddSender(at, i)
	return &Relay{newRelay(g.T, g.Net, i, at)}
}

// Address returns the address through which the members reach the process.
func (r *Relay) Address() netip.AddrPort { return r.r.address() }

// SetTarget sets the address that the process listens on. An invalid address makes the relay drop all
// messages.
func (r *Relay) SetTarget(at netip.AddrPort) { r.r.setTarget(at) }
