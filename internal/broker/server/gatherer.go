package server

import (
	"fmt"
	"log/slog"
	"net/netip"
	"runtime/debug"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/peering"
	"sync"
	"sync/atomic"
)

// Gatherer is one running gatherer: its components and what is in force. Start makes it.
//
// One goroutine, run, owns every field that has no owner of its own. The mutex and the atomic fields guard what other goroutines read.
type Gatherer struct {
	Plan
	logger             *slog.Logger
	clock              transport.Clock
	engine             *transport.Engine
	watcher            *transport.Watcher       // nil: the list of servers is fixed
	routes             *transport.Routes        // nil: no layout
	virtual            *virtualService          // nil: no virtual address
	admin              *transport.AdminListener // the admin endpoint; nil: off
	lifecycle          *adminapi.Lifecycle
	metrics            *adminapi.Metrics
	publishedFleetView atomic.Pointer[fleetView]          // the same as fleetView, for other goroutines
	policyNode         atomic.Pointer[peering.PolicyNode] // takes part in the agreement on the policy; nil: there is none
	quotas             *budgetQuotas                      // of the budgets; nil: these are divided evenly
	policyNumber       atomic.Uint64                      // of the policy in force here
	currentFile        atomic.Pointer[config.Operator]    // the file, with the policy in force
	installs           chan installRequest                // documents to be put in force
	siblings           *transport.StateExchange           // the other processes of this gatherer; nil: no socket is passed, so there are none
	siblingStates      chan []handover.State              // what the siblings report
	electionPending    bool                               // taking part in the VRRP election has failed
	siblingSockets     int                                // descriptors that the siblings use
	fleetView          *fleetView                         // nil: there is no view
	lateFleetView      chan *fleetView                    // a view whose address the replaced process has only now released
	listenerEnded      chan error                         // the result of the listener's Serve
	standbyChanged     chan struct{}                      // standby was begun or ended

	clientAddress, adminAddress string        // of clients and operators
	reloadRequested             chan struct{} // the file must be read again
	stopRequested               chan struct{} // closed: shutdown must begin
	stopOnce                    sync.Once
	ended                       chan struct{} // closed: the gatherer has ended
	loopStopped                 chan struct{} // closed: the gatherer's goroutine handles no more events
	failure                     error         // why it ended without Stop; set before ended is closed

	started []func() // stop what startComponents has started, in the order of the starts; used only where the start fails

	mu        sync.Mutex // guards listener and onStandby
	listener  *transport.Listener
	onStandby bool
}

// Start starts a gatherer by a plan and returns when it serves. output may be nil; otherwise it is what logger writes through, and the plan's log
// format and level are set there. Stop ends what it has started.
func Start(p Plan, logger *slog.Logger, output *logging.Output) (*Gatherer, error) {
	p.logOutput = output
	if err := p.applyLog(); err != nil {
		return nil, fmt.Errorf("configuration: log: %w", err)
	}
	debug.SetMemoryLimit(p.memoryLimit())
	g := newGatherer(p, logger)
	if err := g.startComponents(); err != nil {
		g.abortStart()
		return nil, err
	}
	go g.run()
	if p := g.policyNode.Load(); p != nil {
		go p.Run()
	}
	return g, nil
}

// newGatherer returns a gatherer of which nothing is started.
func newGatherer(p Plan, logger *slog.Logger) *Gatherer {
	g := &Gatherer{
		Plan: p, logger: logger, clock: transport.NewClock(), listenerEnded: make(chan error, 1),
		standbyChanged: make(chan struct{}, 1), siblingStates: make(chan []handover.State, 1),
		reloadRequested: make(chan struct{}, 1), stopRequested: make(chan struct{}),
		ended: make(chan struct{}), loopStopped: make(chan struct{}), lateFleetView: make(chan *fleetView), installs: make(chan installRequest),
	}
	g.lifecycle, g.metrics = adminapi.NewLifecycle(g.applyStandby), adminapi.NewMetrics()
	if g.layout != nil {
		g.metrics.LayoutCounts = &adminapi.LayoutMetrics{}
	}
	if g.adopt != nil {
		g.adopt()
	}
	if g.cursors != nil && g.cursors.Load() != nil {
		cursors, clock := g.cursors, g.clock
		g.metrics.Cursors = func() int {
			if k := cursors.Load(); k != nil {
				return k.CountOpen(clock.Now())
			}
			return 0 // a later file has no cursors
		}
	}
	if d := g.durable; d != nil && d.store != nil {
		g.metrics.Store = d.metrics
	}
	if g.fleetFile != nil {
		g.metrics.Fleet = func() adminapi.FleetMetrics { return g.publishedFleetView.Load().metrics() }
	}
	if g.rollout != nil {
		g.metrics.Rollout = g.rolloutMetrics
	}
	return g
}

// ClientAddress is the address at which clients connect.
func (g *Gatherer) ClientAddress() string { return g.clientAddress }

// AdminAddress is the address of the admin endpoint; "off" where there is none.
func (g *Gatherer) AdminAddress() string { return g.adminAddress }

// FleetAddress is the address at which other members reach this gatherer's view of the fleet; empty where there is none.
func (g *Gatherer) FleetAddress() string {
	if m := g.publishedFleetView.Load(); m != nil {
		return m.peers.Address().String()
	}
	return ""
}

// PolicyAddress is the address at which this gatherer takes part in the agreement on the policy; not valid where it does not.
func (g *Gatherer) PolicyAddress() netip.AddrPort {
	if p := g.policyNode.Load(); p != nil {
		return p.Address()
	}
	return netip.AddrPort{}
}

// MemberCounts returns how many members this gatherer sees alive, and the fleet size that it counts with. Both are 0 where it keeps no view, or the view
// is not yet open.
func (g *Gatherer) MemberCounts() (alive, effectiveSize int) {
	if m := g.publishedFleetView.Load(); m != nil {
		k := m.peers.Counts()
		return k.AliveCount, k.EffectiveSize
	}
	return 0, 0
}

// Reload requests that the file is read again. It does not wait, and works also while the gatherer shuts down.
func (g *Gatherer) Reload() {
	select {
	case g.reloadRequested <- struct{}{}:
	default: // one is due anyway
	}
}

// Stop begins a graceful shutdown: the gatherer serves until nothing is in flight and nothing comes in. Wait returns when it has ended. Stop may be called
// more than once.
func (g *Gatherer) Stop() { g.stopOnce.Do(func() { close(g.stopRequested) }) }

// Done returns a channel that is closed when the gatherer has ended.
func (g *Gatherer) Done() <-chan struct{} { return g.ended }

// Wait waits for the end, and returns the reason where it was not Stop.
func (g *Gatherer) Wait() error {
	<-g.ended
	return g.failure
}
