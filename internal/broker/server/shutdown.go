package server

import (
	"saffronquay/internal/broker/logging"
	"time"
)

const (
	// fullTimeAfterStop is how long after SIGTERM a new query still gets all of its time: the platform lets it end.
	fullTimeAfterStop = 600 * time.Millisecond
	// killDelay is how many microseconds after SIGTERM and the longest deadline, maxDeadlineAwaited at most, the platform kills the process.
	killDelay          = 700_000
	maxDeadlineAwaited = 3_000_000
	killMargin         = 250_000 // microseconds that an answer takes at most from its decision to its last byte
	// idleCheckInterval is how often a shutdown checks whether the gatherer is idle.
	idleCheckInterval = 50 * time.Millisecond
)

// shutDown serves until nothing comes in, accepts what is queued at the socket, and ends after the last connection. With a passed socket it accepts
// nothing from the beginning, since the other process does.
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

// awaitIdle handles events until the listeners have ended, and no connection and no query is left. Where no socket
// was passed, it accepts what is queued at the socket and closes it when no request has arrived for quietPeriod.
func (g *Gatherer) awaitIdle() {
	since := g.clock.Now()
	answersUntil := since + g.answerTimeAfterStop()
	graceOver := time.NewTimer(fullTimeAfterStop)
	defer graceOver.Stop()
	check := time.NewTicker(idleCheckInterval)
	defer check.Stop()
	listenerEnded, socketClosed := false, false
	for {
		switch met, _ := g.handleNext(check.C, graceOver.C); met {
		case eventGraceOver:
			g.engine.SetKillDeadline(answersUntil)
			continue
		case eventListenerEnded: // what it accepted last is among the connections now
			listenerEnded = true
			continue
		case eventHandled:
			continue
		}
		now := g.clock.Now()
		switch {
		case !listenerEnded && !socketClosed && g.passedSocket == 0 && now-since >= quietPeriod && g.isQuietSince(now-quietPeriod):
			g.listener.CloseSocket()
			socketClosed = true
		case listenerEnded && !g.hasConnections() && g.engine.OpenQueries() == 0:
			return
		}
	}
}

// isQuietSince reports whether no listener has had a request since the given time.
func (g *Gatherer) isQuietSince(since int64) bool {
	return g.listener.Quiet(since) && (g.virtual == nil || g.virtual.quiet(since))
}

// hasConnections reports whether a client is still connected.
func (g *Gatherer) hasConnections() bool {
	return g.listener.Conns() != 0 || g.virtual != nil && g.virtual.conns() != 0
}

// stopComponents stops what Start has started.
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
	close(g.loopStopped) // the policy node may wait for this goroutine, which waits for it next
	if p := g.policyNode.Load(); p != nil {
		p.Stop()
	}
	g.durable.close()
	g.engine.Stop()
	if g.admin != nil {
		g.admin.Close()
	}
}

// answerTimeAfterStop is how long after SIGTERM answers still leave for certain, in microseconds.
func (g *Gatherer) answerTimeAfterStop() int64 {
	longest := int64(0)
	for _, c := range g.settings.Module.Classes {
		longest = max(longest, c.HardLimit)
	}
	return min(longest, maxDeadlineAwaited) + killDelay - killMargin
}
