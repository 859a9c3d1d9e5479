package consensus

import "saffronquay/internal/scheduler/rpc"

const (
	maxAppendBytes    = 256 << 10 // of entries in one append; a single larger entry is sent alone
	maxAppendsPending = 8         // in-flight appends to one replica

	// maxHeartbeatRounds is the number of heartbeat rounds by which a reply may lag and still count
	// for the lease.
	maxHeartbeatRounds = 64

	// commitNotifyDelayMS is the delay after which followers are sent a new commit index if no
	// further entry carries it.
	commitNotifyDelayMS = 5
)

// appendMode selects what replicate sends to a replica that is up to date, or that cannot be sent
// entries now.
type appendMode uint8

const (
	entriesOnly   appendMode = iota // nothing
	withHeartbeat                   // an append without entries
)

// sendHeartbeats starts a heartbeat round. Heartbeats are aligned to multiples of the interval, so
// that those of all groups of a process are sent together.
func (c *Core) sendHeartbeats() {
	c.heartbeatAt = (c.now/c.config.HeartbeatIntervalMS + 1) * c.config.HeartbeatIntervalMS
	c.heartbeatRound++
	c.heartbeatSentAt[c.heartbeatRound] = c.now
	delete(c.heartbeatSentAt, c.heartbeatRound-maxHeartbeatRounds)
	c.forEachPeer(func(id string, peer *progress) { c.replicate(id, peer, withHeartbeat) })
}

// replicate sends a replica what it lacks: entries, or a chunk of the snapshot if the log starts
// after the next entry needed.
func (c *Core) replicate(id string, peer *progress, mode appendMode) {
	unresponsive := c.isUnresponsive(peer)
	if unresponsive && peer.inFlight > 0 {
		peer.next, peer.inFlight, peer.probing = peer.match+1, 0, true
	}
	if peer.next <= c.log.snapshotIndex {
		if mode == withHeartbeat {
			c.sendAppend(id, c.log.snapshotIndex, nil)
		}
		if c.chunkIsDue(peer, unresponsive) {
			c.sendChunk(id, peer)
		}
		return
	}
	sent := false
	for !unresponsive && peer.mayAppend() {
		entries := c.log.from(peer.next, maxAppendBytes)
		if len(entries) == 0 {
			break
		}
		c.sendAppend(id, peer.next-1, entries)
		sent = true
		peer.inFlight++
		if peer.probing {
			break // the probe may be rejected: next is not advanced
		}
		peer.next += uint64(len(entries))
	}
	if !sent && mode == withHeartbeat {
		c.sendAppend(id, peer.next-1, nil)
	}
}

// mayAppend reports whether a replica may be sent another append with entries before it replies.
func (p *progress) mayAppend() bool {
	return p.inFlight == 0 || !p.probing && p.inFlight < maxAppendsPending
}

// sendAppend sends entries that follow the entry at previousIndex.
func (c *Core) sendAppend(id string, previousIndex uint64, entries []*rpc.Entry) {
	previousEpoch, _ := c.log.epochAt(previousIndex)
	c.send(&rpc.Message{
		Kind: rpc.MessageKind_APPEND, To: id, Epoch: c.epoch, LogIndex: previousIndex, LogEpoch: previousEpoch,
		Commit: c.commit, Entries: entries, Round: c.heartbeatRound,
	})
}

// handleAppend appends the leader's entries if they follow an entry that both logs have, and
// replies with the last matching index.
func (c *Core) handleAppend(message *rpc.Message) {
	if !areConsecutive(message) {
		return
	}
	reply := &rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: message.From, Epoch: c.epoch, Round: message.Round}
	entries, previousIndex, previousEpoch := message.Entries, message.LogIndex, message.LogEpoch
	if previousIndex < c.log.snapshotIndex {
		// Entries that the snapshot covers are committed and need no comparison.
		skipped := min(c.log.snapshotIndex-previousIndex, uint64(len(entries)))
		entries = entries[skipped:]
		previousIndex += skipped
		previousEpoch = c.log.snapshotEpoch
		if previousIndex < c.log.snapshotIndex {
			reply.LogIndex = c.log.snapshotIndex
			c.send(reply)
			return
		}
	}
	if epoch, ok := c.log.epochAt(previousIndex); !ok || epoch != previousEpoch {
		reply.Reject = true
		reply.LogIndex = min(c.log.lastIndex(), max(previousIndex, 1)-1)
		reply.Refused = previousIndex
		c.send(reply)
		return
	}
	c.mergeEntries(entries)
	lastIndex := previousIndex + uint64(len(entries))
	c.commit = max(c.commit, min(message.Commit, lastIndex))
	// A newly elected leader's commit index is complete only after an entry of its own epoch is
	// committed.
	if epoch, ok := c.log.epochAt(message.Commit); ok && epoch == message.Epoch && c.commit >= message.Commit {
		c.caughtUpAt = c.now
	}
	reply.LogIndex = lastIndex
	c.send(reply)
}

// areConsecutive reports whether the entries of an append follow its previous index without a gap,
// and none is of a later epoch than the leader's.
func areConsecutive(message *rpc.Message) bool {
	for i, entry := range message.Entries {
		if entry.GetIndex() != message.LogIndex+1+uint64(i) || entry.GetEpoch() > message.Epoch {
			return false
		}
	}
	return true
}

// mergeEntries adds the leader's entries to the log. Starting at the first conflicting one, they
// replace the entries in the log. Matching entries are left unchanged: an append that arrives late
// must not drop the entries after it.
func (c *Core) mergeEntries(entries []*rpc.Entry) {
	for i, entry := range entries {
		if epoch, ok := c.log.epochAt(entry.Index); ok && epoch == entry.Epoch {
			continue
		}
		if entry.Index <= c.log.lastIndex() {
			c.log.truncateAfter(entry.Index - 1)
		}
		c.log.entries = append(c.log.entries, entries[i:]...)
		c.addUnstable(entry.Index)
		c.refreshMembership()
		return
	}
}

// handleAppendReply updates the progress of a replica, and sends it what it lacks.
func (c *Core) handleAppendReply(message *rpc.Message) {
	peer := c.peers[message.From]
	if peer == nil {
		return
	}
	c.recordReply(peer, message)
	peer.inFlight = max(0, peer.inFlight-1)
	if message.Reject {
		// All appends in flight after a lost one are rejected. Only the first rejection, or that of
		// the latest probe, counts.
		if message.Refused == peer.next-1 || !peer.probing && message.Refused < peer.next {
			peer.next = max(min(message.LogIndex, peer.next-1), peer.match) + 1
			peer.probing, peer.inFlight = true, 0
			c.replicate(message.From, peer, entriesOnly)
		}
		return
	}
	peer.probing = false
	peer.match = max(peer.match, message.LogIndex)
	peer.next = max(peer.next, peer.match+1)
	c.advanceCommit()
	if peer.next <= c.log.lastIndex() && c.role == leader {
		c.replicate(message.From, peer, entriesOnly)
	}
	c.completeTransfer()
}

// advanceCommit commits the latest entry that a majority has persisted, if it is of the leader's
// own epoch: a later leader may still replace an entry of an earlier epoch although a majority has
// it. A leader that is no longer a voter steps down as soon as its removal is committed.
func (c *Core) advanceCommit() {
	index := reachedByMajority(c, c.persistedIndex(), func(peer *progress) uint64 { return peer.match })
	if epoch, ok := c.log.epochAt(index); index <= c.commit || !ok || epoch != c.epoch {
		return
	}
	c.commit = index
	c.heartbeatAt = min(c.heartbeatAt, c.now+commitNotifyDelayMS)
	if c.MembershipCommitted() && !c.isVoter(c.config.ID) { // an outgoing voter leads until the joint membership is left
		c.sendHeartbeats() // sends the commit index before this replica leaves
		c.becomeFollower(c.epoch, "", "")
	}
}
