package quota

import (
	"cmp"
	"maps"
	"saffronquay/internal/cluster/quota/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

const (
	// PPM is the whole of a budget.
	PPM = 1_000_000
	// Reserve is what of each budget is kept back for floors.
	Reserve = 100_000
	// MostTeams bounds the teams that one word names: those with the greatest wants are named.
	MostTeams = 1024
)

// Even is an even part among so many; Floor is what each has without a lease.
func Even(slots uint64) uint32 { return uint32(PPM / max(slots, 1)) }

// Floor is the part that a gatherer has without a lease.
func Floor(slots uint64) uint32 { return uint32(Reserve / max(slots, 1)) }

// Demand is what of a team's budget a gatherer could use, and what it has in use, in millionths.
type Demand struct {
	Team       string
	Want, Used uint32
}

// Holder is one gatherer's side. It is not for several goroutines.
type Holder struct {
	total  uint64 // slots of all regions together
	ppm    uint32 // what this gatherer's region has of every budget; PPM where there are no regions
	slots  uint64 // among how many that is divided
	term   uint64 // of the keeper heard of last
	seq    uint64 // of the grant that it goes by
	until  int64  // of that
	of     uint64 // the slots that it was given for
	parts  map[string]uint32
	demand []Demand
	bugs   Bugs
}

// Bugs are seeded faults, to see that tests catch them. Nothing of it is for use.
type Bugs struct {
	Forever   bool // a holder goes on with its parts when its lease is over
	Unclaimed bool // a new keeper takes nobody to hold anything
	Impatient bool // a keeper lowers a part in its books when it says so, not when the holder does
	OldTerm   bool // a keeper takes claims that were worded for another one
}

// NewHolder is one that has nothing but its floor.
func NewHolder(slots uint64, bugs Bugs) *Holder {
	return &Holder{total: slots, slots: slots, ppm: PPM, bugs: bugs}
}

// Slots says among how many the budgets are divided from now on. What was given for another number is void.
func (h *Holder) Slots(n uint64) {
	h.total = n
	h.slots = (n*uint64(h.ppm) + PPM - 1) / PPM
}

// Region says what part of every budget is this gatherer's region's, from now on: it is divided among so much of the slots, rounded up. All
// that is said of parts between a gatherer and its keeper is said of that part.
func (h *Holder) Region(ppm uint32) {
	h.ppm = min(ppm, PPM)
	h.Slots(h.total)
}

// whole is a part of the region's part as one of the whole budget; regional is what it takes of the region's part, rounded up.
func (h *Holder) whole(p uint32) uint32 {
	if h.ppm == PPM {
		return p
	}
	return uint32(uint64(p) * uint64(h.ppm) / PPM)
}

func (h *Holder) regional(p uint32) uint32 {
	if h.ppm == PPM || p == 0 {
		return p
	}
	return uint32(min(PPM, (uint64(p)*PPM+uint64(h.ppm)-1)/uint64(max(h.ppm, 1))))
}

// Among is the number of slots: in this gatherer's region, where there are regions.
func (h *Holder) Among() uint64 { return h.slots }

// Want says what this gatherer could use; teams that are not named want nothing. The greatest wants are kept where there are too many.
func (h *Holder) Want(all []Demand) {
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(max(b.Want, b.Used), max(a.Want, a.Used)), cmp.Compare(a.Team, b.Team))
	})
	h.demand = all[:min(len(all), MostTeams)]
	if h.ppm == PPM {
		return
	}
	h.demand = slices.Clone(h.demand)
	for i, d := range h.demand {
		h.demand[i].Want, h.demand[i].Used = h.regional(d.Want), h.regional(d.Used)
	}
}

// leased tells whether it goes by a grant.
func (h *Holder) leased(now int64) bool {
	return h.seq != 0 && (now < h.until || h.bugs.Forever) && h.of == h.slots
}

// Part is what of a team's budget may be used now. It allocates nothing.
func (h *Holder) Part(now int64, team string) uint32 { return h.whole(h.part(now, team)) }

func (h *Holder) part(now int64, team string) uint32 {
	if !h.leased(now) {
		return Floor(h.slots)
	}
	if p, named := h.parts[team]; named {
		return p
	}
	return Even(h.slots)
}

// Hungry tells that this gatherer wants more of some team than it has.
func (h *Holder) Hungry(now int64) bool {
	return slices.ContainsFunc(h.demand, func(d Demand) bool { return d.Want > h.part(now, d.Team) })
}

// Parts is what may be used now: of the teams that are named, and of all others; and until when. The map is not to be changed.
func (h *Holder) Parts(now int64) (named map[string]uint32, others uint32, until int64) {
	if !h.leased(now) {
		return nil, h.whole(Floor(h.slots)), 0
	}
	if named = h.parts; h.ppm != PPM {
		named = make(map[string]uint32, len(h.parts))
		for team, p := range h.parts {
			named[team] = h.whole(p)
		}
	}
	return named, h.whole(Even(h.slots)), h.until
}

// Ask words how this gatherer stands.
func (h *Holder) Ask(now int64) []byte {
	a := &wire.Ask{Term: h.term, Slots: h.slots}
	claims := map[string]uint32{}
	if h.leased(now) {
		a.Seq = h.seq
		maps.Copy(claims, h.parts)
	}
	for _, d := range h.demand {
		if d.Want > 0 {
			a.Wants = append(a.Wants, &wire.Part{Team: d.Team, Ppm: min(d.Want, PPM)})
		}
		if has := h.part(now, d.Team); a.Seq != 0 && d.Used > has {
			claims[d.Team] = d.Used // it shrinks as its queries end
		}
	}
	for _, team := range slices.Sorted(maps.Keys(claims)) {
		a.Parts = append(a.Parts, &wire.Part{Team: team, Ppm: claims[team]})
	}
	b, err := proto.Marshal(a)
	if err != nil {
		return nil
	}
	return b
}

// Hear takes in what the keeper answered to an ask that was sent at a time: for how long it holds, counted from there.
func (h *Holder) Hear(asked, lease int64, b []byte) {
	g := &wire.Grant{}
	if len(b) == 0 || proto.Unmarshal(b, g) != nil {
		return
	}
	h.term = g.Term
	if g.Floor || g.Slots != h.slots || len(g.Parts) > MostTeams {
		return // what it has goes on to its end
	}
	h.seq, h.until, h.of, h.parts = g.Seq, asked+lease, g.Slots, make(map[string]uint32, len(g.Parts))
	for _, p := range g.Parts {
		h.parts[p.Team] = min(p.Ppm, PPM)
	}
}
