package server

import (
	"context"
	"fmt"
	"net"
	"os"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"slices"
	"time"

	sq "saffronquay"
)

// startComponents creates and starts the components in the order of their dependencies. Clients are
// accepted last, after the list of servers, the layout and the policy node are set up.
func (g *Gatherer) startComponents() error {
	if err := g.buildEngine(); err != nil {
		return err
	}
	adminAddress, err := g.startAdmin()
	if err != nil {
		return err
	}
	socket, err := g.clientSocket()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	g.onAbort(func() { socket.Close() })
	if d := g.durable; d != nil && d.store != nil {
		g.engine.RestoreState(d.persisted)
	}
	g.takeOver()
	bounds := g.listenerConfig()
	g.mu.Lock()
	g.listener = transport.NewListener(socket, bounds, g.engine, g.front, g.logger)
	g.listener.Standby(g.onStandby)
	g.mu.Unlock()
	go g.engine.Run()
	g.onAbort(g.engine.Stop)
	g.currentFile.Store(g.file)
	if err := g.openPolicyNode(); err != nil {
		return err
	}
	if p := g.policyNode.Load(); p != nil {
		g.onAbort(func() {
			go p.Run() // Stop waits for Run
			p.Stop()
		})
	}
	if g.siblings != nil {
		go g.siblings.Run()
		g.onAbort(g.siblings.Stop)
	}
	if d := g.durable; d != nil && d.store != nil {
		d.start(g.engine, g.currentLayout)
		g.onAbort(d.close)
	}
	g.startWatcher()
	g.startRoutes()
	if g.vrrp != nil {
		g.virtual = &virtualService{clock: g.clock, config: *g.vrrp, engine: g.engine, log: g.logger}
		g.onAbort(g.virtual.close)
		g.virtual.reconfigure(bounds, g.front)
		if err := g.updateElection(); err != nil && g.siblingSockets == 0 {
			return err
		}
	}
	go func() { g.listenerEnded <- g.listener.Serve() }()
	g.onAbort(g.listener.Close)
	if err := g.joinFleet(); err != nil {
		return err
	}
	g.lifecycle.SetStarted()
	g.clientAddress, g.adminAddress = socket.Addr().String(), adminAddress
	logging.Info(g.logger, logging.Start, "name", g.name, "listen", socket.Addr(), "operator", adminAddress, "servers", len(g.fleet.Servers))
	return nil
}

// onAbort registers a function that stops a started component if the start fails later.
func (g *Gatherer) onAbort(stop func()) { g.started = append(g.started, stop) }

// abortStart stops the components that a failed start has started, in reverse order.
func (g *Gatherer) abortStart() {
	close(g.ended)       // ends the retries of joinFleet
	close(g.loopStopped) // the gatherer's goroutine, for which the policy node may wait, never runs
	for _, stop := range slices.Backward(g.started) {
		stop()
	}
	g.durable.close()
}

// startAdmin starts the admin endpoint and returns its address, or "off" if the plan has none.
func (g *Gatherer) startAdmin() (address string, err error) {
	if g.adminListen == "" {
		return "off", nil
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", g.adminListen)
	if err != nil {
		return "", fmt.Errorf("operator: %w", err)
	}
	program := adminProgram{
		Lifecycle: g.lifecycle, Metrics: g.metrics, routes: g.routes, output: g.logOutput, engine: g.engine,
		fleetView: g.publishedFleetView.Load, policyNode: g.policyNode.Load,
	}
	g.admin = transport.NewAdminListener(l, program, g.logger)
	go g.admin.Serve()
	g.onAbort(g.admin.Close)
	return l.Addr().String(), nil
}

// buildEngine creates the decision module, the core around it and the engine that drives both.
func (g *Gatherer) buildEngine() error {
	module, err := sq.New(g.settings.Module, g.seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	g.engine = transport.NewEngine(g.clock, core.New(g.coreConfig(), module), g.poolConfig(), g.dialect, g.metrics, g.logger)
	g.engine.SetContracts(g.contracts)
	g.engine.UpdateFleet(g.fleet, g.addresses)
	if g.newWatcher != nil {
		g.watcher = g.newWatcher(g.engine)
		g.engine.Watch, g.engine.Fetch = g.watcher.RequestWatch, g.watcher.RequestWatch
	}
	if g.layout != nil {
		cfg := transport.RoutesConfig{Directory: g.layout.Directory, Stall: g.layout.StallTimeout}
		g.routes, err = transport.NewRoutes(cfg, g.durable.newestLayout(g.layout.Document, g.serverIDs()), g.serverIDs(), g.clock, g.currentLayout, g.engine.UpdateLayout,
			g.metrics.LayoutCounts, g.logger)
		if err != nil {
			return fmt.Errorf("configuration: layout: %w", err)
		}
		g.engine.RefreshLayout = g.routes.Refresh
	}
	return nil
}

// startRoutes starts following the layout. It waits for the directory's first answer, firstListTimeout
// at most: until then the file's layout may be outdated, and servers reject parts that it misroutes.
func (g *Gatherer) startRoutes() {
	if g.routes == nil {
		return
	}
	go g.routes.Run()
	g.onAbort(g.routes.Stop)
	if g.layout.Directory == "" {
		return
	}
	t := time.NewTimer(firstListTimeout)
	defer t.Stop()
	select {
	case <-g.routes.Synced():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "layout", "given", "waited", firstListTimeout)
	}
}

// startWatcher starts following discovery. A process that replaces another one waits for the complete
// list of servers, firstListTimeout at most. The other process, whose list is up to date, serves until
// then.
func (g *Gatherer) startWatcher() {
	if g.watcher == nil {
		return
	}
	g.onAbort(g.watcher.Stop)
	if g.passedSocket == 0 {
		go g.watcher.Run()
		return
	}
	g.watcher.RequestFullList()
	go g.watcher.Run()
	t := time.NewTimer(firstListTimeout)
	defer t.Stop()
	select {
	case <-g.watcher.Synced():
	case <-t.C:
		logging.Warn(g.logger, logging.Start, "list", "given", "waited", firstListTimeout)
	}
}

// clientSocket returns the listening socket for clients: a copy of the one that was passed, or a
// new one.
func (g *Gatherer) clientSocket() (net.Listener, error) {
	if g.passedSocket > 0 {
		file := os.NewFile(uintptr(g.passedSocket), "clients")
		if file == nil {
			return nil, fmt.Errorf("descriptor %d is not open", g.passedSocket)
		}
		defer file.Close() // FileListener makes a copy
		return net.FileListener(file)
	}
	// Idle connections are closed by a timeout, so TCP keep-alive probes would have no use and cost four
	// system calls for each connection.
	accepting := net.ListenConfig{KeepAlive: -1}
	return accepting.Listen(context.Background(), "tcp", g.listen)
}
