package consensus

import "saffronquay/internal/scheduler/rpc"

// progress is a leader's view of another replica.
type progress struct {
	match       uint64 // last index that the replica is known to have persisted
	next        uint64 // index of the next entry to send; greater than match
	inFlight    int    // appends not replied to yet
	probing     bool   // the matching index is unknown: one append at a time until one is accepted
	confirmedAt int64  // send time of the latest heartbeat that the replica replied to
	lastReplyAt int64
	joint       bool // the replica supports joint memberships

	snapshotIndex      uint64 // of the snapshot being sent
	chunksAcknowledged uint32 // of that snapshot
	chunkSentAt        int64  // when the last chunk was sent; 0: none
}

// caughtUpEntries is the number of entries that a replica may lack and still count as caught up.
const caughtUpEntries = 8

// caughtUpHeartbeats is the number of heartbeat intervals within which a replica must have replied
// to count as caught up.
const caughtUpHeartbeats = 3

// trackPeers adds the progress of new members and drops that of former ones.
func (c *Core) trackPeers() {
	members := map[string]bool{}
	for _, replica := range membersOf(c.membership) {
		members[replica.Id] = true
		if c.peers[replica.Id] == nil && replica.Id != c.config.ID {
			c.peers[replica.Id] = &progress{next: c.log.lastIndex() + 1}
		}
	}
	for id := range c.peers {
		if !members[id] {
			delete(c.peers, id)
		}
	}
}

// forEachPeer visits the other members in the order of the membership, so that the same input gives
// the same messages.
func (c *Core) forEachPeer(visit func(id string, peer *progress)) {
	for _, replica := range membersOf(c.membership) {
		if peer := c.peers[replica.Id]; peer != nil {
			visit(replica.Id, peer)
		}
	}
}

// recordReply records that a replica has replied to a message of a heartbeat round.
func (c *Core) recordReply(peer *progress, reply *rpc.Message) {
	peer.lastReplyAt = c.now
	peer.joint = reply.Joint
	if sentAt, ok := c.heartbeatSentAt[reply.Round]; ok {
		peer.confirmedAt = max(peer.confirmedAt, sentAt)
	}
}

// isReachable reports whether a replica has replied to this leader within an election timeout. peer
// may be nil.
func (c *Core) isReachable(peer *progress) bool {
	return peer != nil && c.now-peer.lastReplyAt < c.config.ElectionTimeoutMS
}

// isUnresponsive reports whether a replica is sent heartbeats only, until it replies again.
func (c *Core) isUnresponsive(peer *progress) bool {
	return c.now-peer.lastReplyAt > 2*c.config.HeartbeatIntervalMS+c.config.ElectionTimeoutMS/4
}

// isCaughtUp reports whether a replica replies and lacks at most caughtUpEntries entries of the
// leader's log, and none up to the latest membership change.
func (c *Core) isCaughtUp(id string) bool {
	peer := c.peers[id]
	if peer == nil || c.now-peer.lastReplyAt >= caughtUpHeartbeats*c.config.HeartbeatIntervalMS {
		return false
	}
	hasSnapshot := peer.match > 0 && peer.match >= c.log.snapshotIndex
	return hasSnapshot && peer.match >= c.membershipIndex && peer.match+caughtUpEntries >= c.log.lastIndex()
}

// FullyReplicated reports whether each voter is known to have persisted all entries up to the
// latest membership change, and that change is committed and not joint. Only a leader knows; on
// other replicas it is false.
func (c *Core) FullyReplicated() bool {
	if c.role != leader || !c.MembershipCommitted() || isJoint(c.membership) {
		return false
	}
	for _, voter := range c.membership.Voters {
		peer := c.peers[voter.Id]
		if voter.Id != c.config.ID && (peer == nil || peer.match < c.membershipIndex) {
			return false
		}
	}
	return true
}

// HasLaggingReplica reports whether this replica leads and another reachable one lacks entries up
// to an index. If the log is compacted there, that replica needs the snapshot.
func (c *Core) HasLaggingReplica(index uint64) bool {
	if c.role != leader {
		return false
	}
	for _, peer := range c.peers {
		if peer.match < index && c.isReachable(peer) {
			return true
		}
	}
	return false
}
