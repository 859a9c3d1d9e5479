package consensus

import "saffronquay/internal/scheduler/rpc"

// progress is what a leader knows of another replica.
type progress struct {
	match       uint64 // the replica has persisted the leader's log up to here
	next        uint64 // the next entry to send; always after match
	inFlight    int    // appends without a reply
	probing     bool   // where its log agrees with the leader's is unknown: one append at a time, until one is accepted
	confirmedAt int64  // when the newest heartbeat was sent that the replica has answered
	lastReplyAt int64
	joint       bool // the replica counts joint memberships

	snapshotIndex      uint64 // of the snapshot that is being sent
	chunksAcknowledged uint32 // of that snapshot
	chunkSentAt        int64  // when the last chunk was sent; 0: none
}

// caughtUpEntries is how many entries a replica may lack and still count as caught up.
const caughtUpEntries = 8

// caughtUpHeartbeats is within how many heartbeat intervals a replica that counts as caught up has replied.
const caughtUpHeartbeats = 3

// trackPeers keeps the progress of each other member, and only of those.
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

// forEachPeer visits the other members in the membership's order, so that the same input gives the same messages.
func (c *Core) forEachPeer(visit func(id string, peer *progress)) {
	for _, replica := range membersOf(c.membership) {
		if peer := c.peers[replica.Id]; peer != nil {
			visit(replica.Id, peer)
		}
	}
}

// recordReply records that a replica has answered a message of a heartbeat round.
func (c *Core) recordReply(peer *progress, reply *rpc.Message) {
	peer.lastReplyAt = c.now
	peer.joint = reply.Joint
	if sentAt, ok := c.heartbeatSentAt[reply.Round]; ok {
		peer.confirmedAt = max(peer.confirmedAt, sentAt)
	}
}

// isReachable reports whether a replica has replied to this leader within an election timeout. peer may be nil.
func (c *Core) isReachable(peer *progress) bool {
	return peer != nil && c.now-peer.lastReplyAt < c.config.ElectionTimeoutMS
}

// isUnresponsive reports whether a replica gets only heartbeats until it replies again.
func (c *Core) isUnresponsive(peer *progress) bool {
	return c.now-peer.lastReplyAt > 2*c.config.HeartbeatIntervalMS+c.config.ElectionTimeoutMS/4
}

// isCaughtUp reports whether a replica replies and lacks few entries of the leader's log, and none up to the last change of the membership.
func (c *Core) isCaughtUp(id string) bool {
	peer := c.peers[id]
	if peer == nil || c.now-peer.lastReplyAt >= caughtUpHeartbeats*c.config.HeartbeatIntervalMS {
		return false
	}
	hasSnapshot := peer.match > 0 && peer.match >= c.log.snapshotIndex
	return hasSnapshot && peer.match >= c.membershipIndex && peer.match+caughtUpEntries >= c.log.lastIndex()
}

// FullyReplicated reports whether each voter is known to have persisted all entries up to the last change of the membership, which is committed and
// not joint.
// Only a leader knows; it is false on others.
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

// HasLaggingReplica reports whether this replica leads and another one, which replies, lacks entries up to an index. If the log is compacted
// there, that replica needs the snapshot.
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
