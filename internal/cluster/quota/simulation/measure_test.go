package simulation

import (
	"fmt"
	"runtime"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/testing/harness"
	"testing"
)

// Measures the network cost of dividing budgets: the number of bytes per gatherer and second is
// bounded. Budget shares are sent in the lease messages; the number of messages is logged.
func TestMeasure(t *testing.T) {
	sizes := []int{30, 300}
	if harness.RaceEnabled {
		sizes = sizes[:1]
	}
	for _, n := range sizes {
		r, err := Run(Config{Seed: 1, Gatherers: n})
		if err != nil || r.OverBudget > 0 {
			t.Fatalf("run: error %v, first violation %q; want neither", err, r.First)
		}
		per := 26 * float64(n)
		t.Logf("gatherers=%d busy=12 messages_a_gatherer_s=%.1f share_bytes_a_gatherer_s=%.0f", n, float64(r.Policy.Messages)/per, float64(r.Policy.QuotaBytes)/per)
		if bytes := float64(r.Policy.QuotaBytes) / per; bytes > 20_000 {
			t.Errorf("%.0f bytes per gatherer and second, want at most 20000", bytes)
		}
	}
}

// BenchmarkGrant measures a grant to one of 300 gatherers with twelve busy teams.
func BenchmarkGrant(b *testing.B) {
	allocator, names := quota.NewAllocator(1, 0, quota.Bugs{}), []string{}
	allocator.SetSlots(300)
	holders := []*quota.Holder{}
	for i := range 300 {
		h := quota.NewHolder(300, quota.Bugs{})
		var demand []quota.Demand
		for team := range 12 {
			demand = append(demand, quota.Demand{Team: fmt.Sprintf("team-%d", team), Want: uint32(3000 + 500*((i+team)%5))})
		}
		h.SetDemand(demand)
		names, holders = append(names, fmt.Sprintf("n%03d", i)), append(holders, h)
	}
	now := int64(1)
	b.ReportAllocs()
	for i := range b.N {
		now += 2000
		h := holders[i%300]
		h.HandleGrant(now, 2_000_000, allocator.Grant(now, now+2_040_000, names[i%300], h.Request(now), names))
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	b.ReportMetric(float64(m.HeapAlloc)/1024, "heap_kB")
	runtime.KeepAlive(allocator)
}
