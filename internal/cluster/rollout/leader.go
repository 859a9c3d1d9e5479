package rollout

import (
	"fmt"
	"math"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// lead follows raft's role.
func (v *voter) updateLeadership(now int64, s *raft.SoftState) {
	if s == nil {
		return
	}
	status := v.raftNode.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	if leads && (!v.isLeader || status.HardState.GetTerm() != v.term) {
		last, _ := v.storage.LastIndex()
		v.isLeader, v.term, v.leaderSince, v.leaderHeardAt = true, status.HardState.GetTerm(), now, now
		v.termFirstIndex = last // its own first entry came with its election
		v.grantees, v.readBatches, v.unconfirmed, v.phase, v.attempt = map[string]*grantee{}, map[uint64][]leaseRequest{}, nil, idle, 0
		v.changeIndex, v.followIndex, v.syncedGlobalRoster = 0, 0, 0
		clear(v.globalPeers)
		if v.follower != nil {
			v.follower.startLeading(now, now+v.cfg.RegionLease+int64(math.Ceil(2*v.cfg.Drift*float64(v.cfg.RegionLease))))
		}
		v.quotaAllocator = nil
		if v.quotaHolder != nil {
			v.quotaAllocator = quota.NewAllocator(v.term, v.leaseEndAtLatest(now), v.cfg.Bugs.Quota)
		}
	} else if !leads && v.isLeader {
		v.isLeader = false
		v.scheduleCampaign(now)
	}
}

// surely is when a lease that was asked for by now is over, by this clock, whatever the holder's does.
func (v *voter) leaseEndAtLatest(now int64) int64 {
	return now + v.cfg.Lease + int64(math.Ceil(2*v.cfg.Drift*float64(v.cfg.Lease)))
}

func (v *voter) grantee(name string) *grantee {
	g := v.grantees[name]
	if g == nil {
		g = &grantee{leaseUntil: v.leaseEndAtLatest(v.leaderSince)}
		if v.cfg.Bugs.SkipLeaseWait {
			g.leaseUntil = 0
		}
		v.grantees[name] = g
	}
	return g
}

// asked takes a holder's word in, where this one leads. It is answered once leadership is confirmed after it.
func (v *voter) handleLeaseRequest(now int64, from string, identity uint64, a *wire.Ask) {
	var g *grantee
	if !v.cfg.isGlobal {
		g = v.grantee(from)
	} else if g = v.recordRegionRequest(now, from, identity, a); g == nil {
		return
	}
	if !a.Apart {
		g.seenAt = now
	}
	if a.Number == g.number || a.Number > g.number {
		g.number = a.Number
	}
	g.identity = identity
	if g.left = a.Leaves; g.left { // it has said so itself: nothing that it was given is used any more
		g.leaseUntil = min(g.leaseUntil, now)
		v.advance(now)
		return
	}
	g.ready, g.paused = max(g.ready, a.Ready), max(g.paused, a.Held)
	if a.Refused > g.refused {
		g.refused, g.refusalReason = a.Refused, a.Reason
	}
	v.unconfirmed = append(v.unconfirmed, leaseRequest{from, a, now})
	if len(v.readBatches) < 8 {
		v.confirmLeadership()
	}
	v.advance(now)
}

// confirmed answers the asks that came before a round which has shown that this one leads.
func (v *voter) handleConfirmed(now int64, round uint64) {
	if !v.isLeader {
		return
	}
	v.leaderHeardAt = now
	for r, batch := range v.readBatches {
		if r > round {
			continue
		}
		delete(v.readBatches, r)
		for _, w := range batch {
			if w.request == nil {
				v.sendGlobalRequest(now, w.receivedAt)
			} else {
				v.answerLeaseRequest(now, w)
			}
		}
	}
}

// grant answers one ask.
func (v *voter) answerLeaseRequest(now int64, w leaseRequest) {
	word := v.status(now, w.request)
	if v.cfg.isGlobal {
		g := v.grantee(w.request.Region)
		if word.Refusal = v.regionRefusal(now, g, w.request); word.Refusal == "" {
			word.Lease = v.cfg.Lease
			g.leaseUntil = max(g.leaseUntil, v.leaseEndAtLatest(w.receivedAt))
		}
		v.outbox = append(v.outbox, &wire.Message{From: v.name, To: w.sender, Word: word})
		return
	}
	g := v.grantee(w.sender)
	if g.left { // it said so after this ask, and uses nothing that it is given: whoever comes under its name asks anew
		return
	}
	switch {
	case v.leaseMember(w.sender) == nil:
		word.Refusal = "it is not on the roster"
	case w.request.Number != v.state.number():
		word.Refusal = "it has another version" // the word has it whole
	case v.phase == validating && now-v.phaseSince > v.cfg.ValidationTimeout && g.ready != v.attempt && g.refused != v.attempt:
		word.Refusal = "it has not judged the open proposal"
	case v.isPausing() && g.ready != v.attempt:
		word.Refusal = "a change is being put in force"
	default:
		word.Lease = v.cfg.Lease
		g.leaseUntil = max(g.leaseUntil, v.leaseEndAtLatest(w.receivedAt))
		word.Share = v.grantQuota(now, w)
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: w.sender, Word: word})
}

// share is what goes with a lease: parts of budgets.
func (v *voter) grantQuota(now int64, w leaseRequest) []byte {
	if v.quotaAllocator == nil {
		return nil
	}
	if v.holderNamesIndex != v.state.MembersIndex {
		v.holderNamesIndex, v.holderNames = v.state.MembersIndex, nil
		for _, m := range v.leaseRoster() {
			v.holderNames = append(v.holderNames, m.Name)
		}
	}
	v.quotaAllocator.SetSlots(v.quotaHolder.Slots())
	return v.quotaAllocator.Grant(now, v.leaseEndAtLatest(w.receivedAt), w.sender, w.request.Share, v.holderNames)
}

// word is how everything stands, for one who asks, or for all.
func (v *voter) status(now int64, a *wire.Ask) *wire.Word {
	w := &wire.Word{
		Leader: v.name, Index: v.applied, Number: v.state.number(), Decided: v.state.Decided, Committed: v.state.Committed, Open: v.state.openAttempt(),
		Hold: v.isPausing() && v.attempt == v.state.openAttempt() && v.attempt != 0,
	}
	if v.cfg.isGlobal {
		w.CurrentAttempt, w.Parts = v.state.CurrentAttempt, v.cfg.partsOf(v.state.Current)
	}
	if v.follower != nil {
		w.Standing = v.regionStanding(now)
	}
	if a == nil {
		return w
	}
	w.Nonce = a.Nonce
	if a.MembersIndex < v.state.MembersIndex {
		w.Members, w.MembersIndex = v.state.Members, v.state.MembersIndex
	}
	if a.Number != v.state.number() && (a.Want || !v.cfg.isGlobal) {
		w.Current = v.state.Current
	}
	if w.Open != 0 && (a.Judge || !v.cfg.isGlobal) && a.Ready != w.Open && a.Refused != w.Open {
		w.Proposed = v.state.Open.Document
	}
	return w
}

// tell sends everybody a word without an ask: who has something to do asks at once.
func (v *voter) broadcast(now int64, whole bool) {
	for _, m := range v.leaseRoster() {
		w := v.status(now, nil)
		if g := v.grantees[m.Name]; whole && g != nil {
			if w.Open != 0 && g.ready != w.Open {
				w.Proposed = v.state.Open.Document
			}
			if g.number != w.Number && !(v.cfg.isGlobal && g.paused == w.CurrentAttempt) {
				w.Current = v.state.Current
			}
		}
		v.sendTo(m.Name, w)
	}
}

// propose puts an entry into the log.
func (v *voter) propose(e *wire.Entry) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.raftNode.Propose(b)
}

// drive takes the open proposal forward, where this one leads.
func (v *voter) advance(now int64) {
	if !v.isLeader || v.applied < v.termFirstIndex {
		return
	}
	open := v.state.openAttempt()
	if open != v.attempt {
		v.attempt, v.phaseSince, v.announced = open, now, false
		if v.phase, v.validated = validating, false; open == 0 {
			v.phase = idle
		} else if v.state.Open.Prepared {
			v.phase = prepared // others may count on it: only the global agreement's end, or that of the region's lease, lets it go on
		} else if open < v.termFirstIndex { // of a leader before this one: what that one's holders know is not known
			v.proposeEnd(now, entryAbort, reasonLeaderLost)
		}
	}
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
		was := v.validated
		v.validated = false
		if v.cfg.isGlobal {
			v.validateAtRegions(now)
		} else {
			v.validateAtHolders(now)
		}
		if v.follower != nil && v.validated && !was {
			v.follower.requestAt = now
		}
	case pausing:
		v.awaitPause(now)
	}
}

// press tells those once more that have not done yet what the open proposal wants of them: words get lost.
func (v *voter) remind(now int64) {
	for _, m := range v.leaseRoster() {
		g := v.grantees[m.Name]
		if g == nil || v.phase >= closing {
			continue
		}
		w := v.status(now, nil)
		if v.phase == validating && !v.cfg.isGlobal && g.ready != v.attempt && g.refused != v.attempt {
			w.Proposed = v.state.Open.Document
		} else if v.phase != pausing || g.paused == v.attempt {
			continue
		}
		v.sendTo(m.Name, w)
	}
}

// waited tells that a gatherer has to be waited for, since it may let queries in under the version in force: its lease may not be over, or
// that version has no end there without its own word.
func (v *voter) mustAwait(now int64, g *grantee) bool {
	return !g.left && (g.leaseUntil > now || v.state.Current.GetKeep() && !v.cfg.Bugs.ExpireKeepers)
}

// judgeAll waits until everybody on the roster is ready, or is not to be waited for; one that says no ends it.
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
		if v.state.Current.GetKeep() && (now-v.phaseSince > v.cfg.ValidationTimeout+v.cfg.Lease || v.absent[m.Name] && now-v.phaseSince > v.cfg.ValidationTimeout) {
			v.proposeEnd(now, entryAbort, fmt.Sprintf("%s is not there, and may go on under version %d, which keeps", m.Name, v.state.number()))
		}
		return
	}
	v.startPause(now)
}

// judgedAll has queries held, where all have judged the open proposal.
func (v *voter) startPause(now int64) {
	if !v.cfg.Bugs.SkipLeaseWait && v.leaseEndAtLatest(v.leaderSince) > now {
		return // a leader before this one may have given leases to others than are on the roster now
	}
	if v.unlistedLease(now) != "" {
		return // nor is it enough to be taken off the roster
	}
	if v.state.Open.Dry {
		v.proposeEnd(now, entryAbort, "dry: everybody who is there would take it")
		return
	}
	v.validated = true
	if v.follower != nil && !v.mayPause(now) {
		return // the other regions judge it as well
	}
	v.phase, v.phaseSince = pausing, now
	v.broadcast(now, false)
}

// unlisted names one who was taken off the roster, and whose lease may not be over; empty: nobody. Those whose is are forgotten.
func (v *voter) unlistedLease(now int64) (who string) {
	for name, g := range v.grantees {
		switch {
		case v.leaseMember(name) != nil:
		case g.leaseUntil > now:
			who = max(who, name)
		default:
			delete(v.grantees, name)
		}
	}
	return who
}

// holdAll waits until everybody holds, or is not to be waited for; where the moment runs out that is decided in the log.
func (v *voter) awaitPause(now int64) {
	silent := v.unlistedLease(now)
	for _, m := range v.leaseRoster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt { // its word was late: it is in force nowhere all the same
			v.proposeEnd(now, entryAbort, m.Name+": "+g.refusalReason)
			return
		}
		if g.paused != v.attempt && v.mustAwait(now, g) {
			silent = m.Name
		}
	}
	switch {
	case silent == "" && v.follower != nil && !v.isDecidedGlobally():
		v.proposePrepared(now)
	case silent == "":
		v.proposeEnd(now, entryCommit, "")
	case now-v.phaseSince >= v.cfg.MaxPause*3/4:
		v.proposeEnd(now, entryAbort, silent+" fell silent while queries were held")
	}
}

// leaderLost is why a proposal is aborted that a new leader finds open.
const reasonLeaderLost = "the leader was lost"

// holds tells that the open proposal has come so far that queries are held for it.
func (v *voter) isPausing() bool { return v.phase >= pausing }

// say sends a word without an ask; to a region it goes by whoever asked for it last.
func (v *voter) sendTo(to string, w *wire.Word) {
	if v.cfg.isGlobal {
		if to = v.grantee(to).lastSender; to == "" {
			return
		}
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: to, Word: w})
}

// close has the end of the open proposal decided in the log. Where it is lost on the way the next leader decides.
func (v *voter) proposeEnd(now int64, kind uint32, reason string) {
	e := &wire.Entry{Kind: kind, Attempt: v.attempt, Reason: reason}
	if v.cfg.isGlobal && kind == entryCommit {
		e.Parts = v.nextParts()
	}
	if v.follower != nil {
		v.completeRegionEnd(now, e)
	}
	if v.propose(e) == nil {
		v.phase, v.phaseSince = closing, now
		v.closingAborts, v.abortReason = kind == entryAbort, reason
		if v.cfg.Bugs.AbortAfterCommit && kind == entryCommit && v.rng.IntN(4) == 0 {
			v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt})
		}
	}
}

// proposed takes an operator's proposal, or tells how it stands.
func (v *voter) handleProposal(now int64, p *wire.Propose) *wire.Answer {
	a := &wire.Answer{Nonce: p.Nonce}
	if d := v.state.decision(p.Nonce); d != nil && v.isLeader && v.applied >= v.termFirstIndex {
		a.End, a.Reason, a.Number = 2, d.Reason, d.Number
		if d.Committed {
			if a.End = 1; v.cfg.isGlobal && d.What == "" {
				v.reportRegions(now, d.Number, a)
			}
		}
		return a
	}
	switch {
	case !v.isLeader || v.applied < v.termFirstIndex:
		a.End, a.Leader = 3, v.leader()
		return a
	case now-v.leaderHeardAt > v.cfg.ElectionTimeout: // it may be cut off, and another one lead
		a.End = 3
		return a
	}
	if v.state.Open != nil && v.state.Open.Nonce == p.Nonce {
		return a
	}
	if p.Abort {
		return v.abortByOperator(p, a)
	}
	if v.cfg.isGlobal && p.Keep {
		a.End, a.Reason = 2, "a version that keeps is not for regions: they go on by themselves"
		return a
	}
	if p.VoterAdd != "" || p.VoterRemove != "" {
		return v.proposeVoterChange(now, p, a)
	}
	e := &wire.Entry{Kind: entryPropose, Document: NewDocument(0, p.Text), Base: p.Base, By: p.By, Nonce: p.Nonce, Dry: p.Dry, Keep: p.Keep}
	if len(p.Add)+len(p.Remove) > 0 {
		e = &wire.Entry{Kind: entryRoster, Add: p.Add, Remove: p.Remove, Nonce: p.Nonce, By: p.By, Gone: p.Gone}
	}
	if err := v.propose(e); err != nil {
		a.End, a.Reason = 3, err.Error()
	}
	return a
}

// giveUp has the open proposal aborted by an operator's word, as long as nobody holds queries for it: from then on the log decides soon.
func (v *voter) abortByOperator(p *wire.Propose, a *wire.Answer) *wire.Answer {
	switch a.End = 2; {
	case v.state.Open == nil || v.phase != validating || v.state.Open.Document.Number != p.Base:
		a.Reason = fmt.Sprintf("no proposal of version %d is being judged", p.Base)
	case v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt, Reason: "given up by " + p.By}) != nil:
		a.End = 3
	default:
		v.phase, a.End = closing, 1
	}
	return a
}
