// Command saffronquay is one gatherer: it takes queries from clients, has their parts served by servers as the
// decision module says, and gives each query its one final answer. This file only wires the parts together.
package main

import (
	"context"
	"fmt"
	"log"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	yw "yarrowwalk"
	"yarrowwalk/internal/broker"
	"yarrowwalk/internal/config"
	"yarrowwalk/internal/opensearch"
	"yarrowwalk/internal/platform"
	"yarrowwalk/internal/transport"
)

func main() {
	logger := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds|log.LUTC)
	term, hup := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hup, syscall.SIGHUP) // unheard it would end the program
	if err := run(logger, term, hup); err != nil {
		logger.Printf("level=error event=exit error=%q", err)
		os.Exit(1)
	}
}

const (
	margin     = 10_000    // microseconds taken off a client's time, which counts from its send
	ownSockets = 32        // descriptors kept for discovery, VRRP, listeners and the process itself
	quiet      = 1_000_000 // arrivals must have ceased for so long before an exit, in microseconds
)

// plan is what the two ways of setting the program up come down to.
type plan struct {
	name, listen      string
	seed              uint64
	sockets, memoryMB int
	settings          config.Settings
	budgets           map[string]broker.Budget
	front             transport.Front
	dialect           broker.Dialect
	partsPerCall      int
	fleet             yw.FleetChanged
	addresses         map[yw.ServerID]string
	watch             func(*transport.Engine) *transport.Watcher // nil: the list of servers is fixed
	vrrp              *config.VRRP                               // nil: off
	reload            func(*transport.Engine, *transport.Watcher) error
}

func load(logger *log.Logger) (plan, error) {
	op, ok, err := config.LoadOperator(os.Getenv, os.ReadFile)
	if err != nil {
		return plan{}, err
	}
	if ok {
		return searching(op, logger), nil
	}
	node, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return plan{}, err
	}
	return plan{name: node.Name, listen: node.Listen, seed: node.Seed, sockets: node.Sockets,
		memoryMB: node.MemoryMB, settings: node.Settings, front: platform.Front{Margin: margin},
		dialect:      platform.Workers{PerConn: node.Settings.StreamsPerConn},
		partsPerCall: max(1, node.Settings.Module.PartsPerCall),
		fleet:        yw.FleetChanged{Kind: yw.FleetCached, Servers: node.Known}, addresses: node.Addresses,
		watch: func(e *transport.Engine) *transport.Watcher {
			return transport.NewWatcher(node.Discovery, node.Generation, node.Settings.Module.AskMembership, e.Fleet, logger)
		},
		reload: func(_ *transport.Engine, w *transport.Watcher) error {
			again, err := config.Reload(os.Getenv, os.ReadFile)
			if err != nil {
				return err
			}
			w.Move(again.Discovery)
			logger.Printf("level=info event=reload discovery=%s", again.Discovery)
			return nil
		}}, nil
}

func searching(op config.Operator, logger *log.Logger) plan {
	front := opensearch.Front{Indices: op.Indices, TenantHeader: op.TenantHeader, Tenants: map[string]bool{},
		Longest: map[string]int64{}, Margin: margin}
	for _, t := range op.Settings.Module.Tenants {
		front.Tenants[t.Name] = true
	}
	for _, c := range op.Settings.Module.Classes {
		front.Longest[c.Name] = c.HardLimit
	}
	return plan{name: op.Name, listen: op.Listen, seed: op.Seed, sockets: op.Sockets, memoryMB: op.MemoryMB,
		settings: op.Settings, budgets: op.Budgets, front: front, dialect: opensearch.Servers{}, partsPerCall: 1,
		fleet: yw.FleetChanged{Kind: yw.FleetFull, Servers: op.Servers}, addresses: op.Addresses, vrrp: op.VRRP,
		reload: func(e *transport.Engine, _ *transport.Watcher) error {
			again, _, err := config.LoadOperator(os.Getenv, os.ReadFile)
			if err != nil {
				return err
			}
			e.Fleet(yw.FleetChanged{Kind: yw.FleetFull, Servers: again.Servers}, again.Addresses)
			logger.Printf("level=info event=reload servers=%d", len(again.Servers))
			return nil
		}}
}

func run(logger *log.Logger, term, hup <-chan os.Signal) error {
	p, err := load(logger)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetMemoryLimit(int64(p.memoryMB) << 20 * 3 / 4)
	set := p.settings
	module, err := yw.New(set.Module, p.seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	// Clients must never take the descriptors that servers and discovery need.
	serverConns := min(192, p.sockets/3)
	clientConns := p.sockets - serverConns - ownSockets
	clock := transport.NewClock()
	core := broker.New(broker.Terms{Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: p.partsPerCall, RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes, Tenants: p.budgets}, module)
	engine := transport.NewEngine(clock, core, transport.PoolConfig{ConnectTimeout: set.ConnectTimeout,
		IdleClose: set.IdleClose, MaxConns: serverConns}, p.dialect, logger)
	engine.Fleet(p.fleet, p.addresses)
	var watcher *transport.Watcher
	if p.watch != nil {
		watcher = p.watch(engine)
		engine.Watch, engine.Fetch = watcher.Begin, watcher.Begin
	}
	// Clients are let go by their idle time; probes by the system would only cost four calls for each.
	accepting := net.ListenConfig{KeepAlive: -1}
	socket, err := accepting.Listen(context.Background(), "tcp", p.listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	bounds := transport.ListenerConfig{MaxConns: clientConns, Enough: p.sockets / 4, Idle: 15 * time.Second,
		First: 2500 * time.Millisecond, Slow: 2500 * time.Millisecond, MaxHeld: int64(p.memoryMB) << 20 / 8}
	if set.Module.Limits.RetryAfter {
		bounds.RetryAfter = time.Duration(set.Module.Limits.MaxRetryAfter) * time.Microsecond
	}
	if p.vrrp != nil {
		bounds.MaxConns /= 2 // the virtual address has a listener of its own
		bounds.Enough /= 2
	}
	listener := transport.NewListener(socket, bounds, engine, p.front, logger)
	go engine.Run()
	if watcher != nil {
		go watcher.Run()
	}
	var virtual *service
	if p.vrrp != nil {
		virtual = &service{address: p.vrrp.Service, log: logger, open: func(l net.Listener) *transport.Listener {
			return transport.NewListener(l, bounds, engine, p.front, logger)
		}}
		if err := virtual.begin(clock, *p.vrrp); err != nil {
			return err
		}
	}
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	logger.Printf("level=info event=start name=%s listen=%s servers=%d", p.name, socket.Addr(), len(p.fleet.Servers))
	reload := func() { // a file that can't be used changes nothing
		if err := p.reload(engine, watcher); err != nil {
			logger.Printf("level=error event=reload kept=old error=%q", err)
		}
	}
	for running := true; running; {
		select {
		case err := <-served:
			return fmt.Errorf("accept: %w", err)
		case <-hup:
			reload()
		case <-term:
			running = false
		}
	}
	// While it leaves, a further SIGHUP may still move the watch: what it holds has to end well.
	left := make(chan struct{})
	reloads := make(chan struct{})
	go func() {
		defer close(reloads)
		for {
			select {
			case <-hup:
				reload()
			case <-left:
				return
			}
		}
	}()
	still := listener.Quiet
	if virtual != nil {
		virtual.leave()
		still = func(since int64) bool { return listener.Quiet(since) && virtual.quiet(since) }
	}
	leave(clock, engine, listener, still, logger)
	close(left)
	<-reloads
	if virtual != nil {
		virtual.close()
	}
	if watcher != nil {
		watcher.Stop()
	}
	engine.Stop()
	logger.Printf("level=info event=stopped")
	return nil
}

// leave goes on serving until nothing is held and nothing comes in any more.
func leave(clock transport.Clock, engine *transport.Engine, listener *transport.Listener, still func(int64) bool,
	logger *log.Logger) {
	listener.Leave()
	logger.Printf("level=info event=leaving held=%d", engine.Held())
	since := clock.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for range tick.C {
		now := clock.Now()
		if now-since >= quiet && still(now-quiet) && engine.Held() == 0 {
			break
		}
	}
	listener.Close()
}
