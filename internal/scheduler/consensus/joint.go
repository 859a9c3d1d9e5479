package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// A gone voter is replaced by its successor in one change, with a joint membership in between: while it lasts, elections and commits take a majority
// of the new voters and one of the old ones (outgoing), so that no two leaders can be elected by sets of voters that share none. A group of three
// so never has two voters, of which a single loss would leave no majority. The leader ends the joint membership as soon as it is committed.
//
// A replica of an earlier build would count the new voters only. A leader therefore uses a joint membership only if each member that replies has
// said that it counts them (Message.joint); otherwise it removes the gone voter first, as earlier builds do.

// isJoint reports whether a membership has outgoing voters.
func isJoint(membership *rpc.Membership) bool { return len(membership.Outgoing) > 0 }

// membersOf returns all members: voters, learners, and outgoing voters that are no voters any more.
func membersOf(membership *rpc.Membership) []*rpc.Replica {
	members := slices.Concat(membership.Voters, membership.Learners)
	for _, replica := range membership.Outgoing {
		if !hasReplica(membership.Voters, replica.Id) {
			members = append(members, replica)
		}
	}
	return members
}

// electorates returns the sets of voters of which a majority each is needed: one, or two while the membership is joint.
func electorates(membership *rpc.Membership) [][]*rpc.Replica {
	if isJoint(membership) {
		return [][]*rpc.Replica{membership.Voters, membership.Outgoing}
	}
	return [][]*rpc.Replica{membership.Voters}
}

// swapVoter returns the joint membership that replaces a gone voter by a learner. It changes the membership that it is given.
func swapVoter(membership *rpc.Membership, gone string, successor *rpc.Replica) {
	membership.Outgoing = membership.Voters
	membership.Voters = append(withoutReplica(membership.Voters, gone), successor)
	membership.Learners = withoutReplica(membership.Learners, successor.Id)
}

// countJointMemberships reports whether all members that reply count joint memberships.
func (c *Core) countJointMemberships() bool {
	for _, member := range membersOf(c.membership) {
		peer := c.peers[member.Id]
		if member.Id != c.config.ID && c.isReachable(peer) && !peer.joint {
			return false
		}
	}
	return true
}
