package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
)

// follower is a region's side of the global agreement, at one of the region's voters: the last
// status of the global agreement and, if that voter leads the region, the region's lease. The
// global agreement sees the region as one lease holder, whose state is the region's log.
type follower struct {
	cfg          Config
	rng          *rand.Rand
	members      []*wire.Member // the global agreement's roster
	membersIndex uint64         // of that roster; 0: the initial roster
	voters       []string       // of the global agreement
	leader       string
	unanswered   int              // consecutive unanswered requests to that leader
	pending      map[uint64]int64 // unanswered requests by nonce: the time at which a granted lease starts
	requestAt    int64

	// From the last status.
	statusIndex     uint64
	heardAt         int64  // when it was handled; 0: no status yet
	number          uint64 // the version in force globally
	currentAttempt  uint64 // of that version
	current         *wire.Document
	parts           []*wire.Part
	decidedAttempt  uint64
	openAttempt     uint64
	pause           bool
	proposed        *wire.Document
	proposedAttempt uint64 // the attempt that the document in proposed belongs to

	// While this voter leads the region.
	leaseUntil         int64  // end of the region's lease; 0: none
	previousLeaseUntil int64  // latest end of a lease that the region's previous leader may have
	lostAt             int64  // since when there is no lease
	failedAttempt      uint64 // the attempt that could not be put in force here
	failureReason      string // why
	retryAt            int64  // when it is retried
}

const (
	// maxPendingRequests limits the unanswered requests of a region that are kept; an answer to an
	// older one grants nothing.
	maxPendingRequests = 16
	// maxUnansweredGlobal is the number of consecutive unanswered requests after which a region
	// sends to another global voter.
	maxUnansweredGlobal = 4
)

func newFollower(cfg Config, now int64, rng *rand.Rand, global Config) *follower {
	f := &follower{cfg: cfg, rng: rng, requestAt: now, pending: map[uint64]int64{}, members: initialMembers(global.Members, nil)}
	f.voters = voterNames(f.members)
	return f
}

// startLeading begins a term as leader of the region. The leases of the previous leader are not
// known here; they end by previousLeaseUntil.
func (f *follower) startLeading(now, previousLeaseUntil int64) {
	f.leaseUntil, f.previousLeaseUntil, f.lostAt = 0, previousLeaseUntil, now
	f.failedAttempt, f.failureReason = 0, ""
	f.requestAt = now
	clear(f.pending)
}

// nextTarget returns the global voter to send the next message to.
func (f *follower) nextTarget() string {
	if f.leader == "" || f.unanswered >= maxUnansweredGlobal {
		f.leader, f.unanswered = f.voters[f.rng.IntN(len(f.voters))], 0
	}
	f.unanswered++
	return f.leader
}

// newPing returns the message by which a voter that does not lead its region announces its disk
// identity to the global agreement.
func (f *follower) newPing(now int64) (to string, ping *wire.Ask) {
	f.requestAt = now + withJitter(f.rng, f.cfg.RegionLease, f.cfg.RegionLease/4)
	return f.nextTarget(), &wire.Ask{Nonce: f.rng.Uint64() | 1, MembersIndex: f.membersIndex, Number: f.number}
}

// prepareRequest completes a request on behalf of the region, and returns its target. A lease
// granted in answer starts at the given time, at which this voter was confirmed to lead the region.
func (f *follower) prepareRequest(from int64, request *wire.Ask) (to string) {
	request.Nonce, request.Region, request.MembersIndex = f.rng.Uint64()|1, f.cfg.Region, f.membersIndex
	if len(f.pending) >= maxPendingRequests {
		f.dropOldestRequest()
	}
	f.pending[request.Nonce] = from
	return f.nextTarget()
}

// dropOldestRequest removes the oldest unanswered request; among equally old ones, that with the
// lowest nonce.
func (f *follower) dropOldestRequest() {
	first, oldest, oldestAt := true, uint64(0), int64(0)
	for nonce, at := range f.pending {
		if first || at < oldestAt || at == oldestAt && nonce < oldest {
			first, oldest, oldestAt = false, nonce, at
		}
	}
	delete(f.pending, oldest)
}

// handleStatus handles a status of a global voter.
func (f *follower) handleStatus(now int64, from string, w *wire.Word) {
	if w.MembersIndex > f.membersIndex && len(voterNames(w.Members)) > 0 {
		f.members, f.membersIndex, f.voters = w.Members, w.MembersIndex, voterNames(w.Members)
	}
	if w.Leader != from {
		f.handleRedirect(now, from, w)
		return
	}
	if w.Index < f.statusIndex {
		return // stale: a newer status was handled before
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

// handleRedirect switches to the leader that a non-leading voter names.
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

// needsCurrent reports whether the global agreement has a newer version than the given one in force
// whose document is missing here.
func (f *follower) needsCurrent(number uint64) bool {
	return f.number > number && f.current.GetNumber() != f.number
}

// needsProposed reports whether the open proposal's document is missing here.
func (f *follower) needsProposed() bool {
	return f.openAttempt != 0 && f.proposedAttempt != f.openAttempt
}
