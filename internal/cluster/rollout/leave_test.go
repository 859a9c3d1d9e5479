package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
	"testing"
)

// trio is three voters whose words the test carries; a fourth gatherer, which follows, has no process.
type threeVoters struct {
	t           *testing.T
	now         int64
	nodes       map[string]*Node
	undelivered []*wire.Message // not delivered yet
}

func newThreeVoters(t *testing.T) *threeVoters {
	x := &threeVoters{t: t, now: 1, nodes: map[string]*Node{}}
	members := []Member{{Name: "a", Address: "a", Voter: true}, {Name: "b", Address: "b", Voter: true}, {Name: "c", Address: "c", Voter: true}, {Name: "d", Address: "d"}}
	for i, m := range members[:3] {
		n, err := New(Config{Name: m.Name, Members: members}, x.now, rand.New(rand.NewPCG(uint64(i), 1)), PersistentState{Identity: uint64(i) + 1})
		if err != nil {
			t.Fatal(err)
		}
		x.nodes[m.Name] = n
	}
	return x
}

// collect takes what a node wants done: all is on disk at once, and its words wait for deliver.
func (x *threeVoters) collect(n *Node) {
	for o := n.TakeOutput(); o.Save != nil || len(o.Messages) > 0; o = n.TakeOutput() {
		x.undelivered = append(x.undelivered, o.Messages...)
		if o.Save != nil {
			if err := n.Saved(x.now); err != nil {
				x.t.Fatal(err)
			}
		}
	}
}

// deliver carries all words, and those that come of them; it gives those to who has no process.
func (x *threeVoters) deliver() (others []*wire.Message) {
	for len(x.undelivered) > 0 {
		m := x.undelivered[0]
		x.undelivered = x.undelivered[1:]
		if n := x.nodes[m.To]; n != nil {
			n.Receive(x.now, m)
			x.collect(n)
		} else {
			others = append(others, m)
		}
	}
	return others
}

// leader runs the three until one of them leads and gives leases.
func (x *threeVoters) awaitLeader() *Node {
	for range 1000 {
		x.now += 10_000
		for _, name := range []string{"a", "b", "c"} {
			n := x.nodes[name]
			n.Tick(x.now)
			x.collect(n)
		}
		x.deliver()
		for _, n := range x.nodes {
			for _, g := range n.Grants() {
				if g.LeaseUntil > x.now && g.LastSeen != 0 {
					return n
				}
			}
		}
	}
	x.t.Fatal("nobody leads")
	return nil
}

// Who leaves in order is not waited for, also where an ask of its came before and still waits to be answered. Guards the next change against
// a wait for a lease that nobody uses: the ask took the leave back.
func TestLeaveOvertakesAnAsk(t *testing.T) {
	x := newThreeVoters(t)
	lead := x.awaitLeader()
	of := func() Grant {
		for _, g := range lead.Grants() {
			if g.Name == "d" {
				return g
			}
		}
		t.Fatal("d is not on the roster")
		return Grant{}
	}
	send := func(a *wire.Ask) {
		lead.Receive(x.now, &wire.Message{From: "d", To: lead.name, Identity: 9, Ask: a})
		x.collect(lead)
	}
	send(&wire.Ask{Nonce: 1}) // its round is on its way: nobody has confirmed yet that this one leads
	send(&wire.Ask{Nonce: 2, Leaves: true})
	for _, m := range x.deliver() {
		if m.Word.GetLease() > 0 {
			t.Errorf("a lease for one that has left: %v", m)
		}
	}
	if g := of(); !g.Left || g.LeaseUntil > x.now {
		t.Errorf("it has left, and counts as %+v at %d", g, x.now)
	}
	// A new process of its name asks for itself.
	send(&wire.Ask{Nonce: 3})
	given := false
	for _, m := range x.deliver() {
		given = given || m.Word.GetNonce() == 3 && m.Word.Lease > 0
	}
	if g := of(); !given || g.Left || g.LeaseUntil <= x.now {
		t.Errorf("back again: a lease is given: %t; %+v at %d", given, g, x.now)
	}
}
