package peering

import (
	"context"
	"io"
	"net"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"
	"sync"
	"sync/atomic"
	"time"
)

const (
	linkQueue        = 256                    // messages that wait for one gatherer; further ones are dropped, and sent again by the protocol
	linkUnresponsive = 1_000_000              // microseconds without a message of a gatherer after which its connection is replaced
	linkIdleTimeout  = time.Minute            // without a message after which either side closes a connection
	linkBackoff      = 100 * time.Millisecond // after a failed connection
	writeTimeout     = 2 * time.Second
)

// peer is another gatherer on the roster, and the queue of messages for it. A link exists only while there are messages: a follower writes to
// voters alone.
type peer struct {
	address atomic.Pointer[netip.AddrPort]
	heardAt atomic.Int64  // time of its last message
	removed chan struct{} // closed when it is taken off the roster

	mu    sync.Mutex
	queue chan *wire.Message // nil while no link runs
}

// setPeers allows links to the members of a roster, and to no others. Members that the settings name stay known until a roster says otherwise: they
// may be the only ones that know the rest.
func (p *PolicyNode) setPeers(members []*wire.Member) {
	known := *p.peers.Load()
	next := map[string]*peer{}
	for _, member := range members {
		address, err := netip.ParseAddrPort(member.Address)
		if err != nil || member.Name == p.cfg.Node.Name {
			continue
		}
		x := known[member.Name]
		if x == nil {
			x = &peer{removed: make(chan struct{})}
		}
		x.address.Store(&address)
		next[member.Name] = x
	}
	for name, x := range known {
		if next[name] == nil {
			close(x.removed)
		}
	}
	p.peers.Store(&next)
}

// UpdateAddress sets where a member is reached, as the view of the fleet has it. The roster's address prevails again when the roster changes.
// It may be called from any goroutine.
func (p *PolicyNode) UpdateAddress(name string, address netip.AddrPort) {
	if x := (*p.peers.Load())[name]; x != nil && address.IsValid() {
		x.address.Store(&address)
	}
}

func (p *PolicyNode) dialer() net.Dialer {
	dialer := net.Dialer{Timeout: writeTimeout}
	if p.localAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.localAddress, 0))
	}
	return dialer
}

// enqueue queues a message for a peer, and starts its link if none runs. It never blocks.
func (p *PolicyNode) enqueue(to *peer, m *wire.Message) {
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.queue == nil {
		to.queue = make(chan *wire.Message, linkQueue)
		p.openLinks.Add(1)
		p.wg.Add(1)
		go p.runLink(to, to.queue)
	}
	select {
	case to.queue <- m:
	default: // the protocol sends it again
	}
}

// closeIfIdle ends a link whose queue is empty; false if a message has come meanwhile.
func (p *PolicyNode) closeIfIdle(to *peer) bool {
	to.mu.Lock()
	defer to.mu.Unlock()
	if len(to.queue) > 0 {
		return false
	}
	to.queue = nil
	return true
}

// link is the connection to a peer while its link runs. Its goroutine owns it.
type link struct {
	node   *PolicyNode
	peer   *peer
	conn   net.Conn // nil while there is none
	dialed int64    // time
	target netip.AddrPort
}

// runLink sends the messages of one queue over one connection at a time, until the queue is idle, the peer is off the roster, or the node ends.
func (p *PolicyNode) runLink(to *peer, queue <-chan *wire.Message) {
	defer p.wg.Done()
	defer p.openLinks.Add(-1)
	l := &link{node: p, peer: to}
	defer l.close()
	idle := time.NewTimer(p.idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-queue:
			idle.Reset(p.idleTimeout)
			if l.connect() != nil {
				if !p.backOff(to, queue) {
					return
				}
				continue
			}
			l.send(m)
		case <-idle.C:
			if p.closeIfIdle(to) {
				return
			}
			idle.Reset(p.idleTimeout)
		case <-to.removed:
			return
		case <-p.done:
			return
		}
	}
}

func (l *link) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// connect makes sure that there is a connection to the peer's present address. A connection without a message of the peer for linkUnresponsive is replaced: it may
// lead nowhere without any error.
func (l *link) connect() error {
	unheardFor := l.node.now() - max(l.dialed, l.peer.heardAt.Load())
	if l.conn != nil && (unheardFor > linkUnresponsive || l.target != *l.peer.address.Load()) {
		l.close()
	}
	if l.conn != nil {
		return nil
	}
	l.target = *l.peer.address.Load()
	dialer := l.node.dialer()
	conn, err := dialer.DialContext(context.Background(), "tcp", l.target.String()) // bounded by the dialer's timeout
	if err != nil {
		return err
	}
	l.conn, l.dialed = l.node.traffic.WrapConn(conn), l.node.now()
	go func() { // the peer sends nothing on this connection; reading notices its end
		_, _ = io.Copy(io.Discard, conn) // any error means that the connection has ended
		conn.Close()
	}()
	return nil
}

// send writes a message; after an error the connection is closed and the message is lost.
func (l *link) send(m *wire.Message) {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
	if err := writeMessage(l.conn, m); err != nil {
		l.close()
		return
	}
	l.node.traffic.countSent(m)
}

// backOff waits after a failed connection and drops what is queued, which is out of date by then; false if the link has to end.
func (p *PolicyNode) backOff(to *peer, queue <-chan *wire.Message) bool {
	timer := time.NewTimer(linkBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-to.removed:
		return false
	case <-p.done:
		return false
	}
	for {
		select {
		case <-queue:
			continue
		default:
			return true
		}
	}
}
