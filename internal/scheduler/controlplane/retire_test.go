package controlplane

import (
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

func members(names ...string) (list []*rpc.Replica) {
	for _, name := range names {
		list = append(list, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	return list
}

// An order to empty a machine is refused where it is unknown or too few would be left. Machines that are down for a moment are counted: the
// order would be refused for good.
func TestRefusedRetirements(t *testing.T) {
	is := is.New(t)
	machines := []placement.Machine{{Node: "a", Alive: true}, {Node: "b", Alive: true}, {Node: "c", DeadMS: 5000}, {Node: "d", Alive: true}}
	is.Equal(RetireRefusal("d", machines, nil, 3), rpc.RetireState_RETIRE_NOT_ASKED)
	is.Equal(RetireRefusal("x", machines, nil, 3), rpc.RetireState_RETIRE_NO_SUCH_MACHINE)
	is.Equal(RetireRefusal("x", machines, []*rpc.Placement{{Replicas: members("x")}}, 3), rpc.RetireState_RETIRE_NOT_ASKED)
	machines[2].DeadMS = stayingDeadMS
	is.Equal(RetireRefusal("d", machines, nil, 3), rpc.RetireState_RETIRE_TOO_FEW_LEFT)
	machines[2] = placement.Machine{Node: "c", Alive: true, Retiring: true}
	is.Equal(RetireRefusal("d", machines, nil, 3), rpc.RetireState_RETIRE_TOO_FEW_LEFT)
}

// A machine counts as emptied only where the leader itself, under its lease, says that the wanted members are in force and hold everything.
func TestMatchesPlacement(t *testing.T) {
	is := is.New(t)
	wanted := &rpc.Placement{Group: "g", Replicas: members("a", "b", "d"), Revision: 7}
	good := func() *rpc.GroupStatus {
		return &rpc.GroupStatus{Group: "g", Leads: true, Settled: true, HeldByAll: true, Membership: &rpc.Membership{Voters: members("d", "a", "b")}}
	}
	is.True(MatchesPlacement(good(), wanted))
	for _, spoil := range []func(*rpc.GroupStatus){
		func(g *rpc.GroupStatus) { g.Leads = false },     // it was cut off, or another one leads by now
		func(g *rpc.GroupStatus) { g.Settled = false },   // the others haven't agreed
		func(g *rpc.GroupStatus) { g.HeldByAll = false }, // a new member still lacks entries
		func(g *rpc.GroupStatus) { g.Membership.Voters = members("a", "b", "c") },
		func(g *rpc.GroupStatus) { g.Membership.Learners = members("c") },
	} {
		g := good()
		spoil(g)
		is.True(!MatchesPlacement(g, wanted))
	}
}
