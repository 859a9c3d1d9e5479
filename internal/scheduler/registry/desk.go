package registry

import (
	"saffronquay/internal/scheduler/rpc"
	"sync"
)

// Desk decides on what workers say of themselves, at a process that holds a replica of their shard. It is pure but for its lock.
type Desk struct {
	registry *Registry

	mu    sync.Mutex
	owner *Owner
	epoch uint64 // under which owner has begun
}

// NewDesk returns the desk of a shard.
func NewDesk(registry *Registry, heartbeatMS int64) *Desk {
	return &Desk{registry: registry, owner: NewOwner(heartbeatMS)}
}

// Ownership is how a process stands towards a shard at a moment.
type Ownership struct {
	Now    int64 // milliseconds
	Epoch  uint64
	Leased bool // it is the owner, and no other can have been elected yet
}

// Decide takes a heartbeat or a leave in. Where it returns a command, that has to be agreed on before the worker is answered; DONE without one
// says that the shard knows all of it already. A process that doesn't own the shard decides nothing.
func (d *Desk) Decide(o Ownership, r *rpc.HeartbeatRequest) (rpc.Outcome, *rpc.RegistryCommand) {
	id := r.Instance.Id
	switch {
	case !o.Leased:
		return rpc.Outcome_NOT_LEADER, nil
	case d.registry.Gone(id):
		return rpc.Outcome_DONE, nil
	case r.Leaving:
		return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begin(o)
	if !d.owner.Heard(o.Now, d.registry.Instance(id), r.Instance) {
		return rpc.Outcome_DONE, nil
	}
	return rpc.Outcome_DONE, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Put{Put: r.Instance}}
}

// begin starts following the heartbeats when this process has become the owner.
func (d *Desk) begin(o Ownership) {
	if d.epoch != o.Epoch {
		d.epoch = o.Epoch
		d.owner.Begin(o.Now, d.registry.Instances())
	}
}

// Overdue returns the commands that declare workers lost whose heartbeats have ceased, and forget those that were lost long ago.
func (d *Desk) Overdue(o Ownership, forgetAfterMS int64) (commands []*rpc.RegistryCommand) {
	if !o.Leased {
		return nil
	}
	known := d.registry.Instances()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begin(o)
	if lost := d.owner.Lost(o.Now, known); len(lost) > 0 {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_MarkLost{MarkLost: &rpc.Instances{Ids: lost}}})
	}
	for _, id := range d.owner.Forgotten(o.Now, known, forgetAfterMS) {
		commands = append(commands, &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Remove{Remove: id}})
	}
	return commands
}

// Present returns the workers that have not missed a heartbeat by a margin.
func (d *Desk) Present(now int64) []*rpc.Instance {
	known := d.registry.Instances()
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*rpc.Instance, 0, len(known))
	for _, i := range known {
		if !d.owner.Silent(now, i.Id) {
			list = append(list, i)
		}
	}
	return list
}
