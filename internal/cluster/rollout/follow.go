package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"
)

// askGlobal asks the global agreement for the region's lease, once the region's voters have confirmed that this one leads them.
func (v *voter) askGlobal(now int64) {
	f := v.up
	f.askAt = now + f.cfg.RegionLease/4 + f.rng.Int64N(f.cfg.RegionLease/16+1)
	if v.applied < v.opened {
		return
	}
	v.waiting = append(v.waiting, waiter{at: now})
	if len(v.batches) < 8 {
		v.confirm()
	}
}

// standGlobal words how the region stands, as its log has it: held is said only once the log says that all hold.
func (v *voter) standGlobal(now, from int64) {
	f, s := v.up, &v.state
	a := &wire.Ask{
		Number: s.number(), Refused: s.GlobalRefused, Reason: s.GlobalReason, Want: f.want(s.number()), Judge: f.judge(),
		Apart: now >= f.until && now-f.heard >= f.cfg.RegionLease,
	}
	if p := s.Open; p != nil && !p.Decided {
		switch {
		case v.phase == closing && v.aborting: // from here on the region goes on without it
			a.Refused, a.Reason = p.Global, v.why
		case v.phase == judging && !v.judged:
		default:
			a.Ready = p.Global
			if p.Prepared || v.cfg.Bugs.HeldUnlogged && v.phase == prepared {
				a.Held = p.Global
			}
		}
	}
	v.out = append(v.out, &wire.Message{From: v.self, To: f.ask(from, a), Ask: a, Global: true})
}

// standing is how the region stands, for its gatherers.
func (v *voter) standing(now int64) *wire.Standing {
	f := v.up
	s := &wire.Standing{Newest: max(f.number, v.state.number())}
	if now >= f.until {
		s.Apart = max(1, now-f.lost)
	}
	if f.number > v.state.number() && f.failed == f.attempt {
		s.Reason = f.fault
	}
	return s
}

// decided tells that what the region's open proposal follows is in force elsewhere.
func (v *voter) decided() bool {
	p := v.state.Open
	return p.GetDecided() || p != nil && v.up.attempt == p.Global
}

// mayHold tells that queries may be held for the open proposal: it is decided, or the global agreement wants it and the region has a lease.
func (v *voter) mayHold(now int64) bool {
	f := v.up
	return v.decided() || f.open == v.state.Open.GetGlobal() && f.hold && now < f.until
}

// follow takes the region along with the global agreement, where this one leads the region. A region that has lost its lease goes on by
// itself, under the version that it has: what it held for is given up in its own log. What is in force elsewhere and not here is put in
// force by a change of the region's own.
func (v *voter) follow(now int64) {
	f, s := v.up, &v.state
	if now < f.until {
		f.lost = now
	} else if f.lost < f.until {
		f.lost = f.until
	}
	if f.number > s.number() && !(s.Open != nil && v.decided()) {
		f.until = min(f.until, now) // elsewhere the version here is over
	}
	if p := s.Open; p != nil {
		decided := v.decided()
		aborted := !decided && f.decided >= p.Global
		if v.phase == preparing && p.Prepared {
			v.phase, f.askAt = prepared, now
		}
		switch v.phase {
		case judging, holding:
			switch {
			case aborted:
				v.close(now, entryAbort, "it was given up")
			case !decided && now >= f.until && (v.phase == holding || now-f.heard >= f.cfg.RegionLease):
				v.close(now, entryAbort, "the region was cut off")
			}
		case prepared:
			switch {
			case decided:
				v.close(now, entryCommit, "")
			case aborted:
				v.close(now, entryAbort, "it was given up")
			case now >= max(f.until, f.least):
				v.close(now, entryAbort, "the region was cut off")
			}
		}
		return
	}
	if v.following > v.applied && now-v.followed < v.cfg.Elect {
		return // on its way through the log
	}
	switch newer := f.number > s.number() && f.current.GetNumber() == f.number; {
	case v.followRoster(now):
	case newer && !(f.failed == f.attempt && now < f.again):
		v.begin(now, &wire.Entry{Kind: entryFollow, Document: f.current, Global: f.attempt, Decided: true, By: "the global agreement"})
	case f.open != 0 && f.of == f.open && f.open > f.decided && f.open != s.GlobalRefused:
		v.begin(now, &wire.Entry{Kind: entryFollow, Document: f.proposed, Global: f.open, By: "the global agreement"})
	}
}

// begin puts an entry into the log, one at a time.
func (v *voter) begin(now int64, e *wire.Entry) {
	if v.propose(e) == nil {
		last, _ := v.storage.LastIndex()
		v.following, v.followed = last+1, now
	}
}

// followRoster puts into the region's log where the roster differs from the global agreement's. Who votes here stays on it until its vote is taken.
func (v *voter) followRoster(now int64) bool {
	f, s := v.up, &v.state
	if f.known == 0 || f.known == v.rosterOf && s.MembersIndex == v.rosterIs {
		return false
	}
	e := &wire.Entry{Kind: entryRoster, By: "the global agreement", Nonce: v.rng.Uint64() | 1}
	for _, m := range f.members {
		if was := s.member(m.Name); was == nil || was.Address != m.Address || was.Region != m.Region || was.Global != (m.Id != 0) {
			e.Add = append(e.Add, &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Id != 0})
		}
	}
	for _, m := range s.Members {
		if m.Id == 0 && find(f.members, m.Name) == nil && s.Change.GetAdd().GetName() != m.Name {
			e.Remove = append(e.Remove, m.Name)
		}
	}
	if len(e.Add)+len(e.Remove) == 0 {
		v.rosterOf, v.rosterIs = f.known, s.MembersIndex
		return false
	}
	v.begin(now, e)
	return true
}

// prepare has the region's log say that all hold. Told before that, a leader after this one would not know what it has promised.
func (v *voter) prepare(now int64) {
	if v.cfg.Bugs.HeldUnlogged {
		v.phase, v.up.askAt = prepared, now
		return
	}
	if v.propose(&wire.Entry{Kind: entryPrepared, Attempt: v.attempt}) == nil {
		v.phase, v.began = preparing, now
	}
}

// closeRegion fills in the end of what the region follows. An abort takes back what was said above: no lease that was asked for before counts.
func (v *voter) closeRegion(now int64, e *wire.Entry) {
	f, p := v.up, v.state.Open
	switch {
	case e.Kind == entryCommit && !p.Decided:
		e.Parts = f.parts
	case e.Kind == entryAbort && p.Decided && e.Reason != leaderLost:
		f.failed, f.fault, f.again = p.Global, e.Reason, now+v.cfg.Lease/2
	case e.Kind == entryAbort:
		clear(f.asked)
	}
}

// roster is who may have a lease: everybody, those of the region or, in the global agreement, the regions.
func (v *voter) roster() []*wire.Member {
	if !v.cfg.global && v.cfg.Region == "" {
		return v.state.Members
	}
	if v.list != nil && v.listOf == v.state.MembersIndex {
		return v.list
	}
	v.list, v.listOf = nil, v.state.MembersIndex
	for _, r := range v.state.Regions {
		v.list = append(v.list, &wire.Member{Name: r})
	}
	for _, m := range v.state.Members {
		if !v.cfg.global && m.Region == v.cfg.Region {
			v.list = append(v.list, m)
		}
	}
	return v.list
}

// listed is one that may have a lease; nil: it may not.
func (v *voter) listed(name string) *wire.Member { return find(v.roster(), name) }
