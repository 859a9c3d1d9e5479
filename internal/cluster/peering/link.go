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
	// linkQueue is the number of queued messages per peer; further ones are dropped, and the
	// protocol retries.
	linkQueue = 256
	// linkUnresponsive is the time in microseconds without a message of a peer after which its
	// connection is replaced.
	linkUnresponsive = 1_000_000
	linkIdleTimeout  = time.Minute            // idle time after which either side closes a connection
	linkBackoff      = 100 * time.Millisecond // after a failed connection attempt
	writeTimeout     = 2 * time.Second
)

// peer is another gatherer on the roster, with the queue of messages for it. A link exists only
// while there are messages: a gatherer without a vote only has links to voters.
type peer struct {
	address atomic.Pointer[netip.AddrPort]
	heardAt atomic.Int64  // time of its last message
	removed chan struct{} // closed when the gatherer is removed from the roster

	mu    sync.Mutex
	queue chan *wire.Message // nil while no link runs
}

// setPeers replaces the peers by the members of a roster. Until there is a stored or received
// roster those are the members in the settings, which may be the only ones that know the rest.
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

// UpdateAddress sets the address of a member to that in the view of the fleet. The next change of
// the roster sets it back to the roster's address. It is safe for concurrent use.
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
	default: // dropped; the protocol retries
	}
}

// closeIfIdle marks a link whose queue is empty as ended, and returns false if a message was queued
// meanwhile.
func (p *PolicyNode) closeIfIdle(to *peer) bool {
	to.mu.Lock()
	defer to.mu.Unlock()
	if len(to.queue) > 0 {
		return false
	}
	to.queue = nil
	return true
}

// link is a running link to a peer. It is owned by the goroutine of runLink.
type link struct {
	node   *PolicyNode
	peer   *peer
	conn   net.Conn // nil: not connected
	dialed int64    // time of the connection
	target netip.AddrPort
}

// runLink sends the messages of a queue over one connection at a time, until the queue is idle, the
// peer is removed from the roster, or the node ends.
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

// connect ensures that there is a connection to the peer's current address. If no message of the
// peer has arrived for linkUnresponsive, it replaces the connection, which may be broken without
// any error.
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
	go func() { // the peer sends nothing on this connection; reading detects that it is closed
		_, _ = io.Copy(io.Discard, conn) // any error means that the connection is closed
		conn.Close()
	}()
	return nil
}

// send writes a message. After an error it closes the connection, and the message is lost.
func (l *link) send(m *wire.Message) {
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write does
	if err := writeMessage(l.conn, m); err != nil {
		l.close()
		return
	}
	l.node.traffic.countSent(m)
}

// backOff waits after a failed connection attempt, and then drops the queued messages, which are
// stale. It returns false if the link has to end.
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
