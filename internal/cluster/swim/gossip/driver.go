package gossip

import (
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

// Driver runs one process's core over the network. Its exported methods may be called from any
// goroutine; Run owns the core.
type Driver struct {
	cfg             Config
	now             func() int64
	log             *slog.Logger
	core            *swim.Core // owned by Run
	udp             *net.UDPConn
	tcp             *net.TCPListener
	localAddress    netip.Addr // source of outgoing connections; not valid if the operating system chooses it
	datagrams       chan []byte
	calls           chan func(now int64)
	frames          chan frameRequest
	outgoing        chan struct{} // semaphore of the exchanges opened by this process
	onSize          func(alive, size int, joined bool)
	lastSize        [2]int
	joined          bool
	publishedDigest uint64 // digest of the view last passed to OnView
	publishedAt     int64  // time of that call

	droppedByAddress, droppedByLimit, sendFailures atomic.Int64
	traffic                                        Counter
	wg                                             sync.WaitGroup
	stop                                           chan struct{}
	stopOnce                                       sync.Once
	done                                           chan struct{}
}

// Open returns a driver with open sockets. now is a monotonic clock in microseconds. onSize, if not
// nil, is called with the number of live members, the effective size, and whether another member
// has ever been in the view, whenever one of the two numbers changes. It runs on the driver's
// goroutine and must not block. The caller must call Run, or Close if it does not.
func Open(cfg Config, now func() int64, onSize func(alive, size int, joined bool), log *slog.Logger) (*Driver, error) {
	p := &Driver{
		cfg: cfg, now: now, log: log, onSize: onSize, datagrams: make(chan []byte, inboxSize), calls: make(chan func(int64), 16), frames: make(chan frameRequest, 16),
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

// listen opens TCP and UDP sockets on the same port. If the operating system chooses the port,
// listen retries until one is free for both.
func (p *Driver) listen() (err error) {
	for range bindAttempts {
		at := net.TCPAddrFromAddrPort(p.cfg.Listen)
		if p.tcp, err = net.ListenTCP("tcp", at); err != nil {
			return fmt.Errorf("fleet: listen: %w", err)
		}
		port := p.Address().Port()
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

// Address returns the address that the driver listens on.
func (p *Driver) Address() netip.AddrPort { return tcpAddress(p.tcp.Addr()) }

// tcpAddress returns the address of a TCP socket. The result is not valid if a is not a TCP
// address.
func tcpAddress(a net.Addr) netip.AddrPort {
	address, ok := a.(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// allowed reports whether members may have address a: whether it is in one of the prefixes of
// Config.Allow, or there are none.
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

// Run runs the protocol until Stop is called and the departure has been announced. It closes the
// sockets when it returns.
func (p *Driver) Run() {
	defer close(p.done)
	self := p.core.Self()
	logging.Info(p.log, logging.Peers, "listen", p.Address(), "advertise", self.Address, "start", self.Start)
	p.wg.Add(2)
	go p.readDatagrams()
	go p.acceptExchanges()
	timer := time.NewTimer(0)
	defer timer.Stop()
	stop, nextReport := p.stop, p.now()
	var leaveUntil int64
	for {
		select {
		case b := <-p.datagrams:
			p.handleDatagram(b)
			p.drain()
		case x := <-p.frames:
			p.handleFrameRequest(x)
		case f := <-p.calls:
			f(p.now())
		case <-timer.C:
			p.drain()
		case <-stop:
			stop = nil
			p.core.Leave(p.now())
			leaveUntil = p.now() + leaveTimeout.Microseconds()
		}
		now := p.now()
		if now >= p.core.NextTick() {
			p.core.Tick(now)
		}
		changed := p.perform(p.core.TakeOutput())
		if changed || now >= nextReport {
			nextReport = now + sizeInterval.Microseconds()
			p.reportSize(now)
			p.publishView(now)
		}
		if stop == nil && (p.core.HasLeft(now) || now > leaveUntil) {
			break
		}
		timer.Reset(time.Duration(max(0, min(p.core.NextTick(), nextReport)-p.now())) * time.Microsecond)
	}
	p.Close()
	p.refusePending()
}

// handleFrameRequest passes a frame to the core and its reply back to the stream.
func (p *Driver) handleFrameRequest(x frameRequest) {
	reply, err := p.core.HandleFrame(p.now(), x.frame)
	if err != nil {
		logging.Warn(p.log, logging.PeerDropped, "what", "frame", "error", err)
	}
	x.reply <- reply
}

// drain handles the datagrams that are queued already, so that no timer expires for lack of a
// datagram that has arrived.
func (p *Driver) drain() {
	for range maxDrain {
		select {
		case b := <-p.datagrams:
			p.handleDatagram(b)
		default:
			return
		}
	}
}

// handleDatagram passes a datagram to the core.
func (p *Driver) handleDatagram(b []byte) {
	_ = p.core.HandleDatagram(p.now(), b) // the core counts what it drops
}

// perform does the work that the core requested, and reports whether the view may have changed.
func (p *Driver) perform(o swim.Output) bool {
	for _, d := range o.Datagrams {
		// A datagram lost to a full buffer or a closed port is like one lost in the network.
		if _, err := p.udp.WriteToUDPAddrPort(d.Bytes, d.To); err != nil {
			p.sendFailures.Add(1)
		} else {
			p.traffic.CountSent(len(d.Bytes))
		}
	}
	for _, x := range o.Exchanges {
		p.startExchange(x)
	}
	for _, e := range o.Events {
		p.logEvent(e)
	}
	return len(o.Events) > 0
}

// startExchange opens an exchange on its own goroutine, unless maxOutgoing exchanges are open.
func (p *Driver) startExchange(x swim.Exchange) {
	select {
	case p.outgoing <- struct{}{}:
		p.wg.Add(1)
		go p.openExchange(x)
	default:
		p.droppedByLimit.Add(1)
	}
}

// reportSize calls onSize if the number of live members or the effective size has changed.
func (p *Driver) reportSize(now int64) {
	alive, size := p.core.AliveCount(), p.core.EffectiveSize(now)
	p.joined = p.joined || alive > 1
	if p.onSize != nil && p.lastSize != [2]int{alive, size} {
		p.lastSize = [2]int{alive, size}
		p.onSize(alive, size, p.joined)
	}
}

// publishView calls Config.OnView if the digest has changed, at most ten times a second, since the
// cost of a view grows with the fleet.
func (p *Driver) publishView(now int64) {
	if digest, _ := p.core.Digest(); p.cfg.OnView != nil && digest != p.publishedDigest && now-p.publishedAt >= viewInterval.Microseconds() {
		p.publishedDigest, p.publishedAt = digest, now
		p.cfg.OnView(p.core.View(now))
	}
}

// Close closes the sockets of a driver that never ran.
func (p *Driver) Close() {
	p.udp.Close()
	p.tcp.Close()
}

// Stop announces the departure, makes Run return and waits for all goroutines. Further calls only
// wait.
func (p *Driver) Stop() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.done
	p.wg.Wait()
}

// refusePending answers the queued frames with nil, since the core no longer handles them.
func (p *Driver) refusePending() {
	for {
		select {
		case x := <-p.frames:
			x.reply <- nil
		default:
			return
		}
	}
}
