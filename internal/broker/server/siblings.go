package server

import (
	"runtime/debug"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/transport"

	sq "saffronquay"
)

// takeOver exchanges state with the process that this one replaces, if a socket was passed, and adopts
// its statistics, list of servers and standby state.
func (g *Gatherer) takeOver() {
	if g.passedSocket == 0 || g.sharedDirectory == "" {
		return
	}
	g.siblings = transport.NewStateExchange(g.sharedDirectory, g.name, g.clock, g.handoverState, func(others []handover.State) {
		select {
		case g.siblingStates <- others:
		default: // the gatherer's goroutine has not read the previous states yet; the next exchange follows soon
		}
	}, g.logger)
	others := g.siblings.PeerStates()
	from, ok := handover.Newest(others)
	if !ok {
		return
	}
	g.engine.InitFromPredecessor(from)
	if list, err := platform.ParseList(from.List); err == nil && g.watcher != nil && from.Discovery == g.discovery {
		g.engine.UpdateFleet(sq.FleetChanged{Kind: sq.FleetCached, Servers: list.Servers}, list.Addresses)
	}
	g.adjustToSiblings(others)
	if from.Standby {
		if err := g.lifecycle.Standby(); err != nil {
			logging.Error(g.logger, logging.Duty, "error", err)
		}
	}
	logging.Info(g.logger, logging.Succeeds, "standby", from.Standby, "open", from.Open, "sockets", from.Sockets, "generation", from.Generation)
}

// handoverState returns the state that this process reports to the other processes of the gatherer. It
// reports false while the state is not complete.
func (g *Gatherer) handoverState() (handover.State, bool) {
	s, ok := g.engine.HandoverState()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok || g.listener == nil {
		return s, false
	}
	s.Standby = g.onStandby
	s.Sockets += g.listener.Conns() + reservedSockets + transport.AdminSockets
	if g.watcher != nil {
		s.List, s.Generation, s.Discovery = g.watcher.List()
	}
	return s, true
}

// ownMemoryLimit returns the memory limit of this process: half of the gatherer's limit while another
// process of the gatherer runs.
func (g *Gatherer) ownMemoryLimit() int64 {
	if g.siblingSockets > 0 {
		return g.memoryLimit() / 2
	}
	return g.memoryLimit()
}

// adjustToSiblings reduces the limits on memory and descriptors while other processes of this gatherer
// run.
func (g *Gatherer) adjustToSiblings(others []handover.State) {
	sockets := 0
	for _, o := range others {
		sockets += o.Sockets
	}
	if sockets == 0 && g.siblingSockets == 0 {
		return
	}
	g.siblingSockets = sockets
	debug.SetMemoryLimit(g.ownMemoryLimit())
	g.engine.SetPeers(others, g.maxServerConns())
	if g.listener != nil {
		g.listener.Reconfigure(g.listenerConfig(), g.front)
	}
}
