package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"slices"

	"github.com/valyala/fasthttp"
)

// The directory's leader drains a storage machine: placements no longer include it, and its
// retirement is completed when the groups have moved away from it. Only that leader accepts or
// rejects a request for it: any other controller may be partitioned, and know neither the machines
// nor the accepted requests.

// retirementGraceMS is how long a failed machine still counts as available when a request is
// checked: most failed machines recover.
const retirementGraceMS = 30_000

// startRetirement handles the operator's request to drain a storage machine.
func (s *Server) startRetirement(ctx context.Context, request *fasthttp.RequestCtx) {
	response := s.requestRetirement(ctx, &rpc.RetireRequest{Node: pathValue(request, "node"), Start: true})
	switch {
	case response == nil:
		fail(request, fasthttp.StatusServiceUnavailable, "directory leader did not reply in time")
	case response.State == rpc.RetireState_RETIRE_NO_SUCH_MACHINE:
		fail(request, fasthttp.StatusNotFound, "unknown storage machine")
	case response.State == rpc.RetireState_RETIRE_TOO_FEW_LEFT:
		fail(request, fasthttp.StatusConflict, "too few storage machines would be left")
	default:
		reply(request, fasthttp.StatusOK, emptyBody{})
	}
}

// readRetirement returns the state of a storage machine's retirement.
func (s *Server) readRetirement(ctx context.Context, request *fasthttp.RequestCtx) {
	response := s.requestRetirement(ctx, &rpc.RetireRequest{Node: pathValue(request, "node")})
	state := "active"
	switch {
	case response == nil:
		fail(request, fasthttp.StatusServiceUnavailable, "directory leader did not reply in time")
		return
	case response.State == rpc.RetireState_RETIRE_NOT_ASKED:
		fail(request, fasthttp.StatusNotFound, "no retirement was requested for this machine")
		return
	case response.State == rpc.RetireState_RETIRE_COMPLETED:
		state = "completed"
	}
	reply(request, fasthttp.StatusOK, struct {
		State string `json:"state"`
	}{state})
}

// requestRetirement forwards a request to the directory's leader, which may be this process. It
// retries for forwardTimeout, and returns nil then.
func (s *Server) requestRetirement(ctx context.Context, r *rpc.RetireRequest) *rpc.RetireResponse {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	for {
		response := s.retire(ctx, r)
		if response.Outcome == rpc.Outcome_NOT_LEADER && response.LeaderAddress != "" {
			forwarded, err := s.controlClient(response.LeaderAddress).Retire(ctx, r)
			if err == nil {
				response = forwarded
			}
		}
		if response.Outcome == rpc.Outcome_DONE {
			return response
		}
		if !lifecycle.Sleep(ctx, forwardBackoff) {
			return nil
		}
	}
}

// Retire implements rpc.Control. It handles requests only for the directory's leader, and never
// forwards them.
func (s *Server) Retire(ctx context.Context, r *rpc.RetireRequest) (*rpc.RetireResponse, error) {
	return s.retire(ctx, r), nil
}

func (s *Server) retire(ctx context.Context, r *rpc.RetireRequest) *rpc.RetireResponse {
	status := s.host.Status(directory.Shard)
	switch {
	case status == nil:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}
	case !status.HasLease(s.host.Now()):
		return &rpc.RetireResponse{Outcome: rpc.Outcome_NOT_LEADER, LeaderAddress: status.LeaderAddress}
	}
	completed, started := s.directory.Retirements()[r.Node]
	switch {
	case completed:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: rpc.RetireState_RETIRE_COMPLETED}
	case started:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: rpc.RetireState_RETIRE_ACTIVE}
	case !r.Start:
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE}
	case s.host.Now()-status.LeaderSince < minLeadTime.Milliseconds():
		return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE} // machines whose state has not been received yet would count as missing
	}
	refusal := CheckRetirement(r.Node, s.machines(settings.ServesStorage), s.jobPlacements(), s.settings.GroupSize())
	if refusal != rpc.RetireState_RETIRE_NOT_ASKED {
		return &rpc.RetireResponse{Outcome: rpc.Outcome_DONE, State: refusal}
	}
	outcome := s.proposeRetirement(ctx, &rpc.Retirement{Node: r.Node})
	return &rpc.RetireResponse{Outcome: outcome, State: rpc.RetireState_RETIRE_ACTIVE}
}

func (s *Server) proposeRetirement(ctx context.Context, retirement *rpc.Retirement) rpc.Outcome {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: retirement}}
	return s.host.ProposeMessage(ctx, directory.Shard, command).Outcome
}

// CheckRetirement returns the reason why a storage machine must not be drained: it is unknown, or
// fewer machines than the group size would remain. It returns RETIRE_NOT_ASKED if the request may
// be accepted. It has no side effects.
func CheckRetirement(node string, machines []placement.Machine, placements []*rpc.Placement, size int) rpc.RetireState {
	known, remaining := false, 0
	for _, m := range machines {
		known = known || m.Node == node
		if m.Node != node && !m.Retiring && (m.Alive || m.DeadMS < retirementGraceMS) {
			remaining++
		}
	}
	known = known || slices.ContainsFunc(placements, func(p *rpc.Placement) bool { return hasReplicaOn(p, node) })
	switch {
	case !known:
		return rpc.RetireState_RETIRE_NO_SUCH_MACHINE
	case remaining < size:
		return rpc.RetireState_RETIRE_TOO_FEW_LEFT
	}
	return rpc.RetireState_RETIRE_NOT_ASKED
}

// hasReplicaOn reports whether a placement has a replica on a machine.
func hasReplicaOn(p *rpc.Placement, node string) bool {
	return slices.ContainsFunc(p.Replicas, func(r *rpc.Replica) bool { return r.Node == node })
}

// jobPlacements returns the placements of the groups run by storage machines.
func (s *Server) jobPlacements() (list []*rpc.Placement) {
	for name, p := range s.directory.Placements() {
		if s.stateMachine(name) == nil {
			list = append(list, p)
		}
	}
	return list
}

// completeRetirements commits the completion of retirements whose machines are no longer needed by
// any group. Only the directory's leader calls it.
func (s *Server) completeRetirements(ctx context.Context) {
	for node, completed := range s.directory.Retirements() {
		if completed || !s.isDrained(ctx, node) {
			continue
		}
		s.proposeRetirement(ctx, &rpc.Retirement{Node: node, Completed: true}) // if it is not committed in time, a later iteration proposes it again
	}
}

// isDrained reports whether no group needs a machine, according to the placements and to the
// groups' leaders.
func (s *Server) isDrained(ctx context.Context, node string) bool {
	placements := s.directory.Placements()
	for _, name := range s.jobGroups() {
		wanted := placements[name]
		if wanted == nil {
			continue
		}
		if hasReplicaOn(wanted, node) || !s.isInForce(ctx, wanted) {
			return false
		}
	}
	return true
}

// isInForce reports whether a group's leader confirms that the members are those of the placement
// and have the complete state.
func (s *Server) isInForce(ctx context.Context, wanted *rpc.Placement) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, r := range wanted.Replicas {
		response, err := rpc.NewReplicationProtobufClient("http://"+r.Address, s.client).Status(ctx, &rpc.StatusRequest{})
		if err != nil {
			continue // a replica that does not reply is not the leader, or is queried again in a later iteration
		}
		for _, g := range response.Groups {
			if g.Group == wanted.Group && MatchesPlacement(g, wanted) {
				return true
			}
		}
	}
	return false
}

// MatchesPlacement reports whether a status is reported by a leader with its lease, its members are
// those of the placement, this membership is committed, and each member has persisted the complete
// log up to it. Any other machine then has no data that they lack. It has no side effects.
func MatchesPlacement(g *rpc.GroupStatus, wanted *rpc.Placement) bool {
	return g.Leads && g.Settled && g.HeldByAll && len(g.Membership.GetLearners()) == 0 && len(g.Membership.GetOutgoing()) == 0 && placement.Equal(g.Membership.GetVoters(), wanted.Replicas)
}
