package replica

import (
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// groupCreation is a request to create a group at the next Tick.
type groupCreation struct {
	name          string
	initialVoters []*rpc.Replica
}

// CreateGroup makes the next Tick create a group. initialVoters are its first voters and include
// this replica; all of them must be given the same list. It does nothing if this process already
// has the group.
func (e *Engine) CreateGroup(name string, initialVoters []*rpc.Replica) {
	e.creations = append(e.creations, groupCreation{name, initialVoters})
}

// createGroups creates the requested groups. If a write fails, that group and the following ones
// are retried at the next Tick.
func (e *Engine) createGroups(now int64) {
	for len(e.creations) > 0 {
		creation := e.creations[0]
		machine := e.cfg.Machine(creation.name)
		if e.groups[creation.name] == nil && machine != nil {
			// The initial voters are stored in a snapshot, so that every replica that joins later
			// receives them.
			snapshot := &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: creation.initialVoters}}
			hard := &rpc.HardState{Epoch: 1}
			if !e.persist([]GroupWrite{{Group: creation.name, Snapshot: snapshot, HardState: hard}}) {
				return
			}
			e.stopOnError(e.openGroup(now, creation.name, machine, consensus.Stored{Snapshot: snapshot, HardState: hard}))
		}
		e.creations = e.creations[1:]
	}
}

// joinGroup starts an empty replica of a group whose leader sent it a message. It returns nil if
// the message is not from a leader, if this process has no replica of the group, or if the empty
// replica could not be persisted: the leader retransmits its message.
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

// SetPlacement sets the voters that a group should have. Its leader changes the membership
// accordingly, one replica at a time. A placement older than the latest one set is ignored. A
// placement of a group that this process does not have is retained until the process joins the
// group: it may become the leader, and the placement is announced only once.
func (e *Engine) SetPlacement(wanted *rpc.Placement) {
	if known := e.wanted[wanted.Group]; known != nil && wanted.Revision < known.Revision {
		return
	}
	e.wanted[wanted.Group] = wanted
	if g := e.groups[wanted.Group]; g != nil {
		g.dirty = true
	}
}

// changeMembership proposes the next step towards the wanted membership, if there is one and this
// replica may propose it.
func (e *Engine) changeMembership(g *group) {
	wanted := e.wanted[g.name]
	if wanted == nil {
		wanted = &rpc.Placement{} // only leaves a joint membership
	}
	if g.core.ShouldTransferLeadership(wanted.Replicas) && e.transferLeadership(g, wanted.Replicas) {
		return // the successor removes this replica
	}
	next := g.core.NextMembership(wanted.Replicas, wanted.Revision)
	if next == nil {
		return
	}
	if err := g.core.ProposeMembership(next); err != nil {
		return // no longer leader, or another change is in progress: retried by a later Tick
	}
	e.cfg.Log.Info("membership change", "group", g.name, "epoch", g.core.Epoch(), "voters", nodeNames(next.Voters), "learners", nodeNames(next.Learners),
		"outgoing", nodeNames(next.Outgoing))
}

// transferLeadership transfers the leadership of a group to one of the replicas, if this one leads
// and one of them is eligible. It reports whether a transfer is in progress or done.
func (e *Engine) transferLeadership(g *group, to []*rpc.Replica) bool {
	eligible := func(id string) bool {
		return slices.ContainsFunc(to, func(replica *rpc.Replica) bool { return replica.Id == id })
	}
	if err := g.core.TransferLeadership(eligible); err != nil {
		return false
	}
	g.dirty = true
	return true
}

// TransferLeadership transfers the leadership of all groups that this replica leads to other
// voters, because its process is shutting down. It returns the number of groups that it still
// leads; the caller repeats the call until that is 0. A group whose other voters do not reply keeps
// this leader.
func (e *Engine) TransferLeadership() (leading int) {
	if e.Stalled() || e.err != nil {
		return 0 // the leases expire
	}
	for _, name := range e.names {
		g := e.groups[name]
		if g.core.IsLeader() && e.transferLeadership(g, g.core.Membership().Voters) {
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
