package rollout

import "saffronquay/internal/cluster/rollout/wire"

// Proposer and reasons recorded in a region's log for proposals that follow the global agreement.
const (
	globalProposer          = "the global agreement"
	reasonAbortedGlobally   = "it was given up"
	reasonRegionIsolated    = "the region was cut off"
	followRetryLeaseDivisor = 2 // a version that failed here is retried after a gatherer's lease divided by this
)

// requestGlobalLease requests the region's lease from the global agreement, once the region's
// voters have confirmed that this voter leads them.
func (v *voter) requestGlobalLease(now int64) {
	f := v.follower
	f.requestAt = now + withJitter(f.rng, f.cfg.RegionLease/4, f.cfg.RegionLease/16)
	if v.applied < v.termFirstIndex {
		return
	}
	v.awaitConfirmation(leaseRequest{receivedAt: now})
}

// sendGlobalRequest requests the region's lease and reports the region's state. That the region has
// paused is reported only once its log records it. A lease granted in answer starts at the given
// time.
func (v *voter) sendGlobalRequest(now, from int64) {
	f, s := v.follower, &v.state
	request := &wire.Ask{
		Number: s.number(), Refused: s.GlobalRefused, Reason: s.GlobalReason, Want: f.needsCurrent(s.number()), Judge: f.needsProposed(),
		Apart: now >= f.leaseUntil && now-f.heardAt >= f.cfg.RegionLease,
	}
	if p := s.Open; p != nil && !p.Decided {
		switch {
		case v.phase == closing && v.closingAborts: // the region's log has an abort under way
			request.Refused, request.Reason = p.Global, v.abortReason
		case v.phase == validating && !v.validated:
		default:
			request.Ready = p.Global
			if p.Prepared || v.cfg.Bugs.PausedBeforeLogged && v.phase == prepared {
				request.Held = p.Global
			}
		}
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: f.prepareRequest(from, request), Ask: request, Global: true})
}

// regionStanding returns the status of the region that its gatherers get.
func (v *voter) regionStanding(now int64) *wire.Standing {
	f := v.follower
	s := &wire.Standing{Newest: max(f.number, v.state.number())}
	if now >= f.leaseUntil {
		s.Apart = max(1, now-f.lostAt)
	}
	if f.number > v.state.number() && f.failedAttempt == f.currentAttempt {
		s.Reason = f.failureReason
	}
	return s
}

// isDecidedGlobally reports whether the version that the region's open proposal follows is
// committed by the global agreement.
func (v *voter) isDecidedGlobally() bool {
	p := v.state.Open
	return p.GetDecided() || p != nil && v.follower.currentAttempt == p.Global
}

// mayPause reports whether queries may be paused for the open proposal: it is decided globally, or
// the global agreement requests the pause and the region has a lease.
func (v *voter) mayPause(now int64) bool {
	f := v.follower
	return v.isDecidedGlobally() || f.openAttempt == v.state.Open.GetGlobal() && f.pause && now < f.leaseUntil
}

// followGlobal makes the region follow the global agreement; it is called at the region's leader. A
// region that has lost its lease keeps its version, and its own log ends the pause for an undecided
// proposal. A version that is in force globally and not here is put in force by a change of the
// region's own.
func (v *voter) followGlobal(now int64) {
	v.updateRegionLease(now)
	if v.state.Open != nil {
		v.followOpen(now)
		return
	}
	if v.followIndex > v.applied && now-v.followedAt < v.cfg.ElectionTimeout {
		return // the last entry is not applied yet
	}
	f, s := v.follower, &v.state
	newer := f.number > s.number() && f.current.GetNumber() == f.number
	switch {
	case v.syncRoster(now):
	case newer && !(f.failedAttempt == f.currentAttempt && now < f.retryAt):
		v.proposeFollow(now, &wire.Entry{Kind: entryFollow, Document: f.current, Global: f.currentAttempt, Decided: true, By: globalProposer})
	case f.openAttempt != 0 && f.proposedAttempt == f.openAttempt && f.openAttempt > f.decidedAttempt && f.openAttempt != s.GlobalRefused:
		v.proposeFollow(now, &wire.Entry{Kind: entryFollow, Document: f.proposed, Global: f.openAttempt, By: globalProposer})
	}
}

// updateRegionLease records since when the region has no lease, and ends the lease if a newer
// version is in force globally that the region is not about to commit.
func (v *voter) updateRegionLease(now int64) {
	f, s := v.follower, &v.state
	if now < f.leaseUntil {
		f.lostAt = now
	} else if f.lostAt < f.leaseUntil {
		f.lostAt = f.leaseUntil
	}
	if f.number > s.number() && !(s.Open != nil && v.isDecidedGlobally()) {
		f.leaseUntil = min(f.leaseUntil, now)
	}
}

// followOpen commits or aborts the open proposal once the global agreement has decided it, and
// aborts it if the region has lost its lease.
func (v *voter) followOpen(now int64) {
	f, p := v.follower, v.state.Open
	decided := v.isDecidedGlobally()
	aborted := !decided && f.decidedAttempt >= p.Global
	if v.phase == preparing && p.Prepared {
		v.phase, f.requestAt = prepared, now
	}
	switch v.phase {
	case validating, pausing:
		isolated := !decided && now >= f.leaseUntil && (v.phase == pausing || now-f.heardAt >= f.cfg.RegionLease)
		if aborted {
			v.proposeEnd(now, entryAbort, reasonAbortedGlobally)
		} else if isolated {
			v.proposeEnd(now, entryAbort, reasonRegionIsolated)
		}
	case prepared:
		switch {
		case decided:
			v.proposeEnd(now, entryCommit, "")
		case aborted:
			v.proposeEnd(now, entryAbort, reasonAbortedGlobally)
		case now >= max(f.leaseUntil, f.previousLeaseUntil):
			v.proposeEnd(now, entryAbort, reasonRegionIsolated)
		}
	}
}

// proposeFollow proposes an entry that follows the global agreement, and records its index: the
// next one waits until it is applied.
func (v *voter) proposeFollow(now int64, e *wire.Entry) {
	if v.propose(e) == nil {
		last, _ := v.storage.LastIndex() // memory storage has no errors here
		v.followIndex, v.followedAt = last+1, now
	}
}

// syncRoster proposes the changes that bring the region's roster in line with the global
// agreement's, and reports whether it proposed any. A voter of the region stays on the roster until
// its vote is removed.
func (v *voter) syncRoster(now int64) bool {
	f, s := v.follower, &v.state
	if f.membersIndex == 0 || f.membersIndex == v.syncedGlobalRoster && s.MembersIndex == v.syncedRoster {
		return false
	}
	e := &wire.Entry{Kind: entryRoster, By: globalProposer, Nonce: v.rng.Uint64() | 1}
	for _, m := range f.members {
		if was := s.member(m.Name); was == nil || was.Address != m.Address || was.Region != m.Region || was.Global != (m.Id != 0) {
			e.Add = append(e.Add, &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Id != 0})
		}
	}
	for _, m := range s.Members {
		if m.Id == 0 && findMember(f.members, m.Name) == nil && s.Change.GetAdd().GetName() != m.Name {
			e.Remove = append(e.Remove, m.Name)
		}
	}
	if len(e.Add)+len(e.Remove) == 0 {
		v.syncedGlobalRoster, v.syncedRoster = f.membersIndex, s.MembersIndex
		return false
	}
	v.proposeFollow(now, e)
	return true
}

// proposePrepared records in the region's log that all gatherers have paused. If the region
// reported that first, its next leader might not know that the region is prepared.
func (v *voter) proposePrepared(now int64) {
	if v.cfg.Bugs.PausedBeforeLogged {
		v.phase, v.follower.requestAt = prepared, now
		return
	}
	if v.propose(&wire.Entry{Kind: entryPrepared, Attempt: v.attempt}) == nil {
		v.phase, v.phaseSince = preparing, now
	}
}

// completeRegionEnd completes the entry that ends a proposal followed by the region. An abort
// withdraws what was reported for the proposal, so a lease that was requested before must not
// count.
func (v *voter) completeRegionEnd(now int64, e *wire.Entry) {
	f, p := v.follower, v.state.Open
	switch {
	case e.Kind == entryCommit && !p.Decided:
		e.Parts = f.parts
	case e.Kind == entryAbort && p.Decided && e.Reason != reasonLeaderLost:
		f.failedAttempt, f.failureReason, f.retryAt = p.Global, e.Reason, now+v.cfg.Lease/followRetryLeaseDivisor
	case e.Kind == entryAbort:
		clear(f.pending)
	}
}
