package consensus

import "saffronquay/internal/scheduler/rpc"

// scheduleFirstElection sets the first election timeout after a start.
func (c *Core) scheduleFirstElection() {
	timeout := c.config.ElectionTimeoutMS
	// Shorter than later ones: if all replicas start together, there is no leader to wait for.
	c.electionAt = c.now + timeout/4 + c.config.Random.Int64N(timeout/2)
	if c.epoch > foundingEpoch {
		// It may have replied to a leader just before it stopped, and that leader counts on the reply until its lease ends.
		c.noVoteUntil = c.now + LeaseMS(timeout)
		c.electionAt = c.noVoteUntil + c.config.Random.Int64N(timeout/4)
	}
}

// resetElectionTimer postpones the next election by one to two election timeouts.
func (c *Core) resetElectionTimer() {
	c.electionAt = c.now + c.config.ElectionTimeoutMS + c.config.Random.Int64N(c.config.ElectionTimeoutMS)
}

// becomeFollower makes the replica a follower in an epoch, of a leader if it is known.
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

// campaign requests votes. A pre-candidate does so without raising the epoch, so that a replica that cannot win disturbs no leader.
func (c *Core) campaign(as role) {
	c.role, c.leaderID, c.leaderAddress = as, "", ""
	c.votes = map[string]bool{c.config.ID: true}
	c.resetElectionTimer()
	kind, epoch := rpc.MessageKind_PRE_VOTE, c.epoch+1
	if as == preCandidate {
		// A pre-vote is repeated sooner: it raises no epoch.
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

// recordVote records a reply to a request of the election that this replica runs. Only voters count.
func (c *Core) recordVote(reply *rpc.Message) {
	c.votes[reply.From] = !reply.Reject
	c.countVotes()
}

// countVotes goes on with the election that this replica runs, if it is decided. It takes a majority of each electorate to win it, and of one to
// lose it.
func (c *Core) countVotes() {
	won, lost := true, false
	for _, voters := range electorates(c.membership) {
		granted, rejected := c.votesOf(voters)
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

// votesOf counts the votes of an electorate.
func (c *Core) votesOf(voters []*rpc.Replica) (granted, rejected int) {
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

// becomeLeader begins the leadership with an entry of the new epoch: entries of earlier epochs are committed only together with one of its own.
func (c *Core) becomeLeader() {
	c.role, c.leaderID, c.leaderAddress, c.leaderSince = leader, c.config.ID, c.config.Address, c.now
	c.peers, c.heartbeatSentAt = map[string]*progress{}, map[uint64]int64{}
	c.epochStartIndex = c.log.lastIndex() + 1
	c.trackPeers()
	c.appendEntry(&rpc.Entry{Kind: rpc.EntryKind_ENTRY_NOOP})
	c.sendHeartbeats()
}

// handlePreVote says whether this replica would vote for the sender. It changes nothing here.
//
// A replica grants votes and pre-votes without knowing that it is a voter: the entry that says so may have reached only the others. The candidate
// decides whose replies count.
func (c *Core) handlePreVote(message *rpc.Message) {
	if c.mayHaveLeader() || message.Epoch <= c.epoch || !c.logIsCurrent(message) {
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

// handleVote votes for the sender unless this replica may have a live leader that has not given its lease up, has voted for another one in the
// epoch, or has a newer log. The vote is part of the hard state, which is persisted before the reply is sent.
func (c *Core) handleVote(message *rpc.Message) {
	if c.mayHaveLeader() && !c.leaderGaveUp(message) || message.Epoch < c.epoch {
		c.rejectVote(message, rpc.MessageKind_VOTE_REPLY)
		return
	}
	if message.Epoch > c.epoch {
		c.becomeFollower(message.Epoch, "", "")
	}
	votedForOther := c.vote != "" && c.vote != message.From
	if !c.logIsCurrent(message) || c.role == leader || votedForOther {
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

// logIsCurrent reports whether the log of the sender of a vote request ends where this replica's log ends, or later.
func (c *Core) logIsCurrent(request *rpc.Message) bool {
	if request.LogEpoch != c.log.lastEpoch() {
		return request.LogEpoch > c.log.lastEpoch()
	}
	return request.LogIndex >= c.log.lastIndex()
}

// mayHaveLeader reports whether a live leader may count on this replica, itself included. The leader's lease depends on the replica granting
// no votes meanwhile.
func (c *Core) mayHaveLeader() bool {
	if c.now < c.noVoteUntil {
		return true
	}
	if c.role == leader {
		return c.now-c.quorumContact() < c.config.ElectionTimeoutMS
	}
	return c.leaderID != "" && c.now-c.leaderContactAt < c.config.ElectionTimeoutMS
}
