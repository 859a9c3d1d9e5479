package quota

import (
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Books are who may use what, as the keeper knows it: whoever leads, from its election on. They are not for several goroutines.
//
// A keeper does not know what the one before it has granted. Until all of that is surely over it only renews what holders say that they
// hold, worded for itself: what all hold at one time was within the budgets, and that is said after its election, when nobody else grants.
type Books struct {
	term    uint64
	sure    int64 // from then on nothing that was granted before is in use
	holders map[string]*account
	teams   map[string]*team
	slots   uint64
	bugs    Bugs
}

// account is what is known of one holder.
type account struct {
	claimed bool  // it has said, for this keeper, what it holds
	until   int64 // of what it said last
	parts   map[string]uint32
	leased  bool    // parts says all that it holds; else it holds its floors
	grants  []grant // given, and not known to be taken in, oldest first
	seq     uint64
	out     int64 // when its lease is surely over, whatever it was given
}

type grant struct {
	seq   uint64
	until int64
	parts map[string]uint32
}

// team is a budget of which somebody wants more than an even part, or holds another one.
type team struct {
	wants   map[string]uint32
	busy    int64 // when somebody wanted some of it last
	targets map[string]uint32
	fresh   int64             // until when the targets hold
	sum     uint64            // of what all may be using, at the most:
	held    map[string]uint32 // each one's part in it. What time takes away is seen when it is summed up anew
}

const (
	mostBusy   = 4096      // teams; what is beyond has even parts
	targetsFor = 100_000   // microseconds that targets hold
	quietFor   = 5_000_000 // without wants before parts go back to even ones
	headroom   = 8         // a want is answered with an eighth more, so that it can grow
)

// NewBooks begins books at an election. sure is when all leases that were given before are surely over, by this process's clock.
func NewBooks(term uint64, sure int64, bugs Bugs) *Books {
	return &Books{term: term, sure: sure, holders: map[string]*account{}, teams: map[string]*team{}, bugs: bugs}
}

// Slots says among how many the budgets are divided from now on, by the policy in force where the books are kept. What was given for
// another number is void at all holders: none lets anything in under the policy before.
func (b *Books) Slots(n uint64) {
	if n != b.slots {
		b.slots = n
		clear(b.teams)
		clear(b.holders)
	}
}

// Grant answers an ask. until is when a lease that is given now is surely over; members are who may have parts, in the order of names: the
// first so many as there are slots. It costs O(busy teams), and ten times a
// second O(busy teams · members).
func (b *Books) Grant(now, until int64, from string, text []byte, members []string) []byte {
	a := &wire.Ask{}
	if len(text) == 0 || proto.Unmarshal(text, a) != nil || len(a.Parts) > 2*MostTeams || len(a.Wants) > MostTeams {
		return nil
	}
	g := &wire.Grant{Term: b.term, Slots: b.slots, Floor: true}
	if i, on := slices.BinarySearch(members, from); on && uint64(i) < b.slots && a.Slots == b.slots {
		b.claim(now, until, from, a)
		if x := b.holders[from]; x.claimed && (x.leased || now >= b.sure || b.bugs.Unclaimed) {
			b.give(now, until, from, g, members[:min(int(b.slots), len(members))])
		}
	}
	text, err := proto.Marshal(g)
	if err != nil {
		return nil
	}
	return text
}

// claim books what a holder says that it holds and wants.
func (b *Books) claim(now, until int64, from string, a *wire.Ask) {
	x := b.holders[from]
	if x == nil {
		x = &account{}
		b.holders[from] = x
	}
	if a.Term == b.term || b.bugs.OldTerm {
		first := !x.claimed
		x.claimed, x.leased, x.parts = true, a.Seq != 0, map[string]uint32{}
		for _, p := range a.Parts {
			x.parts[p.Team] = min(p.Ppm, PPM)
			b.team(now, p.Team, true)
		}
		x.until = 0
		for _, g := range x.grants {
			if g.seq == a.Seq {
				x.until = g.until
			}
		}
		if x.leased && x.until == 0 { // of the keeper before, or one that is forgotten here
			x.until = until
		}
		if !first {
			x.grants = slices.DeleteFunc(x.grants, func(g grant) bool { return g.seq < a.Seq || g.until <= now })
		}
	}
	wants := map[string]uint32{}
	for _, w := range a.Wants {
		wants[w.Team] = w.Ppm
		if w.Ppm >= Even(b.slots) {
			b.team(now, w.Team, len(b.teams) < mostBusy)
		}
	}
	for name, t := range b.teams {
		if w := wants[name]; w > 0 {
			t.wants[from], t.busy = w, now
		} else {
			delete(t.wants, from)
		}
	}
	b.weigh(now, from)
}

// weigh brings one holder's part in all sums in line with what it may be using.
func (b *Books) weigh(now int64, name string) {
	for team, t := range b.teams {
		if t.held != nil {
			h := b.held(now, name, team)
			t.sum += uint64(h) - uint64(t.held[name]) // it wraps round and back
			t.held[name] = h
		}
	}
}

// team has a team reckoned with by itself, where there is room for it. One of which somebody holds another part than an even one always is.
func (b *Books) team(now int64, name string, room bool) {
	if b.teams[name] == nil && room {
		b.teams[name] = &team{wants: map[string]uint32{}, busy: now}
	}
}

// held is what of a team a holder may be using, at the most.
func (b *Books) held(now int64, name, team string) uint32 {
	x := b.holders[name]
	if x == nil || !x.claimed {
		if now < b.sure && !b.bugs.Unclaimed {
			return PPM // nobody knows
		}
		if x == nil {
			return Floor(b.slots)
		}
	}
	most := Floor(b.slots)
	part := func(parts map[string]uint32) {
		p, named := parts[team]
		if !named {
			p = Even(b.slots)
		}
		most = max(most, p)
	}
	if x.leased && now < x.until {
		part(x.parts)
	}
	for i, g := range x.grants {
		if now < g.until && !(b.bugs.Impatient && i < len(x.grants)-1) {
			part(g.parts)
		}
	}
	return most
}

// give words a grant: for each busy team the part that is aimed at, as far as nobody else may be using it.
func (b *Books) give(now, until int64, from string, g *wire.Grant, members []string) {
	x := b.holders[from]
	x.seq++
	parts := map[string]uint32{}
	even := Even(b.slots)
	for name, t := range b.teams {
		if now-t.busy > quietFor && b.forget(now, name, members) {
			continue
		}
		var p uint32
		if now < b.sure && !b.bugs.Unclaimed { // what it holds, and no more: what the others hold is not known
			p = b.held(now, from, name)
		} else {
			target := b.target(now, name, t, members)[from]
			others := t.sum - uint64(t.held[from])
			if n := uint64(len(t.held)); n < b.slots { // who comes next, or is not known here, has its floor
				others += uint64(Floor(b.slots)) * (b.slots - n)
			}
			p = uint32(min(uint64(target), PPM-min(PPM, others)))
		}
		p = max(p, Floor(b.slots)) // that is kept back for it, whatever the books fear
		if p != even {
			parts[name] = p
		}
	}
	if x.out = max(x.out, until); len(parts) > MostTeams {
		return
	}
	if b.bugs.Impatient {
		x.leased = false
	}
	x.grants = append(x.grants, grant{x.seq, until, parts})
	b.weigh(now, from)
	g.Floor, g.Seq = false, x.seq
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		g.Parts = append(g.Parts, &wire.Part{Team: name, Ppm: parts[name]})
	}
}

// forget drops a team that nobody wants and nobody holds more than an even part of; false: somebody does.
func (b *Books) forget(now int64, name string, members []string) bool {
	if now < b.sure {
		return false
	}
	for _, m := range members {
		if b.held(now, m, name) > Even(b.slots) {
			return false
		}
	}
	for m, x := range b.holders { // also of those that are not on the roster any more
		if now < max(x.out, x.until) && b.held(now, m, name) > Even(b.slots) {
			return false
		}
	}
	delete(b.teams, name)
	return true
}

// target is how a team's budget is to be divided: to each what it wants and an eighth more, evenly where that is too much for all; what
// is left evenly. Who has no lease any more has its floor.
func (b *Books) target(now int64, name string, t *team, members []string) map[string]uint32 {
	if t.targets != nil && now < t.fresh {
		return t.targets
	}
	t.fresh, t.targets = now+targetsFor, make(map[string]uint32, len(members))
	t.sum, t.held = 0, make(map[string]uint32, len(members))
	for _, m := range members {
		t.held[m] = b.held(now, m, name)
		t.sum += uint64(t.held[m])
	}
	for m, x := range b.holders { // who was taken off the roster may use what it was given until its lease is surely over
		if _, on := slices.BinarySearch(members, m); on {
			continue
		}
		if now >= max(x.out, x.until) {
			delete(b.holders, m)
			continue
		}
		t.held[m] = b.held(now, m, name)
		t.sum += uint64(t.held[m])
	}
	floor := uint64(Floor(b.slots))
	quiet := now-t.busy > quietFor
	needs := make([]uint64, 0, len(members))
	live := make([]string, 0, len(members))
	left := uint64(PPM) - floor*(b.slots-uint64(len(members)))
	for _, m := range members {
		if x := b.holders[m]; x == nil || now >= max(x.out, x.until) {
			t.targets[m] = uint32(floor)
			left -= floor
			continue
		}
		t.fresh = min(t.fresh, max(b.holders[m].out, b.holders[m].until)) // then it may be gone
		want := uint64(t.wants[m])
		live, needs = append(live, m), append(needs, max(floor, want+want/headroom))
	}
	if quiet {
		for i := range needs {
			needs[i] = floor
		}
		left = min(left, uint64(Even(b.slots))*uint64(len(live)))
	}
	level := level(needs, left)
	sum := uint64(0)
	for i := range live {
		needs[i] = min(needs[i], level)
		sum += needs[i]
	}
	for i, m := range live {
		t.targets[m] = uint32(needs[i] + (left-sum)/uint64(len(live)))
	}
	return t.targets
}

// level is the greatest one at which needs that are cut down to it are within what there is.
func level(needs []uint64, left uint64) uint64 {
	sorted := slices.Sorted(slices.Values(needs))
	for i, need := range sorted {
		if n := uint64(len(sorted) - i); need*n > left {
			return left / n
		}
		left -= need
	}
	return PPM
}
