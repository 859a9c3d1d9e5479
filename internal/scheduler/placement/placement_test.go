package placement

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// machines returns n live machines with one disk each, assigned to the zones in turn.
func machines(n, zones int) (list []Machine) {
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		list = append(list, Machine{Node: name, Identity: name + "/1", Address: name, Zone: fmt.Sprint(i % zones), Alive: true})
	}
	return list
}

// nodes returns the identities of replicas by the names of their machines.
func nodes(replicas []*rpc.Replica) map[string]string {
	m := map[string]string{}
	for _, r := range replicas {
		m[r.Node] = r.Id
	}
	return m
}

func TestPlanSpreadsOverZones(t *testing.T) {
	is := is.New(t)
	plan := Plan(nil, machines(9, 3), 3, map[string]int{"m0": 1, "m1": 1, "m2": 1})
	is.Equal(len(plan), 3)
	zones := map[byte]bool{}
	for _, r := range plan {
		zones[(r.Node[1]-'0')%3] = true
	}
	is.Equal(len(zones), 3)
}

// A machine that lost its disk is placed under its new identity. A machine that failed
// ReplaceAfterMS ago or is retiring is replaced by a spare machine, and keeps its replica if there
// is none.
func TestPlanReplacements(t *testing.T) {
	is := is.New(t)
	all := machines(4, 4)
	current := Plan(nil, all[:3], 3, nil)
	is.True(Equal(Plan(current, all, 3, nil), current))

	wiped := machines(4, 4)
	wiped[1].Identity = "m1/2"
	is.Equal(len(nodes(Plan(current, wiped[:3], 3, nil))), 3)
	is.Equal(nodes(Plan(current, wiped[:3], 3, nil))["m1"], "m1/2")

	dead := machines(4, 4)
	dead[1].Alive, dead[1].DeadMS = false, ReplaceAfterMS-1
	is.True(Equal(Plan(current, dead, 3, nil), current))
	dead[1].DeadMS = ReplaceAfterMS
	is.Equal(nodes(Plan(current, dead, 3, nil))["m3"], "m3/1")
	is.True(Equal(Plan(current, dead[:3], 3, nil), current))

	retiring := machines(4, 4)
	retiring[0].Retiring = true
	plan := nodes(Plan(current, retiring, 3, nil))
	is.True(plan["m0"] == "" && plan["m3"] != "")
}

// A machine that is missing from the membership view is replaced after the caller has participated
// in the protocol for ReplaceAfterMS.
func TestWithForgotten(t *testing.T) {
	is := is.New(t)
	current := []*rpc.Replica{{Id: "a1", Address: "a", Node: "a"}, {Id: "b1", Address: "b", Node: "b"}, {Id: "x1", Address: "x", Node: "x"}}
	machines := []Machine{{Node: "a", Identity: "a1", Address: "a", Alive: true}, {Node: "b", Identity: "b1", Address: "b", Alive: true}, {Node: "c", Identity: "c1", Address: "c", Alive: true}}
	soon := Plan(current, WithMissingMachines(machines, current, ReplaceAfterMS-1), 3, nil)
	is.True(Equal(soon, current))
	later := Plan(current, WithMissingMachines(machines, current, ReplaceAfterMS), 3, nil)
	is.Equal(later[2].Node, "c")
	is.True(Equal(Plan(current, WithMissingMachines(machines[:2], current, ReplaceAfterMS), 3, nil), current)) // no machine is free
}
