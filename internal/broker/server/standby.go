package server

import (
	"saffronquay/internal/broker/logging"
)

// competeForAddress takes part in the VRRP election, or on standby withdraws from it. An error is logged once and leaves electionPending set: a process
// that replaces another one fails while that one still has the router's address, and competes again at each of its reports.
func (g *Gatherer) competeForAddress() error {
	if g.virtual == nil {
		return nil
	}
	err := g.virtual.compete(!g.isStandby())
	if err != nil && !g.electionPending {
		logging.Error(g.logger, logging.Vrrp, "error", err)
	}
	g.electionPending = err != nil
	return err
}

// applyStandby applies an operator's standby call to the listener, and notifies the gatherer's goroutine, which withdraws the virtual address.
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
