// Package placement decides which replicas a group should have: on distinct machines, in as many zones as possible, none on a machine
// that is to be emptied, and none on one that is gone while another could take its place. It is pure.
package placement

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Machine is a machine that can hold replicas.
type Machine struct {
	Node     string
	Identity string // of its disk
	Address  string
	Zone     string
	Alive    bool
	DeadMS   int64 // for how long it has been dead
	Retiring bool
}

// PatienceMS is how long a dead machine keeps its place although another could take it.
const PatienceMS = 2500

// Plan returns the replicas that a group should have, given those that it should have had so far. size is the number of replicas that the
// deployment's tolerance asks for; load is how many replicas each machine holds already.
func Plan(current []*rpc.Replica, machines []Machine, size int, load map[string]int) []*rpc.Replica {
	byNode := map[string]Machine{}
	for _, m := range machines {
		byNode[m.Node] = m
	}
	var kept, replaceable []*rpc.Replica
	for _, replica := range current {
		m, known := byNode[replica.Node]
		switch {
		case known && m.Alive && m.Identity != replica.Id:
			// Its disk was lost. Under the old identity it never comes back.
		case known && m.Retiring:
			replaceable = append(replaceable, replica)
		case known && !m.Alive && m.DeadMS >= PatienceMS:
			replaceable = append(replaceable, replica)
		default:
			kept = append(kept, replica)
		}
	}
	zones := map[string]int{}
	for _, replica := range kept {
		zones[byNode[replica.Node].Zone]++
	}
	for len(kept) < size {
		best := pick(machines, kept, zones, load)
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

// WithForgotten adds the machines of replicas that the membership protocol knows nothing of any more: they are gone for so long that it has
// forgotten them, or went before this process began to listen. They count as dead for as long as the caller has had time to hear of them.
func WithForgotten(machines []Machine, replicas []*rpc.Replica, listenedMS int64) []Machine {
	machines = slices.Clone(machines)
	for _, r := range replicas {
		if !slices.ContainsFunc(machines, func(m Machine) bool { return m.Node == r.Node }) {
			machines = append(machines, Machine{Node: r.Node, Identity: r.Id, Address: r.Address, DeadMS: listenedMS})
		}
	}
	return machines
}

// pick returns the best machine that holds no replica yet.
func pick(machines []Machine, kept []*rpc.Replica, zones, load map[string]int) *Machine {
	var free []Machine
	for _, m := range machines {
		taken := slices.ContainsFunc(kept, func(r *rpc.Replica) bool { return r.Node == m.Node })
		if m.Alive && !m.Retiring && m.Identity != "" && !taken {
			free = append(free, m)
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

// Same tells whether two lists hold the same replicas.
func Same(a, b []*rpc.Replica) bool {
	if len(a) != len(b) {
		return false
	}
	return !slices.ContainsFunc(a, func(x *rpc.Replica) bool {
		return !slices.ContainsFunc(b, func(y *rpc.Replica) bool { return x.Id == y.Id && x.Address == y.Address })
	})
}
