package controlplane

import (
	"context"
	"net/http"
	"saffronquay/internal/scheduler/lifecycle"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/transport"
	"time"
)

const (
	// bootstrapTimeout is how long a bootstrap member queries the others whether it has taken part
	// before. If some of them do not reply, it still creates the groups: at the first start a
	// machine may be missing.
	bootstrapTimeout     = 2 * time.Second
	bootstrapCallTimeout = 300 * time.Millisecond
	bootstrapBackoff     = 50 * time.Millisecond
)

// bootstrapReplication serves the replication calls of other bootstrap members while this one
// queries them. It has no replicas, and has had no contact with bootstrap members: its disk is
// empty.
type bootstrapReplication struct{ node string }

var _ rpc.Replication = bootstrapReplication{}

// Step implements rpc.Replication. The messages are dropped.
func (bootstrapReplication) Step(context.Context, *rpc.StepRequest) (*rpc.StepResponse, error) {
	return &rpc.StepResponse{}, nil
}

// Propose implements rpc.Replication.
func (bootstrapReplication) Propose(context.Context, *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	return &rpc.ProposeResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// Status implements rpc.Replication.
func (u bootstrapReplication) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	return &rpc.StatusResponse{Node: u.node}, nil
}

// participatedBefore reports whether another bootstrap member has had contact with this one before.
// In that case this bootstrap member, whose disk is empty, has lost its disk and must not use its
// bootstrap member id again, whatever the setting bootstrap is. It serves the calls of the other
// bootstrap members meanwhile: at the first start all bootstrap members query each other at the
// same time.
func (s *Server) participatedBefore(ctx context.Context, bootstrapMember string) bool {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	server, err := transport.Listen(ctx, s.settings.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(bootstrapReplication{s.settings.NodeName}),
	})
	if err != nil {
		s.log.Error("failed to listen for calls of other bootstrap members", "error", err)
	} else {
		var tasks lifecycle.Tasks
		tasks.Serve(s.log, "founding", server.Serve)
		defer func() {
			closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), bootstrapCallTimeout)
			defer cancel()
			_ = server.Close(closing) // remaining connections are closed when the process exits; the port is released
			tasks.Wait(closing)
		}()
	}
	var others []string
	for _, seed := range s.settings.Seeds {
		if replica.BootstrapMemberID(seed) != bootstrapMember {
			others = append(others, s.settings.PeerAddressOf(seed))
		}
	}
	contacted := queryBootstrapMembers(ctx, others, func(ctx context.Context, address string) (bool, error) {
		response, err := rpc.NewReplicationProtobufClient("http://"+address, s.client).Status(ctx, &rpc.StatusRequest{Founder: bootstrapMember})
		return response.GetFounderMet(), err
	})
	if contacted {
		s.log.Warn("groups already exist and this disk is empty; using a new identity", "founder", bootstrapMember)
	}
	return contacted
}

// queryBootstrapMembers queries each address until it has replied or ctx ends, and reports whether
// one of them has had contact with the querying bootstrap member.
func queryBootstrapMembers(ctx context.Context, addresses []string, query func(ctx context.Context, address string) (contacted bool, err error)) bool {
	for len(addresses) > 0 {
		var unanswered []string
		for _, address := range addresses {
			callCtx, cancel := context.WithTimeout(ctx, bootstrapCallTimeout)
			contacted, err := query(callCtx, address)
			cancel()
			switch {
			case err != nil:
				unanswered = append(unanswered, address)
			case contacted:
				return true
			}
		}
		if addresses = unanswered; len(addresses) > 0 && !lifecycle.Sleep(ctx, bootstrapBackoff) {
			return false
		}
	}
	return false
}
