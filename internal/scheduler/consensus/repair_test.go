package consensus

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"
)

// cluster is a replica group in virtual time whose messages arrive in the next tick, with machines that can fail at any moment.
type cluster struct {
	t                 *testing.T
	size              int
	now               int64
	random            *rand.Rand
	nodes             map[string]*node // by machine
	names             []string
	inFlight          []*rpc.Message
	acknowledged      map[string]bool
	commands          int // proposed
	membershipChanges int // proposed
	// onMembershipChange is called after each proposed change of the membership, before anything of it is sent.
	onMembershipChange func(change int)
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
	c := &cluster{t: t, size: size, random: rand.New(rand.NewPCG(uint64(size), 1)), nodes: map[string]*node{}, acknowledged: map[string]bool{}}
	var founders []*rpc.Replica
	for i := range size + spares {
		name := fmt.Sprint("m", i)
		c.names = append(c.names, name)
		c.nodes[name] = &node{id: name + "/1"}
		if i < size {
			founders = append(founders, &rpc.Replica{Id: name + "/1", Address: name, Node: name})
		}
	}
	for i, name := range c.names {
		stored := Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
		if i < size {
			stored = Stored{
				HardState: &rpc.HardState{Epoch: foundingEpoch},
				Snapshot:  &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: founders}},
			}
		}
		c.start(name, stored)
	}
	return c
}

// start starts a replica on a machine with what is on its disk.
func (c *cluster) start(name string, stored Stored) {
	n := c.nodes[name]
	n.stored, n.up, n.applied = stored, true, nil
	config := Config{
		Group: "g", ID: n.id, Address: name,
		ElectionTimeoutMS: electionTimeoutTestMS, HeartbeatIntervalMS: heartbeatIntervalTestMS, Random: c.random,
	}
	n.core = New(config,
		Stored{HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: slices.Clone(stored.Entries)}, c.now)
}

// fail stops a machine. If it is wiped, its disk is lost too, and the machine is another replica when it restarts.
func (c *cluster) fail(name string, wiped bool) {
	n := c.nodes[name]
	n.up = false
	if wiped {
		n.id += "+"
		n.stored = Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
	}
}

// restart starts a machine on what its disk holds.
func (c *cluster) restart(name string) { c.start(name, c.nodes[name].stored) }

// wantedReplicas returns the replicas that the group should have: those on live machines first, in order.
func (c *cluster) wantedReplicas() (list []*rpc.Replica) {
	for _, live := range []bool{true, false} {
		for _, name := range c.names {
			if n := c.nodes[name]; n.up == live && len(list) < c.size {
				list = append(list, &rpc.Replica{Id: n.id, Address: name, Node: name})
			}
		}
	}
	return list
}

// run plays until a time. Each leader proposes a command every 50 ms.
func (c *cluster) run(until int64) {
	for ; c.now < until; c.now += testTick {
		arriving := c.inFlight
		c.inFlight = nil
		for _, m := range arriving {
			for _, name := range c.names {
				if n := c.nodes[name]; n.up && n.id == m.To {
					n.core.Step(c.now, m)
				}
			}
		}
		for _, name := range c.names {
			if n := c.nodes[name]; n.up {
				c.runDriver(n)
			}
		}
	}
}

// runDriver is one round of a machine's driver.
func (c *cluster) runDriver(n *node) {
	n.core.Tick(c.now)
	if n.core.IsLeader() {
		if next := n.core.NextMembership(c.wantedReplicas(), 0); next != nil && n.core.ProposeMembership(next) == nil {
			c.membershipChanges++
			if c.onMembershipChange != nil {
				c.onMembershipChange(c.membershipChanges)
			}
		}
		if c.now%50 == 0 && n.up {
			c.commands++
			n.core.Propose(fmt.Appendf(nil, "c%d", c.commands))
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

// carryOut persists, sends and applies what Ready returned.
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
	c.inFlight = append(c.inFlight, r.Messages...)
	for _, entry := range r.Committed {
		if entry.Kind != rpc.EntryKind_ENTRY_COMMAND {
			continue
		}
		n.applied = append(n.applied, string(entry.Data))
		if n.core.IsLeader() {
			c.acknowledged[string(entry.Data)] = true
		}
	}
}

// checkHealthy checks that a leader has the lease and all that was acknowledged.
func (c *cluster) checkHealthy(what string) {
	c.t.Helper()
	for _, name := range c.names {
		n := c.nodes[name]
		if !n.up || !n.core.HasLease(c.now) {
			continue
		}
		for command := range c.acknowledged {
			if !slices.Contains(n.applied, command) {
				c.t.Errorf("%s: %s was acknowledged and is gone", what, command)
			}
		}
		return
	}
	c.t.Errorf("%s: no majority is left", what)
}

const (
	foundingMS = 3000 // within which a group is founded
	repairMS   = 4500 // within which a repair has to be complete
)

// Groups of three tolerate one failure. A second one as soon as the first one is repaired, of each machine, with its disk and without, leaves a
// majority with everything that was acknowledged.
func TestSecondLossAfterARepair(t *testing.T) {
	for first := range 3 {
		for second := range 4 {
			for how := range 4 {
				what := fmt.Sprintf("m%d (wiped %v), then m%d (wiped %v)", first, how&1 == 1, second, how&2 == 2)
				c := newCluster(t, 3, 1)
				c.run(foundingMS)
				c.fail(c.names[first], how&1 == 1)
				c.run(c.now + repairMS) // the spare machine takes its place
				c.checkHealthy(what + ": after the first loss")
				c.fail(c.names[second], how&2 == 2)
				c.run(c.now + repairMS)
				c.checkHealthy(what)
			}
		}
	}
}

// Groups of five tolerate two failures: the second one comes at each change of the membership that the repair of the first one makes.
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
					c.run(foundingMS)
					founded := c.membershipChanges
					c.onMembershipChange = func(change int) {
						if change-founded == step {
							steps++
							c.fail(c.names[second], how&2 == 2)
						}
					}
					c.fail(c.names[first], how&1 == 1)
					c.run(c.now + repairMS)
					c.checkHealthy(what)
					c.restart(c.names[first])
					c.run(c.now + repairMS)
					c.checkHealthy(what + ": the first one is back")
				}
			}
		}
	}
	if steps < 100 {
		t.Errorf("only %d losses met a change of the membership", steps)
	}
	t.Logf("%d second losses at a change of the membership", steps)
}

// A learner that loses its disk just before it is admitted, again and again, only costs time.
func TestLearnerLosesItsDiskBeforeItsAdmission(t *testing.T) {
	c := newCluster(t, 5, 1)
	c.run(foundingMS)
	founded := c.membershipChanges
	c.onMembershipChange = func(change int) {
		if n := change - founded; n >= 1 && n <= 6 {
			c.fail("m5", true) // the spare machine, which is to take the place of the lost one
			c.restart("m5")
		}
	}
	c.fail("m0", true)
	c.run(c.now + 3*repairMS)
	c.checkHealthy("m0 is lost, and its successor's disk again and again")
}
