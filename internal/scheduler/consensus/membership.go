package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// minVotersForRemoval is the minimum number of voters from which an unreachable one is removed
// before its replacement is promoted: with two, the remaining one would be alone.
const minVotersForRemoval = 3

// Membership returns the latest membership in the log, committed or not. Elections and commits use
// it. The caller must not modify it.
func (c *Core) Membership() *rpc.Membership { return c.membership }

// MembershipCommitted reports whether the latest membership is committed.
func (c *Core) MembershipCommitted() bool { return c.membershipIndex <= c.commit }

// isVoter reports whether a replica votes; outgoing voters still do.
func (c *Core) isVoter(id string) bool {
	return hasReplica(c.membership.Voters, id) || hasReplica(c.membership.Outgoing, id)
}

// refreshMembership sets membership to the latest one in the log, or to that of the snapshot.
func (c *Core) refreshMembership() {
	c.membership, c.membershipIndex = c.membershipAt(c.log.lastIndex())
}

// membershipAt returns the membership as of an index in the log, and the index of the entry or
// snapshot that contains it. Entries that cannot be decoded are ignored.
func (c *Core) membershipAt(index uint64) (membership *rpc.Membership, since uint64) {
	for ; index > c.log.snapshotIndex; index-- {
		entry := c.log.entry(index)
		if entry.Kind != rpc.EntryKind_ENTRY_MEMBERSHIP {
			continue
		}
		decoded := &rpc.Membership{}
		if proto.Unmarshal(entry.Data, decoded) == nil {
			return decoded, entry.Index
		}
	}
	return c.snapshotMembership, c.log.snapshotIndex
}

// NextMembership returns the next single-replica change from the current members towards the wanted
// voters, for ProposeMembership. It returns nil if there is none to make now.
//
// A replica becomes a learner first, and a voter after it has caught up. A reachable voter stays
// until its replacement is promoted, so that the number of replicas never decreases in between. An
// unreachable voter is replaced in one change (joint.go): a group with both would need more live
// voters for a majority, and one with neither could not tolerate a failure. If a member does not
// support joint memberships, the unreachable voter is removed immediately before the promotion.
//
// revision is that of the placement that lists the wanted voters. A lagging leader may have an
// older placement than the one that the membership was last changed for. It is ignored: it would
// undo a repair, or bring back a replica whose disk was emptied.
func (c *Core) NextMembership(wanted []*rpc.Replica, revision uint64) *rpc.Membership {
	if c.role != leader || !c.hasCommittedInEpoch() || !c.MembershipCommitted() {
		return nil
	}
	if isJoint(c.membership) { // leave the joint membership first, whatever is wanted
		next := proto.CloneOf(c.membership)
		next.Outgoing = nil
		return next
	}
	if len(wanted) == 0 || revision < c.membership.Revision {
		return nil
	}
	next := proto.CloneOf(c.membership)
	next.Revision = revision
	if removeUnwantedLearner(next, wanted) {
		return next
	}
	changed, awaitsLearner := c.advancePromotion(next, wanted)
	switch {
	case changed:
		return next
	case awaitsLearner:
		return nil
	case c.removeUnwantedVoter(next, wanted):
		return next
	}
	return nil
}

// removeUnwantedLearner removes the first learner that is not wanted, and reports whether there was
// one.
func removeUnwantedLearner(membership *rpc.Membership, wanted []*rpc.Replica) bool {
	for _, learner := range membership.Learners {
		if !hasReplica(wanted, learner.Id) {
			membership.Learners = withoutReplica(membership.Learners, learner.Id)
			return true
		}
	}
	return false
}

// advancePromotion makes the next step towards the wanted voters: it adds one as a learner, or
// promotes a learner that has caught up to voter, possibly in place of an unreachable voter.
// awaitsLearner reports that it has to wait for a learner to catch up.
func (c *Core) advancePromotion(membership *rpc.Membership, wanted []*rpc.Replica) (changed, awaitsLearner bool) {
	for _, replica := range wanted {
		switch {
		case hasReplica(membership.Voters, replica.Id):
		case !hasReplica(membership.Learners, replica.Id):
			membership.Learners = append(membership.Learners, replica)
			return true, false
		case c.isCaughtUp(replica.Id):
			if unreachable := c.unreachableVoter(membership, wanted); unreachable != "" {
				if c.membersSupportJoint() {
					swapVoter(membership, unreachable, replica)
				} else {
					membership.Voters = withoutReplica(membership.Voters, unreachable)
				}
				return true, false
			}
			membership.Learners = withoutReplica(membership.Learners, replica.Id)
			membership.Voters = append(membership.Voters, replica)
			return true, false
		default:
			awaitsLearner = true
		}
	}
	return false, awaitsLearner
}

// removeUnwantedVoter removes the first voter that is not wanted, the leader last, and reports
// whether there was one.
func (c *Core) removeUnwantedVoter(membership *rpc.Membership, wanted []*rpc.Replica) bool {
	removesLeader := false
	for _, voter := range membership.Voters {
		switch {
		case hasReplica(wanted, voter.Id):
		case voter.Id == c.config.ID:
			removesLeader = true
		default:
			membership.Voters = withoutReplica(membership.Voters, voter.Id)
			return true
		}
	}
	if removesLeader {
		membership.Voters = withoutReplica(membership.Voters, c.config.ID)
	}
	return removesLeader
}

// unreachableVoter returns the id of an unwanted voter that does not reply; empty if there is none,
// or if too few voters would remain.
func (c *Core) unreachableVoter(membership *rpc.Membership, wanted []*rpc.Replica) string {
	if len(membership.Voters) < minVotersForRemoval {
		return ""
	}
	for _, voter := range membership.Voters {
		if !hasReplica(wanted, voter.Id) && voter.Id != c.config.ID && !c.isReachable(c.peers[voter.Id]) {
			return voter.Id
		}
	}
	return ""
}

func hasReplica(list []*rpc.Replica, id string) bool {
	return slices.ContainsFunc(list, func(replica *rpc.Replica) bool { return replica.Id == id })
}

func withoutReplica(list []*rpc.Replica, id string) []*rpc.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(replica *rpc.Replica) bool { return replica.Id == id })
}
