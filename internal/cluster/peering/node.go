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

const (
	inboxSize       = 1024                   // queued messages for the rollout.Node
	callQueue       = 16                     // queued calls
	completionQueue = 64                     // queued completions
	callTimeout     = time.Second            // of a call on the goroutine that owns the rollout.Node
	leaveTimeout    = 300 * time.Millisecond // for announcing a leave to the voters
)

// PolicyConfig configures a gatherer's part in the agreement.
type PolicyConfig struct {
	Node   rollout.Config
	Stored rollout.PersistentState // as stored by the previous process of this gatherer
	Global GlobalHost              // required if the node has a region
	Listen netip.AddrPort
	Seed   uint64
}

// PolicyHost is the gatherer's side of a PolicyNode. Save, Stage, Keep, Snapshot and Roster return
// when the data is on disk, or an error if it could not be stored; like Validate they are called
// from goroutines of their own. Install, Permit and Slots are called from Run's goroutine.
type PolicyHost interface {
	// Validate validates a document. Its error names the key that is invalid.
	Validate(text []byte) error
	// Install puts a document in force, before anything that is passed to the engine afterwards.
	Install(*wire.Document) error
	// Permit makes the engine admit queries by a permit, and returns when it does.
	Permit(transport.Permit)
	// Save stores the state and log entries that messages depend on.
	Save(*rollout.Save) error
	// Stage stores a proposal that was found valid.
	Stage(*wire.Proposal) error
	// Keep stores the document in force.
	Keep(*wire.Document) error
	// Snapshot replaces a prefix of the stored log.
	Snapshot(rollout.Disk) error
	// Roster stores the members.
	Roster(*wire.State) error
	// Slots returns the number of gatherers that share the budgets under the document installed
	// last.
	Slots() uint64
}

// PolicyNode runs a gatherer's part in the agreement on the policy. Its methods are safe for
// concurrent use.
type PolicyNode struct {
	cfg          PolicyConfig
	now          func() int64 // microseconds
	host         PolicyHost
	log          *slog.Logger
	tcp          *net.TCPListener
	localAddress netip.Addr // of outgoing connections
	idleTimeout  time.Duration

	inbound     chan inboundMessage
	calls       chan func(now int64)
	completions chan func(now int64) // of asynchronous work, to be reported to the node
	peers       atomic.Pointer[map[string]*peer]
	traffic     trafficCounter
	openLinks   atomic.Int64

	// Owned by Run's goroutine.
	node   *rollout.Node
	permit transport.Permit
	failed error
	region regionState

	wg       sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// inboundMessage is a received message. reply receives the answer to an operator's proposal; it is
// nil for messages of gatherers.
type inboundMessage struct {
	message *wire.Message
	reply   chan *wire.Answer
}

// OpenPolicyNode creates a node with an open listener, and revokes the engine's permit until a
// lease is granted. The caller has to call Run, and Stop to end it.
func OpenPolicyNode(cfg PolicyConfig, now func() int64, host PolicyHost, log *slog.Logger) (*PolicyNode, error) {
	if cfg.Node.Region != "" && cfg.Global == nil {
		return nil, errors.New("rollout: PolicyConfig.Global is required if the node has a region")
	}
	tcp, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, fmt.Errorf("rollout: listen: %w", err)
	}
	p := &PolicyNode{
		cfg: cfg, now: now, host: host, log: log, tcp: tcp, idleTimeout: linkIdleTimeout,
		inbound: make(chan inboundMessage, inboxSize), calls: make(chan func(int64), callQueue), completions: make(chan func(int64), completionQueue),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	p.peers.Store(&map[string]*peer{})
	if !cfg.Listen.Addr().IsUnspecified() {
		p.localAddress = cfg.Listen.Addr()
	}
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(time.Now().UnixNano())))
	if p.node, err = rollout.New(cfg.Node, now(), random, cfg.Stored); err != nil {
		tcp.Close()
		return nil, err
	}
	// No query is admitted before a lease is granted.
	p.permit = transport.Permit{Version: p.node.Number(), RetryAfter: cfg.Node.Lease / 2}
	host.Permit(p.permit)
	return p, nil
}

// Address returns the listener's address.
func (p *PolicyNode) Address() netip.AddrPort {
	address, ok := p.tcp.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	return address.AddrPort()
}

// Run takes part in the agreement until Stop. If something can't be stored or installed, the node
// revokes the engine's permit and sends no messages any more.
func (p *PolicyNode) Run() {
	defer close(p.done)
	logging.Info(p.log, logging.Rollout, "listen", p.Address(), "number", p.node.Number(), "members", len(p.node.Members()), "founding", p.node.IsBootstrapping())
	p.setPeers(p.node.Members())
	p.wg.Add(1)
	go p.accept()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case inbound := <-p.inbound:
			p.handle(inbound)
		case complete := <-p.completions:
			complete(p.now())
		case call := <-p.calls:
			call(p.now())
		case <-timer.C:
		case <-p.stop:
			p.announceLeave()
			return
		}
		p.handleQueued()
		if now := p.now(); now >= p.node.NextTick() {
			p.node.Tick(now)
		}
		p.execute()
		p.watchRegion()
		timer.Reset(time.Duration(max(0, p.node.NextTick()-p.now())) * time.Microsecond)
	}
}

// handleQueued handles all messages that have arrived, so that no timeout expires while a message
// that prevents it is queued.
func (p *PolicyNode) handleQueued() {
	for {
		select {
		case inbound := <-p.inbound:
			p.handle(inbound)
		default:
			return
		}
	}
}

func (p *PolicyNode) handle(inbound inboundMessage) {
	if inbound.reply != nil {
		inbound.reply <- p.node.Propose(p.now(), inbound.message.Propose)
		return
	}
	p.node.Receive(p.now(), inbound.message)
}

// UpdateDemand reports this gatherer's demand and returns its quotas, of the named teams and of all
// others. Leases count as expired earlyBy microseconds before their end. ok is false if budgets are
// not divided, or the node did not answer in time.
func (p *PolicyNode) UpdateDemand(demand []quota.Demand, earlyBy int64) (named map[string]uint32, others uint32, ok bool) {
	type quotas struct {
		named  map[string]uint32
		others uint32
	}
	answer := make(chan quotas, 1)
	err := p.Inspect(func(n *rollout.Node, now int64) {
		if holder := n.Quota(); holder != nil {
			holder.SetDemand(demand)
			named, others, _ := holder.Quotas(now + earlyBy)
			answer <- quotas{named, others}
		}
	})
	if err != nil {
		return nil, 0, false
	}
	select {
	case a := <-answer:
		return a.named, a.others, true
	default:
		return nil, 0, false
	}
}

// SetAbsent reports the members that the view of the fleet considers not alive. If the queue is
// full the report is dropped; the next view repeats it.
func (p *PolicyNode) SetAbsent(names map[string]bool) {
	select {
	case p.calls <- func(int64) { p.node.SetAbsent(names) }:
	default:
	}
}

// Inspect calls read on the goroutine that owns the node. It returns ErrClosed if the node has
// ended or did not run read within callTimeout; in the latter case read may still be called later.
func (p *PolicyNode) Inspect(read func(n *rollout.Node, now int64)) error {
	finished := make(chan struct{})
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	call := func(now int64) {
		read(p.node, now)
		close(finished)
	}
	select {
	case p.calls <- call:
	case <-p.done:
		return ErrClosed
	case <-timer.C:
		return ErrClosed
	}
	select {
	case <-finished:
		return nil
	case <-p.done:
		return ErrClosed
	case <-timer.C:
		return ErrClosed
	}
}

// announceLeave revokes the permit and notifies the voters, within leaveTimeout. A voter that can't
// be reached waits for the lease to expire.
func (p *PolicyNode) announceLeave() {
	p.tcp.Close()
	p.node.Leave()
	p.updatePermit()
	if p.failed != nil {
		return
	}
	deadline := time.Now().Add(leaveTimeout)
	var wg sync.WaitGroup
	for _, m := range p.node.TakeOutput().Messages {
		voter := (*p.peers.Load())[m.To]
		if m.Ask == nil || !m.Ask.Leaves || voter == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.sendOnce(voter, m, deadline)
		}()
	}
	wg.Wait()
}

// sendOnce sends a message over a connection of its own. It may be lost.
func (p *PolicyNode) sendOnce(to *peer, m *wire.Message, deadline time.Time) {
	dialer := p.dialer()
	dialer.Deadline = deadline
	conn, err := dialer.Dial("tcp", to.address.Load().String())
	if err != nil {
		return
	}
	defer conn.Close()
	if conn.SetDeadline(deadline) == nil {
		_ = writeMessage(conn, m) // if it is lost, the voter waits for the lease to expire
	}
}

// Stop announces the leave to the voters, ends Run and waits for all goroutines. No query is
// admitted afterwards.
func (p *PolicyNode) Stop() {
	p.stopOnce.Do(func() { close(p.stop) })
	<-p.done
	p.wg.Wait()
}
