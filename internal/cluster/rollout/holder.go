package rollout

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// Holder is a gatherer's state as a lease holder: its version in force, its lease, and the proposal
// that it validates and pauses queries for. It is not safe for concurrent use.
type Holder struct {
	cfg           Config
	name          string
	rng           *rand.Rand
	quota         *quota.Holder // nil: budgets are not divided
	identity      uint64        // of this gatherer's disk
	members       []*wire.Member
	membersIndex  uint64 // of the roster in members
	rosterChanged bool   // the roster has not been passed to the host yet
	voters        []string

	current     *wire.Document // in force here; nil: no version was ever committed
	statusIndex uint64         // of the newest status that was handled
	leaseUntil  int64          // 0: no lease
	// leaseOptional is set if this gatherer admits without a lease: this process had one under the
	// current version, which has the keep flag.
	leaseOptional bool
	left          bool // has left the fleet, and admits nothing any more

	lastNonce   uint64 // of the newest request
	requestedAt int64  // when it was sent
	requestAt   int64  // when the next one is due
	leader      string
	unanswered  int // consecutive unanswered requests to that leader

	validating    uint64 // the attempt that the host is validating or staging; 0: none
	ready         uint64 // the last attempt that was found valid
	refused       uint64 // the last attempt that was found invalid
	refusalReason string
	pausedFor     uint64 // the attempt for which queries are paused; 0: none
	pauseEnd      int64
	heardLeader   bool // a leader's status was handled since this process started
	needsCurrent  bool // the document in force is missing
	needsProposed bool // the open proposal's document is missing

	standing   *wire.Standing // last status of the region that its leader reported
	standingAt int64          // when it was received; 0: never
}

// maxUnanswered is the number of consecutive unanswered requests after which a holder sends to
// another voter.
const maxUnanswered = 2

// Admit decides whether a query may be admitted now, and under which version. If it may not, retry
// is the time in microseconds after which another attempt may succeed. Admit does not allocate.
func (h *Holder) Admit(now int64) (decision Admission, number uint64, retry int64) {
	switch {
	case h.left:
		return NoLease, 0, h.cfg.Lease / 2
	case h.pausedFor != 0 && now < h.pauseEnd:
		return Paused, 0, h.pauseEnd - now
	case h.pausedFor != 0 && !h.cfg.Bugs.HolderTimeout:
		return InDoubt, 0, h.cfg.Lease / 2
	case now >= h.leaseUntil && !h.leaseOptional && !(h.cfg.Bugs.ServeBeforeContact && !h.heardLeader):
		return NoLease, 0, h.cfg.Lease / 2
	}
	return Admitted, h.current.GetNumber(), 0
}

// Number returns the number of the version in force here, or 0 if there is none.
func (h *Holder) Number() uint64 { return h.current.GetNumber() }

// AdmitsUntil returns the time until which queries may be admitted without a further answer of a
// leader: the end of the lease, or math.MaxInt64 if this gatherer admits without a lease. Without a
// lease it is in the past.
func (h *Holder) AdmitsUntil() int64 {
	switch {
	case h.left:
		return 0
	case h.leaseOptional:
		return math.MaxInt64
	}
	return h.leaseUntil
}

// LeaseUntil returns the end of the lease, also under a version with the keep flag, or 0 if there
// is none.
func (h *Holder) LeaseUntil() int64 { return h.leaseUntil }

// Quota returns this gatherer's quotas of the budgets, or nil if budgets are not divided.
func (h *Holder) Quota() *quota.Holder { return h.quota }

// AdmitsWithoutLease reports whether this gatherer admits queries under the version in force even
// without a lease.
func (h *Holder) AdmitsWithoutLease() bool { return h.leaseOptional && !h.left }

// Members returns the roster as known here. The caller must not modify it.
func (h *Holder) Members() []*wire.Member { return h.members }

// IsPaused reports whether queries are paused, or rejected in doubt.
func (h *Holder) IsPaused() bool { return h.pausedFor != 0 }

// PauseEnd returns the time from which paused queries are rejected as InDoubt. It is valid while
// IsPaused.
func (h *Holder) PauseEnd() int64 { return h.pauseEnd }

// Leader returns the voter that this holder sends requests to, or "" if none is known. It may not
// lead any more.
func (h *Holder) Leader() string { return h.leader }

// Validations returns the last attempt that was found valid, the last one that was found invalid,
// and the reason for the latter.
func (h *Holder) Validations() (ready, refused uint64, reason string) {
	return h.ready, h.refused, h.refusalReason
}

// nextRequest returns when the next request is due.
func (h *Holder) nextRequest() int64 { return h.requestAt }

// requestNow makes a request due at once.
func (h *Holder) requestNow(now int64) { h.requestAt = now }

// newLeaveRequest makes this gatherer admit nothing from now on, and returns the request that
// reports it.
func (h *Holder) newLeaveRequest() *wire.Ask {
	h.left, h.leaseUntil = true, 0
	h.lastNonce = h.rng.Uint64() | 1
	return &wire.Ask{Nonce: h.lastNonce, Number: h.current.GetNumber(), Leaves: true}
}

// newRequest returns a lease request and its target, and schedules the next one.
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

// scheduleRequest sets when the next request is due, with jitter: sooner without a lease, during a
// pause, or if more quota is needed.
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

// updateRoster replaces the roster if the given one is newer and has voters.
func (h *Holder) updateRoster(members []*wire.Member, index uint64) {
	if index <= h.membersIndex || len(voterNames(members)) == 0 {
		return
	}
	h.members, h.membersIndex, h.voters, h.rosterChanged = members, index, voterNames(members), true
}

// applyRegionPart sets the region's part of the budgets to that of the version in force.
func (h *Holder) applyRegionPart() {
	if h.quota != nil && h.cfg.Region != "" {
		h.quota.SetRegion(partOf(h.cfg.partsOf(h.current), h.cfg.Region))
	}
}
