package server

import (
	"fmt"
	"time"
)

// event is what the gatherer's goroutine has met, where the caller of handleNext must act on it.
type event int

const (
	eventHandled event = iota // nothing is left to do
	eventListenerEnded
	eventStop
	eventCheck     // it is time to check whether the gatherer is idle
	eventGraceOver // from now on every query must end before the platform kills the process
)

// run handles events until Stop, or until the listener fails.
func (g *Gatherer) run() {
	defer close(g.ended)
	defer g.durable.close()
	if g.quotas != nil {
		defer g.quotas.tick.Stop()
	}
	for {
		switch met, err := g.handleNext(nil, nil); met {
		case eventListenerEnded:
			g.failure = fmt.Errorf("accept: %w", err)
			return
		case eventStop:
			g.shutDown()
			return
		}
	}
}

// handleNext waits for the next event and handles it. While the gatherer shuts down check and graceOver are given: then it handles what must go on while
// queries are in flight (leases, numbers, the file), and leaves alone what would begin something new.
func (g *Gatherer) handleNext(check, graceOver <-chan time.Time) (event, error) {
	ending := check != nil
	standby, late, stop := g.standbyChanged, g.lateFleetView, g.stopRequested
	if ending {
		standby, late, stop = nil, nil, nil
	}
	select {
	case err := <-g.listenerEnded:
		return eventListenerEnded, err
	case <-g.reloadRequested: // also while ending: the watch may move, and queries in flight need it
		g.reloadFile()
	case others := <-g.siblingStates:
		g.adjustToSiblings(others)
		if g.electionPending && !ending {
			_ = g.competeForAddress() // it logs its error and leaves electionPending set
		}
	case <-standby:
		_ = g.competeForAddress() // it logs its error and leaves electionPending set
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
