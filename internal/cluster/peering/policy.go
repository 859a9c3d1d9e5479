package peering

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"sync"
	"sync/atomic"
	"time"
)

// PolicyConfig is what a gatherer's part in agreeing on versions of the policy is made of.
type PolicyConfig struct {
	Node   rollout.Config
	Memory rollout.Memory
	Global GlobalHost // wanted where the node has a region
	Listen netip.AddrPort
	Seed   uint64
}

// PolicyHost is what a gatherer does for its part. Save, Stage and Keep return when it is on disk, or with why it is not.
type PolicyHost interface {
	// Judge tells what is wrong with a document, with its key; it is called beside everything else.
	Judge(text []byte) error
	// Install puts a document in force: what the engine is handed afterwards comes after it.
	Install(*wire.Document) error
	// Permit has the engine let in by a permit, and returns once it does.
	Permit(transport.Permit)
	Save(*rollout.Save) error
	Stage(*wire.Proposal) error
	Keep(*wire.Document) error
	Snapshot(rollout.Disk) error
	Roster(*wire.State) error
	// Slots is among how many budgets are divided, by what was put in force last.
	Slots() uint64
}

// Policy is a running part.
type Policy struct {
	cfg      PolicyConfig
	now      func() int64
	host     PolicyHost
	log      *slog.Logger
	node     *rollout.Node // Run's goroutine owns it
	tcp      *net.TCPListener
	local    netip.Addr
	in       chan arrival
	calls    chan func(now int64)
	done_    chan func(now int64)              // what was done beside, to be told to the node
	others   atomic.Pointer[map[string]*other] // by name; Run's goroutine makes a new one where the roster changes
	permit   transport.Permit
	failed   error
	counts   counter
	standing standing
	idle     time.Duration // after which a link is let go
	links    atomic.Int64  // that run

	wg       sync.WaitGroup
	stop     chan struct{}
	stopping sync.Once
	done     chan struct{}
}

// arrival is a message that has come, and for an operator's where its answer goes.
type arrival struct {
	m     *wire.Message
	reply chan *wire.Answer
}

const (
	mostFrame  = 16 << 20               // bytes of a message
	linkQueue  = 256                    // messages that wait for one gatherer; more are lost, and said again
	linkDeaf   = 1_000_000              // microseconds without a word of a gatherer after which a connection to it is made anew
	linkIdle   = time.Minute            // without a message after which either side lets a connection go
	leaveWait  = 300 * time.Millisecond // that a word of leaving may take
	linkPause  = 100 * time.Millisecond // after a connection that failed
	writeWait  = 2 * time.Second
	inwardMost = 1200 // connections of others
)

// OpenPolicy opens the listener. Run has to follow.
func OpenPolicy(cfg PolicyConfig, now func() int64, host PolicyHost, log *slog.Logger) (*Policy, error) {
	if cfg.Node.Region != "" && cfg.Global == nil {
		return nil, errors.New("rollout: with regions the global agreement needs where to keep its vote")
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("rollout: listen: %w", err)
	}
	p := &Policy{
		cfg: cfg, now: now, host: host, log: log, tcp: tcp, in: make(chan arrival, inbox), calls: make(chan func(int64), 16), done_: make(chan func(int64), 64),
		idle: linkIdle, stop: make(chan struct{}), done: make(chan struct{}),
	}
	p.others.Store(&map[string]*other{})
	if !cfg.Listen.Addr().IsUnspecified() {
		p.local = cfg.Listen.Addr()
	}
	if p.node, err = rollout.New(cfg.Node, now(), rand.New(rand.NewPCG(cfg.Seed, uint64(time.Now().UnixNano()))), cfg.Memory); err != nil {
		tcp.Close()
		return nil, err
	}
	// Nothing is let in before there is a lease.
	p.permit = transport.Permit{Number: p.node.Number(), Later: cfg.Node.Lease / 2}
	host.Permit(p.permit)
	return p, nil
}

// Address is where it listens.
func (p *Policy) Address() netip.AddrPort { return p.tcp.Addr().(*net.TCPAddr).AddrPort() }

// Run takes part until Stop, or until what is to be kept can't be: then nothing is let in any more.
func (p *Policy) Run() {
	defer close(p.done)
	logging.Info(p.log, logging.Rollout, "listen", p.Address(), "number", p.node.Number(), "members", len(p.node.Members()), "founding", p.node.Founding())
	p.know(p.node.Members())
	p.wg.Add(1)
	go p.accept()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case a := <-p.in:
			p.take(a)
		case f := <-p.done_:
			f(p.now())
		case f := <-p.calls:
			f(p.now())
		case <-timer.C:
		case <-p.stop:
			p.leave()
			return
		}
		for more := true; more; { // what has come is heard before anything is concluded from silence
			select {
			case a := <-p.in:
				p.take(a)
			default:
				more = false
			}
		}
		if now := p.now(); now >= p.node.Next() {
			p.node.Tick(now)
		}
		p.carry()
		p.watchRegion()
		timer.Reset(time.Duration(max(0, p.node.Next()-p.now())) * time.Microsecond)
	}
}

// Divide says what this gatherer could use of the budgets, and gives what it may: of the teams that are named, and of all others. A lease is
// taken to end so many microseconds early. False: they are not divided, or the answer is late.
func (p *Policy) Divide(wants []quota.Demand, early int64) (named map[string]uint32, others uint32, ok bool) {
	type answer struct {
		named  map[string]uint32
		others uint32
	}
	got := make(chan answer, 1)
	if p.Status(func(n *rollout.Node, now int64) {
		if h := n.Parts(); h != nil {
			h.SetDemand(wants)
			named, others, _ := h.Quotas(now + early)
			got <- answer{named, others}
		}
	}) != nil {
		return nil, 0, false
	}
	select {
	case a := <-got:
		return a.named, a.others, true
	default:
		return nil, 0, false
	}
}

// Absent tells who is not there, by the view of the fleet.
func (p *Policy) Absent(names map[string]bool) {
	select {
	case p.calls <- func(int64) { p.node.Absent(names) }:
	default: // the next view says it again
	}
}

// leave lets nothing in any more, and says so to the voters, for a moment: who does not hear it waits for the lease to end.
func (p *Policy) leave() {
	p.tcp.Close()
	p.node.Leave()
	p.allow()
	if p.failed != nil {
		return
	}
	deadline := time.Now().Add(leaveWait)
	var wg sync.WaitGroup
	for _, m := range p.node.Out().Messages {
		o := (*p.others.Load())[m.To]
		if m.Ask == nil || !m.Ask.Leaves || o == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			dialer := p.dialer()
			dialer.Deadline = deadline
			if conn, err := dialer.Dial("tcp", o.at.Load().String()); err == nil {
				conn.SetDeadline(deadline)
				writeMessage(conn, m) // where it is lost the lease's end is waited for
				conn.Close()
			}
		}()
	}
	wg.Wait()
}

func (p *Policy) take(a arrival) {
	if a.reply != nil {
		a.reply <- p.node.Propose(p.now(), a.m.Propose)
		return
	}
	p.node.Receive(p.now(), a.m)
}

// carry does what the node wants done. The engine has the permit before any word leaves: that queries are held is told once they are.
func (p *Policy) carry() {
	o := p.node.Out()
	if s := o.Roster; s != nil {
		p.know(s.Members)
		logging.Info(p.log, logging.RolloutRoster, "members", len(s.Members), "index", s.MembersIndex)
		p.beside(func() error { return p.host.Roster(s) }, func(_ int64, err error) {
			if err != nil {
				p.fail("roster", err)
			}
		})
	}
	if len(o.Install) > 0 && !p.permit.Holding { // nothing by the old one while the new one is put in force
		p.permit.Until = 0
		p.host.Permit(p.permit)
	}
	for _, d := range o.Install {
		if err := p.host.Install(d); err != nil {
			p.fail("install", err)
		}
		if parts := p.node.Parts(); parts != nil {
			parts.SetSlots(p.host.Slots())
		}
		logging.Info(p.log, logging.RolloutInForce, "number", d.Number)
		p.beside(func() error { return p.host.Keep(d) }, func(_ int64, err error) {
			if err != nil {
				p.fail("keep", err)
			}
		})
	}
	p.allow()
	if s := o.Save; s != nil && p.failed == nil {
		p.beside(func() error { return p.host.Save(s) }, func(now int64, err error) {
			if err == nil {
				err = p.node.Saved(now)
			}
			if err != nil {
				p.fail("save", err)
			}
		})
	}
	if s := o.Snapshot; s != nil {
		id := o.SnapshotOf
		p.beside(func() error { return p.host.Snapshot(rollout.Disk{ID: id, Snapshot: s}) }, func(_ int64, err error) {
			if err != nil {
				p.fail("snapshot", err)
			}
		})
	}
	p.carryGlobal(o.Global)
	for _, x := range o.Judge {
		p.beside(func() error {
			if err := p.host.Judge(x.Document.Text); err != nil {
				return err
			}
			return p.host.Stage(x)
		}, func(now int64, err error) {
			fault := ""
			if err != nil {
				fault = err.Error()
				logging.Warn(p.log, logging.RolloutRefused, "error", err)
			}
			p.node.Judged(now, x.Attempt, fault)
		})
	}
	if p.failed != nil {
		return // what it could not keep nobody may hear of
	}
	others := *p.others.Load()
	for _, m := range o.Messages {
		if x := others[m.To]; x != nil {
			p.post(x, m)
		}
	}
}

// fail ends this part: what was agreed on can't be kept or put in force here, so nothing more is let in.
func (p *Policy) fail(what string, err error) {
	if errors.Is(err, ErrClosed) { // the gatherer ends
		p.failed = err
	}
	if p.failed == nil {
		p.failed = fmt.Errorf("%s: %w", what, err)
		logging.Error(p.log, logging.RolloutFails, "what", what, "error", err)
	}
}

// allow has the engine let in by what the node says now, where that has changed.
func (p *Policy) allow() {
	n := p.node
	x := transport.Permit{Number: n.Number(), Until: n.Until(), Holding: n.Holding(), HoldEnd: n.HoldEnd(), Later: p.cfg.Node.Lease / 2}
	if p.failed != nil {
		x.Until, x.Holding = 0, false
	}
	if x == p.permit {
		return
	}
	if x.Holding != p.permit.Holding {
		logging.Debug(p.log, logging.RolloutHolds, "on", x.Holding, "number", x.Number)
	}
	p.permit = x
	p.host.Permit(x)
}

// beside runs something that takes long, and then something on the goroutine that owns the node.
func (p *Policy) beside(do func() error, then func(now int64, err error)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		err := do()
		select {
		case p.done_ <- func(now int64) { then(now, err) }:
		case <-p.done:
		}
	}()
}

// Status tells how the part stands, on the goroutine that owns it.
func (p *Policy) Status(tell func(n *rollout.Node, now int64)) error {
	over := make(chan struct{})
	t := time.NewTimer(askedIn)
	defer t.Stop()
	select {
	case p.calls <- func(now int64) { tell(p.node, now); close(over) }:
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

// Stop ends Run; what is let in ends with the lease.
func (p *Policy) Stop() {
	p.stopping.Do(func() { close(p.stop) })
	<-p.done
	p.wg.Wait()
}
