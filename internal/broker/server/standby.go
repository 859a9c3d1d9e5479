package server

import (
	"saffronquay/internal/broker/logging"
)

// updateElection joins the VRRP election, or leaves it on standby. Of a series of errors only the first
// is logged. After an error electionPending stays set: a process that replaces another one cannot join
// while that one still has the router's address, and retries at each of its reports.
func (g *Gatherer) updateElection() error {
	if g.virtual == nil {
		return nil
	}
	err := g.virtual.setParticipating(!g.isStandby())
	if err != nil && !g.electionPending {
		logging.Error(g.logger, logging.Vrrp, "error", err)
	}
	g.electionPending = err != nil
	return err
}

// applyStandby applies an operator's standby call to the listener and notifies the gatherer's
// goroutine, which joins or leaves the VRRP election.
func (g *Gatherer) applyStandby(standby bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onStandby = standby
	if g.listener != nil {
		g.listener.Standby(standby)
	}
	logging.Info(g.logger, logging.Duty, "standby", standby)
	select {
	case g.standbyChanged <- struct{}{}:
	default:
	}
}

// isStandby reports whether an operator has put this gatherer on standby.
func (g *Gatherer) isStandby() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onStandby
}
