package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
)

// follower is a region's side of the global agreement, at one of the region's voters: the global agreement's last status and, where that voter
// leads the region, the region's lease. To the global agreement the region is one holder, whose state is the region's log.
type follower struct {
	cfg          Config
	rng          *rand.Rand
	members      []*wire.Member // the global agreement's roster
	membersIndex uint64         // of that roster; 0: it is the first one
	voters       []string       // of the global agreement
	leader       string
	unanswered   int              // requests to that leader in a row
	pending      map[uint64]int64 // unanswered requests by nonce: from when a lease would count
	requestAt    int64

	// From the last status.
	statusIndex     uint64
	heardAt         int64  // when it was handled; 0: none was
	number          uint64 // the version in force there
	currentAttempt  uint64 // of that version
	current         *wire.Document
	parts           []*wire.Part
	decidedAttempt  uint64
	openAttempt     uint64
	pause           bool
	proposed        *wire.Document
	proposedAttempt uint64 // the attempt whose document proposed is

	// While this voter leads the region.
	leaseUntil         int64  // of the region's lease; 0: none
	previousLeaseUntil int64  // until when a lease of the region's leader before may last
	lostAt             int64  // since when there is no lease
	failedAttempt      uint64 // the attempt that could not be put in force here
	failureReason      string // why
	retryAt            int64  // when it is tried again
}

const (
	// maxPendingRequests is how many unanswered requests of a region are remembered.
	maxPendingRequests = 16
	// maxUnansweredGlobal is after how many unanswered requests a region turns to another global voter.
	maxUnansweredGlobal = 4
)

func newFollower(cfg Config, now int64, rng *rand.Rand, global Config) *follower {
	f := &follower{cfg: cfg, rng: rng, requestAt: now, pending: map[uint64]int64{}, members: initialMembers(global.Members, nil)}
	f.voters = voterNames(f.members)
	return f
}

// startLeading begins a leadership of the region. What the leader before was given is not known; its lease may last until previousLeaseUntil.
func (f *follower) startLeading(now, previousLeaseUntil int64) {
	f.leaseUntil, f.previousLeaseUntil, f.lostAt = 0, previousLeaseUntil, now
	f.failedAttempt, f.failureReason = 0, ""
	f.requestAt = now
	clear(f.pending)
}

// nextTarget returns the global voter that gets the next message.
func (f *follower) nextTarget() string {
	if f.leader == "" || f.unanswered >= maxUnansweredGlobal {
		f.leader, f.unanswered = f.voters[f.rng.IntN(len(f.voters))], 0
	}
	f.unanswered++
	return f.leader
}

// newPing returns the message by which a voter that does not lead its region makes its disk known to the global agreement.
func (f *follower) newPing(now int64) (to string, ping *wire.Ask) {
	f.requestAt = now + withJitter(f.rng, f.cfg.RegionLease, f.cfg.RegionLease/4)
	return f.nextTarget(), &wire.Ask{Nonce: f.rng.Uint64() | 1, MembersIndex: f.membersIndex, Number: f.number}
}

// prepareRequest completes a request in the region's name, and returns whom it goes to. A lease that answers it counts from the given time, at which this
// voter was confirmed to lead the region.
func (f *follower) prepareRequest(from int64, request *wire.Ask) (to string) {
	request.Nonce, request.Region, request.MembersIndex = f.rng.Uint64()|1, f.cfg.Region, f.membersIndex
	if len(f.pending) >= maxPendingRequests {
		f.forgetOldest()
	}
	f.pending[request.Nonce] = from
	return f.nextTarget()
}

// forgetOldest forgets the oldest unanswered request; of several the one with the lowest nonce.
func (f *follower) forgetOldest() {
	first, oldest, oldestAt := true, uint64(0), int64(0)
	for nonce, at := range f.pending {
		if first || at < oldestAt || at == oldestAt && nonce < oldest {
			first, oldest, oldestAt = false, nonce, at
		}
	}
	delete(f.pending, oldest)
}

// handleStatus handles a global voter's status.
func (f *follower) handleStatus(now int64, from string, w *wire.Word) {
	if w.MembersIndex > f.membersIndex && len(voterNames(w.Members)) > 0 {
		f.members, f.membersIndex, f.voters = w.Members, w.MembersIndex, voterNames(w.Members)
	}
	if w.Leader != from {
		f.handleRedirect(now, from, w)
		return
	}
	if w.Index < f.statusIndex {
		return // a newer one was handled before
	}
	if f.openAttempt != w.Open || f.pause != w.Hold || f.number != w.Number {
		f.requestAt = now
	}
	f.statusIndex, f.heardAt, f.leader, f.unanswered = w.Index, now, from, 0
	f.number, f.currentAttempt, f.decidedAttempt = w.Number, w.CurrentAttempt, w.Decided
	f.openAttempt, f.pause, f.parts = w.Open, w.Hold, w.Parts
	if d := w.Current; d != nil && hashMatches(d) && d.Number == w.Number {
		f.current = d
	}
	if w.Open != 0 && w.Proposed != nil && hashMatches(w.Proposed) {
		f.proposed, f.proposedAttempt = w.Proposed, w.Open
	}
	if from, ok := f.pending[w.Nonce]; ok {
		delete(f.pending, w.Nonce)
		if w.Lease > 0 {
			f.leaseUntil = max(f.leaseUntil, from+w.Lease)
		}
	}
}

// handleRedirect turns to the leader that a voter without leadership names.
func (f *follower) handleRedirect(now int64, from string, w *wire.Word) {
	if f.leader != from {
		return
	}
	f.leader = w.Leader
	if w.Leader != "" {
		f.unanswered = 0
		f.requestAt = min(f.requestAt, now+f.cfg.HeartbeatInterval/4)
	}
}

// needsCurrent reports that the document in force there is missing, given the version in force here.
func (f *follower) needsCurrent(number uint64) bool {
	return f.number > number && f.current.GetNumber() != f.number
}

// needsProposed reports that the open proposal's document is missing.
func (f *follower) needsProposed() bool {
	return f.openAttempt != 0 && f.proposedAttempt != f.openAttempt
}
