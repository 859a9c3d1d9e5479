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
	// coalesceDelay is how long a change waits to be delivered together with others: workers change their weights in bursts. It is small
	// beside the time within which a change must be in force everywhere.
	coalesceDelay = 40 * time.Millisecond
	// inTouchMS is how long ago a leader may have been heard for a controller to count as in touch.
	inTouchMS = 700
	// submitTimeout bounds how long a command waits for its group's decision.
	submitTimeout = 1500 * time.Millisecond
)

// Watch implements rpc.Control. It delivers the changes of all groups that controllers run.
func (s *Server) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	source := feed.Source{Table: s.feed, Fresh: s.inTouch}
	if s.settings.FeatureGates.CoalescedChanges {
		source.CoalesceDelay = coalesceDelay
	}
	return source.Watch(ctx, r), nil
}

// inTouch reports whether this controller is in touch with the leaders of all groups, so that watchers may rely on it.
func (s *Server) inTouch() bool {
	for _, name := range controlGroups() {
		status := s.host.Status(name)
		if status == nil || !status.InTouch(s.host.Now(), inTouchMS) {
			return false
		}
	}
	return true
}

// NotePolicy implements rpc.Control. The policy is committed when the answer says that it was taken.
func (s *Server) NotePolicy(ctx context.Context, p *rpc.ModelPolicy) (*rpc.NotePolicyResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	command, err := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Policy{Policy: p}})
	if err != nil {
		return &rpc.NotePolicyResponse{}, nil // it is not taken, and never will be
	}
	return &rpc.NotePolicyResponse{Taken: s.submit(ctx, directory.Shard, command).Outcome == rpc.Outcome_DONE}, nil
}

// NoteDemand implements rpc.Control. The demand is kept in memory only, at each controller: the owners of the batch job shards send it to all
// of them, over and over.
func (s *Server) NoteDemand(_ context.Context, d *rpc.Demand) (*rpc.NoteDemandResponse, error) {
	s.demand.Update(s.host.Now(), d.Shard, d.Slots)
	return &rpc.NoteDemandResponse{}, nil
}

// Heartbeat implements rpc.Control. It decides on a heartbeat that another controller forwards; it never forwards itself.
func (s *Server) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	sh := s.shards[cmp.Or(r.Shard, registry.ShardOf(r.Instance.Service))]
	if sh == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
	}
	return sh.heartbeat(ctx, r), nil
}
