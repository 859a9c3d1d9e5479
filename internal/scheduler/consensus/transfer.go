package consensus

import (
	"errors"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// A leader that is about to stop transfers its leadership to the most up-to-date voter, so that the
// group does not wait for an election timeout.
//
// It first rejects proposals until its log is committed and the successor has all of it. Then it
// gives up its lease irrevocably: it becomes a follower before it sends the message that makes the
// successor start an election. That is why voters may vote in this election although they have
// recently heard from the leader. A message that arrives late is harmless: the successor starts an
// election for the epoch directly after the one that ended, and a voter that has seen a later epoch
// does not vote.

// ErrNoSuccessor is returned if no other voter is eligible, reachable and caught up.
var ErrNoSuccessor = errors.New("consensus: no eligible voter to transfer leadership to")

// transferTimeoutDivisor is the divisor of the election timeout that gives the time that a leader
// waits for its successor to catch up. After that it aborts the transfer and remains leader: it has
// given up nothing.
const transferTimeoutDivisor = 2

// transfer is a leadership transfer in progress.
type transfer struct {
	successor string
	until     int64 // when the leader aborts the transfer
}

// TransferLeadership starts a transfer of the leadership to the most up-to-date voter for which
// eligible returns true and which is caught up. The transfer completes when the successor has the
// complete log; until then proposals are rejected with ErrNotLeader. The error is ErrNotLeader or
// ErrNoSuccessor. Calls during a transfer have no effect.
func (c *Core) TransferLeadership(eligible func(id string) bool) error {
	if c.role != leader {
		return ErrNotLeader
	}
	if c.transfer != nil {
		return nil
	}
	successor := c.mostUpToDateVoter(eligible)
	if successor == "" {
		return ErrNoSuccessor
	}
	c.transfer = &transfer{successor: successor, until: c.now + c.config.ElectionTimeoutMS/transferTimeoutDivisor}
	c.completeTransfer()
	return nil
}

// mostUpToDateVoter returns the id of the other voter that is eligible, caught up and has the
// longest log, the first one on a tie; empty if there is none.
func (c *Core) mostUpToDateVoter(eligible func(id string) bool) (id string) {
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

// completeTransfer gives up the leadership once the successor has the complete log.
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
	c.sendHeartbeats() // sends the commit index, so that the others apply what was committed
	c.becomeFollower(c.epoch, "", "")
	c.send(&rpc.Message{Kind: rpc.MessageKind_TIMEOUT_NOW, To: successor, Epoch: epoch})
}

// expireTransfer aborts a transfer whose successor has not caught up in time.
func (c *Core) expireTransfer() {
	if c.transfer != nil && c.now >= c.transfer.until {
		c.transfer = nil
	}
}

// handleTimeoutNow starts an election immediately, because the leader of this epoch has given up
// its leadership.
func (c *Core) handleTimeoutNow(message *rpc.Message) {
	if message.Epoch != c.epoch || c.role != follower || !c.isVoter(c.config.ID) {
		return
	}
	c.afterTransfer = true
	c.campaign(candidate)
	c.afterTransfer = false
}

// followsTransfer reports whether a vote request is one of an election after a leadership transfer:
// the leader of the previous epoch has given up its lease, and the leases of earlier leaders had
// expired before it was elected.
func (c *Core) followsTransfer(request *rpc.Message) bool {
	return request.AfterTransfer && request.Epoch > c.epoch
}

// ShouldTransferLeadership reports whether this replica leads, is not among the wanted voters, and
// has no other membership change to make before it is removed: all wanted replicas are voters.
func (c *Core) ShouldTransferLeadership(wanted []*rpc.Replica) bool {
	if c.role != leader || isJoint(c.membership) || hasReplica(wanted, c.config.ID) || len(wanted) == 0 || !c.isVoter(c.config.ID) {
		return false
	}
	return !slices.ContainsFunc(wanted, func(replica *rpc.Replica) bool { return !c.isVoter(replica.Id) })
}
