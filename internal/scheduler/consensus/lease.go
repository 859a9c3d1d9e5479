package consensus

import (
	"cmp"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// LeaseMS returns how long after its last quorum contact a leader may serve reads. It is shorter
// than the minimum election timeout, within which followers grant no votes.
func LeaseMS(electionTimeoutMS int64) int64 { return electionTimeoutMS * 65 / 100 }

// stepDownTimeouts is the number of election timeouts without replies from a majority after which a
// leader steps down.
const stepDownTimeouts = 2

// Leadership reports whether this replica leads and has committed an entry of its epoch, so that it
// has every entry that earlier leaders acknowledged. quorumContactAt is the time at which a
// majority was last known to follow it, 0 if it does not lead.
func (c *Core) Leadership() (ready bool, quorumContactAt int64) {
	if c.role != leader {
		return false, 0
	}
	return c.hasCommittedInEpoch(), c.quorumContact()
}

// HasLease reports whether reads of this replica's state are linearizable: it leads, it has every
// entry that earlier leaders acknowledged, and no other replica can have been elected yet. now must
// be read from the clock for this call: with an older time, a process that was paused would rely on
// an expired lease.
func (c *Core) HasLease(now int64) bool {
	if c.role != leader || !c.hasCommittedInEpoch() {
		return false
	}
	return now-c.quorumContact() < LeaseMS(c.config.ElectionTimeoutMS)
}

// LeaderSince returns when this replica last became leader; 0 if it never did.
func (c *Core) LeaderSince() int64 { return c.leaderSince }

// hasCommittedInEpoch reports whether a leader has committed the first entry of its epoch. It then
// has every entry that earlier leaders committed.
func (c *Core) hasCommittedInEpoch() bool { return c.commit >= c.epochStartIndex }

// hasLostMajority reports whether a leader should step down because no majority replies.
func (c *Core) hasLostMajority() bool {
	limit := stepDownTimeouts * c.config.ElectionTimeoutMS
	return c.now-c.quorumContact() > limit && c.now-c.leaderSince > limit
}

// quorumContact returns the latest time at which a majority is known to have followed this leader.
// It is the send time of a heartbeat, not the time of the reply: a follower's promise starts when
// the heartbeat arrives, which may be at any time in between.
func (c *Core) quorumContact() int64 {
	return reachedByMajority(c, c.now, func(peer *progress) int64 { return peer.confirmedAt })
}

// reachedByMajority returns the greatest value that a majority of the voters has reached, of both
// electorates while the membership is joint. own is this replica's value and ofPeer returns that of
// another one; a voter that the leader does not track counts with the zero value.
func reachedByMajority[T cmp.Ordered](c *Core, own T, ofPeer func(*progress) T) T {
	reached := reachedByMajorityOf(c, c.membership.Voters, own, ofPeer)
	if isJoint(c.membership) {
		reached = min(reached, reachedByMajorityOf(c, c.membership.Outgoing, own, ofPeer))
	}
	return reached
}

// reachedByMajorityOf is reachedByMajority for one electorate.
func reachedByMajorityOf[T cmp.Ordered](c *Core, voters []*rpc.Replica, own T, ofPeer func(*progress) T) T {
	var zero T
	values := make([]T, 0, len(voters))
	for _, voter := range voters {
		switch peer := c.peers[voter.Id]; {
		case voter.Id == c.config.ID:
			values = append(values, own)
		case peer != nil:
			values = append(values, ofPeer(peer))
		default:
			values = append(values, zero)
		}
	}
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
