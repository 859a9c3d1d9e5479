package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"testing"
)

// threeVoters is a fleet of three voters whose messages the test delivers. A fourth gatherer, without a vote, has no process.
type threeVoters struct {
	t           *testing.T
	now         int64
	nodes       map[string]*Node
	undelivered []*wire.Message // not delivered yet
}

func newThreeVoters(t *testing.T) *threeVoters {
	t.Helper()
	x := &threeVoters{t: t, now: 1, nodes: map[string]*Node{}}
	members := []Member{
		{Name: "a", Address: "a", Voter: true},
		{Name: "b", Address: "b", Voter: true},
		{Name: "c", Address: "c", Voter: true},
		{Name: "d", Address: "d"},
	}
	for i, m := range members[:3] {
		n, err := New(Config{Name: m.Name, Members: members}, x.now, rand.New(rand.NewPCG(uint64(i), 1)), PersistentState{Identity: uint64(i) + 1})
		if err != nil {
			t.Fatal(err)
		}
		x.nodes[m.Name] = n
	}
	return x
}

// collect does what a node wants done: everything is on disk immediately, and its messages wait for deliver.
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

// deliver delivers all messages, and those that they cause. It returns the ones to gatherers without a process.
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

// awaitLeader runs the three until one of them leads and grants leases.
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
	x.t.Fatal("no voter leads")
	return nil
}

// A gatherer that leaves in order is not awaited, also where an earlier request of its is still unanswered. Without that, answering the request would
// take the leave back, and the next change would wait for a lease that is not in use.
func TestLeaveOvertakesRequest(t *testing.T) {
	x := newThreeVoters(t)
	leader := x.awaitLeader()
	grantOfD := func() Grant {
		for _, g := range leader.Grants() {
			if g.Name == "d" {
				return g
			}
		}
		t.Fatal("d is not on the roster")
		return Grant{}
	}
	send := func(a *wire.Ask) {
		leader.Receive(x.now, &wire.Message{From: "d", To: leader.name, Identity: 9, Ask: a})
		x.collect(leader)
	}
	send(&wire.Ask{Nonce: 1}) // no voter has confirmed yet that this one leads
	send(&wire.Ask{Nonce: 2, Leaves: true})
	for _, m := range x.deliver() {
		if m.Word.GetLease() > 0 {
			t.Errorf("a lease for a gatherer that has left: %v", m)
		}
	}
	if g := grantOfD(); !g.Left || g.LeaseUntil > x.now {
		t.Errorf("it has left, and counts as %+v at %d", g, x.now)
	}
	// A new process of its name sends a request of its own.
	send(&wire.Ask{Nonce: 3})
	given := false
	for _, m := range x.deliver() {
		given = given || m.Word.GetNonce() == 3 && m.Word.Lease > 0
	}
	if g := grantOfD(); !given || g.Left || g.LeaseUntil <= x.now {
		t.Errorf("back again: a lease is given: %t; %+v at %d", given, g, x.now)
	}
}

// Where one confirmation serves several batches, their requests are answered in the order in which they came.
func TestBatchesAreAnsweredInOrder(t *testing.T) {
	x := newThreeVoters(t)
	leader := x.awaitLeader()
	const batches = 16
	for n := range uint64(batches) {
		request := leaseRequest{sender: "d", request: &wire.Ask{Nonce: n}, receivedAt: x.now}
		leader.local.voter.readBatches[1000+n] = []leaseRequest{request}
	}
	leader.local.voter.handleConfirmed(x.now, 1000+batches)
	var nonces []uint64
	for _, m := range leader.local.voter.outbox {
		if m.To == "d" {
			nonces = append(nonces, m.Word.GetNonce())
		}
	}
	if len(nonces) != batches || !slices.IsSorted(nonces) {
		t.Errorf("answered in the order %v", nonces)
	}
}
