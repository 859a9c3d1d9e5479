package placement

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Machine is the caller's view of a machine on which a replica can be placed.
type Machine struct {
	Node     string // name of the machine
	Identity string // identity of its disk; empty if unknown
	Address  string // address of the peer service
	Zone     string
	Alive    bool
	DeadMS   int64 // milliseconds since it was declared failed
	Retiring bool  // an operator has requested to move its replicas away
}

// ReplaceAfterMS is how long, in milliseconds, a failed machine keeps its replica although another
// machine is free. It allows for a restart.
const ReplaceAfterMS = 2500

// Plan returns the replicas that a group should have.
//
// current is the previous plan, size the number of replicas that the deployment's fault tolerance
// requires, and load the number of replicas on each machine, by its name. A replica whose machine
// reports another disk is dropped, since the old identity never returns. A replica on a retiring
// machine, or on one that failed at least ReplaceAfterMS ago, is replaced if there is a free
// machine and kept otherwise, so that the plan never shrinks for lack of machines.
func Plan(current []*rpc.Replica, machines []Machine, size int, load map[string]int) []*rpc.Replica {
	byNode := map[string]Machine{}
	for _, machine := range machines {
		byNode[machine.Node] = machine
	}
	kept, replaceable := splitReplicas(current, byNode)
	zones := map[string]int{}
	for _, replica := range kept {
		zones[byNode[replica.Node].Zone]++
	}
	for len(kept) < size {
		best := leastLoaded(machines, kept, zones, load)
		if best == nil {
			break
		}
		kept = append(kept, &rpc.Replica{Id: best.Identity, Address: best.Address, Node: best.Node})
		zones[best.Zone]++
	}
	for len(kept) < size && len(replaceable) > 0 {
		kept = append(kept, replaceable[0])
		replaceable = replaceable[1:]
	}
	return kept
}

// splitReplicas splits the current replicas into those to keep and those to replace if a machine is
// free. Replicas of lost disks are in neither.
func splitReplicas(current []*rpc.Replica, byNode map[string]Machine) (kept, replaceable []*rpc.Replica) {
	for _, replica := range current {
		machine, known := byNode[replica.Node]
		switch {
		case known && machine.Alive && machine.Identity != replica.Id:
			// The disk was lost.
		case known && machine.Retiring:
			replaceable = append(replaceable, replica)
		case known && !machine.Alive && machine.DeadMS >= ReplaceAfterMS:
			replaceable = append(replaceable, replica)
		default:
			kept = append(kept, replica)
		}
	}
	return kept, replaceable
}

// WithMissingMachines returns machines and, in addition, the machines of replicas that are missing
// from the membership view. These failed so long ago that the membership protocol no longer lists
// them, or before this process joined it. They count as failed for listenedMS, the time in
// milliseconds for which the caller has participated in the protocol. The argument machines is not
// modified.
func WithMissingMachines(machines []Machine, replicas []*rpc.Replica, listenedMS int64) []Machine {
	machines = slices.Clone(machines)
	for _, replica := range replicas {
		known := slices.ContainsFunc(machines, func(m Machine) bool { return m.Node == replica.Node })
		if !known {
			machines = append(machines, Machine{Node: replica.Node, Identity: replica.Id, Address: replica.Address, DeadMS: listenedMS})
		}
	}
	return machines
}

// leastLoaded returns the free machine with the fewest replicas of this group in its zone, or nil
// if no machine is free. Ties are broken by the fewest replicas of any group and then by name.
func leastLoaded(machines []Machine, kept []*rpc.Replica, zones, load map[string]int) *Machine {
	var free []Machine
	for _, machine := range machines {
		used := slices.ContainsFunc(kept, func(r *rpc.Replica) bool { return r.Node == machine.Node })
		if machine.Alive && !machine.Retiring && machine.Identity != "" && !used {
			free = append(free, machine)
		}
	}
	if len(free) == 0 {
		return nil
	}
	best := slices.MinFunc(free, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(load[a.Node], load[b.Node]), cmp.Compare(a.Node, b.Node))
	})
	return &best
}

// Equal reports whether two plans contain the same replicas at the same addresses, in any order.
func Equal(a, b []*rpc.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(x *rpc.Replica) bool {
		return !slices.ContainsFunc(b, func(y *rpc.Replica) bool { return x.Id == y.Id && x.Address == y.Address })
	})
}
