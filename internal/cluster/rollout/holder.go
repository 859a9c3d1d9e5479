package rollout

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// Holder is one gatherer's side: the version in force there, its lease, and the proposal that it validates and pauses for. It must not be used by
// several goroutines at once.
type Holder struct {
	cfg           Config
	name          string
	rng           *rand.Rand
	quota         *quota.Holder // of budgets; nil: they are not divided here
	identity      uint64        // of this gatherer's disk
	members       []*wire.Member
	membersIndex  uint64 // of the roster in members
	rosterChanged bool   // the host has not got the roster yet
	voters        []string

	current      *wire.Document // in force here; nil: no version was ever committed
	statusIndex  uint64         // of the newest status that was handled
	leaseUntil   int64          // 0: no lease
	keepsVersion bool           // it admits without a lease: this process had one under a version with the keep flag
	left         bool           // it admits nothing any more

	lastNonce   uint64 // of the newest request
	requestedAt int64  // when that was sent
	requestAt   int64  // when the next one is due
	leader      string
	unanswered  int // requests to that leader in a row

	validating    uint64 // the attempt that the host is validating or staging; 0: none
	ready         uint64 // the attempt that was found valid last
	refused       uint64 // the attempt that was found invalid last
	refusalReason string
	pausedFor     uint64 // the attempt for which queries are paused; 0: none
	pauseEnd      int64
	heardLeader   bool // a leader's status was handled since the start
	needsCurrent  bool // the document in force is missing
	needsProposed bool // the open proposal's document is missing

	standing   *wire.Standing // of the region, as its leader reported it last
	standingAt int64          // when; 0: never
}

// maxUnanswered is after how many unanswered requests a holder turns to another voter.
const maxUnanswered = 2

// Admit decides whether a query may be admitted now, and under which version. It allocates nothing. Where the query is not admitted, retry is the
// microseconds after which another attempt may succeed.
func (h *Holder) Admit(now int64) (decision Admission, number uint64, retry int64) {
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

// Number is the version in force here; 0: none.
func (h *Holder) Number() uint64 { return h.current.GetNumber() }

// AdmitsUntil is until when queries may be admitted without a further answer of a leader: the end of the lease, or math.MaxInt64 under a version with
// the keep flag. It is in the past where there is no lease.
func (h *Holder) AdmitsUntil() int64 {
	switch {
	case h.left:
		return 0
	case h.keepsVersion:
		return math.MaxInt64
	}
	return h.leaseUntil
}

// LeaseUntil is the end of the lease itself, also under a version with the keep flag; 0: there is none.
func (h *Holder) LeaseUntil() int64 { return h.leaseUntil }

// Quota holds this gatherer's quotas of the budgets; nil: they are not divided here.
func (h *Holder) Quota() *quota.Holder { return h.quota }

// AdmitsWithoutLease reports that this gatherer goes on under the version in force also without a lease.
func (h *Holder) AdmitsWithoutLease() bool { return h.keepsVersion && !h.left }

// Members is the roster as known here. It must not be changed.
func (h *Holder) Members() []*wire.Member { return h.members }

// IsPaused reports whether queries are paused, or rejected in doubt.
func (h *Holder) IsPaused() bool { return h.pausedFor != 0 }

// PauseEnd is when paused queries are rejected in doubt; it counts while IsPaused.
func (h *Holder) PauseEnd() int64 { return h.pauseEnd }

// Leader is the voter that gets the requests, as far as known; it may not lead any more.
func (h *Holder) Leader() string { return h.leader }

// Validations returns the attempts that were found valid and invalid last, and the reason of the latter.
func (h *Holder) Validations() (ready, refused uint64, reason string) {
	return h.ready, h.refused, h.refusalReason
}

// nextRequest is when a request is due.
func (h *Holder) nextRequest() int64 { return h.requestAt }

// requestNow makes a request due at once.
func (h *Holder) requestNow(now int64) { h.requestAt = now }

// newLeaveRequest makes this gatherer admit nothing from now on, and returns the report of that.
func (h *Holder) newLeaveRequest() *wire.Ask {
	h.left, h.leaseUntil = true, 0
	h.lastNonce = h.rng.Uint64() | 1
	return &wire.Ask{Nonce: h.lastNonce, Number: h.current.GetNumber(), Leaves: true}
}

// newRequest returns a request for a lease, and draws when the next one is due.
func (h *Holder) newRequest(now int64) (to string, request *wire.Ask) {
	if h.leader == "" || h.unanswered >= maxUnanswered {
		h.leader = h.voters[h.rng.IntN(len(h.voters))]
		h.unanswered = 0
	}
	h.unanswered++
	h.lastNonce = h.rng.Uint64() | 1
	h.requestedAt = now
	h.scheduleRequest(now)
	var quotaRequest []byte
	if h.quota != nil {
		quotaRequest = h.quota.Request(now)
	}
	return h.leader, &wire.Ask{
		Share: quotaRequest, Nonce: h.lastNonce, Number: h.current.GetNumber(), Ready: h.ready, Refused: h.refused, Reason: h.refusalReason, Held: h.pausedFor,
		Want: h.needsCurrent, Judge: h.needsProposed, MembersIndex: h.membersIndex,
	}
}

// scheduleRequest draws when the next request is due. Without a lease, under a pause or in need of quota that is sooner.
func (h *Holder) scheduleRequest(now int64) {
	h.requestAt = now + withJitter(h.rng, h.cfg.Lease/8, h.cfg.Lease/16)
	if now < h.leaseUntil && h.unanswered < maxUnanswered && h.pausedFor == 0 {
		h.requestAt = now + withJitter(h.rng, h.cfg.Lease/4, h.cfg.Lease/8)
		if h.quota != nil && h.quota.WantsMore(now) {
			h.requestAt = now + withJitter(h.rng, h.cfg.Lease/8, h.cfg.Lease/16)
		}
	}
	if h.pausedFor != 0 && now < h.pauseEnd+h.cfg.MaxPause {
		h.requestAt = now + h.cfg.HeartbeatInterval
	}
}

// updateRoster adopts a roster that is newer than the one known.
func (h *Holder) updateRoster(members []*wire.Member, index uint64) {
	if index <= h.membersIndex || len(voterNames(members)) == 0 {
		return
	}
	h.members, h.membersIndex, h.voters, h.rosterChanged = members, index, voterNames(members), true
}

// applyRegionPart makes this gatherer go by its region's part of the budgets under the version in force.
func (h *Holder) applyRegionPart() {
	if h.quota != nil && h.cfg.Region != "" {
		h.quota.SetRegion(partOf(h.cfg.partsOf(h.current), h.cfg.Region))
	}
}
