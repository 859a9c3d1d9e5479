package rollout

import "saffronquay/internal/cluster/rollout/wire"

// handleStatus handles a voter's status. It returns a proposal for the host to validate and stage,
// and a document for the host to put in force; either may be nil.
func (h *Holder) handleStatus(now int64, from string, w *wire.Word) (validate *wire.Proposal, install *wire.Document) {
	h.updateRoster(w.Members, w.MembersIndex)
	if h.left {
		return nil, nil
	}
	if w.Leader != from {
		h.handleRedirect(now, from, w)
		return nil, nil
	}
	if w.Index < h.statusIndex {
		return nil, nil // stale: a newer status was handled before
	}
	h.statusIndex, h.heardLeader = w.Index, true
	if w.Standing != nil {
		h.standing, h.standingAt = w.Standing, now
	}
	if w.Nonce == h.lastNonce || w.Nonce == 0 {
		h.leader, h.unanswered = from, 0
	}
	if w.Number > h.current.GetNumber() {
		if install = h.adoptVersion(now, w); install == nil {
			return nil, nil
		}
	}
	h.clearDecided(w)
	if w.Open != 0 {
		validate = h.proposalToValidate(now, w)
		h.updatePause(now, w)
	}
	h.acceptLease(now, w)
	return validate, install
}

// handleRedirect switches to the leader that a non-leading voter names.
func (h *Holder) handleRedirect(now int64, from string, w *wire.Word) {
	if w.Nonce != h.lastNonce || h.leader != from {
		return
	}
	h.leader = w.Leader
	if w.Leader != "" {
		h.unanswered = 0
		h.requestAt = min(h.requestAt, now+h.cfg.HeartbeatInterval/4)
	}
}

// adoptVersion adopts a newer version and returns its document. If the status does not carry a
// valid one, it requests the document and returns nil. The lease ends with the previous version,
// because only a new lease proves that no later version followed. The exception is a valid document
// of the very version that this holder paused for: the lease then continues.
func (h *Holder) adoptVersion(now int64, w *wire.Word) *wire.Document {
	if w.Current == nil || !hashMatches(w.Current) || w.Current.Number != w.Number {
		if !h.needsCurrent {
			h.needsCurrent = true
			h.requestNow(now)
		}
		h.leaseUntil, h.leaseOptional = 0, false
		return nil
	}
	h.current, h.needsCurrent, h.leaseOptional = w.Current, false, false
	h.applyRegionPart()
	if h.pausedFor == 0 || w.Decided != h.pausedFor || !w.Committed {
		h.leaseUntil = 0
	}
	h.requestNow(now)
	return w.Current
}

// clearDecided ends the pause and the validation of attempts that are decided.
func (h *Holder) clearDecided(w *wire.Word) {
	if h.pausedFor != 0 && w.Decided >= h.pausedFor {
		h.pausedFor = 0
	}
	if h.validating != 0 && w.Decided >= h.validating {
		h.validating = 0
	}
}

// proposalToValidate returns the open proposal if it has to be validated. It returns nil if its
// validation was started or finished before, or if its document is missing or corrupt.
func (h *Holder) proposalToValidate(now int64, w *wire.Word) *wire.Proposal {
	if h.ready == w.Open || h.refused == w.Open || h.validating == w.Open {
		return nil
	}
	if w.Proposed == nil || !hashMatches(w.Proposed) {
		if !h.needsProposed {
			h.needsProposed = true
			h.requestNow(now)
		}
		return nil
	}
	h.needsProposed, h.validating = false, w.Open
	if h.cfg.Bugs.ReadyBeforeStaged {
		h.ready = w.Open
	}
	return &wire.Proposal{Attempt: w.Open, Document: w.Proposed}
}

// updatePause pauses queries if the leader requests it for the open proposal, and reports the pause
// to the leader at once.
func (h *Holder) updatePause(now int64, w *wire.Word) {
	if !w.Hold {
		return
	}
	if h.pausedFor != w.Open {
		h.pausedFor, h.pauseEnd = w.Open, now+h.cfg.MaxPause
		h.requestNow(now)
	} else if w.Nonce == 0 {
		h.requestNow(now) // a reminder: the leader has not received the report
	}
}

// acceptLease accepts a lease that answers the newest request. The lease starts when that request
// was sent.
func (h *Holder) acceptLease(now int64, w *wire.Word) {
	if w.Nonce != h.lastNonce || w.Lease <= 0 || w.Number != h.current.GetNumber() {
		return
	}
	h.leaseUntil, h.leaseOptional = max(h.leaseUntil, h.requestedAt+w.Lease), h.current.GetKeep()
	if h.quota != nil {
		h.quota.HandleGrant(h.requestedAt, w.Lease, w.Share)
	}
	if h.cfg.Bugs.LeaseFromArrival {
		h.leaseUntil = now + w.Lease
	}
}

// handleValidation records the host's result for a proposal: staged on disk, or the fault that made
// it invalid.
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
