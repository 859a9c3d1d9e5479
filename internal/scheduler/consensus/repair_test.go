package consensus

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"
)

// cluster is a replica group in virtual time on machines that can fail at any time. Messages arrive
// in the next tick.
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
	// onMembershipChange is called after each proposed membership change, before any message about
	// it is sent.
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

const testTickMS = 10

func newCluster(t *testing.T, size, spares int) *cluster {
	c := &cluster{t: t, size: size, random: rand.New(rand.NewPCG(uint64(size), 1)), nodes: map[string]*node{}, acknowledged: map[string]bool{}}
	var initialVoters []*rpc.Replica
	for i := range size + spares {
		name := fmt.Sprint("m", i)
		c.names = append(c.names, name)
		c.nodes[name] = &node{id: name + "/1"}
		if i < size {
			initialVoters = append(initialVoters, &rpc.Replica{Id: name + "/1", Address: name, Node: name})
		}
	}
	for i, name := range c.names {
		stored := Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
		if i < size {
			stored = Stored{
				HardState: &rpc.HardState{Epoch: initialEpoch},
				Snapshot:  &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: initialVoters}},
			}
		}
		c.start(name, stored)
	}
	return c
}

// start starts a replica on a machine from its persisted state.
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

// fail stops a machine. With wiped, its disk is lost too, and the machine has a new replica id when
// it restarts.
func (c *cluster) fail(name string, wiped bool) {
	n := c.nodes[name]
	n.up = false
	if wiped {
		n.id += "+"
		n.stored = Stored{HardState: &rpc.HardState{}, Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}}
	}
}

// restart starts a machine from its persisted state.
func (c *cluster) restart(name string) { c.start(name, c.nodes[name].stored) }

// wantedReplicas returns the replicas that the group should have, preferring live machines.
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

// run advances the cluster until a time. Each leader proposes a command every 50 ms.
func (c *cluster) run(until int64) {
	for ; c.now < until; c.now += testTickMS {
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

// runDriver runs one iteration of a machine's driver.
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
		c.process(n, &r)
	}
}

// process persists, sends and applies what Ready returned.
func (c *cluster) process(n *node, r *Ready) {
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

// checkHealthy checks that some leader has the lease and every acknowledged command.
func (c *cluster) checkHealthy(what string) {
	c.t.Helper()
	for _, name := range c.names {
		n := c.nodes[name]
		if !n.up || !n.core.HasLease(c.now) {
			continue
		}
		for command := range c.acknowledged {
			if !slices.Contains(n.applied, command) {
				c.t.Errorf("%s: acknowledged command %s is missing", what, command)
			}
		}
		return
	}
	c.t.Errorf("%s: no leader with a lease", what)
}

const (
	bootstrapMS = 3000 // within which a new group has its members
	repairMS    = 4500 // within which a repair must be complete
)

// Groups of three tolerate one failure. A second failure of any machine right after the repair of
// the first one, with or without its disk, leaves a majority that has every acknowledged command.
func TestRepair_SecondFailureAfterwards(t *testing.T) {
	for first := range 3 {
		for second := range 4 {
			for wipes := range 4 {
				what := fmt.Sprintf("m%d (wiped %v), then m%d (wiped %v)", first, wipes&1 == 1, second, wipes&2 == 2)
				c := newCluster(t, 3, 1)
				c.run(bootstrapMS)
				c.fail(c.names[first], wipes&1 == 1)
				c.run(c.now + repairMS) // the spare machine replaces it
				c.checkHealthy(what + ": after the first failure")
				c.fail(c.names[second], wipes&2 == 2)
				c.run(c.now + repairMS)
				c.checkHealthy(what)
			}
		}
	}
}

// Groups of five tolerate two failures. The second one happens at each membership change of the
// repair of the first one.
func TestRepair_SecondFailureAtEachStep(t *testing.T) {
	steps := 0
	for first := range 5 {
		for second := range 6 {
			if second == first {
				continue
			}
			for wipes := range 4 {
				for step := 1; step <= 4; step++ {
					what := fmt.Sprintf("m%d (wiped %v), then m%d (wiped %v) at step %d", first, wipes&1 == 1, second, wipes&2 == 2, step)
					c := newCluster(t, 5, 1)
					c.run(bootstrapMS)
					initialChanges := c.membershipChanges
					c.onMembershipChange = func(change int) {
						if change-initialChanges == step {
							steps++
							c.fail(c.names[second], wipes&2 == 2)
						}
					}
					c.fail(c.names[first], wipes&1 == 1)
					c.run(c.now + repairMS)
					c.checkHealthy(what)
					c.restart(c.names[first])
					c.run(c.now + repairMS)
					c.checkHealthy(what + ": after the restart of the first machine")
				}
			}
		}
	}
	if steps < 100 {
		t.Errorf("only %d second failures during a membership change, want at least 100", steps)
	}
	t.Logf("%d second failures during a membership change", steps)
}

// A learner that repeatedly loses its disk just before its promotion only delays the repair.
func TestRepair_LearnerLosesDiskBeforePromotion(t *testing.T) {
	c := newCluster(t, 5, 1)
	c.run(bootstrapMS)
	initialChanges := c.membershipChanges
	c.onMembershipChange = func(change int) {
		if n := change - initialChanges; n >= 1 && n <= 6 {
			c.fail("m5", true) // the spare machine, which replaces the failed one
			c.restart("m5")
		}
	}
	c.fail("m0", true)
	c.run(c.now + 3*repairMS)
	c.checkHealthy("m0 failed, and its replacement lost its disk repeatedly")
}
