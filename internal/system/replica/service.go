package replica

import (
	"context"
	"time"

	"saffronquay/internal/system/rpc"
	"saffronquay/internal/system/transport"
)

// Service answers the replication calls of other processes.
type Service struct{ Host *Host }

// Step takes messages in.
func (s *Service) Step(_ context.Context, r *rpc.StepRequest) (*rpc.StepResponse, error) {
	s.Host.Step(r.Messages)
	return &rpc.StepResponse{}, nil
}

// Propose has a command agreed on where this process leads the group.
func (s *Service) Propose(ctx context.Context, r *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	proposed := s.Host.Propose(ctx, r.Group, r.Command)
	response := &rpc.ProposeResponse{Outcome: proposed.Outcome, Result: proposed.Result}
	if status := s.Host.Status(r.Group); status != nil {
		response.LeaderAddress = status.LeaderAddress
	}
	return response, nil
}

// Status tells how the groups stand.
func (s *Service) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	response := &rpc.StatusResponse{Node: s.Host.cfg.Identity.Node}
	for _, name := range s.Host.Groups() {
		if status := s.Host.Status(name); status != nil {
			response.Groups = append(response.Groups, &rpc.GroupStatus{Group: name, Leader: status.LeaderID, LeaderAddress: status.LeaderAddress,
				Epoch: status.Epoch, Commit: status.Commit, Applied: status.Applied, Membership: status.Membership, Replica: s.Host.cfg.Identity.ID, Settled: status.Settled,
				Leads: status.Lease(s.Host.Now()), HeldByAll: status.HeldByAll})
		}
	}
	return response, nil
}

const (
	proposeTimeout = 2 * time.Second
	retryPause     = 60 * time.Millisecond
)

// Submit has a command agreed on, by whoever leads the group. The command must do no harm when it is carried out twice: it is sent
// again where its first try may have been lost.
func Submit(ctx context.Context, h *Host, client *transport.Client, group string, command []byte) Proposed {
	result := Proposed{Outcome: rpc.Outcome_UNAVAILABLE}
	for {
		status := h.Status(group)
		switch {
		case status == nil:
		case status.Leader:
			result = h.Propose(ctx, group, command)
		case status.LeaderAddress != "":
			result = forward(ctx, client, status.LeaderAddress, group, command)
		}
		if result.Outcome == rpc.Outcome_DONE {
			return result
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return result
		}
	}
}

func forward(ctx context.Context, client *transport.Client, address, group string, command []byte) Proposed {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	response, err := rpc.NewReplicationProtobufClient("http://"+address, client).Propose(ctx, &rpc.ProposeRequest{Group: group, Command: command})
	if err != nil {
		return Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
	}
	return Proposed{Outcome: response.Outcome, Result: response.Result}
}
