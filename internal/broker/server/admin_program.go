package server

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/peering"
	"strings"
)

// adminProgram implements adminapi.Program, on which the calls of the admin endpoint act.
type adminProgram struct {
	*adminapi.Lifecycle
	*adminapi.Metrics
	routes     *transport.Routes
	output     *logging.Output
	engine     *transport.Engine
	fleetView  func() *fleetView          // returns nil before the view is open, and without a fleet
	policyNode func() *peering.PolicyNode // returns nil without a policy node
}

// maxListedTeams is the maximum number of teams in the answer to the call contracts.
const maxListedTeams = 1000

// Contracts appends one line with the state of each team. It appends nothing when there are no
// contracts.
func (d adminProgram) Contracts(dst []byte) []byte {
	for _, team := range d.engine.TeamStatuses(maxListedTeams) {
		dst = appendTeam(dst, team)
	}
	return dst
}

// appendTeam appends the line of one team. Operators' tools parse its field names: queued is the
// present length of the queue, waited the number of queries that were ever queued.
func appendTeam(dst []byte, a admission.TeamStatus) []byte {
	return fmt.Appendf(dst, "team %s share=%.4f queued=%d out=%d asked=%d started=%d waited=%d ahead=%d full=%d class=%d expired=%d predicted_us=%.0f took_us=%.0f lent_us=%.0f attempts=%d budget=%.2f limit=%d ratio=%.3f\n",
		a.Team, a.Fraction, a.Queued, a.InFlight, a.Requested, a.Started, a.QueuedTotal, a.RejectedBacklog, a.RejectedQueueFull, a.RejectedClass, a.Expired, a.Predicted, a.Consumed, a.Borrowed, a.Attempts, a.Budget, a.Limit, a.Ratio)
}

// SetLogLevel sets the minimum level of log lines.
func (d adminProgram) SetLogLevel(level string) error {
	if d.output == nil {
		return errors.New("set log level: the log of this program is not configurable")
	}
	return d.output.SetLevel(level)
}

// Layout appends the state of the layout. It returns nil when no layout is configured.
func (d adminProgram) Layout(dst []byte) []byte {
	if d.routes == nil {
		return nil
	}
	return d.routes.AppendStatus(dst)
}

// Fleet appends the view of the fleet: one line with its totals, then one for each member. It returns
// nil when there is no view.
func (d adminProgram) Fleet(dst []byte) []byte {
	m := d.fleetView()
	if m == nil {
		return nil
	}
	v, now, err := m.peers.View()
	if err != nil {
		return nil
	}
	dst = fmt.Appendf(dst, "view digest=%016x changed_ms=%d alive=%d reckon=%d divide=%d ill=%d alone=%t twin=%t member=%t\n", v.Digest, (now-v.DigestChanged)/1000, v.AliveCount, v.EffectiveSize,
		m.divisor(), v.HealthScore, v.Isolated, v.NameConflict, !v.Superseded)
	for _, x := range v.Members {
		dst = fmt.Appendf(dst, "member name=%s state=%s since_ms=%d address=%s zone=%s start=%d incarnation=%d version=%s draining=%t standby=%t policy=%d self=%t by=%s\n",
			x.Name, x.State, (now-x.Since)/1000, x.Address, x.Zone, x.Start, x.Incarnation, x.Version, x.Metadata.Draining, x.Metadata.Standby, x.Metadata.PolicyVersion, x.Self, strings.Join(x.Accusers, ","))
	}
	return dst
}

// Forget marks a failed member as having left the fleet.
func (d adminProgram) Forget(name string) error {
	if m := d.fleetView(); m != nil {
		return m.peers.Forget(name)
	}
	return errNoFleet
}

// LeaveFleet makes this gatherer leave its fleet until the process is restarted.
func (d adminProgram) LeaveFleet() error {
	if m := d.fleetView(); m != nil {
		return m.peers.Leave()
	}
	return errNoFleet
}
