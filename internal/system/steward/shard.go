package steward

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/registry"
	"saffronquay/internal/system/replica"
	"saffronquay/internal/system/rpc"
)

const (
	heartbeatTimeout = 700 * time.Millisecond
	forgetAfterMS    = 120_000
)

// status is how the shard's group stands here; nil where this steward holds no replica of it.
func (sh *shard) status() *replica.Status { return sh.steward.host.Status(sh.name) }

// Heartbeat implements rpc.Control: it takes in what another steward passes on.
func (st *Steward) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	sh := st.shards[cmp.Or(r.Shard, registry.ShardOf(r.Instance.Service))]
	if sh == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}, nil
	}
	return sh.heartbeat(ctx, r), nil
}

// heartbeat takes a heartbeat in where this steward owns the shard.
func (sh *shard) heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	status := sh.status()
	if status == nil {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_UNAVAILABLE}
	}
	if !status.Lease(sh.steward.host.Now()) {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_NOT_LEADER, LeaderAddress: status.LeaderAddress}
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if r.Leaving {
		if sh.registry.Gone(r.Instance.Id) {
			return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_DONE}
		}
		return sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: r.Instance.Id}})
	}
	if sh.registry.Gone(r.Instance.Id) {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_DONE}
	}
	sh.begin(status)
	sh.mu.Lock()
	changes := sh.owner.Heard(sh.steward.host.Now(), sh.registry.Instance(r.Instance.Id), r.Instance)
	sh.mu.Unlock()
	if !changes {
		return &rpc.HeartbeatResponse{Outcome: rpc.Outcome_DONE}
	}
	return sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: r.Instance}})
}

func (sh *shard) propose(ctx context.Context, command *rpc.RegistryCommand) *rpc.HeartbeatResponse {
	return &rpc.HeartbeatResponse{Outcome: sh.steward.host.Propose(ctx, sh.name, replica.Marshal(command)).Outcome}
}

// begin starts following the heartbeats when this steward has become the owner.
func (sh *shard) begin(status *replica.Status) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.epoch != status.Epoch {
		sh.epoch = status.Epoch
		sh.owner.Begin(sh.steward.host.Now(), sh.registry.Instances())
	}
}

// tick declares workers lost whose heartbeats have ceased.
func (sh *shard) tick(ctx context.Context) {
	status := sh.status()
	if status == nil || !status.Lease(sh.steward.host.Now()) {
		return
	}
	sh.begin(status)
	known := sh.registry.Instances()
	now := sh.steward.host.Now()
	sh.mu.Lock()
	lost := sh.owner.Lost(now, known)
	forgotten := sh.owner.Forgotten(now, known, forgetAfterMS)
	sh.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if len(lost) > 0 {
		sh.steward.log.Info("workers lost", "shard", sh.name, "instances", lost)
		sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: lost}}})
	}
	for _, id := range forgotten {
		sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}})
	}
}

// Lease implements weights.Shard.
func (sh *shard) Lease() (epoch uint64, owned bool) {
	status := sh.status()
	if status == nil {
		return 0, false
	}
	return status.Epoch, status.Lease(sh.steward.host.Now())
}

// Owned implements weights.Shard.
func (sh *shard) Owned() time.Duration {
	status := sh.status()
	if status == nil || !status.Leader {
		return 0
	}
	return time.Duration(sh.steward.host.Now()-status.LedSince) * time.Millisecond
}

// LastHolder implements weights.Shard.
func (sh *shard) LastHolder() (node string, ended bool) {
	holder := sh.registry.Holder()
	return holder.GetNode(), sh.steward.membership.View().Start(holder.GetNode()) != holder.GetStart()
}

// Hold implements weights.Shard.
func (sh *shard) Hold(ctx context.Context, epoch uint64) bool {
	hold := &rpc.Holder{Node: sh.steward.settings.NodeName, Epoch: epoch, Start: sh.steward.membership.View().Start(sh.steward.settings.NodeName)}
	return sh.propose(ctx, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: hold}}).Outcome == rpc.Outcome_DONE
}

// Instances implements weights.Shard. Workers that have missed a heartbeat are left out: an order to them would only wait.
func (sh *shard) Instances() []*rpc.Instance {
	known := sh.registry.Instances()
	now := sh.steward.host.Now()
	sh.mu.Lock()
	defer sh.mu.Unlock()
	list := make([]*rpc.Instance, 0, len(known))
	for _, i := range known {
		if !sh.owner.Silent(now, i.Id) {
			list = append(list, i)
		}
	}
	return list
}

// Record implements weights.Shard.
func (sh *shard) Record(ctx context.Context, id, model string, version uint64) {
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
