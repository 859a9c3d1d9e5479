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

// startComponents builds and starts the components in the order in which they need each other. Clients are accepted last, when the list of servers, the
// layout and the policy's lease are there.
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
		g.engine.RestoreMemory(d.memory)
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
			go p.Run() // Stop waits for it
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
		if err := g.competeForAddress(); err != nil && g.siblingSockets == 0 {
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

// onAbort notes how to stop a component that was started.
func (g *Gatherer) onAbort(stop func()) { g.started = append(g.started, stop) }

// abortStart stops what a failed start has started, the last first.
func (g *Gatherer) abortStart() {
	close(g.ended)       // what waits to start later gives up
	close(g.loopStopped) // the gatherer's goroutine, for which the policy node may wait, never ran
	for _, stop := range slices.Backward(g.started) {
		stop()
	}
	g.durable.close()
}

// startAdmin starts the admin endpoint and returns its address; "off" where the plan has none.
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

// buildEngine makes the decision module, the core around it and the engine that drives both.
func (g *Gatherer) buildEngine() error {
	module, err := sq.New(g.settings.Module, g.seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	g.engine = transport.NewEngine(g.clock, core.New(g.coreTerms(), module), g.poolConfig(), g.dialect, g.metrics, g.logger)
	g.engine.SetContracts(g.contracts)
	g.engine.UpdateFleet(g.fleet, g.addresses)
	if g.newWatcher != nil {
		g.watcher = g.newWatcher(g.engine)
		g.engine.Watch, g.engine.Fetch = g.watcher.RequestWatch, g.watcher.RequestWatch
	}
	if g.layout != nil {
		cfg := transport.RoutesConfig{Directory: g.layout.Directory, Stall: g.layout.Stall}
		g.routes, err = transport.NewRoutes(cfg, g.durable.newestLayout(g.layout.Document, g.serverIDs()), g.serverIDs(), g.clock, g.currentLayout, g.engine.UpdateLayout,
			g.metrics.LayoutCounts, g.logger)
		if err != nil {
			return fmt.Errorf("configuration: %w", err)
		}
		g.engine.RefreshLayout = g.routes.Refresh
	}
	return nil
}

// startRoutes begins to follow the layout. It waits for the directory's first answer, firstListTimeout at most: until then the file's layout may be old,
// and servers reject what it misplaces.
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

// startWatcher begins to follow discovery. A process that replaces another one waits for the complete list of servers, firstListTimeout at most: until
// then the other one serves, with a list that is up to date.
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

// clientSocket is the clients' listening socket: a copy of the one that was passed, or a new one.
func (g *Gatherer) clientSocket() (net.Listener, error) {
	if g.passedSocket > 0 {
		file := os.NewFile(uintptr(g.passedSocket), "clients")
		if file == nil {
			return nil, fmt.Errorf("descriptor %d is not open", g.passedSocket)
		}
		defer file.Close() // FileListener makes a copy
		return net.FileListener(file)
	}
	// Idle clients are closed by a timeout; keep-alive probes would only cost four system calls for each connection.
	accepting := net.ListenConfig{KeepAlive: -1}
	return accepting.Listen(context.Background(), "tcp", g.listen)
}
