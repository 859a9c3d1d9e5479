package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronquay/internal/events"
	"saffronquay/internal/rollout"
	"saffronquay/internal/rollout/wire"
	"saffronquay/internal/share"
	"saffronquay/internal/transport"
)

// PolicyConfig is what a gatherer's part in agreeing on versions of the policy is made of.
type PolicyConfig struct {
	Node   rollout.Config
	Memory rollout.Memory
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
	cfg    PolicyConfig
	now    func() int64
	host   PolicyHost
	log    *slog.Logger
	node   *rollout.Node // Run's goroutine owns it
	tcp    *net.TCPListener
	local  netip.Addr
	in     chan arrival
	calls  chan func(now int64)
	done_  chan func(now int64)              // what was done beside, to be told to the node
	others atomic.Pointer[map[string]*other] // by name; Run's goroutine makes a new one where the roster changes
	permit transport.Permit
	failed error
	counts counter
	idle   time.Duration // after which a link is let go
	links  atomic.Int64  // that run

	wg       sync.WaitGroup
	stop     chan struct{}
	stopping sync.Once
	done     chan struct{}
}

// other is another gatherer, and what there is to send to it. Most are never written to: a follower asks voters only.
type other struct {
	at    atomic.Pointer[netip.AddrPort]
	heard atomic.Int64  // when it was heard last
	gone  chan struct{} // closed once it is off the roster

	mu    sync.Mutex
	queue chan *wire.Message // nil: no link to it runs
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
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("rollout: listen: %w", err)
	}
	p := &Policy{cfg: cfg, now: now, host: host, log: log, tcp: tcp, in: make(chan arrival, inbox), calls: make(chan func(int64), 16), done_: make(chan func(int64), 64),
		idle: linkIdle, stop: make(chan struct{}), done: make(chan struct{})}
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
	events.Info(p.log, events.Rollout, "listen", p.Address(), "number", p.node.Number(), "members", len(p.node.Members()), "founding", p.node.Founding())
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
		timer.Reset(time.Duration(max(0, p.node.Next()-p.now())) * time.Microsecond)
	}
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

// Divide says what this gatherer could use of the budgets, and gives what it may: of the teams that are named, and of all others. A lease is
// taken to end so many microseconds early. False: they are not divided, or the answer is late.
func (p *Policy) Divide(wants []share.Demand, early int64) (named map[string]uint32, others uint32, ok bool) {
	type answer struct {
		named  map[string]uint32
		others uint32
	}
	got := make(chan answer, 1)
	if p.Status(func(n *rollout.Node, now int64) {
		if h := n.Parts(); h != nil {
			h.Want(wants)
			named, others, _ := h.Parts(now + early)
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

// Moved says where a gatherer is reached, as the view of the fleet has it; what the roster says prevails again when it changes.
func (p *Policy) Moved(name string, at netip.AddrPort) {
	if o := (*p.others.Load())[name]; o != nil && at.IsValid() {
		o.at.Store(&at)
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

func (p *Policy) dialer() net.Dialer {
	d := net.Dialer{Timeout: writeWait}
	if p.local.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.local, 0))
	}
	return d
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
		events.Info(p.log, events.RolloutRoster, "members", len(s.Members), "index", s.MembersIndex)
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
			parts.Slots(p.host.Slots())
		}
		events.Info(p.log, events.RolloutInForce, "number", d.Number)
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
				events.Warn(p.log, events.RolloutRefused, "error", err)
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

// fail ends this part: what was agreed on can't be kept or put in force here, so nothing more is let in.
func (p *Policy) fail(what string, err error) {
	if errors.Is(err, ErrClosed) { // the gatherer ends
		p.failed = err
	}
	if p.failed == nil {
		p.failed = fmt.Errorf("%s: %w", what, err)
		events.Error(p.log, events.RolloutFails, "what", what, "error", err)
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
		events.Debug(p.log, events.RolloutHolds, "on", x.Holding, "number", x.Number)
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
				conn, dialed = p.counts.of(c), p.now()
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

func (p *Policy) accept() {
	defer p.wg.Done()
	places := make(chan struct{}, inwardMost)
	for {
		conn, err := p.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			events.Warn(p.log, events.PeerDropped, "what", "accept", "error", err)
			time.Sleep(10 * time.Millisecond) // out of descriptors: not at once again
			continue
		}
		select {
		case places <- struct{}{}:
			p.wg.Add(1)
			go func() {
				defer p.wg.Done()
				defer func() { <-places }()
				p.serve(conn)
			}()
		default:
			conn.Close()
		}
	}
}

// serve takes in what one connection brings: a gatherer's messages, or an operator's proposals, which are answered on it.
func (p *Policy) serve(conn net.Conn) {
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-p.done:
		case <-over:
		}
		conn.Close()
	}()
	conn = p.counts.of(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(linkIdle))
		m, err := readMessage(conn)
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				events.Debug(p.log, events.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", err)
			}
			return
		}
		p.counts.heard(m)
		a := arrival{m: m}
		if m.Propose != nil {
			a.reply = make(chan *wire.Answer, 1)
		} else if o := (*p.others.Load())[m.From]; o == nil || m.To != p.cfg.Node.Name {
			events.Warn(p.log, events.PeerDropped, "what", "message", "from", conn.RemoteAddr(), "error", errStranger)
			return
		} else {
			o.heard.Store(p.now())
		}
		select {
		case p.in <- a:
		case <-p.done:
			return
		}
		if a.reply == nil {
			continue
		}
		select {
		case answer := <-a.reply:
			conn.SetWriteDeadline(time.Now().Add(writeWait))
			if writeMessage(conn, &wire.Message{From: p.cfg.Node.Name, Answer: answer}) != nil {
				return
			}
		case <-p.done:
			return
		}
	}
}

var errStranger = errors.New("it is of nobody among the members, or to another one")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// writeMessage writes a message behind its length and checksum.
func writeMessage(w io.Writer, m *wire.Message) error {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 8, 256), m)
	if err != nil {
		return err
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-8))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[8:], castagnoli))
	_, err = w.Write(b)
	return err
}

func readMessage(r io.Reader) (*wire.Message, error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > mostFrame {
		return nil, fmt.Errorf("a message of %d bytes", n)
	}
	b, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(b) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	if crc32.Checksum(b, castagnoli) != binary.BigEndian.Uint32(head[4:]) {
		return nil, errors.New("checksum")
	}
	m := &wire.Message{}
	return m, proto.Unmarshal(b, m)
}

// AskPolicy sends a proposal to a gatherer, or asks how one stands, and gives the answer.
func AskPolicy(at netip.AddrPort, x *wire.Propose, patience time.Duration) (*wire.Answer, error) {
	conn, err := net.DialTimeout("tcp", at.String(), patience)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	if err := writeMessage(conn, &wire.Message{Propose: x}); err != nil {
		return nil, err
	}
	m, err := readMessage(conn)
	if err != nil {
		return nil, err
	}
	if m.Answer == nil {
		return nil, errors.New("it answers something else")
	}
	return m.Answer, nil
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
