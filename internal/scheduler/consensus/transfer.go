package consensus

import (
	"errors"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// A leader that is about to leave hands its leadership to the most advanced voter, so that the group has no election timeout to wait for.
//
// It first takes no more proposals until all of its log is committed and the successor has all of it. Then it gives its lease up for good: it
// becomes a follower before the message leaves that tells the successor to start an election at once. That is why voters may vote in this election
// although they have heard of a live leader. A message that arrives late does no harm: the successor starts an election for the epoch directly after
// the one that was given up, and a voter that knows of a later epoch does not vote.

// ErrNoSuccessor says that no other voter can take the leadership over: none is eligible that replies and is caught up.
var ErrNoSuccessor = errors.New("consensus: no voter can take the leadership over")

// transferTimeoutDivisor: a leader waits for its successor to catch up for one part in so many of the election timeout. It goes on leading after
// that: nothing was given up.
const transferTimeoutDivisor = 2

// transfer is a leadership that is being handed over.
type transfer struct {
	successor string
	until     int64 // when the leader gives the attempt up
}

// TransferLeadership hands the leadership to the most advanced voter that is caught up, among those for which eligible returns true. It begins, and the
// core completes it when the successor has the complete log; until then proposals are rejected with ErrNotLeader. It returns ErrNotLeader, or
// ErrNoSuccessor. Calls while a transfer is under way change nothing.
func (c *Core) TransferLeadership(eligible func(id string) bool) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.transfer != nil {
		return nil
	}
	successor := c.mostAdvancedVoter(eligible)
	if successor == "" {
		return ErrNoSuccessor
	}
	c.transfer = &transfer{successor: successor, until: c.now + c.config.ElectionTimeoutMS/transferTimeoutDivisor}
	c.completeTransfer()
	return nil
}

// mostAdvancedVoter returns the other voter that is caught up, is eligible, and has the most of the log; the first of several; empty if there is
// none.
func (c *Core) mostAdvancedVoter(eligible func(id string) bool) (id string) {
	for _, voter := range c.membership.Voters {
		peer := c.peers[voter.Id]
		if peer == nil || !eligible(voter.Id) || !c.isCaughtUp(voter.Id) {
			continue
		}
		if id == "" || peer.match > c.peers[id].match {
			id = voter.Id
		}
	}
	return id
}

// completeTransfer gives the leadership up once the successor has everything.
func (c *Core) completeTransfer() {
	if c.transfer == nil || c.role != leader {
		return
	}
	peer := c.peers[c.transfer.successor]
	if peer == nil || !c.isVoter(c.transfer.successor) {
		c.transfer = nil
		return
	}
	if last := c.log.lastIndex(); peer.match < last || c.commit < last {
		return
	}
	successor, epoch := c.transfer.successor, c.epoch
	c.sendHeartbeats() // with the commit index, so that the others apply what was committed
	c.becomeFollower(c.epoch, "", "")
	c.send(&rpc.Message{Kind: rpc.MessageKind_TIMEOUT_NOW, To: successor, Epoch: epoch})
}

// expireTransfer gives a transfer up whose successor has not caught up in time.
func (c *Core) expireTransfer() {
	if c.transfer != nil && c.now >= c.transfer.until {
		c.transfer = nil
	}
}

// handleTimeoutNow starts an election at once, because the leader of this epoch has given its leadership up.
func (c *Core) handleTimeoutNow(message *rpc.Message) {
	if message.Epoch != c.epoch || c.role != follower || !c.isVoter(c.config.ID) {
		return
	}
	c.afterTransfer = true
	c.campaign(candidate)
	c.afterTransfer = false
}

// leaderGaveUp reports whether a request for a vote is one of the election that follows a transfer: the leader of the epoch before has given its
// lease up, and any earlier leader's lease had ended before that one was elected.
func (c *Core) leaderGaveUp(request *rpc.Message) bool {
	return request.AfterTransfer && request.Epoch > c.epoch
}

// MustHandOver reports whether this replica leads, is not among the wanted voters, and has nothing else to change before it leaves: all wanted ones are
// voters.
func (c *Core) MustHandOver(wanted []*rpc.Replica) bool {
	if c.role != leader || isJoint(c.membership) || hasReplica(wanted, c.config.ID) || len(wanted) == 0 || !c.isVoter(c.config.ID) {
		return false
	}
	return !slices.ContainsFunc(wanted, func(replica *rpc.Replica) bool { return !c.isVoter(replica.Id) })
}
