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

// Gatherer is a running gatherer: its components and the settings in force. Start creates it.
//
// The goroutine run owns every field that no other comment assigns to another goroutine. Other
// goroutines read only the atomic fields, the channels and the fields guarded by the mutex.
type Gatherer struct {
	Plan
	logger             *slog.Logger
	clock              transport.Clock
	engine             *transport.Engine
	watcher            *transport.Watcher       // nil: the list of servers is static
	routes             *transport.Routes        // nil: no layout
	virtual            *virtualService          // nil: no virtual address
	admin              *transport.AdminListener // the admin endpoint; nil: off
	lifecycle          *adminapi.Lifecycle
	metrics            *adminapi.Metrics
	publishedFleetView atomic.Pointer[fleetView]          // the same as fleetView, for other goroutines
	policyNode         atomic.Pointer[peering.PolicyNode] // replicates the policy; nil: no rollout
	quotas             *budgetQuotas                      // of the budgets; nil: these are divided evenly
	policyNumber       atomic.Uint64                      // version of the policy in force
	currentFile        atomic.Pointer[config.Operator]    // the operator's file, with the policy in force
	installs           chan installRequest                // policy documents to apply
	siblings           *transport.StateExchange           // with the other processes of this gatherer; nil: no socket was passed
	siblingStates      chan []handover.State              // reports of the siblings
	electionPending    bool                               // joining the VRRP election has failed and is retried
	siblingSockets     int                                // descriptors that the siblings use
	fleetView          *fleetView                         // nil: no view
	lateFleetView      chan *fleetView                    // a view whose address the replaced process has just released
	listenerEnded      chan error                         // the result of the listener's Serve
	standbyChanged     chan struct{}                      // signals that standby was set or cleared

	clientAddress, adminAddress string        // bound addresses of the two listeners
	reloadRequested             chan struct{} // signals that the file must be read again
	stopRequested               chan struct{} // closed by Stop
	stopOnce                    sync.Once
	ended                       chan struct{} // closed when the gatherer has ended
	loopStopped                 chan struct{} // closed when the gatherer's goroutine handles no more events
	failure                     error         // why it ended without Stop; set before ended is closed

	started []func() // stop the components started so far, in start order; used only if the start fails

	mu        sync.Mutex // guards listener and onStandby
	listener  *transport.Listener
	onStandby bool
}

// Start starts a gatherer according to a plan and returns when it serves. If output is not nil, it must
// be the output that logger writes to; the plan's log format and level are applied to it. After an
// error everything that was started has been stopped.
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

// newGatherer returns a gatherer with no component started.
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
			return 0 // a reloaded file has no cursors
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

// ClientAddress returns the address of the client listener.
func (g *Gatherer) ClientAddress() string { return g.clientAddress }

// AdminAddress returns the address of the admin endpoint, or "off" if there is none.
func (g *Gatherer) AdminAddress() string { return g.adminAddress }

// FleetAddress returns the address at which the other members of the fleet reach this gatherer, or the
// empty string if the view of the fleet is not open.
func (g *Gatherer) FleetAddress() string {
	if m := g.publishedFleetView.Load(); m != nil {
		return m.peers.Address().String()
	}
	return ""
}

// PolicyAddress returns the address of the policy node, or the zero AddrPort if there is none.
func (g *Gatherer) PolicyAddress() netip.AddrPort {
	if p := g.policyNode.Load(); p != nil {
		return p.Address()
	}
	return netip.AddrPort{}
}

// MemberCounts returns the number of members that this gatherer sees alive, and the effective size of
// the fleet. Both are 0 if the view of the fleet is not open.
func (g *Gatherer) MemberCounts() (alive, effectiveSize int) {
	if m := g.publishedFleetView.Load(); m != nil {
		k := m.peers.Counts()
		return k.AliveCount, k.EffectiveSize
	}
	return 0, 0
}

// Reload requests that the configuration file is read again. It does not wait, and also has an effect
// during a shutdown.
func (g *Gatherer) Reload() {
	select {
	case g.reloadRequested <- struct{}{}:
	default: // a reload is already pending
	}
}

// Stop begins a graceful shutdown: the gatherer serves until no query is in flight and no request
// arrives any more. Wait returns when the shutdown is complete. Stop may be called more than once.
func (g *Gatherer) Stop() { g.stopOnce.Do(func() { close(g.stopRequested) }) }

// Done returns a channel that is closed when the gatherer has ended.
func (g *Gatherer) Done() <-chan struct{} { return g.ended }

// Wait waits until the gatherer has ended. It returns nil after Stop, otherwise the error that
// ended it.
func (g *Gatherer) Wait() error {
	<-g.ended
	return g.failure
}
