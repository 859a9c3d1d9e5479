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
	logger    *slog.Logger
	clock     transport.Clock
	engine    *transport.Engine
	watcher   *transport.Watcher       // nil: the list of servers is fixed
	routes    *transport.Routes        // nil: no layout
	virtual   *service                 // nil: no virtual address
	door      *transport.AdminListener // nil: off
	duty      *adminapi.Duty
	figures   *adminapi.Figures
	view      atomic.Pointer[members]            // the same as fleetView, for operators' calls
	policy    atomic.Pointer[peering.PolicyNode] // the part in agreeing on the policy; nil: there is none
	parts     *parts                             // of the budgets; nil: they are divided evenly
	number    atomic.Uint64                      // of the policy in force here
	inForce   atomic.Pointer[config.Operator]    // the file, with the policy in force
	installs  chan install                       // policies to be put in force
	beside    *transport.StateExchange           // nil: no socket is passed, so nobody replaces this process or is replaced by it
	met       chan []handover.State              // what other processes of this gatherer told
	waits     bool                               // it could not take part in VRRP's election
	others    int                                // descriptors that they hold
	fleetView *members                           // nil: no view of a fleet
	late      chan *members                      // a view whose address was still held by the process that this one replaces
	served    chan error                         // the listener's end
	turn      chan struct{}                      // the duty has changed

	clients, operators string        // where they call
	hup                chan struct{} // the file is to be read again
	term               chan struct{} // closed: it is to end
	ending             sync.Once
	over               chan struct{} // closed: it has ended
	deaf               chan struct{} // closed: its goroutine takes nothing in any more, since it ends
	failure            error         // why it ended by itself; set before over is closed

	mu        sync.Mutex // of the two that a standby touches
	listener  *transport.Listener
	onStandby bool
}

// Start starts a gatherer by a plan, and returns once it serves. output, where given, is what logger writes through: the plan's format
// and level are put in force there.
func Start(p Plan, logger *slog.Logger, output *logging.Output) (*Gatherer, error) {
	p.output = output
	if err := p.applyLog(); err != nil {
		return nil, fmt.Errorf("configuration: log: %w", err)
	}
	debug.SetMemoryLimit(int64(p.memoryMB) << 20 * 3 / 4)
	g := &Gatherer{
		Plan: p, logger: logger, clock: transport.NewClock(), served: make(chan error, 1),
		turn: make(chan struct{}, 1), met: make(chan []handover.State, 1), hup: make(chan struct{}, 1), term: make(chan struct{}),
		over: make(chan struct{}), deaf: make(chan struct{}), late: make(chan *members), installs: make(chan install),
	}
	g.duty, g.figures = adminapi.NewDuty(g.stand), adminapi.NewFigures()
	if g.layout != nil {
		g.figures.Routes = &adminapi.LayoutFigures{}
	}
	if g.adopt != nil {
		g.adopt()
	}
	if g.cursors != nil && g.cursors.Load() != nil {
		cursors, clock := g.cursors, g.clock
		g.figures.Cursors = func() int {
			if k := cursors.Load(); k != nil {
				return k.CountOpen(clock.Now())
			}
			return 0 // a later file has none
		}
	}
	if d := g.durable; d != nil && d.store != nil {
		g.figures.Store = d.figures
	}
	if g.fleetFile != nil {
		g.figures.Fleet = func() adminapi.FleetFigures { return g.view.Load().figures() }
	}
	if g.rollout != nil {
		g.figures.Rollout = g.rolloutFigures
	}
	if err := g.begin(); err != nil {
		g.durable.close()
		return nil, err
	}
	go g.run()
	if p := g.policy.Load(); p != nil {
		go p.Run()
	}
	return g, nil
}

// Listen is where clients connect, Door where operators call ("off": nowhere).
func (g *Gatherer) Listen() string { return g.clients }

// Door is where operators call; "off" where there is no door.
func (g *Gatherer) Door() string { return g.operators }

// Retune has the file read once more, soon; it does not wait. Also while the gatherer ends.
func (g *Gatherer) Retune() {
	select {
	case g.hup <- struct{}{}:
	default: // one is due anyway
	}
}

// Stop begins the end: the gatherer goes on until nothing is held and nothing comes in. Wait tells when.
func (g *Gatherer) Stop() { g.ending.Do(func() { close(g.term) }) }

// Done is closed once the gatherer has ended.
func (g *Gatherer) Done() <-chan struct{} { return g.over }

// Wait waits for the end, and gives the reason where it was not Stop's.
func (g *Gatherer) Wait() error {
	<-g.over
	return g.failure
}

// run looks after what turns up, until Stop.
func (g *Gatherer) run() {
	defer close(g.over)
	defer g.durable.close()
	if g.parts != nil {
		defer g.parts.tick.Stop()
	}
	for {
		switch turn, err := g.attend(nil, nil); turn {
		case acceptEnded:
			g.failure = fmt.Errorf("accept: %w", err)
			return
		case toldToEnd:
			g.end()
			return
		}
	}
}

// turn is what has come up for the gatherer's goroutine that is not settled on the spot.
type turn int

const (
	settled turn = iota
	acceptEnded
	toldToEnd
	looked   // it is time to look whether the end has come
	lastCome // what comes from now on has no time to itself
)

// attend waits for what comes up next, and settles what has to be settled whether or not the gatherer is ending: then look and last are
// given, and what would begin something is left alone. Guards leases and numbers that go on changing while queries are still held.
func (g *Gatherer) attend(look, last <-chan time.Time) (turn, error) {
	ending := look != nil
	duty, late, term := g.turn, g.late, g.term
	if ending {
		duty, late, term = nil, nil, nil
	}
	select {
	case err := <-g.served:
		return acceptEnded, err
	case <-g.hup: // it may still move the watch: what is held has to end well
		g.retune()
	case others := <-g.met:
		if g.share(others); g.waits && !ending {
			g.compete()
		}
	case <-duty:
		g.compete()
		g.fleetView.change(g.facts)
	case x := <-g.installs:
		g.install(x)
	case m := <-late:
		g.takePart(m)
	case c := <-g.fleetView.news():
		g.reckoned(c)
	case <-g.fleetView.step():
		g.redivide()
	case <-g.parts.divides():
		g.lookAtParts()
	case d := <-g.parts.answers():
		g.redivideParts(d)
	case <-term:
		return toldToEnd, nil
	case <-look:
		return looked, nil
	case <-last:
		return lastCome, nil
	}
	return settled, nil
}

func (g *Gatherer) begin() error {
	if err := g.compose(); err != nil {
		return err
	}
	door := "off"
	if g.operator != "" {
		l, err := net.Listen("tcp", g.operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		g.door = transport.NewAdminListener(l, desk{g.duty, g.figures, g.routes, g.output, g.engine, g.view.Load, g.policy.Load}, g.logger)
		go g.door.Serve()
		door = l.Addr().String()
	}
	socket, err := g.socket()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if d := g.durable; d != nil && d.store != nil {
		g.engine.RestoreMemory(d.memory)
	}
	g.succeed()
	bounds := g.bounds()
	g.mu.Lock()
	g.listener = transport.NewListener(socket, bounds, g.engine, g.front, g.logger)
	g.listener.Standby(g.onStandby)
	g.mu.Unlock()
	go g.engine.Run()
	g.inForce.Store(g.op)
	if err := g.agree(); err != nil {
		return err
	}
	if g.beside != nil {
		go g.beside.Run()
	}
	if d := g.durable; d != nil && d.store != nil {
		d.start(g.engine, g.place)
	}
	g.follow()
	g.followLayout()
	if g.vrrp != nil {
		g.virtual = &service{clock: g.clock, config: *g.vrrp, engine: g.engine, log: g.logger}
		g.virtual.reconfigure(bounds, g.front)
		if err := g.compete(); err != nil && g.others == 0 {
			return err
		}
	}
	go func() { g.served <- g.listener.Serve() }()
	if err := g.meet(); err != nil {
		return err
	}
	g.duty.Begin()
	g.clients, g.operators = socket.Addr().String(), door
	logging.Info(g.logger, logging.Start, "name", g.name, "listen", socket.Addr(), "operator", door, "servers", len(g.fleet.Servers))
	return nil
}

// compete takes part in VRRP's election, or on standby does not. Guards a successor against ending because the process
// that it replaces still holds the router's address: it tries again whenever it hears of that one, or of its end.
func (g *Gatherer) compete() error {
	if g.virtual == nil {
		return nil
	}
	err := g.virtual.compete(!g.standsBy())
	if err != nil && !g.waits {
		logging.Error(g.logger, logging.Vrrp, "error", err)
	}
	g.waits = err != nil
	return err
}

// stand carries an operator's word out; the main goroutine looks after the virtual address.
func (g *Gatherer) stand(standby bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStandby = standby
	if g.listener != nil {
		g.listener.Standby(standby)
	}
	logging.Info(g.logger, logging.Duty, "standby", standby)
	select {
	case g.turn <- struct{}{}:
	default:
	}
}

func (g *Gatherer) standsBy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onStandby
}

// compose makes the module, the core round it and their engine.
func (g *Gatherer) compose() error {
	module, err := sq.New(g.settings.Module, g.seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	g.engine = transport.NewEngine(g.clock, core.New(g.terms(), module), g.pool(), g.dialect, g.figures, g.logger)
	g.engine.SetContracts(g.contracts)
	g.engine.UpdateFleet(g.fleet, g.addresses)
	if g.watch != nil {
		g.watcher = g.watch(g.engine)
		g.engine.Watch, g.engine.Fetch = g.watcher.RequestWatch, g.watcher.RequestWatch
	}
	if g.layout != nil {
		cfg := transport.RoutesConfig{Directory: g.layout.Directory, Stall: g.layout.Stall}
		g.routes, err = transport.NewRoutes(cfg, g.durable.latest(g.layout.Whole, g.serverIDs()), g.serverIDs(), g.clock, g.place, g.engine.UpdateLayout,
			g.figures.Routes, g.logger)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		g.engine.RefreshLayout = g.routes.Refresh
	}
	return nil
}

// desk is what the operators' door reaches.
type desk struct {
	*adminapi.Duty
	*adminapi.Figures
	routes *transport.Routes
	output *logging.Output
	engine *transport.Engine
	// members is the view of the fleet; nil before it is opened, or where there is none.
	members func() *members
	policy  func() *peering.PolicyNode // nil where there is none
}

// Contracts appends how each team stands, a line each; nil where there are no contracts.
func (d desk) Contracts(dst []byte) []byte {
	for _, a := range d.engine.Accounts(mostAccounts) {
		dst = fmt.Appendf(dst, "team %s share=%.4f queued=%d out=%d asked=%d started=%d waited=%d ahead=%d full=%d class=%d expired=%d predicted_us=%.0f took_us=%.0f lent_us=%.0f attempts=%d budget=%.2f limit=%d ratio=%.3f\n",
			a.Team, a.Fraction, a.Queued, a.Out, a.Requested, a.Started, a.Queued, a.RejectedBacklog, a.RejectedQueueFull, a.RejectedClass, a.Expired, a.Predicted, a.Consumed, a.Borrowed, a.Attempts, a.Budget, a.Limit, a.Ratio)
	}
	return dst
}

// mostAccounts bounds the teams that are told of.
const mostAccounts = 1000

// Log changes what is logged.
func (d desk) Log(level string) error {
	if d.output == nil {
		return errors.New("this program's log can't be changed")
	}
	return d.output.Level(level)
}

// Layout appends how the layout stands; nil where there is none.
func (d desk) Layout(dst []byte) []byte {
	if d.routes == nil {
		return nil
	}
	return d.routes.AppendStatus(dst)
}

// applyLog has the log written as the file says.
func (p Plan) applyLog() error {
	if p.output == nil {
		return nil
	}
	p.output.Format(cmp.Or(p.log.Format, "text"))
	return p.output.Level(cmp.Or(p.log.Level, "info"))
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
func (g *Gatherer) followLayout() {
	if g.routes == nil {
		return
	}
	go g.routes.Run()
	if g.layout.Directory == "" {
		return
	}
	t := time.NewTimer(firstList)
	defer t.Stop()
	select {
	case <-g.routes.Synced():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "layout", "given", "waited", firstList)
	}
}

// terms is what the core holds to, by the settings in force.
func (g *Gatherer) terms() core.Config {
	set := g.settings
	for _, c := range set.Module.Classes {
		g.figures.Know(c.Name)
	}
	budgets := g.budgets
	if g.parts != nil && g.contracts != nil {
		budgets = g.parts.budgets(g.clock.Now(), budgets, g.contracts)
	}
	held := int64(0)
	if g.watch == nil { // searches: their answers are of any size
		held = int64(g.memoryMB) << 20 / 4
	}
	return core.Config{
		MaxHeld: held, Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: g.partsPerCall, RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes, Tenants: budgets,
	}
}

func (g *Gatherer) pool() transport.PoolConfig {
	return transport.PoolConfig{
		ConnectTimeout: g.settings.ConnectTimeout, IdleClose: g.settings.IdleClose,
		MaxConns: g.serverConns(),
	}
}

// sockets is how many descriptors this process may hold: what the other one of this gatherer holds is missing here.
func (g *Gatherer) sockets() int { return max(g.Plan.sockets-g.others, 3*ownSockets) }

// smallSockets is the most descriptors of a machine by whose size the shares below were found: more than that is for servers, since what a
// gatherer needs for clients grows with its traffic and not with the fleet.
const smallSockets = 1024

// serverConns is how many of them connections to servers may hold. Guards a gatherer before thousands of servers against a query that asks
// more of them than it may reach at a time: what finds no connection is refused, so that such a query is never whole.
func (g *Gatherer) serverConns() int {
	return min(192, g.sockets()/3) + max(0, g.sockets()-smallSockets)
}

// bounds is what one listener may hold. Clients must never take the descriptors that servers, discovery and
// operators need.
func (g *Gatherer) bounds() transport.ListenerConfig {
	b := transport.ListenerConfig{
		MaxConns: g.sockets() - g.serverConns() - ownSockets, MaxKeepAlive: min(g.sockets(), smallSockets) / 4,
		IdleTimeout: 15 * time.Second, FirstRequestTimeout: 2500 * time.Millisecond, RequestTimeout: 2500 * time.Millisecond,
		MaxPartialBytes: int64(g.memoryMB) << 20 / 8,
	}
	if g.operator != "" {
		b.MaxConns -= transport.AdminSockets
	}
	if l := g.settings.Module.Limits; l.RetryAfter {
		b.RetryAfter = time.Duration(l.MaxRetryAfter) * time.Microsecond
	}
	if g.vrrp != nil {
		b.MaxConns /= 2 // the virtual address has a listener of its own
		b.MaxKeepAlive /= 2
	}
	return b
}

// socket is the clients' listening socket: the one that was passed, of which this process has a copy, or a new one.
func (g *Gatherer) socket() (net.Listener, error) {
	if g.passed > 0 {
		file := os.NewFile(uintptr(g.passed), "clients")
		if file == nil {
			return nil, fmt.Errorf("descriptor %d is not open", g.passed)
		}
		defer file.Close() // FileListener has made a copy of its own
		return net.FileListener(file)
	}
	// Clients are let go by their idle time; probes by the system would only cost four calls for each.
	accepting := net.ListenConfig{KeepAlive: -1}
	return accepting.Listen(context.Background(), "tcp", g.listen)
}

// succeed takes over what the process that this one replaces has told, where there is one, and tells in turn.
func (g *Gatherer) succeed() {
	if g.passed == 0 || g.shared == "" {
		return
	}
	g.beside = transport.NewStateExchange(g.shared, g.name, g.clock, g.standing, func(others []handover.State) {
		select {
		case g.met <- others:
		default: // the main goroutine has not got to the last ones; there is word again soon
		}
	}, g.logger)
	others := g.beside.PeerStates()
	from, ok := handover.Newest(others)
	if !ok {
		return
	}
	g.engine.InheritLearned(from)
	if list, err := platform.ParseList(from.List); err == nil && g.watcher != nil && from.Discovery == g.discovery {
		g.engine.UpdateFleet(sq.FleetChanged{Kind: sq.FleetCached, Servers: list.Servers}, list.Addresses)
	}
	g.share(others)
	if from.Standby {
		if err := g.duty.Standby(); err != nil {
			logging.Error(g.logger, logging.Duty, "error", err)
		}
	}
	logging.Info(g.logger, logging.Succeeds, "standby", from.Standby, "open", from.Open, "sockets", from.Sockets, "generation", from.Generation)
}

// standing is how this process stands.
func (g *Gatherer) standing() (handover.State, bool) {
	s, ok := g.engine.HandoverState()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok || g.listener == nil {
		return s, false
	}
	s.Standby = g.onStandby
	s.Sockets += g.listener.Conns() + ownSockets + transport.AdminSockets
	if g.watcher != nil {
		s.List, s.Generation, s.Discovery = g.watcher.List()
	}
	return s, true
}

// share has rules and limits count what the other processes of this gatherer hold.
func (g *Gatherer) share(others []handover.State) {
	held := 0
	for _, o := range others {
		held += o.Sockets
	}
	if held == 0 && g.others == 0 {
		return
	}
	g.others = held
	limit := int64(g.memoryMB) << 20 * 3 / 4
	if held > 0 {
		limit /= 2
	}
	debug.SetMemoryLimit(limit)
	g.engine.SetPeers(others, g.serverConns())
	if g.listener != nil {
		g.listener.Reconfigure(g.bounds(), g.front)
	}
}

// follow begins to follow discovery. A successor first has the whole list, or has waited for it: until then the
// process that it replaces serves, with a list that is up to date.
func (g *Gatherer) follow() {
	if g.watcher == nil {
		return
	}
	if g.passed == 0 {
		go g.watcher.Run()
		return
	}
	g.watcher.RequestFullList()
	go g.watcher.Run()
	t := time.NewTimer(firstList)
	defer t.Stop()
	select {
	case <-g.watcher.Synced():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "list", "given", "waited", firstList)
	}
}

// retune reads the file once more and, where all of it can be used, puts it in force. Addresses to listen at, the name
// and VRRP stay as they were at the start.
func (g *Gatherer) retune() {
	now, err := g.again()
	if err == nil {
		err = g.enforce(now)
	}
	if err != nil {
		g.figures.CfgFaulty.Add(1)
		logging.Error(g.logger, logging.Reload, "kept", "old", "error", err)
		return
	}
	g.figures.CfgTaken.Add(1)
	logging.Info(g.logger, logging.Reload, "classes", len(g.settings.Module.Classes), "discovery", g.discovery, "servers", len(g.fleet.Servers))
}

// enforce puts another plan in force, whole; after an error nothing has changed.
func (g *Gatherer) enforce(now Plan) error {
	if g.routes != nil {
		if err := g.routes.ApplyFile(now.layout.Whole, now.serverIDs(), false); err != nil {
			return err
		}
	}
	if now.listen != g.listen || now.operator != g.operator {
		logging.Warn(g.logger, logging.Reload, "note", "listen and operator take a restart")
	}
	if now.adopt != nil {
		now.adopt()
	}
	now.name, now.listen, now.operator, now.vrrp, now.passed, now.shared, now.seed = g.name, g.listen, g.operator, g.vrrp,
		g.passed, g.shared, g.seed
	now.output = g.output
	if now.log != g.Plan.log { // what an operator set at the door stays otherwise
		if err := now.applyLog(); err != nil {
			logging.Error(g.logger, logging.Reload, "error", err)
		}
	}
	g.Plan = now
	debug.SetMemoryLimit(int64(g.memoryMB) << 20 * 3 / 4)
	g.engine.Reconfigure(g.terms(), g.module(), g.pool(), g.dialect)
	g.engine.SetContracts(g.shares())
	g.listener.Reconfigure(g.bounds(), g.front)
	if g.virtual != nil {
		g.virtual.reconfigure(g.bounds(), g.front)
	}
	if g.watcher != nil {
		g.watcher.SetAddress(g.discovery)
	} else {
		g.settle()
	}
	g.inForce.Store(g.op)
	return nil
}

// settle has the file's servers and layout in force. New servers come before the layout that names them, and those that are
// gone leave after the one that no longer does, so that no range is without holders in between.
func (g *Gatherer) settle() {
	if g.routes != nil {
		g.engine.UpdateFleet(sq.FleetChanged{Kind: sq.FleetDelta, Servers: g.fleet.Servers}, g.addresses)
		if err := g.routes.ApplyFile(g.layout.Whole, g.serverIDs(), true); err != nil { // the directory has just said otherwise
			logging.Error(g.logger, logging.Reload, "layout", "kept", "error", err)
		}
		if g.layout.Directory != "" {
			g.routes.SetAddress(g.layout.Directory)
		}
	}
	g.engine.UpdateFleet(g.fleet, g.addresses)
}

// end leaves: it goes on serving until nothing comes in any more, takes in what waits to be accepted, and ends once the last
// connection has. With a passed socket it accepts nothing more from the beginning.
func (g *Gatherer) end() {
	g.duty.Leave(g.passed > 0)
	g.fleetView.change(g.facts)
	if g.virtual != nil {
		g.virtual.leave()
	}
	if g.passed > 0 {
		g.listener.HandOver(g.others > 0)
	} else {
		g.listener.Leave()
	}
	still := func(since int64) bool { return g.listener.Quiet(since) && (g.virtual == nil || g.virtual.quiet(since)) }
	empty := func() bool { return g.listener.Conns() == 0 && (g.virtual == nil || g.virtual.conns() == 0) }
	logging.Info(g.logger, logging.Leaving, "held", g.engine.OpenQueries())
	since := g.clock.Now()
	killed := since + g.lifeAfterTerm()
	lastEntry := time.NewTimer(fullTime)
	defer lastEntry.Stop()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for served, closing := false, false; ; {
		switch turn, _ := g.attend(tick.C, lastEntry.C); turn {
		case lastCome:
			g.engine.SetKillDeadline(killed)
			continue
		case acceptEnded: // what it accepted last is among the connections now
			served = true
			continue
		case settled:
			continue
		}
		now := g.clock.Now()
		switch {
		case !served && !closing && g.passed == 0 && now-since >= quiet && still(now-quiet):
			g.listener.CloseSocket()
			closing = true
			continue
		case !served || !empty() || g.engine.OpenQueries() > 0:
			continue
		}
		break
	}
	g.fleetView.part()
	if g.beside != nil {
		g.beside.Stop()
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
	close(g.deaf) // before it waits for who may be waiting for this goroutine
	if p := g.policy.Load(); p != nil {
		p.Stop()
	}
	g.durable.close()
	g.engine.Stop()
	if g.door != nil {
		g.door.Close()
	}
	logging.Info(g.logger, logging.Stopped)
}

const (
	// fullTime is how long after SIGTERM a query still gets all of its time, in which the platform lets it end.
	fullTime = 600 * time.Millisecond
	// The platform kills a process so long after SIGTERM, and the longest deadline, as far as that is not over mostAwaited, later.
	killedAfter = 700_000
	mostAwaited = 3_000_000
	killMargin  = 250_000 // an answer takes this long at most from its decision to its last byte
)

// lifeAfterTerm is how long after SIGTERM answers still leave for certain, in microseconds.
func (g *Gatherer) lifeAfterTerm() int64 {
	longest := int64(0)
	for _, c := range g.settings.Module.Classes {
		longest = max(longest, c.HardLimit)
	}
	return min(longest, mostAwaited) + killedAfter - killMargin
}
