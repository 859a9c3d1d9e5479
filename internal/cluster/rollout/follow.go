package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"
)

// askGlobal asks the global agreement for the region's lease, once the region's voters have confirmed that this one leads them.
func (v *voter) requestGlobalLease(now int64) {
	f := v.follower
	f.requestAt = now + f.cfg.RegionLease/4 + f.rng.Int64N(f.cfg.RegionLease/16+1)
	if v.applied < v.termFirstIndex {
		return
	}
	v.unconfirmed = append(v.unconfirmed, leaseRequest{receivedAt: now})
	if len(v.readBatches) < 8 {
		v.confirmLeadership()
	}
}

// standGlobal words how the region stands, as its log has it: held is said only once the log says that all hold.
func (v *voter) sendGlobalRequest(now, from int64) {
	f, s := v.follower, &v.state
	a := &wire.Ask{
		Number: s.number(), Refused: s.GlobalRefused, Reason: s.GlobalReason, Want: f.needsCurrent(s.number()), Judge: f.needsProposed(),
		Apart: now >= f.leaseUntil && now-f.heardAt >= f.cfg.RegionLease,
	}
	if p := s.Open; p != nil && !p.Decided {
		switch {
		case v.phase == closing && v.closingAborts: // from here on the region goes on without it
			a.Refused, a.Reason = p.Global, v.abortReason
		case v.phase == validating && !v.validated:
		default:
			a.Ready = p.Global
			if p.Prepared || v.cfg.Bugs.PausedBeforeLogged && v.phase == prepared {
				a.Held = p.Global
			}
		}
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: f.prepareRequest(from, a), Ask: a, Global: true})
}

// standing is how the region stands, for its gatherers.
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

// decided tells that what the region's open proposal follows is in force elsewhere.
func (v *voter) isDecidedGlobally() bool {
	p := v.state.Open
	return p.GetDecided() || p != nil && v.follower.currentAttempt == p.Global
}

// mayHold tells that queries may be held for the open proposal: it is decided, or the global agreement wants it and the region has a lease.
func (v *voter) mayPause(now int64) bool {
	f := v.follower
	return v.isDecidedGlobally() || f.openAttempt == v.state.Open.GetGlobal() && f.pause && now < f.leaseUntil
}

// follow takes the region along with the global agreement, where this one leads the region. A region that has lost its lease goes on by
// itself, under the version that it has: what it held for is given up in its own log. What is in force elsewhere and not here is put in
// force by a change of the region's own.
func (v *voter) followGlobal(now int64) {
	f, s := v.follower, &v.state
	if now < f.leaseUntil {
		f.lostAt = now
	} else if f.lostAt < f.leaseUntil {
		f.lostAt = f.leaseUntil
	}
	if f.number > s.number() && !(s.Open != nil && v.isDecidedGlobally()) {
		f.leaseUntil = min(f.leaseUntil, now) // elsewhere the version here is over
	}
	if p := s.Open; p != nil {
		decided := v.isDecidedGlobally()
		aborted := !decided && f.decidedAttempt >= p.Global
		if v.phase == preparing && p.Prepared {
			v.phase, f.requestAt = prepared, now
		}
		switch v.phase {
		case validating, pausing:
			switch {
			case aborted:
				v.proposeEnd(now, entryAbort, "it was given up")
			case !decided && now >= f.leaseUntil && (v.phase == pausing || now-f.heardAt >= f.cfg.RegionLease):
				v.proposeEnd(now, entryAbort, "the region was cut off")
			}
		case prepared:
			switch {
			case decided:
				v.proposeEnd(now, entryCommit, "")
			case aborted:
				v.proposeEnd(now, entryAbort, "it was given up")
			case now >= max(f.leaseUntil, f.previousLeaseUntil):
				v.proposeEnd(now, entryAbort, "the region was cut off")
			}
		}
		return
	}
	if v.followIndex > v.applied && now-v.followedAt < v.cfg.ElectionTimeout {
		return // on its way through the log
	}
	switch newer := f.number > s.number() && f.current.GetNumber() == f.number; {
	case v.syncRoster(now):
	case newer && !(f.failedAttempt == f.currentAttempt && now < f.retryAt):
		v.proposeFollow(now, &wire.Entry{Kind: entryFollow, Document: f.current, Global: f.currentAttempt, Decided: true, By: "the global agreement"})
	case f.openAttempt != 0 && f.proposedAttempt == f.openAttempt && f.openAttempt > f.decidedAttempt && f.openAttempt != s.GlobalRefused:
		v.proposeFollow(now, &wire.Entry{Kind: entryFollow, Document: f.proposed, Global: f.openAttempt, By: "the global agreement"})
	}
}

// begin puts an entry into the log, one at a time.
func (v *voter) proposeFollow(now int64, e *wire.Entry) {
	if v.propose(e) == nil {
		last, _ := v.storage.LastIndex()
		v.followIndex, v.followedAt = last+1, now
	}
}

// followRoster puts into the region's log where the roster differs from the global agreement's. Who votes here stays on it until its vote is taken.
func (v *voter) syncRoster(now int64) bool {
	f, s := v.follower, &v.state
	if f.membersIndex == 0 || f.membersIndex == v.syncedGlobalRoster && s.MembersIndex == v.syncedRoster {
		return false
	}
	e := &wire.Entry{Kind: entryRoster, By: "the global agreement", Nonce: v.rng.Uint64() | 1}
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

// prepare has the region's log say that all hold. Told before that, a leader after this one would not know what it has promised.
func (v *voter) proposePrepared(now int64) {
	if v.cfg.Bugs.PausedBeforeLogged {
		v.phase, v.follower.requestAt = prepared, now
		return
	}
	if v.propose(&wire.Entry{Kind: entryPrepared, Attempt: v.attempt}) == nil {
		v.phase, v.phaseSince = preparing, now
	}
}

// closeRegion fills in the end of what the region follows. An abort takes back what was said above: no lease that was asked for before counts.
func (v *voter) completeRegionEnd(now int64, e *wire.Entry) {
	f, p := v.follower, v.state.Open
	switch {
	case e.Kind == entryCommit && !p.Decided:
		e.Parts = f.parts
	case e.Kind == entryAbort && p.Decided && e.Reason != reasonLeaderLost:
		f.failedAttempt, f.failureReason, f.retryAt = p.Global, e.Reason, now+v.cfg.Lease/2
	case e.Kind == entryAbort:
		clear(f.pending)
	}
}

// roster is who may have a lease: everybody, those of the region or, in the global agreement, the regions.
func (v *voter) leaseRoster() []*wire.Member {
	if !v.cfg.isGlobal && v.cfg.Region == "" {
		return v.state.Members
	}
	if v.rosterCache != nil && v.rosterCacheIndex == v.state.MembersIndex {
		return v.rosterCache
	}
	v.rosterCache, v.rosterCacheIndex = nil, v.state.MembersIndex
	for _, r := range v.state.Regions {
		v.rosterCache = append(v.rosterCache, &wire.Member{Name: r})
	}
	for _, m := range v.state.Members {
		if !v.cfg.isGlobal && m.Region == v.cfg.Region {
			v.rosterCache = append(v.rosterCache, m)
		}
	}
	return v.rosterCache
}

// listed is one that may have a lease; nil: it may not.
func (v *voter) leaseMember(name string) *wire.Member { return findMember(v.leaseRoster(), name) }
