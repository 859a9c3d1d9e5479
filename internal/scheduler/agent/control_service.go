package agent

import (
	"context"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/rpc"
)

var _ rpc.Control = (*Agent)(nil)

// Watch implements rpc.Control. The proxy has no other source, so it is kept waiting for changes also while no controller is in touch.
func (a *Agent) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	if seen := r.Offsets[membersShard]; seen > a.feed.Offset(membersShard) {
		a.feed.AdvancePast(membersShard, seen) // an earlier process of this agent published it, by a clock that was ahead of this one
	}
	source := feed.Source{Table: a.feed}
	return source.Watch(ctx, r), nil
}

// NotePolicy implements rpc.Control. It forwards the policy to one controller after the other until one has taken it or ctx ends.
func (a *Agent) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	for _, address := range a.controllers() {
		if ctx.Err() == nil && a.forwardPolicy(ctx, address, p) {
			return &rpc.NotePolicyResponse{Taken: true}, nil
		}
	}
	return &rpc.NotePolicyResponse{}, nil
}

// forwardPolicy reports whether a controller has taken a policy. After an error it may have.
func (a *Agent) forwardPolicy(ctx context.Context, address string, p *rpc.ModelPolicy) bool {
	response, err := rpc.NewControlProtobufClient("http://"+address, a.client).NotePolicy(ctx, p)
	return err == nil && response.Taken
}

// Heartbeat implements rpc.Control. Workers send their heartbeats to controllers.
func (a *Agent) Heartbeat(context.Context, *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// Retire implements rpc.Control. Only controllers empty machines.
func (a *Agent) Retire(context.Context, *rpc.RetireRequest) (*rpc.RetireResponse, error) {
	return &rpc.RetireResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
}

// NoteDemand implements rpc.Control. Storage nodes send their demand to controllers; it is ignored here.
func (a *Agent) NoteDemand(context.Context, *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	return &rpc.NoteDemandResponse{}, nil
}
