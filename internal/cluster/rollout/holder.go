package rollout

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
)

// Verdict is what becomes of a query at its admission.
type Verdict uint8

// The verdicts.
const (
	Let   Verdict = iota // it is let in, under the version in force
	Hold                 // it waits: a change is being put in force
	Doubt                // it is refused: the outcome of a change is not known here
	Lapse                // it is refused: there is no lease
)

func (v Verdict) String() string { return [...]string{"let", "hold", "doubt", "lapse"}[v&3] }

// Bugs are seeded faults, to see that tests catch them. Nothing of it is for use.
type Bugs struct {
	NoWait      bool // a new leader does not wait for leases that the one before it may have given
	Early       bool // ready is told before the document is on disk
	AtArrival   bool // the lease is looked at when a query comes, not when it is let in; the model's queries wait in between
	Unasked     bool // a gatherer that returns serves by what its disk says, before it asks
	ForgetVote  bool // votes are kept in memory only; the model's disks lose them
	AbortAfter  bool // an abort counts after a commit
	OwnTimeout  bool // a holder goes on by its own time-out
	FromArrival bool // a lease counts from the arrival of the grant

	WaitOutKeepers bool // under a version that keeps, those that are silent are waited out as under any other
	Share          quota.Bugs

	VoteByName bool // a voter that comes back without its disk votes as the one it was

	HeldUnlogged   bool // a region's held is told to the global agreement before the region's log has it
	ToldEverywhere bool // a proposer is told that a version is in force in regions that have not said so
}

// Holder is one gatherer's side: the version in force there, its lease, and the proposal that it judges and holds for. It is not for
// several goroutines.
type Holder struct {
	cfg      Config
	name     string
	rng      *rand.Rand
	parts    *quota.Holder // of budgets; nil: they are not divided here
	identity uint64
	members  []*wire.Member // the roster, as known here
	known_   uint64         // the index of that
	changed  bool           // it is to be kept, and told to the host
	voter    []string       // whom it asks

	current *wire.Document // in force here; nil: none was ever agreed on
	index   uint64         // the newest word that was taken in
	until   int64          // of the lease; 0: none
	keeps   bool           // it goes on without one: it was given one under a version that keeps, by this process
	left    bool           // it lets nothing in any more
	nonce   uint64
	asked   int64 // when the ask with that nonce was sent
	askAt   int64 // when to ask next
	leader  string
	misses  int

	judging uint64 // the proposal that the host is judging or staging
	ready   uint64
	refused uint64
	reason  string
	holding uint64 // the proposal for which queries are held; 0: none
	holdEnd int64
	known   bool // a word of a leader was taken in since the start
	want    bool // the version in force is wanted whole
	judge   bool // the open proposal is wanted whole

	standing *wire.Standing // of the region, as its leader told it last
	told     int64          // when; 0: never
}

// Admit decides whether a query may be let in now, and under which version. It allocates nothing. retry is when it may be worth to come
// again, in microseconds from now, where it is refused.
func (h *Holder) Admit(now int64) (v Verdict, number uint64, retry int64) {
	switch {
	case h.left:
		return Lapse, 0, h.cfg.Lease / 2
	case h.holding != 0 && now < h.holdEnd:
		return Hold, 0, h.holdEnd - now
	case h.holding != 0 && !h.cfg.Bugs.OwnTimeout:
		return Doubt, 0, h.cfg.Lease / 2
	case now >= h.until && !h.keeps && !(h.cfg.Bugs.Unasked && !h.known):
		return Lapse, 0, h.cfg.Lease / 2
	}
	return Let, h.current.GetNumber(), 0
}

// Number is the version in force here, Until the end of the lease.
func (h *Holder) Number() uint64 { return h.current.GetNumber() }

// Until is the end of the lease; past where there is none, far away where the version in force is kept without.
func (h *Holder) Until() int64 {
	switch {
	case h.left:
		return 0
	case h.keeps:
		return math.MaxInt64
	}
	return h.until
}

// Lease is the end of the lease itself, also where the version in force is kept without one.
func (h *Holder) Lease() int64 { return h.until }

// Parts are this gatherer's of the budgets; nil: they are not divided here.
func (h *Holder) Parts() *quota.Holder { return h.parts }

// Keeps tells that this gatherer goes on under the version in force also without a lease.
func (h *Holder) Keeps() bool { return h.keeps && !h.left }

// Members is the roster as known here; it is not to be changed.
func (h *Holder) Members() []*wire.Member { return h.members }

// leave has this gatherer let nothing in from now on, and words that for a leader.
func (h *Holder) leave() *wire.Ask {
	h.left, h.until = true, 0
	h.nonce = h.rng.Uint64() | 1
	return &wire.Ask{Nonce: h.nonce, Number: h.current.GetNumber(), Leaves: true}
}

// learn takes a roster in that is newer than the one known.
func (h *Holder) learn(members []*wire.Member, index uint64) {
	if index <= h.known_ || len(votersOf(members)) == 0 {
		return
	}
	h.members, h.known_, h.voter, h.changed = members, index, votersOf(members), true
}

// Holding tells whether queries are held, or refused in doubt.
func (h *Holder) Holding() bool { return h.holding != 0 }

// HoldEnd is until when queries are held, and no longer refused in doubt.
func (h *Holder) HoldEnd() int64 { return h.holdEnd }

// Leader is whom the holder asks, as far as it knows.
func (h *Holder) Leader() string { return h.leader }

// Verdicts tells which proposals were judged good and bad last, and why.
func (h *Holder) Verdicts() (ready, refused uint64, reason string) {
	return h.ready, h.refused, h.reason
}

// next is when the holder wants to ask.
func (h *Holder) next() int64 { return h.askAt }

// ask words an ask for a leader.
func (h *Holder) ask(now int64) (to string, m *wire.Ask) {
	if h.leader == "" || h.misses >= 2 {
		h.leader = h.voter[h.rng.IntN(len(h.voter))]
		h.misses = 0
	}
	h.misses++
	h.nonce = h.rng.Uint64() | 1
	h.asked = now
	h.askAt = now + h.cfg.Lease/8 + h.rng.Int64N(h.cfg.Lease/16+1)
	if now < h.until && h.misses < 2 && h.holding == 0 {
		h.askAt = now + h.cfg.Lease/4 + h.rng.Int64N(h.cfg.Lease/8+1)
		if h.parts != nil && h.parts.WantsMore(now) {
			h.askAt = now + h.cfg.Lease/8 + h.rng.Int64N(h.cfg.Lease/16+1)
		}
	}
	if h.holding != 0 && now < h.holdEnd+h.cfg.HoldFor {
		h.askAt = now + h.cfg.Tick
	}
	var parts []byte
	if h.parts != nil {
		parts = h.parts.Request(now)
	}
	return h.leader, &wire.Ask{
		Share: parts, Nonce: h.nonce, Number: h.current.GetNumber(), Ready: h.ready, Refused: h.refused, Reason: h.reason, Held: h.holding,
		Want: h.want, Judge: h.judge, MembersIndex: h.known_,
	}
}

// soon has the holder ask at once.
func (h *Holder) soon(now int64) { h.askAt = now }

// hear takes a leader's word in, and tells what the host has to do: judge and stage a document, put one in force.
func (h *Holder) hear(now int64, from string, w *wire.Word) (judge *wire.Proposal, install *wire.Document) {
	h.learn(w.Members, w.MembersIndex)
	if h.left {
		return nil, nil
	}
	if w.Leader != from { // it does not lead
		if w.Nonce == h.nonce && h.leader == from {
			h.leader = w.Leader
			if w.Leader != "" {
				h.misses = 0
				h.askAt = min(h.askAt, now+h.cfg.Tick/4)
			}
		}
		return nil, nil
	}
	if w.Index < h.index {
		return nil, nil // it was overtaken
	}
	h.index, h.known = w.Index, true
	if w.Standing != nil {
		h.standing, h.told = w.Standing, now
	}
	if w.Nonce == h.nonce || w.Nonce == 0 {
		h.leader, h.misses = from, 0
	}
	if w.Number > h.current.GetNumber() {
		if w.Current == nil || !whole(w.Current) || w.Current.Number != w.Number {
			if !h.want {
				h.want = true
				h.soon(now)
			}
			h.until, h.keeps = 0, false // the version here is over
			return nil, nil
		}
		install = w.Current
		h.current, h.want, h.keeps = install, false, false
		h.divide()
		if h.holding == 0 || w.Decided != h.holding || !w.Committed {
			h.until = 0 // it did not hold for this one: only a new lease tells that nothing came after it
		}
		h.soon(now)
	}
	if h.holding != 0 && w.Decided >= h.holding {
		h.holding = 0
	}
	if h.judging != 0 && w.Decided >= h.judging {
		h.judging = 0
	}
	if w.Open != 0 {
		if h.ready != w.Open && h.refused != w.Open && h.judging != w.Open {
			if w.Proposed != nil && whole(w.Proposed) {
				h.judge, h.judging = false, w.Open
				judge = &wire.Proposal{Attempt: w.Open, Document: w.Proposed}
				if h.cfg.Bugs.Early {
					h.ready = w.Open
				}
			} else if !h.judge {
				h.judge = true
				h.soon(now)
			}
		}
		if w.Hold && h.holding != w.Open {
			h.holding, h.holdEnd = w.Open, now+h.cfg.HoldFor
			h.soon(now)
		} else if w.Hold && w.Nonce == 0 {
			h.soon(now) // the leader has not heard of it
		}
	}
	if w.Nonce == h.nonce && w.Lease > 0 && w.Number == h.current.GetNumber() {
		h.until, h.keeps = max(h.until, h.asked+w.Lease), h.current.GetKeep()
		if h.parts != nil {
			h.parts.HandleGrant(h.asked, w.Lease, w.Share)
		}
		if h.cfg.Bugs.FromArrival {
			h.until = now + w.Lease
		}
	}
	return judge, install
}

// judged takes the host's verdict on a proposal: staged on its disk, or why not.
func (h *Holder) judged(now int64, attempt uint64, fault string) {
	if h.judging != attempt {
		return
	}
	h.judging = 0
	if fault != "" {
		h.refused, h.reason = attempt, fault
	} else {
		h.ready = attempt
	}
	h.soon(now)
}
