package peering

import (
	"io"
	"net"
	"net/netip"
	"saffronquay/internal/cluster/rollout/wire"
	"sync"
	"sync/atomic"
	"time"
)

// other is another gatherer, and what there is to send to it. Most are never written to: a follower asks voters only.
type other struct {
	at    atomic.Pointer[netip.AddrPort]
	heard atomic.Int64  // when it was heard last
	gone  chan struct{} // closed once it is off the roster

	mu    sync.Mutex
	queue chan *wire.Message // nil: no link to it runs
}

// know allows links to the members of a roster, and to nobody else. Whom the file names stays known until a roster says otherwise: it may be
// the only one who knows the others.
func (p *Policy) know(members []*wire.Member) {
	now := *p.others.Load()
	next := map[string]*other{}
	for _, m := range members {
		at, err := netip.ParseAddrPort(m.Address)
		if err != nil || m.Name == p.cfg.Node.Name {
			continue
		}
		o := now[m.Name]
		if o == nil {
			o = &other{gone: make(chan struct{})}
		}
		o.at.Store(&at)
		next[m.Name] = o
	}
	for name, o := range now {
		if next[name] == nil {
			close(o.gone)
		}
	}
	p.others.Store(&next)
}

// Moved says where a gatherer is reached, as the view of the fleet has it; what the roster says prevails again when it changes.
func (p *Policy) Moved(name string, at netip.AddrPort) {
	if o := (*p.others.Load())[name]; o != nil && at.IsValid() {
		o.at.Store(&at)
	}
}

func (p *Policy) dialer() net.Dialer {
	d := net.Dialer{Timeout: writeWait}
	if p.local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.local, 0))
	}
	return d
}

// post has a message sent by the link to another one, which begins with its first message.
func (p *Policy) post(o *other, m *wire.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queue == nil {
		o.queue = make(chan *wire.Message, linkQueue)
		p.links.Add(1)
		p.wg.Add(1)
		go p.link(o, o.queue)
	}
	select {
	case o.queue <- m:
	default: // it is said again
	}
}

// rest lets a link go that had nothing to send for long; false: something has come meanwhile.
func (p *Policy) rest(o *other) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) > 0 {
		return false
	}
	o.queue = nil
	return true
}

// link sends what there is for one gatherer, over one connection at a time, until there was nothing for long.
func (p *Policy) link(o *other, queue <-chan *wire.Message) {
	defer p.wg.Done()
	defer p.links.Add(-1)
	idle := time.NewTimer(p.idle)
	defer idle.Stop()
	var conn net.Conn
	var dialed int64
	var to netip.AddrPort
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case m := <-queue:
			idle.Reset(p.idle)
			if now := p.now(); conn != nil && (now-max(dialed, o.heard.Load()) > linkDeaf || to != *o.at.Load()) {
				conn.Close() // it may lead nowhere, and nobody says so
				conn = nil
			}
			if conn == nil {
				to = *o.at.Load()
				dialer := p.dialer()
				c, err := dialer.Dial("tcp", to.String())
				if err != nil {
					if !p.pause(o, queue) {
						return
					}
					continue
				}
				conn, dialed = p.counts.WrapConn(c), p.now()
				go func() { // the other side says nothing here but its end
					io.Copy(io.Discard, c)
					c.Close()
				}()
			}
			conn.SetWriteDeadline(time.Now().Add(writeWait))
			if err := writeMessage(conn, m); err != nil {
				conn.Close()
				conn = nil
			} else {
				p.counts.said(m)
			}
		case <-idle.C:
			if p.rest(o) {
				return
			}
			idle.Reset(p.idle)
		case <-o.gone:
			return
		case <-p.done:
			return
		}
	}
}

// pause waits a moment after a failure, and throws away what waits: it would be old. False: it is over.
func (p *Policy) pause(o *other, queue <-chan *wire.Message) bool {
	t := time.NewTimer(linkPause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.gone:
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
