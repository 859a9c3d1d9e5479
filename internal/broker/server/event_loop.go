package server

import (
	"fmt"
	"time"
)

// event is the result of handleNext: an event on which the caller must act, or eventHandled.
type event int

const (
	eventHandled event = iota // the caller has nothing to do
	eventListenerEnded
	eventStop
	eventCheck     // the caller must check whether the gatherer is idle
	eventGraceOver // from now on every query must end before the platform kills the process
)

// run handles events until Stop is called or the listener fails.
func (g *Gatherer) run() {
	defer close(g.ended)
	defer g.durable.close()
	if g.quotas != nil {
		defer g.quotas.tick.Stop()
	}
	for {
		switch ev, err := g.handleNext(nil, nil); ev {
		case eventListenerEnded:
			g.failure = fmt.Errorf("accept clients: %w", err)
			return
		case eventStop:
			g.shutDown()
			return
		}
	}
}

// handleNext waits for the next event and handles it. During a shutdown, check and graceOver are not
// nil. It then handles only the events that queries in flight depend on (leases, quotas, fleet size,
// the configuration file) and ignores those that would start something new (the VRRP election, a view
// of the fleet).
func (g *Gatherer) handleNext(check, graceOver <-chan time.Time) (event, error) {
	ending := check != nil
	standby, late, stop := g.standbyChanged, g.lateFleetView, g.stopRequested
	if ending {
		standby, late, stop = nil, nil, nil
	}
	select {
	case err := <-g.listenerEnded:
		return eventListenerEnded, err
	case <-g.reloadRequested: // also during a shutdown: discovery may move, and queries in flight need it
		g.reloadFile()
	case others := <-g.siblingStates:
		g.adjustToSiblings(others)
		if g.electionPending && !ending {
			_ = g.updateElection() // logs its error and leaves electionPending set
		}
	case <-standby:
		_ = g.updateElection() // logs its error and leaves electionPending set
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
	case <-stop:
		return eventStop, nil
	case <-check:
		return eventCheck, nil
	case <-graceOver:
		return eventGraceOver, nil
	}
	return eventHandled, nil
}
