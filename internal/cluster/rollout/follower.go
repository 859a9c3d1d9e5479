package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout/wire"
)

// follower is a region's side towards the global agreement, at one of the region's voters: what was heard of it and, where that voter leads
// the region, the region's lease. To the global agreement the region is one holder, whose state is the region's log.
type follower struct {
	cfg     Config
	rng     *rand.Rand
	members []*wire.Member // the roster, as the global agreement has it
	known   uint64         // the index of that; 0: only the first one is known
	voter   []string       // whom it asks
	leader  string
	misses  int
	asked   map[uint64]int64 // asks that were not answered, by nonce: from when a lease would count
	askAt   int64

	index    uint64 // the newest word that was taken in
	heard    int64  // when; 0: none was
	number   uint64 // in force there
	attempt  uint64 // of that
	current  *wire.Document
	parts    []*wire.Part
	decided  uint64
	open     uint64
	hold     bool
	proposed *wire.Document
	of       uint64 // the attempt that proposed is of

	until  int64  // of the region's lease, while this voter leads the region; 0: none
	least  int64  // until when one that the region's leader before had may last
	lost   int64  // since when there is none
	failed uint64 // the version's attempt that could not be put in force here,
	fault  string // why,
	again  int64  // and when it is tried again
}

const mostAsked = 16 // asks on their way

func newFollower(cfg Config, now int64, rng *rand.Rand, global Config) *follower {
	f := &follower{cfg: cfg, rng: rng, askAt: now, asked: map[uint64]int64{}, members: firstMembers(global.Members, nil)}
	f.voter = votersOf(f.members)
	return f
}

// lead begins a leadership of the region: what the one before it was given is not known.
func (f *follower) lead(now, least int64) {
	f.until, f.least, f.lost, f.failed, f.fault, f.askAt = 0, least, now, 0, "", now
	clear(f.asked)
}

// whom is who is asked next.
func (f *follower) whom() string {
	if f.leader == "" || f.misses >= 4 {
		f.leader, f.misses = f.voter[f.rng.IntN(len(f.voter))], 0
	}
	f.misses++
	return f.leader
}

// ping words how a voter that does not lead its region makes itself known.
func (f *follower) ping(now int64) (to string, ask *wire.Ask) {
	f.askAt = now + f.cfg.RegionLease + f.rng.Int64N(f.cfg.RegionLease/4+1)
	return f.whom(), &wire.Ask{Nonce: f.rng.Uint64() | 1, MembersIndex: f.known, Number: f.number}
}

// ask words an ask in the region's name. A lease that answers it counts from a moment at which it was confirmed that this one leads.
func (f *follower) ask(from int64, a *wire.Ask) (to string) {
	a.Nonce, a.Region, a.MembersIndex = f.rng.Uint64()|1, f.cfg.Region, f.known
	if len(f.asked) >= mostAsked {
		oldest := a.Nonce
		for nonce, at := range f.asked {
			if was, ok := f.asked[oldest]; !ok || at < was || at == was && nonce < oldest {
				oldest = nonce
			}
		}
		delete(f.asked, oldest)
	}
	f.asked[a.Nonce] = from
	return f.whom()
}

// hear takes a word in.
func (f *follower) hear(now int64, from string, w *wire.Word) {
	if w.MembersIndex > f.known && len(votersOf(w.Members)) > 0 {
		f.members, f.known, f.voter = w.Members, w.MembersIndex, votersOf(w.Members)
	}
	if w.Leader != from { // it does not lead
		if f.leader == from {
			if f.leader = w.Leader; w.Leader != "" {
				f.misses = 0
				f.askAt = min(f.askAt, now+f.cfg.Tick/4)
			}
		}
		return
	}
	if w.Index < f.index {
		return // it was overtaken
	}
	if open := f.open; open != w.Open || f.hold != w.Hold || f.number != w.Number {
		f.askAt = now
	}
	f.index, f.heard, f.leader, f.misses = w.Index, now, from, 0
	f.number, f.attempt, f.decided, f.open, f.hold, f.parts = w.Number, w.CurrentAttempt, w.Decided, w.Open, w.Hold, w.Parts
	if d := w.Current; d != nil && whole(d) && d.Number == w.Number {
		f.current = d
	}
	if w.Open != 0 && w.Proposed != nil && whole(w.Proposed) {
		f.proposed, f.of = w.Proposed, w.Open
	}
	if at, ok := f.asked[w.Nonce]; ok {
		delete(f.asked, w.Nonce)
		if w.Lease > 0 {
			f.until = max(f.until, at+w.Lease)
		}
	}
}

// want tells that the version in force there is not known whole, judge that the open proposal is not.
func (f *follower) want(number uint64) bool {
	return f.number > number && f.current.GetNumber() != f.number
}

func (f *follower) judge() bool { return f.open != 0 && f.of != f.open }
