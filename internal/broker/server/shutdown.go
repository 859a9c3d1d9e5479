package server

import (
	"saffronquay/internal/broker/logging"
	"time"
)

const (
	// fullTimeAfterStop is the time after SIGTERM during which a new query still gets its full deadline,
	// since the platform does not kill the process before such a query ends.
	fullTimeAfterStop = 600 * time.Millisecond
	// The platform kills the process this long after SIGTERM: the longest deadline of a class, at most
	// maxDeadlineAwaitedMicros, plus killDelayMicros.
	killDelayMicros          = 700_000
	maxDeadlineAwaitedMicros = 3_000_000
	killMarginMicros         = 250_000 // maximum time from the decision on an answer to its last byte
	// idleCheckInterval is the interval at which a shutdown checks whether the gatherer is idle.
	idleCheckInterval = 50 * time.Millisecond
)

// shutDown shuts the gatherer down gracefully: it serves until no request arrives any more, accepts the
// connections that are queued at the socket, and returns after the last connection is closed. With a
// passed socket it accepts no connection from the start, since the other process accepts them.
func (g *Gatherer) shutDown() {
	g.lifecycle.SetLeaving(g.passedSocket > 0)
	g.fleetView.updateMetadata(g.fleetMetadata)
	if g.virtual != nil {
		g.virtual.leave()
	}
	if g.passedSocket > 0 {
		g.listener.HandOver(g.siblingSockets > 0)
	} else {
		g.listener.Leave()
	}
	logging.Info(g.logger, logging.Leaving, "held", g.engine.OpenQueries())
	g.awaitIdle()
	g.stopComponents()
	logging.Info(g.logger, logging.Stopped)
}

// awaitIdle handles events until the listeners have ended and there is no connection and no query any
// more. Without a passed socket it keeps accepting, and closes the socket when no request has arrived
// for quietPeriodMicros.
func (g *Gatherer) awaitIdle() {
	since := g.clock.Now()
	answersUntil := since + g.answerTimeAfterStop()
	graceOver := time.NewTimer(fullTimeAfterStop)
	defer graceOver.Stop()
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	listenerEnded, socketClosed := false, false
	for {
		switch ev, _ := g.handleNext(check.C, graceOver.C); ev {
		case eventGraceOver:
			g.engine.SetKillDeadline(answersUntil)
			continue
		case eventListenerEnded: // the connections accepted last are counted by now
			listenerEnded = true
			continue
		case eventHandled:
			continue
		}
		now := g.clock.Now()
		switch {
		case !listenerEnded && !socketClosed && g.passedSocket == 0 && now-since >= quietPeriodMicros && g.isQuietSince(now-quietPeriodMicros):
			g.listener.CloseSocket()
			socketClosed = true
		case listenerEnded && !g.hasConnections() && g.engine.OpenQueries() == 0:
			return
		}
	}
}

// isQuietSince reports whether no listener has received a request since the given time.
func (g *Gatherer) isQuietSince(since int64) bool {
	return g.listener.IdleSince(since) && (g.virtual == nil || g.virtual.quiet(since))
}

// hasConnections reports whether any client is connected.
func (g *Gatherer) hasConnections() bool {
	return g.listener.Conns() != 0 || g.virtual != nil && g.virtual.conns() != 0
}

// stopComponents stops the components that Start has started.
func (g *Gatherer) stopComponents() {
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
	close(g.loopStopped) // the policy node may wait for this goroutine, which is about to wait for the node
	if p := g.policyNode.Load(); p != nil {
		p.Stop()
	}
	g.durable.close()
	g.engine.Stop()
	if g.admin != nil {
		g.admin.Close()
	}
}

// answerTimeAfterStop returns the time after SIGTERM, in microseconds, within which an answer must be
// decided to be sent completely before the platform kills the process.
func (g *Gatherer) answerTimeAfterStop() int64 {
	longest := int64(0)
	for _, c := range g.settings.Module.Classes {
		longest = max(longest, c.HardLimit)
	}
	return min(longest, maxDeadlineAwaitedMicros) + killDelayMicros - killMarginMicros
}
