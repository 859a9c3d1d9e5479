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
func (v *voter) lead(now int64, s *raft.SoftState) {
	if s == nil {
		return
	}
	status := v.node.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	if leads && (!v.leads || status.HardState.GetTerm() != v.term) {
		last, _ := v.storage.LastIndex()
		v.leads, v.term, v.since, v.heard = true, status.HardState.GetTerm(), now, now
		v.opened = last // its own first entry came with its election
		v.lease, v.batches, v.waiting, v.phase, v.attempt = map[string]*grantee{}, map[uint64][]waiter{}, nil, idle, 0
		v.changing, v.following, v.rosterOf = 0, 0, 0
		clear(v.known)
		if v.up != nil {
			v.up.lead(now, now+v.cfg.RegionLease+int64(math.Ceil(2*v.cfg.Drift*float64(v.cfg.RegionLease))))
		}
		v.books = nil
		if v.parts != nil {
			v.books = quota.NewAllocator(v.term, v.surely(now), v.cfg.Bugs.Share)
		}
	} else if !leads && v.leads {
		v.leads = false
		v.stand(now)
	}
}

// surely is when a lease that was asked for by now is over, by this clock, whatever the holder's does.
func (v *voter) surely(now int64) int64 {
	return now + v.cfg.Lease + int64(math.Ceil(2*v.cfg.Drift*float64(v.cfg.Lease)))
}

func (v *voter) grantee(name string) *grantee {
	g := v.lease[name]
	if g == nil {
		g = &grantee{until: v.surely(v.since)}
		if v.cfg.Bugs.NoWait {
			g.until = 0
		}
		v.lease[name] = g
	}
	return g
}

// asked takes a holder's word in, where this one leads. It is answered once leadership is confirmed after it.
func (v *voter) asked(now int64, from string, identity uint64, a *wire.Ask) {
	var g *grantee
	if !v.cfg.global {
		g = v.grantee(from)
	} else if g = v.askedGlobal(now, from, identity, a); g == nil {
		return
	}
	if !a.Apart {
		g.seen = now
	}
	if a.Number == g.number || a.Number > g.number {
		g.number = a.Number
	}
	g.identity = identity
	if g.left = a.Leaves; g.left { // it has said so itself: nothing that it was given is used any more
		g.until = min(g.until, now)
		v.drive(now)
		return
	}
	g.ready, g.held = max(g.ready, a.Ready), max(g.held, a.Held)
	if a.Refused > g.refused {
		g.refused, g.reason = a.Refused, a.Reason
	}
	v.waiting = append(v.waiting, waiter{from, a, now})
	if len(v.batches) < 8 {
		v.confirm()
	}
	v.drive(now)
}

// confirmed answers the asks that came before a round which has shown that this one leads.
func (v *voter) confirmed(now int64, round uint64) {
	if !v.leads {
		return
	}
	v.heard = now
	for r, batch := range v.batches {
		if r > round {
			continue
		}
		delete(v.batches, r)
		for _, w := range batch {
			if w.ask == nil {
				v.standGlobal(now, w.at)
			} else {
				v.grant(now, w)
			}
		}
	}
}

// grant answers one ask.
func (v *voter) grant(now int64, w waiter) {
	word := v.word(now, w.ask)
	if v.cfg.global {
		g := v.grantee(w.ask.Region)
		if word.Refusal = v.refusal(now, g, w.ask); word.Refusal == "" {
			word.Lease = v.cfg.Lease
			g.until = max(g.until, v.surely(w.at))
		}
		v.out = append(v.out, &wire.Message{From: v.self, To: w.from, Word: word})
		return
	}
	g := v.grantee(w.from)
	if g.left { // it said so after this ask, and uses nothing that it is given: whoever comes under its name asks anew
		return
	}
	switch {
	case v.listed(w.from) == nil:
		word.Refusal = "it is not on the roster"
	case w.ask.Number != v.state.number():
		word.Refusal = "it has another version" // the word has it whole
	case v.phase == judging && now-v.began > v.cfg.Silent && g.ready != v.attempt && g.refused != v.attempt:
		word.Refusal = "it has not judged the open proposal"
	case v.holds() && g.ready != v.attempt:
		word.Refusal = "a change is being put in force"
	default:
		word.Lease = v.cfg.Lease
		g.until = max(g.until, v.surely(w.at))
		word.Share = v.share(now, w)
	}
	v.out = append(v.out, &wire.Message{From: v.self, To: w.from, Word: word})
}

// share is what goes with a lease: parts of budgets.
func (v *voter) share(now int64, w waiter) []byte {
	if v.books == nil {
		return nil
	}
	if v.namesOf != v.state.MembersIndex {
		v.namesOf, v.names = v.state.MembersIndex, nil
		for _, m := range v.roster() {
			v.names = append(v.names, m.Name)
		}
	}
	v.books.SetSlots(v.parts.Slots())
	return v.books.Grant(now, v.surely(w.at), w.from, w.ask.Share, v.names)
}

// word is how everything stands, for one who asks, or for all.
func (v *voter) word(now int64, a *wire.Ask) *wire.Word {
	w := &wire.Word{
		Leader: v.self, Index: v.applied, Number: v.state.number(), Decided: v.state.Decided, Committed: v.state.Committed, Open: v.state.open(),
		Hold: v.holds() && v.attempt == v.state.open() && v.attempt != 0,
	}
	if v.cfg.global {
		w.CurrentAttempt, w.Parts = v.state.CurrentAttempt, v.cfg.partsOf(v.state.Current)
	}
	if v.up != nil {
		w.Standing = v.standing(now)
	}
	if a == nil {
		return w
	}
	w.Nonce = a.Nonce
	if a.MembersIndex < v.state.MembersIndex {
		w.Members, w.MembersIndex = v.state.Members, v.state.MembersIndex
	}
	if a.Number != v.state.number() && (a.Want || !v.cfg.global) {
		w.Current = v.state.Current
	}
	if w.Open != 0 && (a.Judge || !v.cfg.global) && a.Ready != w.Open && a.Refused != w.Open {
		w.Proposed = v.state.Open.Document
	}
	return w
}

// tell sends everybody a word without an ask: who has something to do asks at once.
func (v *voter) tell(now int64, whole bool) {
	for _, m := range v.roster() {
		w := v.word(now, nil)
		if g := v.lease[m.Name]; whole && g != nil {
			if w.Open != 0 && g.ready != w.Open {
				w.Proposed = v.state.Open.Document
			}
			if g.number != w.Number && !(v.cfg.global && g.held == w.CurrentAttempt) {
				w.Current = v.state.Current
			}
		}
		v.say(m.Name, w)
	}
}

// propose puts an entry into the log.
func (v *voter) propose(e *wire.Entry) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.node.Propose(b)
}

// drive takes the open proposal forward, where this one leads.
func (v *voter) drive(now int64) {
	if !v.leads || v.applied < v.opened {
		return
	}
	open := v.state.open()
	if open != v.attempt {
		v.attempt, v.began, v.told = open, now, false
		if v.phase, v.judged = judging, false; open == 0 {
			v.phase = idle
		} else if v.state.Open.Prepared {
			v.phase = prepared // others may count on it: only the global agreement's end, or that of the region's lease, lets it go on
		} else if open < v.opened { // of a leader before this one: what that one's holders know is not known
			v.close(now, entryAbort, leaderLost)
		}
	}
	if v.state.Change != nil {
		v.driveVoters(now)
	}
	if !v.told {
		v.told = true
		v.tell(now, true)
	}
	if v.phase != idle && now-v.retold >= v.cfg.Tick {
		v.retold = now
		v.press(now)
	}
	if v.up != nil {
		v.follow(now)
	}
	switch v.phase {
	case judging:
		was := v.judged
		v.judged = false
		if v.cfg.global {
			v.judgeRegions(now)
		} else {
			v.judgeAll(now)
		}
		if v.up != nil && v.judged && !was {
			v.up.askAt = now
		}
	case holding:
		v.holdAll(now)
	}
}

// press tells those once more that have not done yet what the open proposal wants of them: words get lost.
func (v *voter) press(now int64) {
	for _, m := range v.roster() {
		g := v.lease[m.Name]
		if g == nil || v.phase >= closing {
			continue
		}
		w := v.word(now, nil)
		if v.phase == judging && !v.cfg.global && g.ready != v.attempt && g.refused != v.attempt {
			w.Proposed = v.state.Open.Document
		} else if v.phase != holding || g.held == v.attempt {
			continue
		}
		v.say(m.Name, w)
	}
}

// waited tells that a gatherer has to be waited for, since it may let queries in under the version in force: its lease may not be over, or
// that version has no end there without its own word.
func (v *voter) waited(now int64, g *grantee) bool {
	return !g.left && (g.until > now || v.state.Current.GetKeep() && !v.cfg.Bugs.WaitOutKeepers)
}

// judgeAll waits until everybody on the roster is ready, or is not to be waited for; one that says no ends it.
func (v *voter) judgeAll(now int64) {
	for _, m := range v.roster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt {
			v.close(now, entryAbort, m.Name+": "+g.reason)
			return
		}
		if g.ready == v.attempt || !v.waited(now, g) {
			continue
		}
		if v.state.Current.GetKeep() && (now-v.began > v.cfg.Silent+v.cfg.Lease || v.absent[m.Name] && now-v.began > v.cfg.Silent) {
			v.close(now, entryAbort, fmt.Sprintf("%s is not there, and may go on under version %d, which keeps", m.Name, v.state.number()))
		}
		return
	}
	v.judgedAll(now)
}

// judgedAll has queries held, where all have judged the open proposal.
func (v *voter) judgedAll(now int64) {
	if !v.cfg.Bugs.NoWait && v.surely(v.since) > now {
		return // a leader before this one may have given leases to others than are on the roster now
	}
	if v.unlisted(now) != "" {
		return // nor is it enough to be taken off the roster
	}
	if v.state.Open.Dry {
		v.close(now, entryAbort, "dry: everybody who is there would take it")
		return
	}
	v.judged = true
	if v.up != nil && !v.mayHold(now) {
		return // the other regions judge it as well
	}
	v.phase, v.began = holding, now
	v.tell(now, false)
}

// unlisted names one who was taken off the roster, and whose lease may not be over; empty: nobody. Those whose is are forgotten.
func (v *voter) unlisted(now int64) (who string) {
	for name, g := range v.lease {
		switch {
		case v.listed(name) != nil:
		case g.until > now:
			who = max(who, name)
		default:
			delete(v.lease, name)
		}
	}
	return who
}

// holdAll waits until everybody holds, or is not to be waited for; where the moment runs out that is decided in the log.
func (v *voter) holdAll(now int64) {
	silent := v.unlisted(now)
	for _, m := range v.roster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt { // its word was late: it is in force nowhere all the same
			v.close(now, entryAbort, m.Name+": "+g.reason)
			return
		}
		if g.held != v.attempt && v.waited(now, g) {
			silent = m.Name
		}
	}
	switch {
	case silent == "" && v.up != nil && !v.decided():
		v.prepare(now)
	case silent == "":
		v.close(now, entryCommit, "")
	case now-v.began >= v.cfg.HoldFor*3/4:
		v.close(now, entryAbort, silent+" fell silent while queries were held")
	}
}

// leaderLost is why a proposal is aborted that a new leader finds open.
const leaderLost = "the leader was lost"

// holds tells that the open proposal has come so far that queries are held for it.
func (v *voter) holds() bool { return v.phase >= holding }

// say sends a word without an ask; to a region it goes by whoever asked for it last.
func (v *voter) say(to string, w *wire.Word) {
	if v.cfg.global {
		if to = v.grantee(to).via; to == "" {
			return
		}
	}
	v.out = append(v.out, &wire.Message{From: v.self, To: to, Word: w})
}

// close has the end of the open proposal decided in the log. Where it is lost on the way the next leader decides.
func (v *voter) close(now int64, kind uint32, reason string) {
	e := &wire.Entry{Kind: kind, Attempt: v.attempt, Reason: reason}
	if v.cfg.global && kind == entryCommit {
		e.Parts = v.divided()
	}
	if v.up != nil {
		v.closeRegion(now, e)
	}
	if v.propose(e) == nil {
		v.phase, v.began = closing, now
		v.aborting, v.why = kind == entryAbort, reason
		if v.cfg.Bugs.AbortAfter && kind == entryCommit && v.rng.IntN(4) == 0 {
			v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt})
		}
	}
}

// proposed takes an operator's proposal, or tells how it stands.
func (v *voter) proposed(now int64, p *wire.Propose) *wire.Answer {
	a := &wire.Answer{Nonce: p.Nonce}
	if d := v.state.told(p.Nonce); d != nil && v.leads && v.applied >= v.opened {
		a.End, a.Reason, a.Number = 2, d.Reason, d.Number
		if d.Committed {
			if a.End = 1; v.cfg.global && d.What == "" {
				v.acknowledged(now, d.Number, a)
			}
		}
		return a
	}
	switch {
	case !v.leads || v.applied < v.opened:
		a.End, a.Leader = 3, v.leader()
		return a
	case now-v.heard > v.cfg.Elect: // it may be cut off, and another one lead
		a.End = 3
		return a
	}
	if v.state.Open != nil && v.state.Open.Nonce == p.Nonce {
		return a
	}
	if p.Abort {
		return v.giveUp(p, a)
	}
	if v.cfg.global && p.Keep {
		a.End, a.Reason = 2, "a version that keeps is not for regions: they go on by themselves"
		return a
	}
	if p.VoterAdd != "" || p.VoterRemove != "" {
		return v.proposedVoters(now, p, a)
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
func (v *voter) giveUp(p *wire.Propose, a *wire.Answer) *wire.Answer {
	switch a.End = 2; {
	case v.state.Open == nil || v.phase != judging || v.state.Open.Document.Number != p.Base:
		a.Reason = fmt.Sprintf("no proposal of version %d is being judged", p.Base)
	case v.propose(&wire.Entry{Kind: entryAbort, Attempt: v.attempt, Reason: "given up by " + p.By}) != nil:
		a.End = 3
	default:
		v.phase, a.End = closing, 1
	}
	return a
}
