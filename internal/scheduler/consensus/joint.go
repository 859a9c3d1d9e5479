package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// A failed voter is replaced in one change, through a joint membership: while it is in effect,
// elections and commits need a majority of the new voters and one of the old ones (outgoing), so
// that two disjoint sets of voters cannot elect two leaders. A group of three thus never has just
// two voters, which could not tolerate a failure. The leader leaves the joint membership as soon as
// it is committed.
//
// A replica of an earlier build counts the new voters only. A leader therefore uses a joint
// membership only if each reachable member has reported support for it (Message.joint); otherwise
// it removes the failed voter first, as earlier builds do.

// isJoint reports whether a membership has outgoing voters.
func isJoint(membership *rpc.Membership) bool { return len(membership.Outgoing) > 0 }

// membersOf returns all members: voters, learners, and outgoing voters that are no longer voters.
func membersOf(membership *rpc.Membership) []*rpc.Replica {
	members := slices.Concat(membership.Voters, membership.Learners)
	for _, replica := range membership.Outgoing {
		if !hasReplica(membership.Voters, replica.Id) {
			members = append(members, replica)
		}
	}
	return members
}

// electorates returns the sets of voters that each have to provide a majority: one, or two while
// the membership is joint.
func electorates(membership *rpc.Membership) [][]*rpc.Replica {
	if isJoint(membership) {
		return [][]*rpc.Replica{membership.Voters, membership.Outgoing}
	}
	return [][]*rpc.Replica{membership.Voters}
}

// swapVoter makes membership a joint one in which successor, a learner, replaces the voter with id
// removed.
func swapVoter(membership *rpc.Membership, removed string, successor *rpc.Replica) {
	membership.Outgoing = membership.Voters
	membership.Voters = append(withoutReplica(membership.Voters, removed), successor)
	membership.Learners = withoutReplica(membership.Learners, successor.Id)
}

// membersSupportJoint reports whether all reachable members support joint memberships.
func (c *Core) membersSupportJoint() bool {
	for _, member := range membersOf(c.membership) {
		peer := c.peers[member.Id]
		if member.Id != c.config.ID && c.isReachable(peer) && !peer.joint {
			return false
		}
	}
	return true
}
