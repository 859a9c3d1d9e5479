package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

func decodeMembership(data []byte, otherwise *rpc.Membership) *rpc.Membership {
	m := &rpc.Membership{}
	if proto.Unmarshal(data, m) != nil {
		return otherwise
	}
	return m
}

// NextMembership is the next change of one replica that leads from the current members to the wanted voters, or nil where there is
// none to make now. A replica becomes a learner first and a voter once it is caught up. A live voter stays until its successor is admitted,
// so that the number of copies never falls on the way; one that is gone leaves just before, since with it and its successor both the group
// would need more live voters than it does without.
//
// revision is that of the placement which wants these voters. A leader that lags behind may have been told an older one than the membership
// was changed for already; that changes nothing any more, or it would undo a repair, or bring back a member that was emptied.
func (c *Core) NextMembership(wanted []*rpc.Replica, revision uint64) *rpc.Membership {
	if c.role != leader || c.commit < c.firstIndex || c.since > c.commit || len(wanted) == 0 || revision < c.membership.Revision {
		return nil
	}
	current := proto.Clone(c.membership).(*rpc.Membership)
	current.Revision = revision
	has := func(list []*rpc.Replica, id string) bool {
		return slices.ContainsFunc(list, func(r *rpc.Replica) bool { return r.Id == id })
	}
	without := func(list []*rpc.Replica, id string) []*rpc.Replica {
		return slices.DeleteFunc(slices.Clone(list), func(r *rpc.Replica) bool { return r.Id == id })
	}
	for _, replica := range current.Learners {
		if !has(wanted, replica.Id) {
			current.Learners = without(current.Learners, replica.Id)
			return current
		}
	}
	missing := 0
	for _, replica := range wanted {
		switch {
		case has(current.Voters, replica.Id):
		case !has(current.Learners, replica.Id):
			current.Learners = append(current.Learners, replica)
			return current
		case c.CaughtUp(replica.Id):
			if gone := c.goneVoter(current, wanted); gone != "" {
				current.Voters = without(current.Voters, gone)
				return current
			}
			current.Learners = without(current.Learners, replica.Id)
			current.Voters = append(current.Voters, replica)
			return current
		default:
			missing++
		}
	}
	if missing > 0 {
		return nil
	}
	var self *rpc.Replica
	for _, replica := range current.Voters {
		if has(wanted, replica.Id) {
			continue
		}
		if replica.Id == c.cfg.ID {
			self = replica // the leader leaves last
			continue
		}
		current.Voters = without(current.Voters, replica.Id)
		return current
	}
	if self != nil {
		current.Voters = without(current.Voters, self.Id)
		return current
	}
	return nil
}

// goneVoter is a voter that isn't wanted and doesn't answer; empty where there is none, or where too few would be left.
func (c *Core) goneVoter(current *rpc.Membership, wanted []*rpc.Replica) string {
	if len(current.Voters) <= 2 {
		return ""
	}
	for _, replica := range current.Voters {
		isWanted := slices.ContainsFunc(wanted, func(w *rpc.Replica) bool { return w.Id == replica.Id })
		if !isWanted && replica.Id != c.cfg.ID && !c.Reachable(replica.Id) {
			return replica.Id
		}
	}
	return ""
}
