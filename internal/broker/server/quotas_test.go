package server

import (
	"math"
	"math/rand/v2"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/cluster/quota"
	"testing"
)

var tree = &admission.Config{Cores: 10, Gatherers: 4, Oversubscription: 1, Teams: []admission.Team{
	{Name: "north", Weight: 3},
	{Name: "a", Parent: "north", Weight: 1},
	{Name: "b", Parent: "north", Weight: 2},
	{Name: "c", Weight: 1},
}}

// For random quotas the limits on servers that warm up sum to at most 1 over all gatherers. With even
// quotas each gatherer has an even part of the limit.
func TestAggregators_DividesWarmUpLimit(t *testing.T) {
	even := newBudgetQuotas(4, quota.PPM)
	even.otherQuota = quota.EvenQuota(4)
	if n := even.aggregators(tree); n != 4 {
		t.Errorf("even quotas: %d aggregators, want 4", n)
	}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		left := map[string]uint32{"a": quota.PPM, "b": quota.PPM, "c": quota.PPM}
		sum := 0.0
		for range 4 {
			p := newBudgetQuotas(4, quota.PPM)
			p.teamQuotas, p.otherQuota = map[string]uint32{}, quota.EvenQuota(4)
			for team, l := range left {
				part := uint32(rng.Float64() * float64(l))
				p.teamQuotas[team], left[team] = part, l-part
			}
			sum += 1 / float64(p.aggregators(tree))
		}
		if sum > 1+1e-9 {
			t.Errorf("seed %d: the warm-up limits sum to %.4f, want at most 1", seed, sum)
		}
	}
}

// Two gatherers between which a team's quota moves never spend more free attempts in a window than the
// contract allows.
func TestDivideBudgets_FreeAttemptsPerWindow(t *testing.T) {
	const window = 10_000_000
	all := map[string]core.Budget{"a": {Free: 12, Window: window}}
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		two := []*budgetQuotas{newBudgetQuotas(4, quota.PPM), newBudgetQuotas(4, quota.PPM)}
		extras := [2][]float64{} // times at which each gatherer spent a free attempt
		to, next := 0, int64(0)
		for now := int64(1); now < 120_000_000; now += 250_000 {
			if now >= next {
				to, next = 1-to, now+rng.Int64N(25_000_000)
			}
			for i, p := range two {
				p.teamQuotas = map[string]uint32{"a": 100_000}
				if i == to {
					p.teamQuotas["a"] = 900_000
				}
				free := p.divideBudgets(now, all, tree)["a"].Free
				recent := 0
				for _, at := range extras[i] {
					if at > float64(now-window) {
						recent++
					}
				}
				for ; float64(recent+1) <= free; recent++ { // the rule by which the core limits them
					extras[i] = append(extras[i], float64(now))
				}
			}
			sum := 0
			for _, e := range extras {
				for _, at := range e {
					if at > float64(now-window) {
						sum++
					}
				}
			}
			if sum > 12 {
				t.Fatalf("seed %d: %d free attempts in the window that ends at %d, want at most 12", seed, sum, now)
			}
		}
		if len(extras[0])+len(extras[1]) < 20 {
			t.Errorf("seed %d: %d free attempts spent, want at least 20", seed, len(extras[0])+len(extras[1]))
		}
	}
}

func TestDemands(t *testing.T) {
	p := newBudgetQuotas(4, quota.PPM)
	p.otherQuota = quota.EvenQuota(4)
	got := p.demands([]admission.TeamStatus{{Team: "idle", Budget: 10}, {Team: "works", Budget: 10, InFlight: 2}, {Team: "waits", Budget: 10, InFlight: 2, Queued: 3}}, p.quotaOf(4))
	if len(got) != 2 || got[0] != (quota.Demand{Team: "works", Want: 200_000, Used: 200_000}) || got[1].Want != 500_000 || math.Abs(float64(got[1].Used)-200_000) > 1 {
		t.Errorf("%+v", got)
	}
}
