package server

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/peering"
	"sync"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

// Gatherer is a running one: the program's parts, joined. One goroutine of its own owns what has no owner of its own below.
type Gatherer struct {
	Plan
	logger             *slog.Logger
	clock              transport.Clock
	engine             *transport.Engine
	watcher            *transport.Watcher // nil: the list of servers is fixed
	routes             *transport.Routes  // nil: no layout
	virtual            *virtualService    // nil: no virtual address
	admin              *transport.Door    // nil: off
	lifecycle          *adminapi.Lifecycle
	metrics            *adminapi.Metrics
	publishedFleetView atomic.Pointer[fleetView]          // the same as fleetView, for operators' calls
	policyNode         atomic.Pointer[peering.PolicyNode] // the part in agreeing on the policy; nil: there is none
	quotas             *budgetQuotas                      // of the budgets; nil: they are divided evenly
	policyNumber       atomic.Uint64                      // of the policy in force here
	currentFile        atomic.Pointer[config.Operator]    // the file, with the policy in force
	installs           chan installRequest                // policies to be put in force
	siblings           *transport.Beside                  // nil: no socket is passed, so nobody replaces this process or is replaced by it
	siblingStates      chan []handover.State              // what other processes of this gatherer told
	electionPending    bool                               // it could not take part in VRRP's election
	siblingSockets     int                                // descriptors that they hold
	fleetView          *fleetView                         // nil: no view of a fleet
	lateFleetView      chan *fleetView                    // a view whose address was still held by the process that this one replaces
	listenerEnded      chan error                         // the listener's end
	standbyChanged     chan struct{}                      // the duty has changed

	clientAddress, adminAddress string        // where they call
	reloadRequested             chan struct{} // the file is to be read again
	stopRequested               chan struct{} // closed: it is to end
	stopOnce                    sync.Once
	ended                       chan struct{} // closed: it has ended
	loopStopped                 chan struct{} // closed: its goroutine takes nothing in any more, since it ends
	failure                     error         // why it ended by itself; set before over is closed

	mu        sync.Mutex // of the two that a standby touches
	listener  *transport.Listener
	onStandby bool
}

// Start starts a gatherer by a plan, and returns once it serves. output, where given, is what logger writes through: the plan's format
// and level are put in force there.
func Start(p Plan, logger *slog.Logger, output *logging.Output) (*Gatherer, error) {
	p.logOutput = output
	if err := p.applyLog(); err != nil {
		return nil, fmt.Errorf("configuration: log: %w", err)
	}
	debug.SetMemoryLimit(int64(p.memoryMB) << 20 * 3 / 4)
	g := &Gatherer{
		Plan: p, logger: logger, clock: transport.NewClock(), listenerEnded: make(chan error, 1),
		standbyChanged: make(chan struct{}, 1), siblingStates: make(chan []handover.State, 1), reloadRequested: make(chan struct{}, 1), stopRequested: make(chan struct{}),
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
			return 0 // a later file has none
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
	if err := g.startComponents(); err != nil {
		g.durable.close()
		return nil, err
	}
	go g.run()
	if p := g.policyNode.Load(); p != nil {
		go p.Run()
	}
	return g, nil
}

// Listen is where clients connect, Door where operators call ("off": nowhere).
func (g *Gatherer) ClientAddress() string { return g.clientAddress }

// Door is where operators call; "off" where there is no door.
func (g *Gatherer) AdminAddress() string { return g.adminAddress }

// Retune has the file read once more, soon; it does not wait. Also while the gatherer ends.
func (g *Gatherer) Reload() {
	select {
	case g.reloadRequested <- struct{}{}:
	default: // one is due anyway
	}
}

// Stop begins the end: the gatherer goes on until nothing is held and nothing comes in. Wait tells when.
func (g *Gatherer) Stop() { g.stopOnce.Do(func() { close(g.stopRequested) }) }

// Done is closed once the gatherer has ended.
func (g *Gatherer) Done() <-chan struct{} { return g.ended }

// Wait waits for the end, and gives the reason where it was not Stop's.
func (g *Gatherer) Wait() error {
	<-g.ended
	return g.failure
}

// run looks after what turns up, until Stop.
func (g *Gatherer) run() {
	defer close(g.ended)
	defer g.durable.close()
	if g.quotas != nil {
		defer g.quotas.tick.Stop()
	}
	for {
		switch turn, err := g.handleNext(nil, nil); turn {
		case eventListenerEnded:
			g.failure = fmt.Errorf("accept: %w", err)
			return
		case eventStop:
			g.shutDown()
			return
		}
	}
}

// turn is what has come up for the gatherer's goroutine that is not settled on the spot.
type event int

const (
	eventHandled event = iota
	eventListenerEnded
	eventStop
	eventCheck     // it is time to look whether the end has come
	eventGraceOver // what comes from now on has no time to itself
)

// attend waits for what comes up next, and settles what has to be settled whether or not the gatherer is ending: then look and last are
// given, and what would begin something is left alone. Guards leases and numbers that go on changing while queries are still held.
func (g *Gatherer) handleNext(look, last <-chan time.Time) (event, error) {
	ending := look != nil
	duty, late, term := g.standbyChanged, g.lateFleetView, g.stopRequested
	if ending {
		duty, late, term = nil, nil, nil
	}
	select {
	case err := <-g.listenerEnded:
		return eventListenerEnded, err
	case <-g.reloadRequested: // it may still move the watch: what is held has to end well
		g.reloadFile()
	case others := <-g.siblingStates:
		if g.adjustToSiblings(others); g.electionPending && !ending {
			g.competeForAddress()
		}
	case <-duty:
		g.competeForAddress()
		g.fleetView.updateMetadata(g.fleetMetadata)
	case x := <-g.installs:
		g.install(x)
	case m := <-late:
		g.startFleetView(m)
	case c := <-g.fleetView.updates():
		g.applyMemberCount(c)
	case <-g.fleetView.divisorDue():
		g.updateDivisor()
	case <-g.quotas.due():
		g.requestQuotas()
	case d := <-g.quotas.results():
		g.applyQuotas(d)
	case <-term:
		return eventStop, nil
	case <-look:
		return eventCheck, nil
	case <-last:
		return eventGraceOver, nil
	}
	return eventHandled, nil
}

func (g *Gatherer) startComponents() error {
	if err := g.buildEngine(); err != nil {
		return err
	}
	door := "off"
	if g.adminListen != "" {
		l, err := net.Listen("tcp", g.adminListen)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		g.admin = transport.NewDoor(l, adminProgram{g.lifecycle, g.metrics, g.routes, g.logOutput, g.engine, g.publishedFleetView.Load, g.policyNode.Load}, g.logger)
		go g.admin.Serve()
		door = l.Addr().String()
	}
	socket, err := g.clientSocket()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if d := g.durable; d != nil && d.store != nil {
		g.engine.Recall(d.memory)
	}
	g.takeOver()
	bounds := g.listenerConfig()
	g.mu.Lock()
	g.listener = transport.NewListener(socket, bounds, g.engine, g.front, g.logger)
	g.listener.Standby(g.onStandby)
	g.mu.Unlock()
	go g.engine.Run()
	g.currentFile.Store(g.file)
	if err := g.openPolicyNode(); err != nil {
		return err
	}
	if g.siblings != nil {
		go g.siblings.Run()
	}
	if d := g.durable; d != nil && d.store != nil {
		d.start(g.engine, g.currentLayout)
	}
	g.startWatcher()
	g.startRoutes()
	if g.vrrp != nil {
		g.virtual = &virtualService{clock: g.clock, config: *g.vrrp, engine: g.engine, log: g.logger}
		g.virtual.reconfigure(bounds, g.front)
		if err := g.competeForAddress(); err != nil && g.siblingSockets == 0 {
			return err
		}
	}
	go func() { g.listenerEnded <- g.listener.Serve() }()
	if err := g.joinFleet(); err != nil {
		return err
	}
	g.lifecycle.MarkStarted()
	g.clientAddress, g.adminAddress = socket.Addr().String(), door
	logging.Info(g.logger, logging.Start, "name", g.name, "listen", socket.Addr(), "operator", door, "servers", len(g.fleet.Servers))
	return nil
}

// compete takes part in VRRP's election, or on standby does not. Guards a successor against ending because the process
// that it replaces still holds the router's address: it tries again whenever it hears of that one, or of its end.
func (g *Gatherer) competeForAddress() error {
	if g.virtual == nil {
		return nil
	}
	err := g.virtual.compete(!g.isStandby())
	if err != nil && !g.electionPending {
		logging.Error(g.logger, logging.Vrrp, "error", err)
	}
	g.electionPending = err != nil
	return err
}

// stand carries an operator's word out; the main goroutine looks after the virtual address.
func (g *Gatherer) applyStandby(standby bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStandby = standby
	if g.listener != nil {
		g.listener.Standby(standby)
	}
	logging.Info(g.logger, logging.Duty, "standby", standby)
	select {
	case g.standbyChanged <- struct{}{}:
	default:
	}
}

func (g *Gatherer) isStandby() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onStandby
}

// compose makes the module, the core round it and their engine.
func (g *Gatherer) buildEngine() error {
	module, err := sq.New(g.settings.Module, g.seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	g.engine = transport.NewEngine(g.clock, core.New(g.coreTerms(), module), g.poolConfig(), g.dialect, g.metrics, g.logger)
	g.engine.Contracts(g.contracts)
	g.engine.Fleet(g.fleet, g.addresses)
	if g.newWatcher != nil {
		g.watcher = g.newWatcher(g.engine)
		g.engine.Watch, g.engine.Fetch = g.watcher.Begin, g.watcher.Begin
	}
	if g.layout != nil {
		cfg := transport.RoutesConfig{Directory: g.layout.Directory, Stall: g.layout.Stall}
		g.routes, err = transport.NewRoutes(cfg, g.durable.newestLayout(g.layout.Document, g.serverIDs()), g.serverIDs(), g.clock, g.currentLayout, g.engine.Layout,
			g.metrics.LayoutCounts, g.logger)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		g.engine.Refresh = g.routes.Refresh
	}
	return nil
}

// desk is what the operators' door reaches.
type adminProgram struct {
	*adminapi.Lifecycle
	*adminapi.Metrics
	routes *transport.Routes
	output *logging.Output
	engine *transport.Engine
	// members is the view of the fleet; nil before it is opened, or where there is none.
	fleetView  func() *fleetView
	policyNode func() *peering.PolicyNode // nil where there is none
}

// Contracts appends how each team stands, a line each; nil where there are no contracts.
func (d adminProgram) Contracts(dst []byte) []byte {
	for _, a := range d.engine.Accounts(maxListedTeams) {
		dst = fmt.Appendf(dst, "team %s share=%.4f queued=%d out=%d asked=%d started=%d waited=%d ahead=%d full=%d class=%d expired=%d predicted_us=%.0f took_us=%.0f lent_us=%.0f attempts=%d budget=%.2f limit=%d ratio=%.3f\n",
			a.Team, a.Fraction, a.Queued, a.Out, a.Requested, a.Started, a.Queued, a.RejectedBacklog, a.RejectedQueueFull, a.RejectedClass, a.Expired, a.Predicted, a.Consumed, a.Borrowed, a.Attempts, a.Budget, a.Limit, a.Ratio)
	}
	return dst
}

// mostAccounts bounds the teams that are told of.
const maxListedTeams = 1000

// Log changes what is logged.
func (d adminProgram) SetLogLevel(level string) error {
	if d.output == nil {
		return errors.New("this program's log can't be changed")
	}
	return d.output.SetLevel(level)
}

// Layout appends how the layout stands; nil where there is none.
func (d adminProgram) Layout(dst []byte) []byte {
	if d.routes == nil {
		return nil
	}
	return d.routes.Layout(dst)
}

// applyLog has the log written as the file says.
func (p Plan) applyLog() error {
	if p.logOutput == nil {
		return nil
	}
	p.logOutput.SetFormat(cmp.Or(p.logConfig.Format, "text"))
	return p.logOutput.SetLevel(cmp.Or(p.logConfig.Level, "info"))
}

func (p Plan) serverIDs() []sq.ServerID {
	ids := make([]sq.ServerID, len(p.fleet.Servers))
	for i, s := range p.fleet.Servers {
		ids[i] = s.ID
	}
	return ids
}

// followLayout begins to follow the layout. The directory's own word is waited for, a second at most: until it is in, the file's
// layout may be old, and servers turn away what it misplaces.
func (g *Gatherer) startRoutes() {
	if g.routes == nil {
		return
	}
	go g.routes.Run()
	if g.layout.Directory == "" {
		return
	}
	t := time.NewTimer(firstListTimeout)
	defer t.Stop()
	select {
	case <-g.routes.Heard():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "layout", "given", "waited", firstListTimeout)
	}
}

// terms is what the core holds to, by the settings in force.
func (g *Gatherer) coreTerms() core.Config {
	set := g.settings
	for _, c := range set.Module.Classes {
		g.metrics.RegisterClasses(c.Name)
	}
	budgets := g.budgets
	if g.quotas != nil && g.contracts != nil {
		budgets = g.quotas.divideBudgets(g.clock.Now(), budgets, g.contracts)
	}
	held := int64(0)
	if g.newWatcher == nil { // searches: their answers are of any size
		held = int64(g.memoryMB) << 20 / 4
	}
	return core.Config{
		MaxHeld: held, Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: g.partsPerCall, RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes, Tenants: budgets,
	}
}

func (g *Gatherer) poolConfig() transport.PoolConfig {
	return transport.PoolConfig{
		ConnectTimeout: g.settings.ConnectTimeout, IdleClose: g.settings.IdleClose,
		MaxConns: g.maxServerConns(),
	}
}

// sockets is how many descriptors this process may hold: what the other one of this gatherer holds is missing here.
func (g *Gatherer) availableSockets() int {
	return max(g.Plan.maxSockets-g.siblingSockets, 3*reservedSockets)
}

// smallSockets is the most descriptors of a machine by whose size the shares below were found: more than that is for servers, since what a
// gatherer needs for clients grows with its traffic and not with the fleet.
const smallMachineSockets = 1024

// serverConns is how many of them connections to servers may hold. Guards a gatherer before thousands of servers against a query that asks
// more of them than it may reach at a time: what finds no connection is refused, so that such a query is never whole.
func (g *Gatherer) maxServerConns() int {
	return min(192, g.availableSockets()/3) + max(0, g.availableSockets()-smallMachineSockets)
}

// bounds is what one listener may hold. Clients must never take the descriptors that servers, discovery and
// operators need.
func (g *Gatherer) listenerConfig() transport.ListenerConfig {
	b := transport.ListenerConfig{
		MaxConns: g.availableSockets() - g.maxServerConns() - reservedSockets, Enough: min(g.availableSockets(), smallMachineSockets) / 4,
		Idle: 15 * time.Second, First: 2500 * time.Millisecond, Slow: 2500 * time.Millisecond,
		MaxHeld: int64(g.memoryMB) << 20 / 8,
	}
	if g.adminListen != "" {
		b.MaxConns -= transport.DoorSockets
	}
	if l := g.settings.Module.Limits; l.RetryAfter {
		b.RetryAfter = time.Duration(l.MaxRetryAfter) * time.Microsecond
	}
	if g.vrrp != nil {
		b.MaxConns /= 2 // the virtual address has a listener of its own
		b.Enough /= 2
	}
	return b
}

// socket is the clients' listening socket: the one that was passed, of which this process has a copy, or a new one.
func (g *Gatherer) clientSocket() (net.Listener, error) {
	if g.passedSocket > 0 {
		file := os.NewFile(uintptr(g.passedSocket), "clients")
		if file == nil {
			return nil, fmt.Errorf("descriptor %d is not open", g.passedSocket)
		}
		defer file.Close() // FileListener has made a copy of its own
		return net.FileListener(file)
	}
	// Clients are let go by their idle time; probes by the system would only cost four calls for each.
	accepting := net.ListenConfig{KeepAlive: -1}
	return accepting.Listen(context.Background(), "tcp", g.listen)
}

// succeed takes over what the process that this one replaces has told, where there is one, and tells in turn.
func (g *Gatherer) takeOver() {
	if g.passedSocket == 0 || g.sharedDirectory == "" {
		return
	}
	g.siblings = transport.NewBeside(g.sharedDirectory, g.name, g.clock, g.handoverState, func(others []handover.State) {
		select {
		case g.siblingStates <- others:
		default: // the main goroutine has not got to the last ones; there is word again soon
		}
	}, g.logger)
	others := g.siblings.Others()
	from, ok := handover.Newest(others)
	if !ok {
		return
	}
	g.engine.Succeed(from)
	if list, err := platform.ParseList(from.List); err == nil && g.watcher != nil && from.Discovery == g.discovery {
		g.engine.Fleet(sq.FleetChanged{Kind: sq.FleetCached, Servers: list.Servers}, list.Addresses)
	}
	g.adjustToSiblings(others)
	if from.Standby {
		if err := g.lifecycle.Standby(); err != nil {
			logging.Error(g.logger, logging.Duty, "error", err)
		}
	}
	logging.Info(g.logger, logging.Succeeds, "standby", from.Standby, "open", from.Open, "sockets", from.Sockets, "generation", from.Generation)
}

// standing is how this process stands.
func (g *Gatherer) handoverState() (handover.State, bool) {
	s, ok := g.engine.Standing()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok || g.listener == nil {
		return s, false
	}
	s.Standby = g.onStandby
	s.Sockets += g.listener.Conns() + reservedSockets + transport.DoorSockets
	if g.watcher != nil {
		s.List, s.Generation, s.Discovery = g.watcher.Held()
	}
	return s, true
}

// share has rules and limits count what the other processes of this gatherer hold.
func (g *Gatherer) adjustToSiblings(others []handover.State) {
	held := 0
	for _, o := range others {
		held += o.Sockets
	}
	if held == 0 && g.siblingSockets == 0 {
		return
	}
	g.siblingSockets = held
	limit := int64(g.memoryMB) << 20 * 3 / 4
	if held > 0 {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
	g.engine.Beside(others, g.maxServerConns())
	if g.listener != nil {
		g.listener.Reconfigure(g.listenerConfig(), g.front)
	}
}

// follow begins to follow discovery. A successor first has the whole list, or has waited for it: until then the
// process that it replaces serves, with a list that is up to date.
func (g *Gatherer) startWatcher() {
	if g.watcher == nil {
		return
	}
	if g.passedSocket == 0 {
		go g.watcher.Run()
		return
	}
	g.watcher.Afresh()
	go g.watcher.Run()
	t := time.NewTimer(firstListTimeout)
	defer t.Stop()
	select {
	case <-g.watcher.Heard():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "list", "given", "waited", firstListTimeout)
	}
}

// retune reads the file once more and, where all of it can be used, puts it in force. Addresses to listen at, the name
// and VRRP stay as they were at the start.
func (g *Gatherer) reloadFile() {
	now, err := g.rereadFile()
	if err == nil {
		err = g.apply(now)
	}
	if err != nil {
		g.metrics.ConfigRejected.Add(1)
		logging.Error(g.logger, logging.Reload, "kept", "old", "error", err)
		return
	}
	g.metrics.ConfigAccepted.Add(1)
	logging.Info(g.logger, logging.Reload, "classes", len(g.settings.Module.Classes), "discovery", g.discovery, "servers", len(g.fleet.Servers))
}

// enforce puts another plan in force, whole; after an error nothing has changed.
func (g *Gatherer) apply(now Plan) error {
	if g.routes != nil {
		if err := g.routes.File(now.layout.Document, now.serverIDs(), false); err != nil {
			return err
		}
	}
	if now.listen != g.listen || now.adminListen != g.adminListen {
		logging.Warn(g.logger, logging.Reload, "note", "listen and operator take a restart")
	}
	if now.adopt != nil {
		now.adopt()
	}
	now.name, now.listen, now.adminListen, now.vrrp, now.passedSocket, now.sharedDirectory, now.seed = g.name, g.listen, g.adminListen, g.vrrp,
		g.passedSocket, g.sharedDirectory, g.seed
	now.logOutput = g.logOutput
	if now.logConfig != g.Plan.logConfig { // what an operator set at the door stays otherwise
		if err := now.applyLog(); err != nil {
			logging.Error(g.logger, logging.Reload, "error", err)
		}
	}
	g.Plan = now
	debug.SetMemoryLimit(int64(g.memoryMB) << 20 * 3 / 4)
	g.engine.Reconfigure(g.coreTerms(), g.moduleSettings(), g.poolConfig(), g.dialect)
	g.engine.Contracts(g.dividedContracts())
	g.listener.Reconfigure(g.listenerConfig(), g.front)
	if g.virtual != nil {
		g.virtual.reconfigure(g.listenerConfig(), g.front)
	}
	if g.watcher != nil {
		g.watcher.Move(g.discovery)
	} else {
		g.applyFileServers()
	}
	g.currentFile.Store(g.file)
	return nil
}

// settle has the file's servers and layout in force. New servers come before the layout that names them, and those that are
// gone leave after the one that no longer does, so that no range is without holders in between.
func (g *Gatherer) applyFileServers() {
	if g.routes != nil {
		g.engine.Fleet(sq.FleetChanged{Kind: sq.FleetDelta, Servers: g.fleet.Servers}, g.addresses)
		if err := g.routes.File(g.layout.Document, g.serverIDs(), true); err != nil { // the directory has just said otherwise
			logging.Error(g.logger, logging.Reload, "layout", "kept", "error", err)
		}
		if g.layout.Directory != "" {
			g.routes.Move(g.layout.Directory)
		}
	}
	g.engine.Fleet(g.fleet, g.addresses)
}

// end leaves: it goes on serving until nothing comes in any more, takes in what waits to be accepted, and ends once the last
// connection has. With a passed socket it accepts nothing more from the beginning.
func (g *Gatherer) shutDown() {
	g.lifecycle.MarkLeaving(g.passedSocket > 0)
	g.fleetView.updateMetadata(g.fleetMetadata)
	if g.virtual != nil {
		g.virtual.leave()
	}
	if g.passedSocket > 0 {
		g.listener.HandOver(g.siblingSockets > 0)
	} else {
		g.listener.Leave()
	}
	still := func(since int64) bool { return g.listener.Quiet(since) && (g.virtual == nil || g.virtual.quiet(since)) }
	empty := func() bool { return g.listener.Conns() == 0 && (g.virtual == nil || g.virtual.conns() == 0) }
	logging.Info(g.logger, logging.Leaving, "held", g.engine.Held())
	since := g.clock.Now()
	killed := since + g.answerTimeAfterStop()
	lastEntry := time.NewTimer(fullTimeAfterStop)
	defer lastEntry.Stop()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for served, closing := false, false; ; {
		switch turn, _ := g.handleNext(tick.C, lastEntry.C); turn {
		case eventGraceOver:
			g.engine.EndBy(killed)
			continue
		case eventListenerEnded: // what it accepted last is among the connections now
			served = true
			continue
		case eventHandled:
			continue
		}
		now := g.clock.Now()
		switch {
		case !served && !closing && g.passedSocket == 0 && now-since >= quietPeriod && still(now-quietPeriod):
			g.listener.LastCalls()
			closing = true
			continue
		case !served || !empty() || g.engine.Held() > 0:
			continue
		}
		break
	}
	g.fleetView.leave()
	if g.siblings != nil {
		g.siblings.Stop()
	}
	g.listener.Close()
	if g.virtual != nil {
		g.virtual.close()
	}
	if g.watcher != nil {
		g.watcher.Stop()
	}
	if g.routes != nil {
		g.routes.Stop()
	}
	close(g.loopStopped) // before it waits for who may be waiting for this goroutine
	if p := g.policyNode.Load(); p != nil {
		p.Stop()
	}
	g.durable.close()
	g.engine.Stop()
	if g.admin != nil {
		g.admin.Close()
	}
	logging.Info(g.logger, logging.Stopped)
}

const (
	// fullTime is how long after SIGTERM a query still gets all of its time, in which the platform lets it end.
	fullTimeAfterStop = 600 * time.Millisecond
	// The platform kills a process so long after SIGTERM, and the longest deadline, as far as that is not over mostAwaited, later.
	killDelay          = 700_000
	maxDeadlineAwaited = 3_000_000
	killMargin         = 250_000 // an answer takes this long at most from its decision to its last byte
)

// lifeAfterTerm is how long after SIGTERM answers still leave for certain, in microseconds.
func (g *Gatherer) answerTimeAfterStop() int64 {
	longest := int64(0)
	for _, c := range g.settings.Module.Classes {
		longest = max(longest, c.HardLimit)
	}
	return min(longest, maxDeadlineAwaited) + killDelay - killMargin
}
