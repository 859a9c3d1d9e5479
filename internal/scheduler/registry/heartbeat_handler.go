package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"sync"
)

// HeartbeatHandler decides on what workers say of themselves, at a process that holds a replica of their shard. It is pure but for its lock.
type HeartbeatHandler struct {
	registry *Registry

	mu       sync.Mutex
	liveness *LivenessTracker
	epoch    uint64 // under which owner has begun
}

// NewHeartbeatHandler returns the handler of a shard.
func NewHeartbeatHandler(registry *Registry, heartbeatMS int64) *HeartbeatHandler {
	return &HeartbeatHandler{registry: registry, liveness: NewLivenessTracker(heartbeatMS)}
}

// Ownership is how a process stands towards a shard at a moment.
type Ownership struct {
	NowMS    int64 // milliseconds
	Epoch    uint64
	HasLease bool // it is the owner, and no other can have been elected yet
}

// Decide takes a heartbeat or a leave in. Where it returns a command, that has to be agreed on before the worker is answered; DONE without one
// says that the shard knows all of it already. A process that doesn't own the shard decides nothing.
func (d *HeartbeatHandler) Decide(o Ownership, r *rpc.HeartbeatRequest) (rpc.Outcome, *rpc.RegistryCommand) {
	id := r.Instance.Id
	switch {
	case !o.HasLease:
		return rpc.Outcome_NOT_LEADER, nil
	case d.registry.HasLeft(id):
		return rpc.Outcome_DONE, nil
	case r.Leaving:
		return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beginEpoch(o)
	if !d.liveness.Observe(o.NowMS, d.registry.Instance(id), r.Instance) {
		return rpc.Outcome_DONE, nil
	}
	return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: r.Instance}}
}

// beginEpoch starts following the heartbeats when this process has become the owner.
func (d *HeartbeatHandler) beginEpoch(o Ownership) {
	if d.epoch != o.Epoch {
		d.epoch = o.Epoch
		d.liveness.Reset(o.NowMS, d.registry.Instances())
	}
}

// OverdueCommands returns the commands that declare workers lost whose heartbeats have ceased, and forget those that were lost long ago.
func (d *HeartbeatHandler) OverdueCommands(o Ownership, forgetAfterMS int64) (commands []*rpc.RegistryCommand) {
	if !o.HasLease {
		return nil
	}
	known := d.registry.Instances()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beginEpoch(o)
	if lost := d.liveness.NewlyLost(o.NowMS, known); len(lost) > 0 {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: lost}}})
	}
	for _, id := range d.liveness.Expired(o.NowMS, known, forgetAfterMS) {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}})
	}
	return commands
}

// ResponsiveInstances returns the workers that have not missed a heartbeat by a margin.
func (d *HeartbeatHandler) ResponsiveInstances(now int64) []*rpc.Instance {
	known := d.registry.Instances()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*rpc.Instance, 0, len(known))
	for _, i := range known {
		if !d.liveness.MissedHeartbeat(now, i.Id) {
			list = append(list, i)
		}
	}
	return list
}
