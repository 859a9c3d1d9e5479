// Command saffronquay is one gatherer: it takes queries from clients, has their parts served by servers as the
// decision module says, and gives each query its one final answer. This file only wires the parts together.
package main

import (
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
	"yarrowwalk/internal/platform"
	"yarrowwalk/internal/transport"
)

func main() {
	logger := log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds|log.LUTC)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	if err := run(logger, term); err != nil {
		logger.Printf("level=error event=exit error=%q", err)
		os.Exit(1)
	}
}

const (
	margin      = 10_000 // microseconds taken off a client's time, which counts from its send
	reserved    = 160    // descriptors kept for servers, discovery and the process itself
	serverConns = 128
	quiet       = 1_000_000 // arrivals must have ceased for so long before an exit, in microseconds
)

func run(logger *log.Logger, term <-chan os.Signal) error {
	node, err := config.Load(os.Getenv, os.ReadFile)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	debug.SetMemoryLimit(int64(node.MemoryMB) << 20 * 3 / 4)
	set := node.Settings
	module, err := yw.New(set.Module, node.Seed)
	if err != nil {
		return fmt.Errorf("configuration: settings: %w", err)
	}
	clock := transport.NewClock()
	core := broker.New(broker.Terms{Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: max(1, set.Module.PartsPerCall), RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes}, module)
	engine := transport.NewEngine(clock, core, transport.PoolConfig{ConnectTimeout: set.ConnectTimeout,
		IdleClose: set.IdleClose, MaxConns: serverConns}, platform.Workers{PerConn: set.StreamsPerConn}, logger)
	engine.Fleet(yw.FleetChanged{Kind: yw.FleetCached, Servers: node.Known}, node.Addresses)
	watcher := transport.NewWatcher(node.Discovery, node.Generation, set.Module.AskMembership, engine.Fleet, logger)
	engine.Watch, engine.Fetch = watcher.Begin, watcher.Begin
	socket, err := net.Listen("tcp", node.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	listener := transport.NewListener(socket, transport.ListenerConfig{MaxConns: max(16, node.Sockets-reserved),
		Idle: 2 * time.Minute, Slow: 10 * time.Second}, engine, platform.Front{Margin: margin}, logger)
	go engine.Run()
	go watcher.Run()
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	logger.Printf("level=info event=start name=%s listen=%s workers=%d", node.Name, node.Listen, len(node.Known))
	select {
	case err := <-served:
		return fmt.Errorf("accept: %w", err)
	case <-term:
	}
	listener.Leave()
	logger.Printf("level=info event=leaving held=%d", engine.Held())
	left := clock.Now()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for {
		<-tick.C
		now := clock.Now()
		if now-left >= quiet && listener.Quiet(now-quiet) && engine.Held() == 0 {
			break
		}
	}
	listener.Close()
	watcher.Stop()
	engine.Stop()
	logger.Printf("level=info event=stopped")
	return nil
}
