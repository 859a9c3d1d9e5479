package quota

import (
	"saffronquay/internal/cluster/quota/wire"
	"testing"

	"google.golang.org/protobuf/proto"
)

var names = []string{"a", "b", "c", "d"}

// request passes a holder's request to the allocator, and the answer to the holder if delivered is
// set.
func request(b *Allocator, h *Holder, now int64, from string, delivered bool) *wire.Grant {
	answer := b.Grant(now, now+2_040_000, from, h.Request(now), names)
	if delivered {
		h.HandleGrant(now, 2_000_000, answer)
	}
	g := &wire.Grant{}
	proto.Unmarshal(answer, g)
	return g
}

// newFleet returns four holders and an allocator that was elected long ago.
func newFleet(bugs Bugs) (*Allocator, map[string]*Holder) {
	b, hs := NewAllocator(1, 0, bugs), map[string]*Holder{}
	b.SetSlots(4)
	for _, name := range names {
		hs[name] = NewHolder(4, bugs)
	}
	return b, hs
}

// Quotas follow the demand, but a quota that is in use is not granted to another gatherer.
func TestAllocator_QuotasFollowDemand(t *testing.T) {
	b, hs := newFleet(Bugs{})
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
		t.Errorf("with a lease: %d", p)
	}
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	round(3)
	if p := hs["a"].Quota(now, "t"); p != 925_000 {
		t.Errorf("the only one with demand: %d", p)
	}
	// A quota in use is not granted to another gatherer, although there is no demand for it any
	// more.
	hs["a"].SetDemand([]Demand{{"t", 0, 800_000}})
	hs["b"].SetDemand([]Demand{{"t", PPM, 0}})
	round(4)
	if a, b := hs["a"].Quota(now, "t"), hs["b"].Quota(now, "t"); a > 30_000 || b > 200_000 {
		t.Errorf("while the quota is in use: %d and %d", a, b)
	}
	hs["a"].SetDemand(nil)
	round(3)
	if p := hs["b"].Quota(now, "t"); p != 925_000 {
		t.Errorf("after the quota was released: %d", p)
	}
	// Without demand the division becomes even again after idleAfter, and the budget is removed.
	hs["b"].SetDemand(nil)
	round(16)
	if len(b.budgets) != 0 || hs["c"].Quota(now, "t") != 250_000 {
		t.Errorf("%d budgets after idleAfter, and c has %d", len(b.budgets), hs["c"].Quota(now, "t"))
	}
	// Its lease has expired.
	if p := hs["b"].Quota(now+5_000_000, "t"); p != 25_000 {
		t.Errorf("after the lease: %d", p)
	}
}

// The allocator accounts for a grant that is lost with no less than its holder may use.
func TestAllocator_LostGrants(t *testing.T) {
	b, hs := newFleet(Bugs{})
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
	for range 3 { // a receives no answers and continues to use its quota
		request(b, hs["a"], now, "a", false)
		g := request(b, hs["b"], now, "b", true)
		if sum := hs["b"].Quota(now, "t") + hs["a"].Quota(now, "t"); sum > PPM || had < 900_000 {
			t.Errorf("sum of quotas %d, of which a had %d: %v", sum, had, g)
		}
		now += 300_000
	}
}

// A new allocator accepts a claim only if it was addressed to it, renews no more than that, and
// grants nothing else before all earlier leases have expired. With the seeded bug it accepts
// claims sent before its election.
func TestNewAllocator_RenewsClaimsOnly(t *testing.T) {
	for _, bug := range []bool{false, true} {
		b, hs := newFleet(Bugs{})
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
			t.Errorf("quota of a before its claim is renewed: %d", p)
		}
		if g := request(next, hs["a"], now, "a", true); g.Floor || hs["a"].Quota(now, "t") != 925_000 {
			t.Errorf("claim of a is not renewed: %v", g)
		}
		if request(next, hs["b"], now, "b", true); hs["b"].Quota(now, "t") > 30_000 {
			t.Errorf("quota of b without a claim: %d", hs["b"].Quota(now, "t"))
		}
		// With another number of slots earlier grants are void, and requests with a different
		// number get the floor.
		hs["c"].SetSlots(3)
		if g := request(next, hs["c"], now+3_000_000, "c", true); !g.Floor || hs["c"].Quota(now, "t") != FloorQuota(3) {
			t.Errorf("after a change of slots: %v", g)
		}
	}
}

func BenchmarkHolderQuota(b *testing.B) {
	allocator, hs := newFleet(Bugs{})
	request(allocator, hs["a"], 1, "a", true)
	hs["a"].SetDemand([]Demand{{"t", PPM, 0}})
	request(allocator, hs["a"], 2, "a", true)
	request(allocator, hs["a"], 3, "a", true)
	b.ReportAllocs()
	for range b.N {
		hs["a"].Quota(4, "t")
	}
}

// A gatherer that is removed from the roster may use its quota until its lease expires: it is not
// granted to another gatherer before.
func TestAllocator_MemberOffRoster(t *testing.T) {
	b, hs := newFleet(Bugs{})
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
			t.Fatalf("%d us before the lease expires: sum of quotas %d", end-now, sum)
		}
	}
	if p := hs["b"].Quota(now, "t"); p < 850_000 || b.holders["a"] != nil {
		t.Errorf("after the lease expired: %d; holder still in the allocator: %t", p, b.holders["a"] != nil)
	}
}

// A region has a share of every budget, and divides it like a fleet without regions divides the
// complete budget.
func TestHolder_Region(t *testing.T) {
	b, hs := NewAllocator(1, 0, Bugs{}), map[string]*Holder{}
	b.SetSlots(4)
	for _, name := range names {
		hs[name] = NewHolder(10, Bugs{})
		hs[name].SetRegion(400_000)
		if hs[name].Slots() != 4 || hs[name].Quota(1, "t") != 10_000 {
			t.Fatalf("%d slots, quota without a lease %d", hs[name].Slots(), hs[name].Quota(1, "t"))
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
		t.Errorf("quota %d, named quotas %v, others %d", p, named, others)
	}
	// When the region's share decreases, granted quotas are scaled immediately.
	hs["a"].SetRegion(200_000)
	if p := hs["a"].Quota(now, "t"); p > 185_000 || hs["a"].Slots() != 2 {
		t.Errorf("with a smaller share: quota %d, %d slots", p, hs["a"].Slots())
	}
}
