package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"time"
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
			response.Groups = append(response.Groups, &rpc.GroupStatus{
				Group: name, Leader: status.LeaderID, LeaderAddress: status.LeaderAddress,
				Epoch: status.Epoch, Commit: status.Commit, Applied: status.Applied, Membership: status.Membership, Replica: s.Host.cfg.Identity.ID, Settled: status.MembershipCommitted,
				Leads: status.HasLease(s.Host.Now()), HeldByAll: status.FullyReplicated,
			})
		}
	}
	return response, nil
}

const (
	proposeTimeout = 2 * time.Second
	retryInterval  = 60 * time.Millisecond
)

// NextHop tells where a command for a group has to go now, as its replica here sees it: to this process itself, to the leader's, or, where
// neither is set, nowhere yet.
func (s *Status) NextHop() (self bool, address string) {
	switch {
	case s == nil:
		return false, ""
	case s.Leader:
		return true, ""
	}
	return false, s.LeaderAddress
}

// Submit has a command agreed on, by whoever leads the group. The command must do no harm when it is carried out twice: it is sent
// again where its first try may have been lost.
func Submit(ctx context.Context, h *Host, client *transport.Client, group string, command []byte) ProposalResult {
	result := ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	for {
		status := h.Status(group)
		self, address := status.NextHop()
		switch {
		case self:
			result = h.Propose(ctx, group, command)
		case address != "":
			result = forward(ctx, h, client, address, group, command)
		}
		if result.Outcome == rpc.Outcome_DONE {
			return result
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return result
		}
	}
}

// forward has the leader at an address decide. It gives that up where this replica hears of another leader, or of none: the old one may be
// without power and would hold the call up to its end.
func forward(ctx context.Context, h *Host, client *transport.Client, address, group string, command []byte) ProposalResult {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	answered := make(chan ProposalResult, 1)
	go func() {
		response, err := rpc.NewReplicationProtobufClient("http://"+address, client).Propose(ctx, &rpc.ProposeRequest{Group: group, Command: command})
		if err != nil {
			answered <- ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
			return
		}
		answered <- ProposalResult{Outcome: response.Outcome, Result: response.Result}
	}()
	look := time.NewTicker(retryInterval)
	defer look.Stop()
	for {
		select {
		case result := <-answered:
			return result
		case <-look.C:
			if _, now := h.Status(group).NextHop(); now != address {
				return ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
			}
		}
	}
}
