package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"sync"
)

// HeartbeatHandler decides on the heartbeats of a shard's workers in a process with a replica of
// the shard. It only returns decisions: the caller proposes the commands to the shard's log. It is
// safe for concurrent use.
type HeartbeatHandler struct {
	registry *Registry

	mu       sync.Mutex
	liveness *LivenessTracker
	epoch    uint64 // epoch in which liveness was last reset
}

// NewHeartbeatHandler returns the handler of a shard. heartbeatMS is the interval at which workers
// send heartbeats.
func NewHeartbeatHandler(registry *Registry, heartbeatMS int64) *HeartbeatHandler {
	return &HeartbeatHandler{registry: registry, liveness: NewLivenessTracker(heartbeatMS)}
}

// Ownership is a process's relation to a shard at a point in time.
type Ownership struct {
	NowMS    int64  // current time of a monotonic clock
	Epoch    uint64 // the shard's epoch known to this process
	HasLease bool   // the process leads the shard's group, and no other one can have been elected yet
}

// Decide handles a heartbeat or deregistration. A returned command must be committed before the
// caller replies to the worker. DONE without a command means that the shard already has the
// reported state. Without the lease the outcome is NOT_LEADER, and nothing is recorded.
func (h *HeartbeatHandler) Decide(o Ownership, r *rpc.HeartbeatRequest) (rpc.Outcome, *rpc.RegistryCommand) {
	id := r.Instance.Id
	switch {
	case !o.HasLease:
		return rpc.Outcome_NOT_LEADER, nil
	case h.registry.HasLeft(id):
		return rpc.Outcome_DONE, nil
	case r.Leaving:
		return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beginEpoch(o)
	if !h.liveness.Observe(o.NowMS, h.registry.Instance(id), r.Instance) {
		return rpc.Outcome_DONE, nil
	}
	return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: r.Instance}}
}

// beginEpoch resets the liveness tracker at the first call in an epoch that this process owns.
func (h *HeartbeatHandler) beginEpoch(o Ownership) {
	if h.epoch != o.Epoch {
		h.epoch = o.Epoch
		h.liveness.Reset(o.NowMS, h.registry.Instances())
	}
}

// OverdueCommands returns the commands that declare workers without heartbeats lost, and that
// remove those lost for longer than forgetAfterMS. Without the lease there are none. The caller
// calls it periodically and proposes the commands; a command that is not committed is returned
// again.
func (h *HeartbeatHandler) OverdueCommands(o Ownership, forgetAfterMS int64) (commands []*rpc.RegistryCommand) {
	if !o.HasLease {
		return nil
	}
	known := h.registry.Instances()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beginEpoch(o)
	if lost := h.liveness.NewlyLost(o.NowMS, known); len(lost) > 0 {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: lost}}})
	}
	for _, id := range h.liveness.Expired(o.NowMS, known, forgetAfterMS) {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}})
	}
	return commands
}

// ResponsiveInstances returns the known workers that have not missed their latest heartbeat by a
// margin. It is meaningful only at the owner, which receives the heartbeats: in other processes the
// times are stale or missing, and a worker without a time is included.
func (h *HeartbeatHandler) ResponsiveInstances(nowMS int64) []*rpc.Instance {
	known := h.registry.Instances()
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*rpc.Instance, 0, len(known))
	for _, i := range known {
		if !h.liveness.MissedHeartbeat(nowMS, i.Id) {
			list = append(list, i)
		}
	}
	return list
}
