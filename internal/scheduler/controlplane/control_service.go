package controlplane

import (
	"cmp"
	"context"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

const (
	// coalesceDelay is how long a change is delayed to be delivered together with others: workers
	// change their weights in bursts. It is small compared to the time within which a change must
	// be in force everywhere.
	coalesceDelay = 40 * time.Millisecond
	// inTouchMS is the maximum time since the last contact with a leader for a controller to count
	// as in touch with it.
	inTouchMS = 700
	// submitTimeout is the maximum time that a command waits to be committed by its group.
	submitTimeout = 1500 * time.Millisecond
)

// Watch implements rpc.Control. It delivers the changes of all groups run by controllers.
func (s *Server) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	source := feed.Source{Table: s.feed, Fresh: s.inTouch}
	if s.settings.FeatureGates.CoalescedChanges {
		source.CoalesceDelay = coalesceDelay
	}
	return source.Watch(ctx, r), nil
}

// inTouch reports whether this controller is in touch with the leaders of all groups, so that
// watchers may rely on it.
func (s *Server) inTouch() bool {
	for _, name := range controlGroups() {
		status := s.host.Status(name)
		if status == nil || !status.IsCurrent(s.host.Now(), inTouchMS) {
			return false
		}
	}
	return true
}

// NotePolicy implements rpc.Control. If Taken is set in the response, the policy is committed.
func (s *Server) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	command, err := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: p}})
	if err != nil {
		return &rpc.NotePolicyResponse{}, nil // not accepted; a retry would fail too
	}
	return &rpc.NotePolicyResponse{Taken: s.submit(ctx, directory.Shard, command).Outcome == rpc.Outcome_DONE}, nil
}

// NoteDemand implements rpc.Control. Each controller keeps the demand in memory only: the owners of
// the batch job shards send it to all of them repeatedly.
func (s *Server) NoteDemand(_ context.Context, d *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	s.demand.Update(s.host.Now(), d.Shard, d.Slots)
	return &rpc.NoteDemandResponse{}, nil
}

// Heartbeat implements rpc.Control. It handles a heartbeat forwarded by another controller; it
// never forwards heartbeats itself.
func (s *Server) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	sh := s.shards[cmp.Or(r.Shard, registry.ShardOf(r.Instance.Service))]
	if sh == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
	}
	return sh.heartbeat(ctx, r), nil
}
