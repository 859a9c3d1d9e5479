package agent

import (
	"context"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/rpc"
)

var _ rpc.Control = (*Agent)(nil)

// Watch implements rpc.Control. The proxy has no other source, so its watch waits for changes even
// while no controller is in touch.
func (a *Agent) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if seen := r.Offsets[membersShard]; seen > a.feed.Offset(membersShard) {
		a.feed.AdvancePast(membersShard, seen) // published by an earlier process of this agent whose clock was ahead
	}
	source := feed.Source{Table: a.feed}
	return source.Watch(ctx, r), nil
}

// NotePolicy implements rpc.Control. It forwards the policy to one controller after another until
// one has accepted it or ctx ends.
func (a *Agent) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	for _, address := range a.controllers() {
		if ctx.Err() == nil && a.forwardPolicy(ctx, address, p) {
			return &rpc.NotePolicyResponse{Taken: true}, nil
		}
	}
	return &rpc.NotePolicyResponse{}, nil
}

// forwardPolicy reports whether a controller has accepted a policy. After an error it may have been
// accepted nevertheless.
func (a *Agent) forwardPolicy(ctx context.Context, address string, p *rpc.ModelPolicy) bool {
	response, err := rpc.NewControlProtobufClient("http://"+address, a.client).NotePolicy(ctx, p)
	return err == nil && response.Taken
}

// Heartbeat implements rpc.Control. Workers send their heartbeats to controllers.
func (a *Agent) Heartbeat(context.Context, *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// Retire implements rpc.Control. Only controllers drain machines.
func (a *Agent) Retire(context.Context, *rpc.RetireRequest) (*rpc.RetireResponse, error) {
	return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// NoteDemand implements rpc.Control. Storage nodes send their demand to controllers; the agent
// ignores it.
func (a *Agent) NoteDemand(context.Context, *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	return &rpc.NoteDemandResponse{}, nil
}
