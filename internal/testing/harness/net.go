package harness

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"saffronquay/internal/testing/faults"
	"sync"
	"time"
)

// Net stands between the processes of a group: each is reached by the others through a relay of its own, which knows senders by the
// loopback addresses that they send from, and treats what passes as the faults that hold say.
type Net struct {
	mu      sync.Mutex
	links   faults.Links
	rng     *rand.Rand
	senders map[netip.Addr]int // sender by address

	// Passed, Lost count datagrams.
	passed, lost int
}

// NewNet makes one whose chance is seeded.
func NewNet(seed uint64) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 0x7e1a)), senders: map[netip.Addr]int{}}
}

// Know says which member sends from an address.
func (n *Net) AddSender(a netip.Addr, member int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.senders[a] = member
}

// Begin has a fault hold; Expire ends those that are over.
func (n *Net) Begin(x faults.Step) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.Begin(x)
}

// Expire ends the faults that are over at a time of the script.
func (n *Net) Expire(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links.Expire(now)
}

// Clear ends all faults.
func (n *Net) Clear() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links = faults.Links{}
}

// Counts are the datagrams that passed and those that were lost.
func (n *Net) Counts() (passed, lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed, n.lost
}

// fate is what becomes of one datagram: when each copy arrives.
func (n *Net) copyDelays(src netip.Addr, to int) (after []time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.senders[src.Unmap()]
	if !known {
		n.lost++
		return nil
	}
	k := n.links.Between(from, to)
	if k.Cut || k.Loss > 0 && n.rng.Float64() < k.Loss {
		n.lost++
		return nil
	}
	n.passed++
	after = append(after, n.randomDelay(k))
	if k.Repeat > 0 && n.rng.Float64() < k.Repeat {
		after = append(after, n.randomDelay(k)+time.Duration(n.rng.Int64N(int64(3*time.Second))))
	}
	return after
}

func (n *Net) randomDelay(k faults.Link) time.Duration {
	if k.Delay == 0 {
		return 0
	}
	return k.Delay + time.Duration(n.rng.Int64N(int64(k.Delay)))
}

// stream tells whether a stream between two goes on, and how late a piece of it is.
func (n *Net) streamDelay(src netip.Addr, to int) (late time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	from, known := n.senders[src.Unmap()]
	if !known {
		return 0, false
	}
	there, back := n.links.Between(from, to), n.links.Between(to, from)
	if there.Cut || back.Cut {
		return 0, false
	}
	late = n.randomDelay(there)
	for range 5 {
		if there.Loss == 0 || n.rng.Float64() >= there.Loss {
			break
		}
		late += 200 * time.Millisecond // a segment is sent again
	}
	return late, true
}

// relay is where one member is reached.
type relay struct {
	net    *Net
	member int
	udp    *net.UDPConn
	tcp    net.Listener

	mu     sync.Mutex
	target netip.AddrPort // not valid: nobody is there
	conns  map[net.Conn]bool
	closed bool
}

// newRelay opens a relay to a member at an address; the port is the system's choice.
func newRelay(t T, n *Net, to int, at netip.Addr) *relay {
	t.Helper()
	for range 32 {
		tcp, err := net.Listen("tcp", netip.AddrPortFrom(at, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(tcp.Addr().(*net.TCPAddr).AddrPort()))
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

func (r *relay) address() netip.AddrPort { return r.udp.LocalAddr().(*net.UDPAddr).AddrPort() }

// aim says where the member is now.
func (r *relay) setTarget(at netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = at
}

func (r *relay) currentTarget() netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

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
					r.udp.WriteToUDPAddrPort(b, to)
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

func (r *relay) acceptStreams() {
	for {
		conn, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go r.forwardStream(conn)
	}
}

func (r *relay) forwardStream(in net.Conn) {
	defer in.Close()
	src := in.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	to := r.currentTarget()
	if _, ok := r.net.streamDelay(src, r.member); !ok || !to.IsValid() {
		return
	}
	out, err := net.DialTimeout("tcp", to.String(), time.Second)
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
		if r.copyDirection(src, in, out) { // cut: neither side waits for the other
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

// pump moves one direction of a stream, for as long as its link holds; it tells whether that was cut.
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
				half.CloseWrite()
			}
			return false
		}
	}
}

// Relay is where somebody is reached who is no member of the group, past the same faults.
type Relay struct{ r *relay }

// Relay opens one to a number of the script's that no member has, at an address; what it sends comes from there.
func (g *Group) Relay(i int, at netip.Addr) *Relay {
	g.T.Helper()
	g.Net.AddSender(at, i)
	return &Relay{newRelay(g.T, g.Net, i, at)}
}

// Address is where the others reach it.
func (r *Relay) Address() netip.AddrPort { return r.r.address() }

// Aim says where it is itself; not valid: nowhere.
func (r *Relay) SetTarget(at netip.AddrPort) { r.r.setTarget(at) }
