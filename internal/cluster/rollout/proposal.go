package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
)

// Values of Answer.End.
const (
	endInForce = 1
	endAborted = 2
	endUnknown = 3 // this node does not lead, or can't be sure that it does
)

// reasonLeaderLost is the reason with which a new leader aborts a proposal that it finds open.
const reasonLeaderLost = "the leader was lost"

// isPausing reports whether queries are paused for the open proposal.
func (v *voter) isPausing() bool { return v.phase >= pausing }

// advance performs the leader's next steps of the open proposal and of a voter change. It does
// nothing at other voters.
func (v *voter) advance(now int64) {
	if !v.isActiveLeader() {
		return
	}
	v.startAttempt(now)
	if v.state.Change != nil {
		v.advanceVoterChange(now)
	}
	if !v.announced {
		v.announced = true
		v.broadcast(now, true)
	}
	if v.phase != idle && now-v.remindedAt >= v.cfg.HeartbeatInterval {
		v.remindedAt = now
		v.remind(now)
	}
	if v.follower != nil {
		v.followGlobal(now)
	}
	switch v.phase {
	case validating:
		v.validate(now)
	case pausing:
		v.awaitPause(now)
	}
}

// startAttempt resets the phase if another proposal, or none, is open now.
func (v *voter) startAttempt(now int64) {
	open := v.state.openAttempt()
	if open == v.attempt {
		return
	}
	v.attempt, v.phaseSince, v.announced = open, now, false
	v.phase, v.validated = validating, false
	switch {
	case open == 0:
		v.phase = idle
	case v.state.Open.Prepared:
		// The global agreement may rely on it: only its decision, or the end of the region's lease,
		// ends this phase.
		v.phase = prepared
	case open < v.termFirstIndex: // proposed under an earlier leader, whose records of the holders are lost
		v.proposeEnd(now, entryAbort, reasonLeaderLost)
	}
}

// validate performs the validating phase. A region reports to the global agreement as soon as all
// its gatherers have validated the proposal.
func (v *voter) validate(now int64) {
	before := v.validated
	v.validated = false
	if v.cfg.isGlobal {
		v.validateAtRegions(now)
	} else {
		v.validateAtHolders(now)
	}
	if v.follower != nil && v.validated && !before {
		v.follower.requestAt = now
	}
}

// mustAwait reports whether a change has to wait for a gatherer, because it may admit queries under
// the version in force: its lease may not have expired, or the version has the keep flag, under
// which only the gatherer's own report that it left releases the change.
func (v *voter) mustAwait(now int64, g *grantee) bool {
	return !g.left && (g.leaseUntil > now || v.state.Current.GetKeep() && !v.cfg.Bugs.IgnoreKeepFlag)
}

// validateAtHolders waits until every gatherer on the roster is ready or need not be awaited. One
// rejection aborts the proposal.
func (v *voter) validateAtHolders(now int64) {
	for _, m := range v.leaseRoster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt {
			v.proposeEnd(now, entryAbort, m.Name+": "+g.refusalReason)
			return
		}
		if g.ready == v.attempt || !v.mustAwait(now, g) {
			continue
		}
		elapsed := now - v.phaseSince
		overdue := elapsed > v.cfg.ValidationTimeout+v.cfg.Lease || v.absent[m.Name] && elapsed > v.cfg.ValidationTimeout
		if v.state.Current.GetKeep() && overdue {
			v.proposeEnd(now, entryAbort, fmt.Sprintf("%s is not there, and may go on under version %d, which keeps", m.Name, v.state.number()))
		}
		return
	}
	v.startPause(now)
}

// startPause begins the pausing phase, once all gatherers have validated the open proposal.
func (v *voter) startPause(now int64) {
	if !v.cfg.Bugs.SkipLeaseWait && v.leaseEndAtLatest(v.leaderSince) > now {
		return // an earlier leader may have granted leases to gatherers that are not on the roster now
	}
	if v.unlistedLease(now) != "" {
		return // a lease outlives removal from the roster
	}
	if v.state.Open.Dry {
		v.proposeEnd(now, entryAbort, "dry: every reachable gatherer accepts it")
		return
	}
	v.validated = true
	if v.follower != nil && !v.mayPause(now) {
		return // the other regions have to validate it too
	}
	v.phase, v.phaseSince = pausing, now
	v.broadcast(now, false)
}

// unlistedLease returns the name of a holder that was removed from the roster and whose lease may
// not have expired, or "". It deletes the records of removed holders whose lease has expired.
func (v *voter) unlistedLease(now int64) (name string) {
	for n, g := range v.grantees {
		switch {
		case v.leaseMember(n) != nil:
		case g.leaseUntil > now:
			name = max(name, n)
		default:
			delete(v.grantees, n)
		}
	}
	return name
}

// awaitPause waits until every gatherer has paused or need not be awaited, and then commits. It
// aborts after three quarters of MaxPause, because holders whose pause runs out reject queries
// until the log has decided.
func (v *voter) awaitPause(now int64) {
	awaited := v.unlistedLease(now)
	for _, m := range v.leaseRoster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt { // a late rejection still aborts the proposal
			v.proposeEnd(now, entryAbort, m.Name+": "+g.refusalReason)
			return
		}
		if g.paused != v.attempt && v.mustAwait(now, g) {
			awaited = m.Name
		}
	}
	switch {
	case awaited == "" && v.follower != nil && !v.isDecidedGlobally():
		v.proposePrepared(now)
	case awaited == "":
		v.proposeEnd(now, entryCommit, "")
	case now-v.phaseSince >= v.cfg.MaxPause*3/4:
		v.proposeEnd(now, entryAbort, awaited+" fell silent while queries were held")
	}
}

// proposeEnd proposes the commit or abort of the open proposal to the log. If the entry is lost,
// the next leader decides.
func (v *voter) proposeEnd(now int64, kind uint32, reason string) {
	e := &wire.Entry{Kind: kind, Attempt: v.attempt, Reason: reason}
	if v.cfg.isGlobal && kind == entryCommit {
		e.Parts = v.nextParts()
	}
	if v.follower != nil {
		v.completeRegionEnd(now, e)
	}
	if v.propose(e) != nil {
		return // retried by the next advance
	}
	v.phase, v.phaseSince = closing, now
	v.closingAborts, v.abortReason = kind == entryAbort, reason
	if v.cfg.Bugs.AbortAfterCommit && kind == entryCommit && v.rng.IntN(4) == 0 {
		_ = v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt}) // seeded fault; the entry may be lost
	}
}

// handleProposal handles an operator's proposal, or returns the state of the proposal with the same
// nonce.
func (v *voter) handleProposal(now int64, p *wire.Propose) *wire.Answer {
	a := &wire.Answer{Nonce: p.Nonce}
	if d := v.state.decision(p.Nonce); d != nil && v.isActiveLeader() {
		v.answerDecided(now, d, a)
		return a
	}
	switch {
	case !v.isActiveLeader():
		a.End, a.Leader = endUnknown, v.leader()
		return a
	case now-v.leaderHeardAt > v.cfg.ElectionTimeout: // this leader may be partitioned, and another voter may lead
		a.End = endUnknown
		return a
	case v.state.Open != nil && v.state.Open.Nonce == p.Nonce:
		return a
	case p.Abort:
		return v.abortByOperator(p, a)
	case v.cfg.isGlobal && p.Keep:
		a.End, a.Reason = endAborted, "the keep flag is not supported with regions: an isolated region keeps its version without it"
		return a
	case p.VoterAdd != "" || p.VoterRemove != "":
		return v.proposeVoterChange(now, p, a)
	}
	e := &wire.Entry{Kind: entryPropose, Document: NewDocument(0, p.Text), Base: p.Base, By: p.By, Nonce: p.Nonce, Dry: p.Dry, Keep: p.Keep}
	if len(p.Add)+len(p.Remove) > 0 {
		e = &wire.Entry{Kind: entryRoster, Add: p.Add, Remove: p.Remove, Nonce: p.Nonce, By: p.By, Gone: p.Gone}
	}
	if err := v.propose(e); err != nil {
		a.End, a.Reason = endUnknown, err.Error()
	}
	return a
}

// answerDecided fills in the answer to a decided proposal.
func (v *voter) answerDecided(now int64, d *wire.Decision, a *wire.Answer) {
	a.End, a.Reason, a.Number = endAborted, d.Reason, d.Number
	if !d.Committed {
		return
	}
	a.End = endInForce
	if v.cfg.isGlobal && d.What == "" {
		v.reportRegions(now, d.Number, a)
	}
}

// abortByOperator aborts the open proposal if no queries are paused for it yet. Once they are, the
// proposal is decided soon anyway.
func (v *voter) abortByOperator(p *wire.Propose, a *wire.Answer) *wire.Answer {
	if v.state.Open == nil || v.phase != validating || v.state.Open.Document.Number != p.Base {
		a.End, a.Reason = endAborted, fmt.Sprintf("no proposal of version %d is being validated", p.Base)
		return a
	}
	if v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt, Reason: "aborted by " + p.By}) != nil {
		a.End = endUnknown
		return a
	}
	v.phase, a.End = closing, endInForce
	return a
}
