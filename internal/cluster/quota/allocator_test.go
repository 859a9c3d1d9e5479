package quota

import (
	"saffronquay/internal/cluster/quota/wire"
	"testing"

	"google.golang.org/protobuf/proto"
)

var names = []string{"a", "b", "c", "d"}

// request sends a holder's request, and delivers the answer to it if delivered is set.
func request(b *Allocator, h *Holder, now int64, from string, delivered bool) *wire.Grant {
	answer := b.Grant(now, now+2_040_000, from, h.Request(now), names)
	if delivered {
		h.HandleGrant(now, 2_000_000, answer)
	}
	g := &wire.Grant{}
	proto.Unmarshal(answer, g)
	return g
}

// fleet returns four holders and an allocator whose election was long ago.
func fleet(bugs Bugs) (*Allocator, map[string]*Holder) {
	b, hs := NewAllocator(1, 0, bugs), map[string]*Holder{}
	b.SetSlots(4)
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
				request(b, hs[name], now, name, true)
			}
			now += 500_000
		}
	}
	if p := hs["a"].Quota(now, "t"); p != 25_000 {
		t.Errorf("without a lease: %d", p)
	}
	round(2)
	if p := hs["a"].Quota(now, "t"); p != 250_000 {
		t.Errorf("with one: %d", p)
	}
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	round(3)
	if p := hs["a"].Quota(now, "t"); p != 925_000 {
		t.Errorf("who alone wants: %d", p)
	}
	// What is in use is not given away, although it is not wanted any more.
	hs["a"].SetDemand([]Demand{{"t", 0, 800_000}})
	hs["b"].SetDemand([]Demand{{"t", PPM, 0}})
	round(4)
	if a, b := hs["a"].Quota(now, "t"), hs["b"].Quota(now, "t"); a > 30_000 || b > 200_000 {
		t.Errorf("while it is in use: %d and %d", a, b)
	}
	hs["a"].SetDemand(nil)
	round(3)
	if p := hs["b"].Quota(now, "t"); p != 925_000 {
		t.Errorf("after it is not: %d", p)
	}
	// Without demand the division becomes even again after a while, and the budget is forgotten.
	hs["b"].SetDemand(nil)
	round(16)
	if len(b.budgets) != 0 || hs["c"].Quota(now, "t") != 250_000 {
		t.Errorf("%d teams are kept, and c has %d", len(b.budgets), hs["c"].Quota(now, "t"))
	}
	// Its lease is over.
	if p := hs["b"].Quota(now+5_000_000, "t"); p != 25_000 {
		t.Errorf("after the lease: %d", p)
	}
}

// A grant that is lost, duplicated or late is recorded as no less than its holder may use.
func TestLostGrants(t *testing.T) {
	b, hs := fleet(Bugs{})
	now := int64(1)
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	for range 3 {
		for _, name := range names {
			request(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	had := hs["a"].Quota(now, "t")
	hs["a"].SetDemand(nil)
	hs["b"].SetDemand([]Demand{{"t", PPM, 0}})
	for range 3 { // a hears nothing any more: it goes on with what it has
		request(b, hs["a"], now, "a", false)
		g := request(b, hs["b"], now, "b", true)
		if sum := hs["b"].Quota(now, "t") + hs["a"].Quota(now, "t"); sum > PPM || had < 900_000 {
			t.Errorf("%d in all, of a %d: %v", sum, had, g)
		}
		now += 300_000
	}
}

// A new allocator accepts a claim only if it was addressed to it, renews no more than that, and grants nothing else before all earlier leases
// are over. With the seeded bug it accepts claims sent before its election.
func TestNewAllocator(t *testing.T) {
	for _, bug := range []bool{false, true} {
		b, hs := fleet(Bugs{})
		now := int64(1)
		hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
		for range 3 {
			for _, name := range names {
				request(b, hs[name], now, name, true)
			}
			now += 500_000
		}
		next := NewAllocator(2, now+2_040_000, Bugs{AcceptsOldTerm: bug})
		next.SetSlots(4)
		if g := request(next, hs["a"], now, "a", true); g.Floor == bug {
			t.Errorf("a claim for another allocator: %v; bug %t", g, bug)
		}
		if bug {
			continue
		}
		if p := hs["a"].Quota(now, "t"); p != 925_000 {
			t.Errorf("it does not keep what it has: %d", p)
		}
		if g := request(next, hs["a"], now, "a", true); g.Floor || hs["a"].Quota(now, "t") != 925_000 {
			t.Errorf("its claim is not renewed: %v", g)
		}
		if request(next, hs["b"], now, "b", true); hs["b"].Quota(now, "t") > 30_000 {
			t.Errorf("b has %d", hs["b"].Quota(now, "t"))
		}
		// With another number of slots earlier grants are void, and requests by the old number get nothing.
		hs["c"].SetSlots(3)
		if g := request(next, hs["c"], now+3_000_000, "c", true); !g.Floor || hs["c"].Quota(now, "t") != FloorQuota(3) {
			t.Errorf("other slots: %v", g)
		}
	}
}

func BenchmarkPart(b *testing.B) {
	books, hs := fleet(Bugs{})
	request(books, hs["a"], 1, "a", true)
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	request(books, hs["a"], 2, "a", true)
	request(books, hs["a"], 3, "a", true)
	b.ReportAllocs()
	for range b.N {
		hs["a"].Quota(4, "t")
	}
}

// A gatherer that is taken off the roster may use its quota until its lease is over: it is granted to no other one before.
func TestOffTheRoster(t *testing.T) {
	b, hs := fleet(Bugs{})
	now := int64(1)
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	for range 3 {
		for _, name := range names {
			request(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	hs["b"].SetDemand([]Demand{{"t", PPM, 0}})
	end := now + 2_040_000
	for ; now < end+1_000_000; now += 200_000 {
		for _, name := range names[1:] {
			hs[name].HandleGrant(now, 2_000_000, b.Grant(now, now+2_040_000, name, hs[name].Request(now), names[1:]))
		}
		if sum := hs["a"].Quota(now, "t") + hs["b"].Quota(now, "t"); hs["a"].leased(now) && sum > PPM {
			t.Fatalf("%d us before its lease is over: %d in all", end-now, sum)
		}
	}
	if p := hs["b"].Quota(now, "t"); p < 850_000 || b.holders["a"] != nil {
		t.Errorf("afterwards: %d; the allocator still knows it: %t", p, b.holders["a"] != nil)
	}
}

// A region has a part of every budget, and divides it as a fleet without regions divides all of it.
func TestRegion(t *testing.T) {
	b, hs := NewAllocator(1, 0, Bugs{}), map[string]*Holder{}
	b.SetSlots(4)
	for _, name := range names {
		hs[name] = NewHolder(10, Bugs{})
		hs[name].SetRegion(400_000)
		if hs[name].Slots() != 4 || hs[name].Quota(1, "t") != 10_000 {
			t.Fatalf("%d slots, and %d without a lease", hs[name].Slots(), hs[name].Quota(1, "t"))
		}
	}
	now := int64(1)
	hs["a"].SetDemand([]Demand{{"t", 370_000, 0}})
	for range 3 {
		for _, name := range names {
			request(b, hs[name], now, name, true)
		}
		now += 500_000
	}
	named, others, _ := hs["a"].Quotas(now)
	if p := hs["a"].Quota(now, "t"); p != 370_000 || named["t"] != p || others != 100_000 || hs["b"].Quota(now, "t") != 10_000 {
		t.Errorf("%d, %v, %d", p, named, others)
	}
	// When the region's part shrinks, granted quotas are scaled at the same moment.
	hs["a"].SetRegion(200_000)
	if p := hs["a"].Quota(now, "t"); p > 185_000 || hs["a"].Slots() != 2 {
		t.Errorf("of less: %d among %d", p, hs["a"].Slots())
	}
}
