package replica

import (
	"context"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

// proposeTimeout is the maximum time that a process waits for the result of a proposal forwarded to
// it.
const proposeTimeout = 2 * time.Second

// Service serves the replication calls of other processes. It implements rpc.Replication; its
// methods never return an error.
type Service struct {
	Host *Host
	// HasContact reports whether a message of a bootstrap member has ever arrived here; nil:
	// contacts are not recorded.
	HasContact func(bootstrapMember string) bool
}

// Step passes messages to the host. It returns before they are processed.
func (s *Service) Step(_ context.Context, r *rpc.StepRequest) (*rpc.StepResponse, error) {
	s.Host.Step(r.Messages)
	return &rpc.StepResponse{}, nil
}

// Propose makes a group that this process leads commit and apply a command. The response has the
// address of the leader known to this process, whatever the outcome.
func (s *Service) Propose(ctx context.Context, r *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result := s.Host.Propose(ctx, r.Group, r.Command)
	response := &rpc.ProposeResponse{Outcome: result.Outcome, Result: result.Result}
	if status := s.Host.Status(r.Group); status != nil {
		response.LeaderAddress = status.LeaderAddress
	}
	return response, nil
}

// Status returns this process's view of all its groups, unsorted.
func (s *Service) Status(_ context.Context, r *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	response := &rpc.StatusResponse{Node: s.Host.cfg.Identity.Node}
	if r.Founder != "" && s.HasContact != nil {
		response.FounderMet = s.HasContact(r.Founder)
	}
	for _, name := range s.Host.Groups() {
		if status := s.Host.Status(name); status != nil {
			response.Groups = append(response.Groups, s.groupStatus(name, status))
		}
	}
	return response, nil
}

// groupStatus returns a status in its wire format.
func (s *Service) groupStatus(name string, status *Status) *rpc.GroupStatus {
	return &rpc.GroupStatus{
		Group:         name,
		Leader:        status.LeaderID,
		LeaderAddress: status.LeaderAddress,
		Epoch:         status.Epoch,
		Commit:        status.Commit,
		Applied:       status.Applied,
		Membership:    status.Membership,
		Replica:       s.Host.cfg.Identity.ID,
		Settled:       status.MembershipCommitted,
		Leads:         status.HasLease(s.Host.Now()),
		HeldByAll:     status.FullyReplicated,
	}
}
