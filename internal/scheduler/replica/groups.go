package replica

import (
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// groupCreation is a group that is to be created at the next Tick.
type groupCreation struct {
	name     string
	founders []*rpc.Replica
}

// CreateGroup has the next Tick create a group. founders are its first voters, this replica among them; all of them must be given the same
// list. It does nothing if this process has the group already.
func (e *Engine) CreateGroup(name string, founders []*rpc.Replica) {
	e.creations = append(e.creations, groupCreation{name, founders})
}

// createGroups creates the requested groups. If the disk does not take one, that one and the rest wait for the next Tick.
func (e *Engine) createGroups(now int64) {
	for len(e.creations) > 0 {
		creation := e.creations[0]
		machine := e.cfg.Machine(creation.name)
		if e.groups[creation.name] == nil && machine != nil {
			// The founders are in a snapshot, so that it is sent to every replica that joins later.
			snapshot := &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: creation.founders}}
			hard := &rpc.HardState{Epoch: 1}
			if !e.persist([]GroupWrite{{Group: creation.name, Snapshot: snapshot, HardState: hard}}) {
				return
			}
			e.stopOnError(e.openGroup(now, creation.name, machine, consensus.Stored{Snapshot: snapshot, HardState: hard}))
		}
		e.creations = e.creations[1:]
	}
}

// joinGroup starts an empty replica of a group whose leader sends it a message. It returns nil if the message is not of a leader, if this
// process keeps no replica of the group, or if the disk did not take the empty replica: the leader sends its message again.
func (e *Engine) joinGroup(now int64, m *rpc.Message) *group {
	if m.Kind != rpc.MessageKind_APPEND && m.Kind != rpc.MessageKind_SNAPSHOT {
		return nil
	}
	machine := e.cfg.Machine(m.Group)
	if machine == nil {
		return nil
	}
	empty := consensus.Stored{Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}, HardState: &rpc.HardState{}}
	if !e.persist([]GroupWrite{{Group: m.Group, Snapshot: empty.Snapshot, HardState: empty.HardState}}) {
		return nil
	}
	e.stopOnError(e.openGroup(now, m.Group, machine, empty))
	return e.groups[m.Group]
}

// SetWanted sets the voters that a group should have. Its leader changes the membership to them, one replica at a time. A placement older than
// the newest one set is ignored. One of a group that this process does not have is kept until it joins the group: it may come to lead it, and the
// placement is announced once.
func (e *Engine) SetWanted(wanted *rpc.Placement) {
	if known := e.wanted[wanted.Group]; known != nil && wanted.Revision < known.Revision {
		return
	}
	e.wanted[wanted.Group] = wanted
	if g := e.groups[wanted.Group]; g != nil {
		g.dirty = true
	}
}

// changeMembership proposes the next step towards the wanted membership, if there is one and this replica may propose it.
func (e *Engine) changeMembership(g *group) {
	wanted := e.wanted[g.name]
	if wanted == nil {
		wanted = &rpc.Placement{} // only a joint membership is to be ended
	}
	if g.core.MustHandOver(wanted.Replicas) && e.handOver(g, wanted.Replicas) {
		return // its successor removes it
	}
	next := g.core.NextMembership(wanted.Replicas, wanted.Revision)
	if next == nil {
		return
	}
	if err := g.core.ProposeMembership(next); err != nil {
		return // it does not lead any more, or another change is under way: a later Tick proposes again
	}
	e.cfg.Log.Info("membership change", "group", g.name, "epoch", g.core.Epoch(), "voters", nodeNames(next.Voters), "learners", nodeNames(next.Learners),
		"outgoing", nodeNames(next.Outgoing))
}

// handOver hands the leadership of a group to one of the replicas, if this one leads and one of them can take it. It reports whether a transfer is
// under way or done.
func (e *Engine) handOver(g *group, to []*rpc.Replica) bool {
	eligible := func(id string) bool {
		return slices.ContainsFunc(to, func(replica *rpc.Replica) bool { return replica.Id == id })
	}
	if err := g.core.TransferLeadership(eligible); err != nil {
		return false
	}
	g.dirty = true
	return true
}

// HandOver hands the leadership of all groups that this replica leads to other voters, because its process is about to end. It reports how many it
// still leads; a later call goes on. Of a group whose other voters don't reply it stays the leader.
func (e *Engine) HandOver() (leading int) {
	if e.Stalled() || e.err != nil {
		return 0 // its leases run out
	}
	for _, name := range e.names {
		g := e.groups[name]
		if g.core.IsLeader() && e.handOver(g, g.core.Membership().Voters) {
			leading++
		}
	}
	return leading
}

func nodeNames(replicas []*rpc.Replica) (names []string) {
	for _, replica := range replicas {
		names = append(names, replica.Node)
	}
	return names
}
