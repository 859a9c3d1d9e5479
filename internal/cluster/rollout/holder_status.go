package rollout

import "saffronquay/internal/cluster/rollout/wire"

// handleStatus handles a voter's status. It returns what the host has to do: validate and stage a proposal, put a document in force.
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
		return nil, nil // a newer one was handled before
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
	h.forgetDecided(w)
	if w.Open != 0 {
		validate = h.takeProposal(now, w)
		h.updatePause(now, w)
	}
	h.takeLease(now, w)
	return validate, install
}

// handleRedirect turns to the leader that a voter without leadership names.
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

// adoptVersion adopts a newer version; nil: its document is missing. The version here is over in any case, and with it the lease, unless this holder
// paused for the new one: otherwise only a new lease shows that no later version followed.
func (h *Holder) adoptVersion(now int64, w *wire.Word) *wire.Document {
	if w.Current == nil || !hashMatches(w.Current) || w.Current.Number != w.Number {
		if !h.needsCurrent {
			h.needsCurrent = true
			h.requestNow(now)
		}
		h.leaseUntil, h.keepsVersion = 0, false
		return nil
	}
	h.current, h.needsCurrent, h.keepsVersion = w.Current, false, false
	h.applyRegionPart()
	if h.pausedFor == 0 || w.Decided != h.pausedFor || !w.Committed {
		h.leaseUntil = 0
	}
	h.requestNow(now)
	return w.Current
}

// forgetDecided ends pause and validation of what has been decided.
func (h *Holder) forgetDecided(w *wire.Word) {
	if h.pausedFor != 0 && w.Decided >= h.pausedFor {
		h.pausedFor = 0
	}
	if h.validating != 0 && w.Decided >= h.validating {
		h.validating = 0
	}
}

// takeProposal returns the open proposal where it has to be validated; nil: it has been, or its document is missing.
func (h *Holder) takeProposal(now int64, w *wire.Word) *wire.Proposal {
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

// updatePause begins to pause queries where the leader wants that for the open proposal, and reports it.
func (h *Holder) updatePause(now int64, w *wire.Word) {
	if !w.Hold {
		return
	}
	if h.pausedFor != w.Open {
		h.pausedFor, h.pauseEnd = w.Open, now+h.cfg.MaxPause
		h.requestNow(now)
	} else if w.Nonce == 0 {
		h.requestNow(now) // the leader has not received the report
	}
}

// takeLease takes a lease that answers the newest request. It counts from when that was sent.
func (h *Holder) takeLease(now int64, w *wire.Word) {
	if w.Nonce != h.lastNonce || w.Lease <= 0 || w.Number != h.current.GetNumber() {
		return
	}
	h.leaseUntil, h.keepsVersion = max(h.leaseUntil, h.requestedAt+w.Lease), h.current.GetKeep()
	if h.quota != nil {
		h.quota.HandleGrant(h.requestedAt, w.Lease, w.Share)
	}
	if h.cfg.Bugs.LeaseFromArrival {
		h.leaseUntil = now + w.Lease
	}
}

// handleValidation takes the host's result for a proposal: staged on its disk, or why not.
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
