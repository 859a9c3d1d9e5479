package controlplane

import (
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// replicas returns one replica on each of the named machines.
func replicas(names ...string) (list []*rpc.Replica) {
	for _, name := range names {
		list = append(list, &rpc.Replica{Id: name, Address: name, Node: name})
	}
	return list
}

// A request to drain a machine is rejected if the machine is unknown or too few machines would
// remain. Machines that are briefly down count as available: the rejection would be final.
func TestCheckRetirement(t *testing.T) {
	failedFor := func(ms int64) placement.Machine { return placement.Machine{Node: "c", DeadMS: ms} }
	for name, test := range map[string]struct {
		node       string
		third      placement.Machine // in addition to a, b and d, which are alive
		placements []*rpc.Placement
		want       rpc.RetireState
	}{
		"accepted while one has just failed": {"d", failedFor(5000), nil, rpc.RetireState_RETIRE_NOT_ASKED},
		"unknown":                            {"x", failedFor(5000), nil, rpc.RetireState_RETIRE_NO_SUCH_MACHINE},
		"known by a placement only":          {"x", failedFor(5000), []*rpc.Placement{{Replicas: replicas("x")}}, rpc.RetireState_RETIRE_NOT_ASKED},
		"one has failed long ago":            {"d", failedFor(retirementGraceMS), nil, rpc.RetireState_RETIRE_TOO_FEW_LEFT},
		"another one is retiring": {
			"d", placement.Machine{Node: "c", Alive: true, Retiring: true}, nil, rpc.RetireState_RETIRE_TOO_FEW_LEFT,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			machines := []placement.Machine{{Node: "a", Alive: true}, {Node: "b", Alive: true}, test.third, {Node: "d", Alive: true}}
			is.Equal(CheckRetirement(test.node, machines, test.placements, 3), test.want)
		})
	}
}

// A machine counts as drained only if the leader itself, under its lease, reports that the members
// of the placement are in force and have the complete state.
func TestMatchesPlacement(t *testing.T) {
	wanted := &rpc.Placement{Group: "g", Replicas: replicas("a", "b", "d"), Revision: 7}
	for name, test := range map[string]struct {
		change func(*rpc.GroupStatus)
		want   bool
	}{
		"in force":                         {func(*rpc.GroupStatus) {}, true},
		"partitioned, or deposed":          {func(g *rpc.GroupStatus) { g.Leads = false }, false},
		"membership not committed":         {func(g *rpc.GroupStatus) { g.Settled = false }, false},
		"a new member still lacks entries": {func(g *rpc.GroupStatus) { g.HeldByAll = false }, false},
		"another voter":                    {func(g *rpc.GroupStatus) { g.Membership.Voters = replicas("a", "b", "c") }, false},
		"a learner":                        {func(g *rpc.GroupStatus) { g.Membership.Learners = replicas("c") }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			status := &rpc.GroupStatus{Group: "g", Leads: true, Settled: true, HeldByAll: true, Membership: &rpc.Membership{Voters: replicas("d", "a", "b")}}
			test.change(status)
			is.Equal(MatchesPlacement(status, wanted), test.want)
		})
	}
}
