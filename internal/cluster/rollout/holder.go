package rollout

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// Verdict is what becomes of a query at its admission.
type Admission uint8

// The verdicts.
const (
	Admitted Admission = iota // it is let in, under the version in force
	Paused                    // it waits: a change is being put in force
	InDoubt                   // it is refused: the outcome of a change is not known here
	NoLease                   // it is refused: there is no lease
)

func (v Admission) String() string { return [...]string{"let", "hold", "doubt", "lapse"}[v&3] }

// Bugs are seeded faults, to see that tests catch them. Nothing of it is for use.
type Bugs struct {
	SkipLeaseWait      bool // a new leader does not wait for leases that the one before it may have given
	ReadyBeforeStaged  bool // ready is told before the document is on disk
	LeaseAtArrival     bool // the lease is looked at when a query comes, not when it is let in; the model's queries wait in between
	ServeBeforeContact bool // a gatherer that returns serves by what its disk says, before it asks
	ForgetVote         bool // votes are kept in memory only; the model's disks lose them
	AbortAfterCommit   bool // an abort counts after a commit
	HolderTimeout      bool // a holder goes on by its own time-out
	LeaseFromArrival   bool // a lease counts from the arrival of the grant

	ExpireKeepers bool // under a version that keeps, those that are silent are waited out as under any other
	Quota         quota.Bugs

	VoteByName bool // a voter that comes back without its disk votes as the one it was

	PausedBeforeLogged bool // a region's held is told to the global agreement before the region's log has it
	ReportedEverywhere bool // a proposer is told that a version is in force in regions that have not said so
}

// Holder is one gatherer's side: the version in force there, its lease, and the proposal that it judges and holds for. It is not for
// several goroutines.
type Holder struct {
	cfg           Config
	name          string
	rng           *rand.Rand
	quota         *quota.Holder // of budgets; nil: they are not divided here
	identity      uint64
	members       []*wire.Member // the roster, as known here
	membersIndex  uint64         // the index of that
	rosterChanged bool           // it is to be kept, and told to the host
	voters        []string       // whom it asks

	current      *wire.Document // in force here; nil: none was ever agreed on
	statusIndex  uint64         // the newest word that was taken in
	leaseUntil   int64          // of the lease; 0: none
	keepsVersion bool           // it goes on without one: it was given one under a version that keeps, by this process
	left         bool           // it lets nothing in any more
	lastNonce    uint64
	requestedAt  int64 // when the ask with that nonce was sent
	requestAt    int64 // when to ask next
	leader       string
	unanswered   int

	validating    uint64 // the proposal that the host is judging or staging
	ready         uint64
	refused       uint64
	refusalReason string
	pausedFor     uint64 // the proposal for which queries are held; 0: none
	pauseEnd      int64
	heardLeader   bool // a word of a leader was taken in since the start
	needsCurrent  bool // the version in force is wanted whole
	needsProposed bool // the open proposal is wanted whole

	standing   *wire.Standing // of the region, as its leader told it last
	standingAt int64          // when; 0: never
}

// Admit decides whether a query may be let in now, and under which version. It allocates nothing. retry is when it may be worth to come
// again, in microseconds from now, where it is refused.
func (h *Holder) Admit(now int64) (v Admission, number uint64, retry int64) {
	switch {
	case h.left:
		return NoLease, 0, h.cfg.Lease / 2
	case h.pausedFor != 0 && now < h.pauseEnd:
		return Paused, 0, h.pauseEnd - now
	case h.pausedFor != 0 && !h.cfg.Bugs.HolderTimeout:
		return InDoubt, 0, h.cfg.Lease / 2
	case now >= h.leaseUntil && !h.keepsVersion && !(h.cfg.Bugs.ServeBeforeContact && !h.heardLeader):
		return NoLease, 0, h.cfg.Lease / 2
	}
	return Admitted, h.current.GetNumber(), 0
}

// Number is the version in force here, Until the end of the lease.
func (h *Holder) Number() uint64 { return h.current.GetNumber() }

// Until is the end of the lease; past where there is none, far away where the version in force is kept without.
func (h *Holder) AdmitsUntil() int64 {
	switch {
	case h.left:
		return 0
	case h.keepsVersion:
		return math.MaxInt64
	}
	return h.leaseUntil
}

// Lease is the end of the lease itself, also where the version in force is kept without one.
func (h *Holder) LeaseUntil() int64 { return h.leaseUntil }

// Parts are this gatherer's of the budgets; nil: they are not divided here.
func (h *Holder) Quota() *quota.Holder { return h.quota }

// Keeps tells that this gatherer goes on under the version in force also without a lease.
func (h *Holder) AdmitsWithoutLease() bool { return h.keepsVersion && !h.left }

// Members is the roster as known here; it is not to be changed.
func (h *Holder) Members() []*wire.Member { return h.members }

// leave has this gatherer let nothing in from now on, and words that for a leader.
func (h *Holder) newLeaveRequest() *wire.Ask {
	h.left, h.leaseUntil = true, 0
	h.lastNonce = h.rng.Uint64() | 1
	return &wire.Ask{Nonce: h.lastNonce, Number: h.current.GetNumber(), Leaves: true}
}

// learn takes a roster in that is newer than the one known.
func (h *Holder) updateRoster(members []*wire.Member, index uint64) {
	if index <= h.membersIndex || len(voterNames(members)) == 0 {
		return
	}
	h.members, h.membersIndex, h.voters, h.rosterChanged = members, index, voterNames(members), true
}

// Holding tells whether queries are held, or refused in doubt.
func (h *Holder) IsPaused() bool { return h.pausedFor != 0 }

// HoldEnd is until when queries are held, and no longer refused in doubt.
func (h *Holder) PauseEnd() int64 { return h.pauseEnd }

// Leader is whom the holder asks, as far as it knows.
func (h *Holder) Leader() string { return h.leader }

// Verdicts tells which proposals were judged good and bad last, and why.
func (h *Holder) Validations() (ready, refused uint64, reason string) {
	return h.ready, h.refused, h.refusalReason
}

// next is when the holder wants to ask.
func (h *Holder) nextRequest() int64 { return h.requestAt }

// ask words an ask for a leader.
func (h *Holder) newRequest(now int64) (to string, m *wire.Ask) {
	if h.leader == "" || h.unanswered >= 2 {
		h.leader = h.voters[h.rng.IntN(len(h.voters))]
		h.unanswered = 0
	}
	h.unanswered++
	h.lastNonce = h.rng.Uint64() | 1
	h.requestedAt = now
	h.requestAt = now + h.cfg.Lease/8 + h.rng.Int64N(h.cfg.Lease/16+1)
	if now < h.leaseUntil && h.unanswered < 2 && h.pausedFor == 0 {
		h.requestAt = now + h.cfg.Lease/4 + h.rng.Int64N(h.cfg.Lease/8+1)
		if h.quota != nil && h.quota.WantsMore(now) {
			h.requestAt = now + h.cfg.Lease/8 + h.rng.Int64N(h.cfg.Lease/16+1)
		}
	}
	if h.pausedFor != 0 && now < h.pauseEnd+h.cfg.MaxPause {
		h.requestAt = now + h.cfg.HeartbeatInterval
	}
	var parts []byte
	if h.quota != nil {
		parts = h.quota.Request(now)
	}
	return h.leader, &wire.Ask{
		Share: parts, Nonce: h.lastNonce, Number: h.current.GetNumber(), Ready: h.ready, Refused: h.refused, Reason: h.refusalReason, Held: h.pausedFor,
		Want: h.needsCurrent, Judge: h.needsProposed, MembersIndex: h.membersIndex,
	}
}

// soon has the holder ask at once.
func (h *Holder) requestNow(now int64) { h.requestAt = now }

// hear takes a leader's word in, and tells what the host has to do: judge and stage a document, put one in force.
func (h *Holder) handleStatus(now int64, from string, w *wire.Word) (judge *wire.Proposal, install *wire.Document) {
	h.updateRoster(w.Members, w.MembersIndex)
	if h.left {
		return nil, nil
	}
	if w.Leader != from { // it does not lead
		if w.Nonce == h.lastNonce && h.leader == from {
			h.leader = w.Leader
			if w.Leader != "" {
				h.unanswered = 0
				h.requestAt = min(h.requestAt, now+h.cfg.HeartbeatInterval/4)
			}
		}
		return nil, nil
	}
	if w.Index < h.statusIndex {
		return nil, nil // it was overtaken
	}
	h.statusIndex, h.heardLeader = w.Index, true
	if w.Standing != nil {
		h.standing, h.standingAt = w.Standing, now
	}
	if w.Nonce == h.lastNonce || w.Nonce == 0 {
		h.leader, h.unanswered = from, 0
	}
	if w.Number > h.current.GetNumber() {
		if w.Current == nil || !hashMatches(w.Current) || w.Current.Number != w.Number {
			if !h.needsCurrent {
				h.needsCurrent = true
				h.requestNow(now)
			}
			h.leaseUntil, h.keepsVersion = 0, false // the version here is over
			return nil, nil
		}
		install = w.Current
		h.current, h.needsCurrent, h.keepsVersion = install, false, false
		h.applyRegionPart()
		if h.pausedFor == 0 || w.Decided != h.pausedFor || !w.Committed {
			h.leaseUntil = 0 // it did not hold for this one: only a new lease tells that nothing came after it
		}
		h.requestNow(now)
	}
	if h.pausedFor != 0 && w.Decided >= h.pausedFor {
		h.pausedFor = 0
	}
	if h.validating != 0 && w.Decided >= h.validating {
		h.validating = 0
	}
	if w.Open != 0 {
		if h.ready != w.Open && h.refused != w.Open && h.validating != w.Open {
			if w.Proposed != nil && hashMatches(w.Proposed) {
				h.needsProposed, h.validating = false, w.Open
				judge = &wire.Proposal{Attempt: w.Open, Document: w.Proposed}
				if h.cfg.Bugs.ReadyBeforeStaged {
					h.ready = w.Open
				}
			} else if !h.needsProposed {
				h.needsProposed = true
				h.requestNow(now)
			}
		}
		if w.Hold && h.pausedFor != w.Open {
			h.pausedFor, h.pauseEnd = w.Open, now+h.cfg.MaxPause
			h.requestNow(now)
		} else if w.Hold && w.Nonce == 0 {
			h.requestNow(now) // the leader has not heard of it
		}
	}
	if w.Nonce == h.lastNonce && w.Lease > 0 && w.Number == h.current.GetNumber() {
		h.leaseUntil, h.keepsVersion = max(h.leaseUntil, h.requestedAt+w.Lease), h.current.GetKeep()
		if h.quota != nil {
			h.quota.HandleGrant(h.requestedAt, w.Lease, w.Share)
		}
		if h.cfg.Bugs.LeaseFromArrival {
			h.leaseUntil = now + w.Lease
		}
	}
	return judge, install
}

// judged takes the host's verdict on a proposal: staged on its disk, or why not.
func (h *Holder) handleValidation(now int64, attempt uint64, fault string) {
	if h.validating != attempt {
		return
	}
	h.validating = 0
	if fault != "" {
		h.refused, h.refusalReason = attempt, fault
	} else {
		h.ready = attempt
	}
	h.requestNow(now)
}
