package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/weights"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// heartbeatTimeout is the maximum time that a heartbeat's command waits to be committed by the
	// group.
	heartbeatTimeout = 700 * time.Millisecond
	// forgetAfterMS is how long a lost worker is retained in the registry.
	forgetAfterMS = 120_000
)

// shard is this process's replica of a registry shard. It implements weights.Shard.
type shard struct {
	server     *Server
	name       string
	registry   *registry.Registry
	heartbeats *registry.HeartbeatHandler
}

var _ weights.Shard = (*shard)(nil)

// status returns the status of the shard's group; nil if this process has no replica of it.
func (sh *shard) status() *replica.Status { return sh.server.host.Status(sh.name) }

// ownership returns the epoch in which this process decides for the shard, and whether it may.
func (sh *shard) ownership(status *replica.Status) registry.Ownership {
	now := sh.server.host.Now()
	return registry.Ownership{NowMS: now, Epoch: status.Epoch, HasLease: status.HasLease(now)}
}

// heartbeat handles a heartbeat or a deregistration if this process owns the shard; otherwise the
// response has the owner's address. With outcome DONE the resulting change is committed.
func (sh *shard) heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	status := sh.status()
	if status == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	outcome, command := sh.heartbeats.Decide(sh.ownership(status), r)
	if outcome != rpc.Outcome_DONE {
		return &rpc.HeartbeatResponse{Outcome: outcome, LeaderAddress: status.LeaderAddress}
	}
	if command == nil {
		return &rpc.HeartbeatResponse{Outcome: outcome}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return &rpc.HeartbeatResponse{Outcome: sh.propose(ctx, command)}
}

// propose has the shard's group, which this process leads, commit a command.
func (sh *shard) propose(ctx context.Context, command *rpc.RegistryCommand) rpc.Outcome {
	return sh.server.host.ProposeMessage(ctx, sh.name, command).Outcome
}

// removeOverdue declares workers lost whose heartbeats have ceased, and removes those that were
// lost long ago. It does nothing if this process does not own the shard.
func (sh *shard) removeOverdue(ctx context.Context) {
	status := sh.status()
	if status == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for _, command := range sh.heartbeats.OverdueCommands(sh.ownership(status), forgetAfterMS) {
		sh.server.log.Info("worker overdue", "shard", sh.name, "command", command)
		sh.propose(ctx, command) // if it is not committed in time, a later iteration proposes it again
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

// LastHolder implements weights.Shard. A process has ended if its machine has failed or runs
// another process.
func (sh *shard) LastHolder() (node string, ended bool) {
	holder := sh.registry.Holder()
	return holder.GetNode(), sh.server.membership.View().Incarnation(holder.GetNode()) != holder.GetStart()
}

// RecordHolder implements weights.Shard.
func (sh *shard) RecordHolder(ctx context.Context, epoch uint64) bool {
	node := sh.server.settings.NodeName
	holder := &rpc.Holder{Node: node, Epoch: epoch, Start: sh.server.membership.View().Incarnation(node)}
	return sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: holder}}) == rpc.Outcome_DONE
}

// Instances implements weights.Shard. Workers that have missed a heartbeat are excluded: an order
// to them would block.
func (sh *shard) Instances() []*rpc.Instance {
	return sh.heartbeats.ResponsiveInstances(sh.server.host.Now())
}

// RecordVersion implements weights.Shard. If the command is not committed in time nothing is lost:
// the worker's next heartbeat reports the same version.
func (sh *shard) RecordVersion(ctx context.Context, id, model string, version uint64) {
	known := sh.registry.Instance(id)
	if known == nil {
		return
	}
	instance := proto.CloneOf(known)
	for _, m := range instance.Models {
		if m.Name == model {
			m.Version = max(m.Version, version)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: instance}})
}
