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
	// foundingTimeout bounds how long a founder asks the others whether it has taken part before. One that gets no answer from some of them founds
	// the groups all the same: at the first start a machine may be missing.
	foundingTimeout     = 2 * time.Second
	foundingCallTimeout = 300 * time.Millisecond
	foundingBackoff     = 50 * time.Millisecond
)

// unfoundedReplicas answers the replication calls of other founders while this one asks them. It has no replicas, and has met no founder: its disk
// is empty.
type unfoundedReplicas struct{ node string }

var _ rpc.Replication = unfoundedReplicas{}

// Step implements rpc.Replication. The messages count as lost.
func (unfoundedReplicas) Step(context.Context, *rpc.StepRequest) (*rpc.StepResponse, error) {
	return &rpc.StepResponse{}, nil
}

// Propose implements rpc.Replication.
func (unfoundedReplicas) Propose(context.Context, *rpc.ProposeRequest) (*rpc.ProposeResponse, error) {
	return &rpc.ProposeResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// Status implements rpc.Replication.
func (u unfoundedReplicas) Status(context.Context, *rpc.StatusRequest) (*rpc.StatusResponse, error) {
	return &rpc.StatusResponse{Node: u.node}, nil
}

// tookPart reports whether another founder has met this one before, so that this one, whose disk is empty, has lost its disk and must not take its
// founder's id again, whatever the setting bootstrap says. It answers the others' calls meanwhile: at the first start all founders ask at once.
func (s *Server) tookPart(ctx context.Context, founder string) bool {
	ctx, cancel := context.WithTimeout(ctx, foundingTimeout)
	defer cancel()
	server, err := transport.Listen(ctx, s.settings.PeerAddress(), map[string]http.Handler{
		rpc.ReplicationPathPrefix: rpc.NewReplicationServer(unfoundedReplicas{s.settings.NodeName}),
	})
	if err != nil {
		s.log.Error("other founders can't be answered", "error", err)
	} else {
		var tasks lifecycle.Tasks
		tasks.Serve(s.log, "founding", server.Serve)
		defer func() {
			closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), foundingCallTimeout)
			defer cancel()
			_ = server.Close(closing) // connections that stay open end with the process; the port is free
			tasks.Wait(closing)
		}()
	}
	var others []string
	for _, seed := range s.settings.Seeds {
		if replica.FounderID(seed) != founder {
			others = append(others, s.settings.PeerAddressOf(seed))
		}
	}
	met := askFounders(ctx, others, func(ctx context.Context, address string) (bool, error) {
		response, err := rpc.NewReplicationProtobufClient("http://"+address, s.client).Status(ctx, &rpc.StatusRequest{Founder: founder})
		return response.GetFounderMet(), err
	})
	if met {
		s.log.Warn("the groups exist: this disk was lost, and gets a new identity", "founder", founder)
	}
	return met
}

// askFounders asks each address until it has answered or ctx ends, and reports whether one of them has met the founder that asks.
func askFounders(ctx context.Context, addresses []string, ask func(ctx context.Context, address string) (met bool, err error)) bool {
	for len(addresses) > 0 {
		var silent []string
		for _, address := range addresses {
			callCtx, cancel := context.WithTimeout(ctx, foundingCallTimeout)
			met, err := ask(callCtx, address)
			cancel()
			switch {
			case err != nil:
				silent = append(silent, address)
			case met:
				return true
			}
		}
		if addresses = silent; len(addresses) > 0 && !lifecycle.Sleep(ctx, foundingBackoff) {
			return false
		}
	}
	return false
}
