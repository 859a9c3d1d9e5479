package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
)

// follower is a region's side towards the global agreement, at one of the region's voters: what was heard of it and, where that voter leads
// the region, the region's lease. To the global agreement the region is one holder, whose state is the region's log.
type follower struct {
	cfg          Config
	rng          *rand.Rand
	members      []*wire.Member // the roster, as the global agreement has it
	membersIndex uint64         // the index of that; 0: only the first one is known
	voters       []string       // whom it asks
	leader       string
	unanswered   int
	pending      map[uint64]int64 // asks that were not answered, by nonce: from when a lease would count
	requestAt    int64

	statusIndex     uint64 // the newest word that was taken in
	heardAt         int64  // when; 0: none was
	number          uint64 // in force there
	currentAttempt  uint64 // of that
	current         *wire.Document
	parts           []*wire.Part
	decidedAttempt  uint64
	openAttempt     uint64
	pause           bool
	proposed        *wire.Document
	proposedAttempt uint64 // the attempt that proposed is of

	leaseUntil         int64  // of the region's lease, while this voter leads the region; 0: none
	previousLeaseUntil int64  // until when one that the region's leader before had may last
	lostAt             int64  // since when there is none
	failedAttempt      uint64 // the version's attempt that could not be put in force here,
	failureReason      string // why,
	retryAt            int64  // and when it is tried again
}

const maxPendingRequests = 16 // asks on their way

func newFollower(cfg Config, now int64, rng *rand.Rand, global Config) *follower {
	f := &follower{cfg: cfg, rng: rng, requestAt: now, pending: map[uint64]int64{}, members: initialMembers(global.Members, nil)}
	f.voters = voterNames(f.members)
	return f
}

// lead begins a leadership of the region: what the one before it was given is not known.
func (f *follower) startLeading(now, least int64) {
	f.leaseUntil, f.previousLeaseUntil, f.lostAt, f.failedAttempt, f.failureReason, f.requestAt = 0, least, now, 0, "", now
	clear(f.pending)
}

// whom is who is asked next.
func (f *follower) nextTarget() string {
	if f.leader == "" || f.unanswered >= 4 {
		f.leader, f.unanswered = f.voters[f.rng.IntN(len(f.voters))], 0
	}
	f.unanswered++
	return f.leader
}

// ping words how a voter that does not lead its region makes itself known.
func (f *follower) newPing(now int64) (to string, ask *wire.Ask) {
	f.requestAt = now + f.cfg.RegionLease + f.rng.Int64N(f.cfg.RegionLease/4+1)
	return f.nextTarget(), &wire.Ask{Nonce: f.rng.Uint64() | 1, MembersIndex: f.membersIndex, Number: f.number}
}

// ask words an ask in the region's name. A lease that answers it counts from a moment at which it was confirmed that this one leads.
func (f *follower) prepareRequest(from int64, a *wire.Ask) (to string) {
	a.Nonce, a.Region, a.MembersIndex = f.rng.Uint64()|1, f.cfg.Region, f.membersIndex
	if len(f.pending) >= maxPendingRequests {
		oldest := a.Nonce
		for nonce, at := range f.pending {
			if was, ok := f.pending[oldest]; !ok || at < was || at == was && nonce < oldest {
				oldest = nonce
			}
		}
		delete(f.pending, oldest)
	}
	f.pending[a.Nonce] = from
	return f.nextTarget()
}

// hear takes a word in.
func (f *follower) handleStatus(now int64, from string, w *wire.Word) {
	if w.MembersIndex > f.membersIndex && len(voterNames(w.Members)) > 0 {
		f.members, f.membersIndex, f.voters = w.Members, w.MembersIndex, voterNames(w.Members)
	}
	if w.Leader != from { // it does not lead
		if f.leader == from {
			if f.leader = w.Leader; w.Leader != "" {
				f.unanswered = 0
				f.requestAt = min(f.requestAt, now+f.cfg.HeartbeatInterval/4)
			}
		}
		return
	}
	if w.Index < f.statusIndex {
		return // it was overtaken
	}
	if open := f.openAttempt; open != w.Open || f.pause != w.Hold || f.number != w.Number {
		f.requestAt = now
	}
	f.statusIndex, f.heardAt, f.leader, f.unanswered = w.Index, now, from, 0
	f.number, f.currentAttempt, f.decidedAttempt, f.openAttempt, f.pause, f.parts = w.Number, w.CurrentAttempt, w.Decided, w.Open, w.Hold, w.Parts
	if d := w.Current; d != nil && hashMatches(d) && d.Number == w.Number {
		f.current = d
	}
	if w.Open != 0 && w.Proposed != nil && hashMatches(w.Proposed) {
		f.proposed, f.proposedAttempt = w.Proposed, w.Open
	}
	if at, ok := f.pending[w.Nonce]; ok {
		delete(f.pending, w.Nonce)
		if w.Lease > 0 {
			f.leaseUntil = max(f.leaseUntil, at+w.Lease)
		}
	}
}

// want tells that the version in force there is not known whole, judge that the open proposal is not.
func (f *follower) needsCurrent(number uint64) bool {
	return f.number > number && f.current.GetNumber() != f.number
}

func (f *follower) needsProposed() bool {
	return f.openAttempt != 0 && f.proposedAttempt != f.openAttempt
}
