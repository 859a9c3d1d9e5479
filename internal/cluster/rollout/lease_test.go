package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"testing"
)

// threeVoters is a fleet of three voters whose messages are delivered by the test. A fourth member
// d is no voter and has no node.
type threeVoters struct {
	t           *testing.T
	now         int64
	nodes       map[string]*Node
	undelivered []*wire.Message
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

// collect executes a node's output: saves complete immediately, and messages are queued for
// deliver.
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

// deliver delivers all queued messages and those sent in response. It returns the messages to
// members without a node.
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

// awaitLeader runs the voters until one of them leads and has granted a lease.
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

// A gatherer that has reported its leave gets no lease for an earlier request that is answered
// afterwards. Otherwise the answer would revoke the leave, and the next change would wait for a
// lease that is not in use.
func TestLease_LeaveBeforePendingRequest(t *testing.T) {
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
	send(&wire.Ask{Nonce: 1}) // stays unanswered: leadership is not confirmed yet
	send(&wire.Ask{Nonce: 2, Leaves: true})
	for _, m := range x.deliver() {
		if m.Word.GetLease() > 0 {
			t.Errorf("gatherer got a lease after leaving: %v", m)
		}
	}
	if g := grantOfD(); !g.Left || g.LeaseUntil > x.now {
		t.Errorf("after leaving: grant %+v at %d, want left without a lease", g, x.now)
	}
	// A new process of the same name requests a lease.
	send(&wire.Ask{Nonce: 3})
	given := false
	for _, m := range x.deliver() {
		given = given || m.Word.GetNonce() == 3 && m.Word.Lease > 0
	}
	if g := grantOfD(); !given || g.Left || g.LeaseUntil <= x.now {
		t.Errorf("after returning: lease granted: %t; grant %+v at %d", given, g, x.now)
	}
}

// Requests of several batches that one leadership check confirms are answered in order of arrival.
func TestLease_ConfirmedBatchesAnsweredInOrder(t *testing.T) {
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
		t.Errorf("answered nonces %v, want all of them in ascending order", nonces)
	}
}
