package consensus

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"
)

// cluster is a replica group whose messages arrive in the next tick, with machines that can be lost at any moment.
type cluster struct {
	t       *testing.T
	size    int
	now     int64
	random  *rand.Rand
	members map[string]*node // by machine
	names   []string
	air     []*rpc.Message
	acked   map[string]bool
	counter int
	changes int // of the membership that were proposed
	// lookOut is called at each change of the membership, before anything of it is sent.
	lookOut func(change int)
}

// node is a machine with a disk.
type node struct {
	id      string
	core    *Core
	up      bool
	stored  Stored
	applied []string
}

const testTick = 10

func newCluster(t *testing.T, size, spares int) *cluster {
	c := &cluster{t: t, size: size, random: rand.New(rand.NewPCG(uint64(size), 1)), members: map[string]*node{}, acked: map[string]bool{}}
	var founders []*rpc.Replica
	for i := range size + spares {
		name := fmt.Sprint("m", i)
		c.names = append(c.names, name)
		c.members[name] = &node{id: name + "/1"}
		if i < size {
			founders = append(founders, &rpc.Replica{Id: name + "/1", Address: name, Node: name})
		}
	}
	for i, name := range c.names {
		stored := Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
		if i < size {
			stored = Stored{HardState: &rpc.HardState{Epoch: foundingEpoch}, Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: founders}}}
		}
		c.start(name, stored)
	}
	return c
}

func (c *cluster) start(name string, stored Stored) {
	n := c.members[name]
	n.stored, n.up, n.applied = stored, true, nil
	n.core = New(Config{Group: "g", ID: n.id, Address: name, ElectionTimeoutMS: electionTest, HeartbeatIntervalMS: 110, Random: c.random},
		Stored{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: slices.Clone(stored.Entries)}, c.now)
}

// lose takes a machine away; wiped, its disk is gone too and it is another replica when it comes back.
func (c *cluster) lose(name string, wiped bool) {
	n := c.members[name]
	n.up = false
	if wiped {
		n.id += "+"
		n.stored = Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
	}
}

func (c *cluster) back(name string) { c.start(name, c.members[name].stored) }

// wanted are the replicas that the group should have: those on live machines first, in order.
func (c *cluster) wanted() (list []*rpc.Replica) {
	for _, live := range []bool{true, false} {
		for _, name := range c.names {
			if n := c.members[name]; n.up == live && len(list) < c.size {
				list = append(list, &rpc.Replica{Id: n.id, Address: name, Node: name})
			}
		}
	}
	return list
}

// run plays until a time; each leader proposes a command now and then.
func (c *cluster) run(until int64) {
	for ; c.now < until; c.now += testTick {
		air := c.air
		c.air = nil
		for _, m := range air {
			for _, name := range c.names {
				if n := c.members[name]; n.up && n.id == m.To {
					n.core.Step(c.now, m)
				}
			}
		}
		for _, name := range c.names {
			if n := c.members[name]; n.up {
				c.turn(n)
			}
		}
	}
}

func (c *cluster) turn(n *node) {
	n.core.Tick(c.now)
	if n.core.IsLeader() {
		if next := n.core.NextMembership(c.wanted(), 0); next != nil && n.core.ProposeMembership(next) == nil {
			c.changes++
			if c.lookOut != nil {
				c.lookOut(c.changes)
			}
		}
		if c.now%50 == 0 && n.up {
			c.counter++
			n.core.Propose(fmt.Appendf(nil, "c%d", c.counter))
		}
	}
	for n.up {
		r := n.core.Ready()
		if r.Empty() {
			return
		}
		c.carryOut(n, &r)
	}
}

func (c *cluster) carryOut(n *node, r *Ready) {
	if r.HardState != nil {
		n.stored.HardState = r.HardState
	}
	if r.Snapshot != nil {
		n.stored.Snapshot, n.stored.Entries = r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		keep := int(r.Entries[0].Index - n.stored.Snapshot.Index - 1)
		n.stored.Entries = append(slices.Clone(n.stored.Entries[:keep]), r.Entries...)
	}
	for _, m := range r.Messages {
		c.air = append(c.air, m)
	}
	for _, entry := range r.Committed {
		if entry.Kind != rpc.EntryKind_ENTRY_COMMAND {
			continue
		}
		n.applied = append(n.applied, string(entry.Data))
		if n.core.IsLeader() {
			c.acked[string(entry.Data)] = true
		}
	}
}

// healthy checks that the group has a leader under its lease that has all that was acknowledged, and the members that it should have.
func (c *cluster) healthy(what string) {
	c.t.Helper()
	for _, name := range c.names {
		n := c.members[name]
		if !n.up || !n.core.HasLease(c.now) {
			continue
		}
		for command := range c.acked {
			if !slices.Contains(n.applied, command) {
				c.t.Errorf("%s: %s was acknowledged and is gone", what, command)
			}
		}
		return
	}
	c.t.Errorf("%s: no majority is left", what)
}

const (
	settled = 3000 // ms in which a group is founded
	repair  = 4500 // ms in which a repair has to be over
)

// A second loss as soon as the first one is repaired, of each other machine and in each way, leaves a majority with everything that was
// acknowledged: groups of three, which bear one loss.
func TestSecondLossAfterARepair(t *testing.T) {
	for first := range 3 {
		for second := range 4 {
			for how := range 4 {
				what := fmt.Sprintf("m%d (wiped %v), then m%d (wiped %v)", first, how&1 == 1, second, how&2 == 2)
				c := newCluster(t, 3, 1)
				c.run(settled)
				c.lose(c.names[first], how&1 == 1)
				c.run(c.now + repair) // the spare machine takes its place
				c.healthy(what + ": after the first loss")
				c.lose(c.names[second], how&2 == 2)
				c.run(c.now + repair)
				c.healthy(what)
			}
		}
	}
}

// Groups of five bear two losses: the second one comes at each change of the membership that the first one's repair makes.
func TestSecondLossAtEachStepOfARepair(t *testing.T) {
	steps := 0
	for first := range 5 {
		for second := range 6 {
			if second == first {
				continue
			}
			for how := range 4 {
				for step := 1; step <= 4; step++ {
					what := fmt.Sprintf("m%d (wiped %v), then m%d (wiped %v) at step %d", first, how&1 == 1, second, how&2 == 2, step)
					c := newCluster(t, 5, 1)
					c.run(settled)
					founded := c.changes
					c.lookOut = func(change int) {
						if change-founded == step {
							steps++
							c.lose(c.names[second], how&2 == 2)
						}
					}
					c.lose(c.names[first], how&1 == 1)
					c.run(c.now + repair)
					c.healthy(what)
					c.back(c.names[first])
					c.run(c.now + repair)
					c.healthy(what + ": the first one is back")
				}
			}
		}
	}
	if steps < 100 {
		t.Errorf("only %d losses met a change of the membership", steps)
	}
	t.Logf("%d second losses at a change of the membership", steps)
}

// Losses of a learner's disk just before it is admitted, again and again, cost time only.
func TestLearnerLosesItsDiskBeforeItsAdmission(t *testing.T) {
	c := newCluster(t, 5, 1)
	c.run(settled)
	founded := c.changes
	c.lookOut = func(change int) {
		if n := change - founded; n >= 1 && n <= 6 {
			c.lose("m5", true) // the spare machine, which is to take the place of the lost one
			c.back("m5")
		}
	}
	c.lose("m0", true)
	c.run(c.now + 3*repair)
	c.healthy("m0 is lost, and its successor's disk again and again")
}
