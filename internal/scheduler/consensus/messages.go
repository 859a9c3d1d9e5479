package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// Step takes a message in.
func (c *Core) Step(now int64, m *rpc.Message) {
	c.now = max(c.now, now)
	if m.To != c.cfg.ID || m.Group != c.cfg.Group {
		return
	}
	switch m.Kind {
	case rpc.MessageKind_PRE_VOTE, rpc.MessageKind_VOTE:
		c.onVoteRequest(m)
		return
	case rpc.MessageKind_PRE_VOTE_REPLY:
		if m.Reject && m.Epoch > c.epoch {
			c.follow(m.Epoch, "", "")
		} else if c.role == preCandidate && m.Epoch == c.epoch+1 || c.role == preCandidate && m.Reject {
			c.votes[m.From] = !m.Reject
			c.countVotes()
		}
		return
	}
	if m.Epoch < c.epoch {
		if m.Kind == rpc.MessageKind_APPEND || m.Kind == rpc.MessageKind_SNAPSHOT {
			// A leader of the past learns of the newer epoch.
			c.send(&rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: m.From, Epoch: c.epoch, Reject: true, Round: m.Round})
		}
		return
	}
	switch m.Kind {
	case rpc.MessageKind_VOTE_REPLY:
		if m.Epoch > c.epoch {
			c.follow(m.Epoch, "", "")
		} else if c.role == candidate {
			c.votes[m.From] = !m.Reject
			c.countVotes()
		}
	case rpc.MessageKind_APPEND:
		c.follow(m.Epoch, m.From, m.FromAddress)
		c.onAppend(m)
	case rpc.MessageKind_SNAPSHOT:
		c.follow(m.Epoch, m.From, m.FromAddress)
		c.onSnapshot(m)
	case rpc.MessageKind_APPEND_REPLY:
		if m.Epoch > c.epoch {
			c.follow(m.Epoch, "", "")
		} else if c.role == leader {
			c.onAppendReply(m)
		}
	case rpc.MessageKind_SNAPSHOT_REPLY:
		if m.Epoch > c.epoch {
			c.follow(m.Epoch, "", "")
		} else if c.role == leader {
			c.onSnapshotReply(m)
		}
	}
}

func (c *Core) onVoteRequest(m *rpc.Message) {
	reply := rpc.MessageKind_VOTE_REPLY
	if m.Kind == rpc.MessageKind_PRE_VOTE {
		reply = rpc.MessageKind_PRE_VOTE_REPLY
	}
	refuse := func() {
		c.send(&rpc.Message{Kind: reply, To: m.From, Epoch: c.epoch, Reject: true})
	}
	current := m.LogEpoch > c.log.lastEpoch() || m.LogEpoch == c.log.lastEpoch() && m.LogIndex >= c.log.lastIndex()
	// Whoever follows a live leader doesn't help to replace it: the leader's lease rests on that.
	led := c.now < c.quietUntil || c.role == leader && c.now-c.quorumContact() < c.cfg.ElectionTimeoutMS ||
		c.role != leader && c.leaderID != "" && c.now-c.leaderHeardAt < c.cfg.ElectionTimeoutMS
	// A replica may vote without knowing yet that it is a voter: the entry that says so may have reached only the others. Whether its vote
	// counts is for the candidate to say.
	if led || m.Epoch < c.epoch || !current {
		if m.Kind == rpc.MessageKind_VOTE && !led && m.Epoch > c.epoch {
			c.follow(m.Epoch, "", "")
		}
		refuse()
		return
	}
	if m.Kind == rpc.MessageKind_PRE_VOTE {
		if m.Epoch <= c.epoch {
			refuse()
			return
		}
		c.send(&rpc.Message{Kind: reply, To: m.From, Epoch: m.Epoch})
		return
	}
	if m.Epoch > c.epoch {
		c.follow(m.Epoch, "", "")
	}
	if c.role == leader || c.vote != "" && c.vote != m.From {
		refuse()
		return
	}
	c.vote, c.hardChanged = m.From, true
	c.resetElection()
	c.send(&rpc.Message{Kind: reply, To: m.From, Epoch: c.epoch})
}

func (c *Core) onAppend(m *rpc.Message) {
	reply := &rpc.Message{Kind: rpc.MessageKind_APPEND_REPLY, To: m.From, Epoch: c.epoch, Round: m.Round}
	entries, before, beforeEpoch := m.Entries, m.LogIndex, m.LogEpoch
	if before < c.log.snapshotIndex {
		// What the snapshot covers is agreed on and needs no comparison.
		skip := min(c.log.snapshotIndex-before, uint64(len(entries)))
		entries = entries[skip:]
		before += skip
		beforeEpoch = c.log.snapshotEpoch
		if before < c.log.snapshotIndex {
			reply.LogIndex = c.log.snapshotIndex
			c.send(reply)
			return
		}
	}
	if epoch, ok := c.log.epochAt(before); !ok || epoch != beforeEpoch {
		reply.Reject = true
		reply.LogIndex = min(c.log.lastIndex(), max(before, 1)-1)
		reply.Refused = before
		c.send(reply)
		return
	}
	last := before + uint64(len(entries))
	for i, entry := range entries {
		if epoch, ok := c.log.epochAt(entry.Index); ok && epoch == entry.Epoch {
			continue
		}
		if entry.Index <= c.log.lastIndex() {
			c.log.truncateAfter(entry.Index - 1)
		}
		c.log.entries = append(c.log.entries, entries[i:]...)
		c.markUnstable(entry.Index)
		c.findMembership()
		break
	}
	c.commit = max(c.commit, min(m.Commit, last))
	// A leader that was just elected knows what is agreed on only once an entry of its own epoch is.
	if epoch, ok := c.log.epochAt(m.Commit); ok && epoch == m.Epoch && c.commit >= m.Commit {
		c.currentAt = c.now
	}
	reply.LogIndex = last
	c.send(reply)
}

func (c *Core) onAppendReply(m *rpc.Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	c.heardFrom(p, m.Round)
	p.inFlight = max(0, p.inFlight-1)
	if m.Reject {
		// Of appends that were sent in a row, all behind a lost one are refused: only the answer to the newest probe counts.
		if m.Refused == p.next-1 || !p.probing && m.Refused < p.next {
			p.next = max(min(m.LogIndex, p.next-1), p.match) + 1
			p.probing, p.inFlight = true, 0
			c.replicate(m.From, p, false)
		}
		return
	}
	p.probing = false
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.log.lastIndex() {
		c.replicate(m.From, p, false)
	}
}

// heardFrom notes that a replica has answered a round of heartbeats.
func (c *Core) heardFrom(p *progress, round uint64) {
	p.heardAt = c.now
	if sent, ok := c.rounds[round]; ok {
		p.contactAt = max(p.contactAt, sent)
	}
}

// advanceCommit finds the newest entry of its own epoch that a majority holds on disk.
func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.membership.Voters))
	for _, voter := range c.membership.Voters {
		switch p := c.peers[voter.Id]; {
		case voter.Id == c.cfg.ID:
			matches = append(matches, c.persisted())
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if epoch, ok := c.log.epochAt(index); index > c.commit && ok && epoch == c.epoch {
		c.commit = index
		c.heartbeatAt = min(c.heartbeatAt, c.now+commitNoticeMS)
		if c.since <= c.commit && !c.isVoter(c.cfg.ID) {
			c.heartbeat() // the others learn of the commit before this one leaves
			c.follow(c.epoch, "", "")
		}
	}
}

// commitNoticeMS is how soon followers are told of a new commit index, where no further entry tells them.
const commitNoticeMS = 5

func (c *Core) persisted() uint64 {
	if c.unstableFrom != 0 {
		return c.unstableFrom - 1
	}
	return c.log.lastIndex()
}

func (c *Core) heartbeat() {
	// On a common grid the heartbeats of all groups of a machine leave together.
	c.heartbeatAt = (c.now/c.cfg.HeartbeatIntervalMS + 1) * c.cfg.HeartbeatIntervalMS
	c.round++
	c.rounds[c.round] = c.now
	delete(c.rounds, c.round-64)
	c.eachPeer(func(id string, p *progress) { c.replicate(id, p, true) })
}

// eachPeer visits the other members in the membership's order.
func (c *Core) eachPeer(visit func(id string, p *progress)) {
	for _, replica := range slices.Concat(c.membership.Voters, c.membership.Learners) {
		if p := c.peers[replica.Id]; p != nil {
			visit(replica.Id, p)
		}
	}
}

// replicate sends a replica what it lacks; with always an empty message where it lacks nothing.
func (c *Core) replicate(id string, p *progress, always bool) {
	silent := c.now-p.heardAt > 2*c.cfg.HeartbeatIntervalMS+c.cfg.ElectionTimeoutMS/4 // it gets heartbeats only, until it answers
	if silent && p.inFlight > 0 {
		p.next, p.inFlight, p.probing = p.match+1, 0, true
	}
	if p.next <= c.log.snapshotIndex {
		if always {
			c.sendAppend(id, c.log.snapshotIndex, nil)
		}
		if waited := c.now - p.pieceAt; p.pieceAt == 0 || p.snapshotIndex != c.snapshot.Index || !silent && waited >= pieceRetryMS {
			c.sendPiece(id, p)
		}
		return
	}
	for sent := false; ; sent = true {
		var entries []*rpc.Entry
		if !silent && (p.inFlight < maxInFlight && !p.probing || p.inFlight == 0) {
			entries = c.log.from(p.next, maxAppendBytes)
		}
		if len(entries) == 0 && (sent || !always) {
			return
		}
		c.sendAppend(id, p.next-1, entries)
		if len(entries) == 0 {
			return
		}
		p.inFlight++
		if p.probing {
			return // it may be refused: next stays
		}
		p.next += uint64(len(entries))
	}
}

func (c *Core) sendAppend(id string, before uint64, entries []*rpc.Entry) {
	epoch, _ := c.log.epochAt(before)
	c.send(&rpc.Message{Kind: rpc.MessageKind_APPEND, To: id, Epoch: c.epoch, LogIndex: before, LogEpoch: epoch, Commit: c.commit, Entries: entries, Round: c.round})
}

// Ready returns what is to be done, and takes it for done: the driver must not call the core again before it has persisted it.
func (c *Core) Ready() Ready {
	var r Ready
	if c.role == leader {
		c.eachPeer(func(id string, p *progress) {
			if p.next <= c.log.lastIndex() {
				c.replicate(id, p, false)
			}
		})
	}
	if c.hardChanged {
		r.HardState = c.hardState()
		c.hardChanged = false
	}
	r.Chunks, r.Snapshot, r.Restore = c.newPieces, c.newSnapshot, c.restoreNeeded
	c.newPieces, c.newSnapshot, c.restoreNeeded = nil, nil, nil
	if c.unstableFrom != 0 {
		r.Entries = c.log.from(c.unstableFrom, int(^uint(0)>>1))
		c.unstableFrom = 0
		r.HardState = c.hardState() // for the commit index, with which a restarted replica can begin at once
	}
	r.Messages = c.messages
	c.messages = nil
	if c.role == leader && len(r.Entries) > 0 {
		c.advanceCommit() // of a group of one; otherwise the followers' answers do it
	}
	if c.handedOut < c.commit {
		r.Committed = slices.Clone(c.log.entries[c.handedOut-c.log.snapshotIndex : c.commit-c.log.snapshotIndex])
		c.handedOut = c.commit
	}
	return r
}

func (c *Core) hardState() *rpc.HardState {
	return &rpc.HardState{Epoch: c.epoch, Vote: c.vote, Commit: c.commit}
}

// ReleaseData drops the data of entries up to an index, which the driver has applied and holds on disk, from memory. Where such an entry has to be
// sent, it comes out of Ready without its data, and the driver fills it in.
func (c *Core) ReleaseData(from, to uint64) {
	for index := from; index <= to && index <= c.handedOut; index++ {
		c.log.strip(index)
	}
}
