package controlplane

import (
	"cmp"
	"context"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	heartbeatTimeout = 700 * time.Millisecond
	forgetAfterMS    = 120_000
)

// status is how the shard's group stands here; nil where this steward holds no replica of it.
func (sh *shard) status() *replica.Status { return sh.server.host.Status(sh.name) }

// Heartbeat implements rpc.Control: it takes in what another steward passes on.
func (st *Server) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	sh := st.shards[cmp.Or(r.Shard, registry.ShardOf(r.Instance.Service))]
	if sh == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
	}
	return sh.heartbeat(ctx, r), nil
}

// ownership is how this steward stands towards the shard now.
func (sh *shard) ownership(status *replica.Status) registry.Ownership {
	now := sh.server.host.Now()
	return registry.Ownership{NowMS: now, Epoch: status.Epoch, HasLease: status.HasLease(now)}
}

// heartbeat takes a heartbeat in where this steward owns the shard.
func (sh *shard) heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	status := sh.status()
	if status == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	outcome, command := sh.desk.Decide(sh.ownership(status), r)
	if outcome != rpc.Outcome_DONE {
		return &rpc.HeartbeatResponse{Outcome: outcome, LeaderAddress: status.LeaderAddress}
	}
	if command == nil {
		return &rpc.HeartbeatResponse{Outcome: outcome}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return sh.propose(ctx, command)
}

func (sh *shard) propose(ctx context.Context, command *rpc.RegistryCommand) *rpc.HeartbeatResponse {
	return &rpc.HeartbeatResponse{Outcome: sh.server.host.Propose(ctx, sh.name, replica.Marshal(command)).Outcome}
}

// tick declares workers lost whose heartbeats have ceased.
func (sh *shard) tick(ctx context.Context) {
	status := sh.status()
	if status == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, command := range sh.desk.OverdueCommands(sh.ownership(status), forgetAfterMS) {
		sh.server.log.Info("worker overdue", "shard", sh.name, "command", command)
		sh.propose(ctx, command)
	}
}

// Lease implements weights.Shard.
func (sh *shard) Lease() (epoch uint64, owned bool) {
	status := sh.status()
	if status == nil {
		return 0, false
	}
	return status.Epoch, status.HasLease(sh.server.host.Now())
}

// OwnedFor implements weights.Shard.
func (sh *shard) OwnedFor() time.Duration {
	status := sh.status()
	if status == nil || !status.Leader {
		return 0
	}
	return time.Duration(sh.server.host.Now()-status.LeaderSince) * time.Millisecond
}

// LastHolder implements weights.Shard.
func (sh *shard) LastHolder() (node string, ended bool) {
	holder := sh.registry.Holder()
	return holder.GetNode(), sh.server.membership.View().Incarnation(holder.GetNode()) != holder.GetStart()
}

// RecordHolder implements weights.Shard.
func (sh *shard) RecordHolder(ctx context.Context, epoch uint64) bool {
	hold := &rpc.Holder{Node: sh.server.settings.NodeName, Epoch: epoch, Start: sh.server.membership.View().Incarnation(sh.server.settings.NodeName)}
	return sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: hold}}).Outcome == rpc.Outcome_DONE
}

// Instances implements weights.Shard. Workers that have missed a heartbeat are left out: an order to them would only wait.
func (sh *shard) Instances() []*rpc.Instance {
	return sh.desk.ResponsiveInstances(sh.server.host.Now())
}

// RecordVersion implements weights.Shard.
func (sh *shard) RecordVersion(ctx context.Context, id, model string, version uint64) {
	known := sh.registry.Instance(id)
	if known == nil {
		return
	}
	instance := proto.Clone(known).(*rpc.Instance)
	for _, m := range instance.Models {
		if m.Name == model {
			m.Version = max(m.Version, version)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: instance}})
}
