package placement

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Machine is a machine on which a replica can be placed, as the caller sees it.
type Machine struct {
	Node     string // name of the machine
	Identity string // of its disk; empty while it is unknown
	Address  string // of the peer service
	Zone     string
	Alive    bool
	DeadMS   int64 // milliseconds since it was declared failed
	Retiring bool  // the operator has asked to empty it
}

// ReplaceAfterMS is how long, in milliseconds, a failed machine keeps its replica although another machine is free: long enough for a restart.
const ReplaceAfterMS = 2500

// Plan returns the replicas that a group should have.
//
// current is the previous plan, size the number of replicas that the deployment's tolerance requires, and load the number of replicas that each
// machine has already, by its name. A replica whose machine reports another disk is dropped: the old identity never returns. A replica on a
// retiring machine, or on one that failed ReplaceAfterMS ago, is replaced where a free machine exists and kept otherwise, so that the plan
// never becomes smaller for lack of machines.
func Plan(current []*rpc.Replica, machines []Machine, size int, load map[string]int) []*rpc.Replica {
	byNode := map[string]Machine{}
	for _, machine := range machines {
		byNode[machine.Node] = machine
	}
	kept, replaceable := divide(current, byNode)
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

// divide splits the current replicas into those that stay and those that give way to a free machine. Replicas of lost disks are in neither.
func divide(current []*rpc.Replica, byNode map[string]Machine) (kept, replaceable []*rpc.Replica) {
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

// WithForgotten adds the machines of replicas that are missing from the membership view: machines that failed so long ago that the protocol
// has forgotten them, or before this process began to listen. They count as failed for listenedMS, the time in milliseconds that the
// caller has listened. The argument machines is not modified.
func WithForgotten(machines []Machine, replicas []*rpc.Replica, listenedMS int64) []Machine {
	machines = slices.Clone(machines)
	for _, replica := range replicas {
		known := slices.ContainsFunc(machines, func(m Machine) bool { return m.Node == replica.Node })
		if !known {
			machines = append(machines, Machine{Node: replica.Node, Identity: replica.Id, Address: replica.Address, DeadMS: listenedMS})
		}
	}
	return machines
}

// leastLoaded returns the free machine with the fewest replicas of this group in its zone, then the fewest replicas of any group, then the
// least name; nil if no machine is free.
func leastLoaded(machines []Machine, kept []*rpc.Replica, zones, load map[string]int) *Machine {
	var free []Machine
	for _, machine := range machines {
		taken := slices.ContainsFunc(kept, func(r *rpc.Replica) bool { return r.Node == machine.Node })
		if machine.Alive && !machine.Retiring && machine.Identity != "" && !taken {
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

// Same reports whether two plans name the same replicas at the same addresses, in any order.
func Same(a, b []*rpc.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(x *rpc.Replica) bool {
		return !slices.ContainsFunc(b, func(y *rpc.Replica) bool { return x.Id == y.Id && x.Address == y.Address })
	})
}
