package gossip

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/swim"
	"sync"
	"sync/atomic"
	"time"
)

// Config is what a gatherer's part in a fleet is made of.
type Config struct {
	Core   swim.Config // Address is left out where it is what Listen turns out to be
	Listen netip.AddrPort
	Allow  []netip.Prefix // of senders and of members; none: all
	Seed   uint64
	OnView func(swim.View) // where set, is told of views that differ, by Run's goroutine; it must not block
}

const (
	inboxSize       = 1024            // datagrams that wait for the core
	maxDrain        = 256             // of them that are taken in before a tick
	maxOutgoing     = 16              // exchanges that this process has open, and
	maxIncoming     = 32              // those that others have with it
	exchangeTimeout = 2 * time.Second // for a whole exchange
	callTimeout     = 1 * time.Second // that the core's owner may take to answer a call
	viewInterval    = 100 * time.Millisecond
	sizeInterval    = 1 * time.Second  // between looks at the number to reckon with, where nothing happens
	bindAttempts    = 32               // tries for a port that both UDP and TCP have free
	readBuffer      = 64 << 10         // of a datagram: longer ones are cut, and dropped by their checksum
	leaveTimeout    = 10 * time.Second // at most, for a leave to be told
)

// ErrClosed says that the driver has ended, or is too late to answer.
var ErrClosed = errors.New("gossip: the view is closed or late")

// Peers is a running part in a fleet.
type Driver struct {
	cfg             Config
	now             func() int64
	log             *slog.Logger
	core            *swim.Core // Run's goroutine owns it
	udp             *net.UDPConn
	tcp             *net.TCPListener
	localAddress    netip.Addr // where this process's own connections come from; not valid: the system's choice
	datagrams       chan []byte
	calls           chan func(now int64)
	frames          chan frameRequest
	outgoing        chan struct{} // a place for each open exchange of its own
	onSize          func(alive, reckon int, joined bool)
	lastSize        [2]int
	joined          bool
	publishedDigest uint64 // the digest that Watch was told of last
	publishedAt     int64  // when

	droppedByAddress, droppedByLimit, sendFailures atomic.Int64
	traffic                                        Counter
	wg                                             sync.WaitGroup
	stop                                           chan struct{}
	stopOnce                                       sync.Once
	done                                           chan struct{}
}

// exchange is a frame that has come, and who waits for what to answer.
type frameRequest struct {
	frame []byte
	reply chan []byte
}

// Open opens the sockets. now gives microseconds and never runs backwards. heard, where set, is told of the members alive and to reckon
// with, and whether anybody was met yet, on the driver's goroutine: it must not block. Run has to follow.
func Open(cfg Config, now func() int64, heard func(alive, reckon int, joined bool), log *slog.Logger) (*Driver, error) {
	p := &Driver{
		cfg: cfg, now: now, log: log, onSize: heard, datagrams: make(chan []byte, inboxSize), calls: make(chan func(int64), 16), frames: make(chan frameRequest, 16),
		outgoing: make(chan struct{}, maxOutgoing), stop: make(chan struct{}), done: make(chan struct{}),
	}
	if err := p.listen(); err != nil {
		return nil, err
	}
	if !cfg.Listen.Addr().IsUnspecified() {
		p.localAddress = cfg.Listen.Addr()
	}
	if !cfg.Core.Address.IsValid() {
		cfg.Core.Address = p.Address()
	}
	cfg.Core.Allowed = p.allowed
	var err error
	if p.core, err = swim.New(cfg.Core, now(), rand.New(rand.NewPCG(cfg.Seed, cfg.Core.Start))); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// listen takes the same port for both; where the system chooses it, one that both have free.
func (p *Driver) listen() (err error) {
	for range bindAttempts {
		at := net.TCPAddrFromAddrPort(p.cfg.Listen)
		if p.tcp, err = net.ListenTCP("tcp", at); err != nil {
			return fmt.Errorf("fleet: listen: %w", err)
		}
		port := p.tcp.Addr().(*net.TCPAddr).AddrPort().Port()
		if p.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(p.cfg.Listen.Addr(), port))); err == nil {
			return nil
		}
		p.tcp.Close()
		if p.cfg.Listen.Port() != 0 {
			break
		}
	}
	return fmt.Errorf("fleet: listen: %w", err)
}

// Address is where it listens.
func (p *Driver) Address() netip.AddrPort { return p.tcp.Addr().(*net.TCPAddr).AddrPort() }

func (p *Driver) allowed(a netip.Addr) bool {
	if len(p.cfg.Allow) == 0 {
		return true
	}
	a = a.Unmap()
	for _, x := range p.cfg.Allow {
		if x.Contains(a) {
			return true
		}
	}
	return false
}

// Run takes part until Stop, or until the leave that Stop begins is told.
func (p *Driver) Run() {
	defer close(p.done)
	self := p.core.Self()
	logging.Info(p.log, logging.Peers, "listen", p.Address(), "advertise", self.Address, "start", self.Start)
	p.wg.Add(2)
	go p.readDatagrams()
	go p.acceptExchanges()
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop, look := p.stop, p.now()
	var end int64
	for {
		select {
		case b := <-p.datagrams:
			p.core.HandleDatagram(p.now(), b)
			p.drain()
		case x := <-p.frames:
			reply, err := p.core.HandleFrame(p.now(), x.frame)
			if err != nil {
				logging.Warn(p.log, logging.PeerDropped, "what", "frame", "error", err)
			}
			x.reply <- reply
		case f := <-p.calls:
			f(p.now())
		case <-timer.C:
			p.drain()
		case <-stop:
			stop = nil
			p.core.Leave(p.now())
			end = p.now() + leaveTimeout.Microseconds()
		}
		now := p.now()
		if now >= p.core.NextTick() {
			p.core.Tick(now)
		}
		changed := p.perform(p.core.TakeOutput())
		if changed || now >= look {
			look = now + sizeInterval.Microseconds()
			p.reportSize(now)
			p.publishView(now)
		}
		if stop == nil && (p.core.HasLeft(now) || now > end) {
			break
		}
		timer.Reset(time.Duration(max(0, min(p.core.NextTick(), look)-p.now())) * time.Microsecond)
	}
	p.Close()
	for { // whoever still waits for an answer gets none
		select {
		case x := <-p.frames:
			x.reply <- nil
			continue
		default:
		}
		break
	}
}

// drain takes in what has come already: it is heard before anything is concluded from silence.
func (p *Driver) drain() {
	for range maxDrain {
		select {
		case b := <-p.datagrams:
			p.core.HandleDatagram(p.now(), b)
		default:
			return
		}
	}
}

// carry does what the core wants done, and tells whether the view may have changed.
func (p *Driver) perform(o swim.Output) bool {
	for _, d := range o.Datagrams {
		// A full buffer or a peer that is down loses it, as the network may.
		if _, err := p.udp.WriteToUDPAddrPort(d.Bytes, d.To); err != nil {
			p.sendFailures.Add(1)
		} else {
			p.traffic.CountSent(len(d.Bytes))
		}
	}
	for _, x := range o.Exchanges {
		select {
		case p.outgoing <- struct{}{}:
			p.wg.Add(1)
			go p.openExchange(x)
		default:
			p.droppedByLimit.Add(1)
		}
	}
	for _, e := range o.Events {
		p.logEvent(e)
	}
	return len(o.Events) > 0
}

// tell tells who listens of the numbers, where they have changed.
func (p *Driver) reportSize(now int64) {
	alive, reckon := p.core.AliveCount(), p.core.EffectiveSize(now)
	p.joined = p.joined || alive > 1
	if p.onSize != nil && p.lastSize != [2]int{alive, reckon} {
		p.lastSize = [2]int{alive, reckon}
		p.onSize(alive, reckon, p.joined)
	}
}

// watch tells who listens of the view, where it differs: ten times a second at most, since a view is as long as the fleet is large.
func (p *Driver) publishView(now int64) {
	if digest, _ := p.core.Digest(); p.cfg.OnView != nil && digest != p.publishedDigest && now-p.publishedAt >= viewInterval.Microseconds() {
		p.publishedDigest, p.publishedAt = digest, now
		p.cfg.OnView(p.core.View(now))
	}
}

func (p *Driver) logEvent(e swim.Event) {
	switch e.Kind {
	case swim.EventNameConflict:
		logging.Error(p.log, logging.PeerTwin, "name", e.Name, "start", e.Start, "address", e.Address)
	case swim.EventIsolated:
		logging.Error(p.log, logging.PeersAlone, "join", len(p.cfg.Core.Join))
	case swim.EventStalled:
		logging.Warn(p.log, logging.PeerNap, "for", time.Duration(e.Late)*time.Microsecond)
	case swim.EventRefuted, swim.EventRejoined:
		logging.Warn(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "by", by(e.Accusers))
	case swim.EventSuspected, swim.EventDead:
		logging.Warn(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "address", e.Address, "zone", e.Zone, "by", by(e.Accusers))
	default:
		logging.Info(p.log, logging.Peer, "what", e.Kind.String(), "name", e.Name, "start", e.Start, "address", e.Address, "zone", e.Zone)
	}
}

func by(names []string) (text string) {
	for i, n := range names {
		if i > 0 {
			text += ","
		}
		text += n
	}
	return text
}

// ask runs a function on the goroutine that owns the core.
func (p *Driver) call(f func(now int64)) error {
	over := make(chan struct{})
	t := time.NewTimer(callTimeout)
	defer t.Stop()
	select {
	case p.calls <- func(now int64) { f(now); close(over) }:
	case <-p.done:
		return ErrClosed
	case <-t.C:
		return ErrClosed
	}
	select {
	case <-over:
		return nil
	case <-p.done:
		return ErrClosed
	case <-t.C:
		return ErrClosed
	}
}

// View copies the view; now is the clock that its times are by.
func (p *Driver) View() (v swim.View, now int64, err error) {
	got := make(chan swim.View, 1)
	at := make(chan int64, 1)
	if err = p.call(func(now int64) { at <- now; got <- p.core.View(now) }); err != nil {
		return swim.View{}, 0, err
	}
	return <-got, <-at, nil
}

// Counts are what core and driver count.
type Counts struct {
	swim.Counts
	AliveCount, EffectiveSize, Suspected, Dead, HealthScore, NameConflict int
	DroppedByAddress, DroppedByLimit, SendFailures                        int64 // dropped unread for their address; for want of room; not taken by the network
	Traffic                                                               Traffic
}

// Counts are as they stand; nought where the driver has ended.
func (p *Driver) Counts() (c Counts) {
	got := make(chan Counts, 1)
	if p.call(func(now int64) {
		v := p.core.View(now)
		k := Counts{Counts: p.core.Counts(), AliveCount: v.AliveCount, EffectiveSize: v.EffectiveSize, HealthScore: v.HealthScore}
		for _, m := range v.Members {
			switch m.State {
			case swim.Suspected:
				k.Suspected++
			case swim.Dead:
				k.Dead++
			}
		}
		if v.NameConflict || v.Superseded {
			k.NameConflict = 1
		}
		got <- k
	}) != nil {
		return c
	}
	c = <-got
	c.DroppedByAddress, c.DroppedByLimit, c.SendFailures, c.Traffic = p.droppedByAddress.Load(), p.droppedByLimit.Load(), p.sendFailures.Load(), p.Traffic()
	return c
}

// SetFacts changes what this process tells of itself; soon, it does not wait.
func (p *Driver) SetMetadata(change func(swim.Metadata) swim.Metadata) {
	go p.call(func(now int64) { p.core.SetMetadata(now, change(p.core.Self().Metadata)) })
}

// Forget has a dead member taken for one that has left.
func (p *Driver) Forget(name string) error {
	got := make(chan error, 1)
	if err := p.call(func(now int64) { got <- p.core.Forget(now, name) }); err != nil {
		return err
	}
	return <-got
}

// Leave has this process leave the fleet; it goes on answering, and is no member until it is started again.
func (p *Driver) Leave() error { return p.call(func(now int64) { p.core.Leave(now) }) }

// Close lets the sockets of a part go that never ran.
func (p *Driver) Close() {
	p.udp.Close()
	p.tcp.Close()
}

// Stop tells of the leave and ends Run; a second call only waits.
func (p *Driver) Stop() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.done
	p.wg.Wait()
}
