package quota

import (
	"saffronquay/internal/cluster/quota/wire"
	"testing"

	"google.golang.org/protobuf/proto"
)

var names = []string{"a", "b", "c", "d"}

// asked asks for a holder, and has it hear the answer where it should.
func asked(b *Books, h *Holder, now int64, from string, hears bool) *wire.Grant {
	answer := b.Grant(now, now+2_040_000, from, h.Ask(now), names)
	if hears {
		h.Hear(now, 2_000_000, answer)
	}
	g := &wire.Grant{}
	proto.Unmarshal(answer, g)
	return g
}

// fleet is four holders at one keeper, whose election is long ago.
func fleet(bugs Bugs) (*Books, map[string]*Holder) {
	b, hs := NewBooks(1, 0, bugs), map[string]*Holder{}
	b.Slots(4)
	for _, name := range names {
		hs[name] = NewHolder(4, bugs)
	}
	return b, hs
}

func TestPartsFollowWants(t *testing.T) {
	b, hs := fleet(Bugs{})
	now := int64(1)
	round := func(times int) {
		for range times {
			for _, name := range names {
				asked(b, hs[name], now, name, true)
			}
			now += 500_000
		}
	}
	if p := hs["a"].Part(now, "t"); p != 25_000 {
		t.Errorf("without a lease: %d", p)
	}
	round(2)
	if p := hs["a"].Part(now, "t"); p != 250_000 {
		t.Errorf("with one: %d", p)
	}
	hs["a"].Want([]Demand{{"t", PPM, 0}})
	round(3)
	if p := hs["a"].Part(now, "t"); p != 925_000 {
		t.Errorf("who alone wants: %d", p)
	}
	// What is in use is not given away, although it is not wanted any more.
	hs["a"].Want([]Demand{{"t", 0, 800_000}})
	hs["b"].Want([]Demand{{"t", PPM, 0}})
	round(4)
	if a, b := hs["a"].Part(now, "t"), hs["b"].Part(now, "t"); a > 30_000 || b > 200_000 {
		t.Errorf("while it is in use: %d and %d", a, b)
	}
	hs["a"].Want(nil)
	round(3)
	if p := hs["b"].Part(now, "t"); p != 925_000 {
		t.Errorf("once it is not: %d", p)
	}
	// Nobody wants it: after a while parts are even again, and the team is forgotten.
	hs["b"].Want(nil)
	round(16)
	if len(b.teams) != 0 || hs["c"].Part(now, "t") != 250_000 {
		t.Errorf("%d teams are kept, and c has %d", len(b.teams), hs["c"].Part(now, "t"))
	}
	// Its lease is over.
	if p := hs["b"].Part(now+5_000_000, "t"); p != 25_000 {
		t.Errorf("after the lease: %d", p)
	}
}

// A grant that is lost, or comes twice or late, books no less than its holder may use.
func TestLostGrants(t *testing.T) {
	b, hs := fleet(Bugs{})
	now := int64(1)
	hs["a"].Want([]Demand{{"t", PPM, 0}})
	for range 3 {
		for _, name := range names {
			asked(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	had := hs["a"].Part(now, "t")
	hs["a"].Want(nil)
	hs["b"].Want([]Demand{{"t", PPM, 0}})
	for range 3 { // a hears nothing any more: it goes on with what it has
		asked(b, hs["a"], now, "a", false)
		g := asked(b, hs["b"], now, "b", true)
		if sum := hs["b"].Part(now, "t") + hs["a"].Part(now, "t"); sum > PPM || had < 900_000 {
			t.Errorf("%d in all, of a %d: %v", sum, had, g)
		}
		now += 300_000
	}
}

// A new keeper takes a claim only where it was worded for it, renews no more than that, and gives nothing else before all that was given
// before is over. With the seeded bug it takes words that were sent before its election.
func TestNewKeeper(t *testing.T) {
	for _, bug := range []bool{false, true} {
		b, hs := fleet(Bugs{})
		now := int64(1)
		hs["a"].Want([]Demand{{"t", PPM, 0}})
		for range 3 {
			for _, name := range names {
				asked(b, hs[name], now, name, true)
			}
			now += 500_000
		}
		next := NewBooks(2, now+2_040_000, Bugs{OldTerm: bug})
		next.Slots(4)
		if g := asked(next, hs["a"], now, "a", true); g.Floor == bug {
			t.Errorf("a claim for another keeper: %v; bug %t", g, bug)
		}
		if bug {
			continue
		}
		if p := hs["a"].Part(now, "t"); p != 925_000 {
			t.Errorf("it does not keep what it has: %d", p)
		}
		if g := asked(next, hs["a"], now, "a", true); g.Floor || hs["a"].Part(now, "t") != 925_000 {
			t.Errorf("its claim is not renewed: %v", g)
		}
		if asked(next, hs["b"], now, "b", true); hs["b"].Part(now, "t") > 30_000 {
			t.Errorf("b has %d", hs["b"].Part(now, "t"))
		}
		// By another number of slots nothing holds that was given before, and words by the old one get nothing.
		hs["c"].Slots(3)
		if g := asked(next, hs["c"], now+3_000_000, "c", true); !g.Floor || hs["c"].Part(now, "t") != Floor(3) {
			t.Errorf("other slots: %v", g)
		}
	}
}

func BenchmarkPart(b *testing.B) {
	books, hs := fleet(Bugs{})
	asked(books, hs["a"], 1, "a", true)
	hs["a"].Want([]Demand{{"t", PPM, 0}})
	asked(books, hs["a"], 2, "a", true)
	asked(books, hs["a"], 3, "a", true)
	b.ReportAllocs()
	for range b.N {
		hs["a"].Part(4, "t")
	}
}

// Who is taken off the roster may go on with its part until its lease is surely over: nobody else is given that before.
func TestOffTheRoster(t *testing.T) {
	b, hs := fleet(Bugs{})
	now := int64(1)
	hs["a"].Want([]Demand{{"t", PPM, 0}})
	for range 3 {
		for _, name := range names {
			asked(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	hs["b"].Want([]Demand{{"t", PPM, 0}})
	end := now + 2_040_000
	for ; now < end+1_000_000; now += 200_000 {
		for _, name := range names[1:] {
			hs[name].Hear(now, 2_000_000, b.Grant(now, now+2_040_000, name, hs[name].Ask(now), names[1:]))
		}
		if sum := hs["a"].Part(now, "t") + hs["b"].Part(now, "t"); hs["a"].leased(now) && sum > PPM {
			t.Fatalf("%d us before its lease is over: %d in all", end-now, sum)
		}
	}
	if p := hs["b"].Part(now, "t"); p < 850_000 || b.holders["a"] != nil {
		t.Errorf("afterwards: %d; the books know it yet: %t", p, b.holders["a"] != nil)
	}
}

// A region has its part of every budget, and divides it as a fleet without regions does the whole.
func TestRegion(t *testing.T) {
	b, hs := NewBooks(1, 0, Bugs{}), map[string]*Holder{}
	b.Slots(4)
	for _, name := range names {
		hs[name] = NewHolder(10, Bugs{})
		hs[name].Region(400_000)
		if hs[name].Among() != 4 || hs[name].Part(1, "t") != 10_000 {
			t.Fatalf("%d slots, and %d without a lease", hs[name].Among(), hs[name].Part(1, "t"))
		}
	}
	now := int64(1)
	hs["a"].Want([]Demand{{"t", 370_000, 0}})
	for range 3 {
		for _, name := range names {
			asked(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	named, others, _ := hs["a"].Parts(now)
	if p := hs["a"].Part(now, "t"); p != 370_000 || named["t"] != p || others != 100_000 || hs["b"].Part(now, "t") != 10_000 {
		t.Errorf("%d, %v, %d", p, named, others)
	}
	// It has less from a version on: what it holds is scaled at once.
	hs["a"].Region(200_000)
	if p := hs["a"].Part(now, "t"); p > 185_000 || hs["a"].Among() != 2 {
		t.Errorf("of less: %d among %d", p, hs["a"].Among())
	}
}
