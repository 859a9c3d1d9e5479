package placement

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"saffronquay/internal/system/rpc"
)

func machines(n, zones int) (list []Machine) {
	for i := range n {
		name := fmt.Sprintf("m%d", i)
		list = append(list, Machine{Node: name, Identity: name + "/1", Address: name, Zone: fmt.Sprint(i % zones), Alive: true})
	}
	return list
}

func nodes(replicas []*rpc.Replica) map[string]string {
	m := map[string]string{}
	for _, r := range replicas {
		m[r.Node] = r.Id
	}
	return m
}

func TestZonesFirst(t *testing.T) {
	is := is.New(t)
	plan := Plan(nil, machines(9, 3), 3, map[string]int{"m0": 1, "m1": 1, "m2": 1})
	is.Equal(len(plan), 3)
	zones := map[byte]bool{}
	for _, r := range plan {
		zones[(r.Node[1]-'0')%3] = true
	}
	is.Equal(len(zones), 3)
}

// A machine that lost its disk is taken under its new identity, one that is dead for long gives way to a spare one, one that is to be
// emptied too; without a spare one they keep their place.
func TestReplacements(t *testing.T) {
	is := is.New(t)
	all := machines(4, 4)
	current := Plan(nil, all[:3], 3, nil)
	is.True(Same(Plan(current, all, 3, nil), current))

	wiped := machines(4, 4)
	wiped[1].Identity = "m1/2"
	is.Equal(len(nodes(Plan(current, wiped[:3], 3, nil))), 3)
	is.Equal(nodes(Plan(current, wiped[:3], 3, nil))["m1"], "m1/2")

	dead := machines(4, 4)
	dead[1].Alive, dead[1].DeadMS = false, PatienceMS-1
	is.True(Same(Plan(current, dead, 3, nil), current))
	dead[1].DeadMS = PatienceMS
	is.Equal(nodes(Plan(current, dead, 3, nil))["m3"], "m3/1")
	is.True(Same(Plan(current, dead[:3], 3, nil), current))

	retiring := machines(4, 4)
	retiring[0].Retiring = true
	plan := nodes(Plan(current, retiring, 3, nil))
	is.True(plan["m0"] == "" && plan["m3"] != "")
}
