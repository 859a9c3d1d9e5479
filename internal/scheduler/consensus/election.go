package consensus

import "saffronquay/internal/scheduler/rpc"

// scheduleFirstElection sets the election timeout after a start.
func (c *Core) scheduleFirstElection() {
	timeout := c.config.ElectionTimeoutMS
	// Shorter than later timeouts: if all replicas start together, there is no leader to wait for.
	c.electionAt = c.now + timeout/4 + c.config.Random.Int64N(timeout/2)
	if c.epoch > initialEpoch {
		// The replica may have replied to a leader just before it stopped, and that leader relies
		// on the reply until its lease expires.
		c.noVoteUntil = c.now + LeaseMS(timeout)
		c.electionAt = c.noVoteUntil + c.config.Random.Int64N(timeout/4)
	}
}

// resetElectionTimer postpones the next election by a random time of one to two election timeouts.
func (c *Core) resetElectionTimer() {
	c.electionAt = c.now + c.config.ElectionTimeoutMS + c.config.Random.Int64N(c.config.ElectionTimeoutMS)
}

// becomeFollower makes the replica a follower in an epoch. leaderID is empty if the leader is
// unknown.
func (c *Core) becomeFollower(epoch uint64, leaderID, address string) {
	if epoch > c.epoch {
		c.epoch, c.vote, c.hardStateChanged = epoch, "", true
	}
	c.role, c.leaderID, c.leaderAddress, c.transfer = follower, leaderID, address, nil
	if leaderID != "" {
		c.leaderContactAt = c.now
	}
	c.resetElectionTimer()
}

// campaign requests votes. A pre-candidate does so without incrementing the epoch, so that a
// replica that cannot win does not disrupt the leader.
func (c *Core) campaign(as role) {
	c.role, c.leaderID, c.leaderAddress = as, "", ""
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElectionTimer()
	kind, epoch := rpc.MessageKind_PRE_VOTE, c.epoch+1
	if as == preCandidate {
		// A pre-vote does not increment the epoch, so it is retried sooner.
		c.electionAt = c.now + c.config.ElectionTimeoutMS/2 + c.config.Random.Int64N(c.config.ElectionTimeoutMS/2)
	} else {
		c.epoch++
		c.vote, c.hardStateChanged = c.config.ID, true
		kind, epoch = rpc.MessageKind_VOTE, c.epoch
	}
	for _, voter := range membersOf(c.membership) {
		if voter.Id != c.config.ID && c.isVoter(voter.Id) {
			c.send(&rpc.Message{Kind: kind, To: voter.Id, Epoch: epoch, LogIndex: c.log.lastIndex(), LogEpoch: c.log.lastEpoch(), AfterTransfer: c.afterTransfer})
		}
	}
	c.countVotes()
}

// recordVote records a reply in the current election. Only replies of voters count.
func (c *Core) recordVote(reply *rpc.Message) {
	c.votes[reply.From] = !reply.Reject
	c.countVotes()
}

// countVotes proceeds with the current election once it is decided. Winning takes a majority of
// each electorate; the rejections of a majority of one electorate lose it.
func (c *Core) countVotes() {
	won, lost := true, false
	for _, voters := range electorates(c.membership) {
		granted, rejected := c.tallyVotes(voters)
		quorum := len(voters)/2 + 1
		won = won && granted >= quorum
		lost = lost || rejected >= quorum
	}
	switch {
	case won && c.role == preCandidate:
		c.campaign(candidate)
	case won && c.role == candidate:
		c.becomeLeader()
	case lost:
		c.role = follower
	}
}

// tallyVotes counts the votes of an electorate.
func (c *Core) tallyVotes(voters []*rpc.Replica) (granted, rejected int) {
	for _, voter := range voters {
		grantedByVoter, replied := c.votes[voter.Id]
		switch {
		case !replied:
		case grantedByVoter:
			granted++
		default:
			rejected++
		}
	}
	return granted, rejected
}

// becomeLeader starts the leadership with an entry of the new epoch: entries of earlier epochs are
// committed only together with an entry of the leader's own epoch.
func (c *Core) becomeLeader() {
	c.role, c.leaderID, c.leaderAddress, c.leaderSince = leader, c.config.ID, c.config.Address, c.now
	c.peers, c.heartbeatSentAt = map[string]*progress{}, map[uint64]int64{}
	c.epochStartIndex = c.log.lastIndex() + 1
	c.trackPeers()
	c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_NOOP})
	c.sendHeartbeats()
}

// handlePreVote replies whether this replica would vote for the sender. It does not change any
// state.
//
// A replica grants votes and pre-votes without checking that it is a voter itself: the entry that
// makes it one may not have reached it yet. The candidate decides which replies count.
func (c *Core) handlePreVote(message *rpc.Message) {
	if c.mayHaveLeader() || message.Epoch <= c.epoch || !c.logIsUpToDate(message) {
		c.rejectVote(message, rpc.MessageKind_PRE_VOTE_REPLY)
		return
	}
	c.send(&rpc.Message{Kind: rpc.MessageKind_PRE_VOTE_REPLY, To: message.From, Epoch: message.Epoch})
}

func (c *Core) handlePreVoteReply(message *rpc.Message) {
	switch {
	case message.Reject && message.Epoch > c.epoch:
		c.becomeFollower(message.Epoch, "", "")
	case c.role == preCandidate && (message.Reject || message.Epoch == c.epoch+1):
		c.recordVote(message)
	}
}

// handleVote grants the vote unless this replica may have a live leader that has not given up its
// lease, has voted for another candidate in the epoch, or has a more up-to-date log. The vote is
// part of the hard state, which is persisted before the reply is sent.
func (c *Core) handleVote(message *rpc.Message) {
	if c.mayHaveLeader() && !c.followsTransfer(message) || message.Epoch < c.epoch {
		c.rejectVote(message, rpc.MessageKind_VOTE_REPLY)
		return
	}
	if message.Epoch > c.epoch {
		c.becomeFollower(message.Epoch, "", "")
	}
	votedForOther := c.vote != "" && c.vote != message.From
	if !c.logIsUpToDate(message) || c.role == leader || votedForOther {
		c.rejectVote(message, rpc.MessageKind_VOTE_REPLY)
		return
	}
	c.vote, c.hardStateChanged = message.From, true
	c.resetElectionTimer()
	c.send(&rpc.Message{Kind: rpc.MessageKind_VOTE_REPLY, To: message.From, Epoch: c.epoch})
}

func (c *Core) rejectVote(request *rpc.Message, kind rpc.MessageKind) {
	c.send(&rpc.Message{Kind: kind, To: request.From, Epoch: c.epoch, Reject: true})
}

// logIsUpToDate reports whether the log of the sender of a vote request is at least as up to date
// as this replica's log.
func (c *Core) logIsUpToDate(request *rpc.Message) bool {
	if request.LogEpoch != c.log.lastEpoch() {
		return request.LogEpoch > c.log.lastEpoch()
	}
	return request.LogIndex >= c.log.lastIndex()
}

// mayHaveLeader reports whether a live leader, possibly this replica, may rely on this replica for
// its lease. The replica grants no votes meanwhile.
func (c *Core) mayHaveLeader() bool {
	if c.now < c.noVoteUntil {
		return true
	}
	if c.role == leader {
		return c.now-c.quorumContact() < c.config.ElectionTimeoutMS
	}
	return c.leaderID != "" && c.now-c.leaderContactAt < c.config.ElectionTimeoutMS
}
