package saffronquay

import (
	"slices"
	"testing"
)

// Tests of an aggregator that rarely uses each of many servers.

// queryWithReports sends a number of queries of one part, with IDs from id on. Each part that is
// sent is served after a time, with the given latency and reported queue length.
func (sc *script) queryWithReports(id ID, queries int, queue float64, after, latency int64) {
	for range queries {
		for _, s := range of[Send](sc.step(200*ms, sc.request(id, 100*ms)...)) {
			done := served(s, 0, latency)
			done.Report = &LoadReport{Queue: queue, InFlight: -1}
			sc.step(after, done)
		}
		id += 10
	}
}

func TestReportedWork_UnknownServerUsesFleetMean(t *testing.T) {
	cfg := oneCell()
	sc := newScript(t, cfg, "a", "b")
	sc.queryWithReports(100, 30, 10, 10*ms, 700*ms)
	sc.step(1000*ms, FleetChanged{Kind: FleetDelta, Servers: []Server{{ID: "new", Health: Ready}}})
	if w := sc.s.predictWait(sc.s.servers["new"]); w < 300*ms {
		t.Errorf("predicted wait %v us at a server without reports, want at least 300 ms as at the others", w)
	}
	sc.now += 60_000 * ms
	sc.queryWithReports(1000, 80, 0, 10*ms, 100*ms)
	if w := sc.s.predictWait(sc.s.servers["new"]); w > 50*ms {
		t.Errorf("predicted wait %v us at a server without reports after the others became idle, want at most 50 ms", w)
	}
}

// wastedHedges has every fifth query overdue, with hedges that are not served before the first
// attempt, and returns the number of hedges of the last overdue query.
func wastedHedges(t *testing.T, cfg Settings, rounds int) int {
	t.Helper()
	sc := newScript(t, cfg, "a", "b")
	id, hedges := ID(100), 0
	for range rounds {
		for range 4 {
			s := of[Send](sc.step(10*ms, sc.request(id, 100*ms)...))[0]
			sc.step(100*ms, served(s, 0, 100*ms))
			id += 10
		}
		first := of[Send](sc.step(10*ms, sc.request(id, 100*ms)...))[0]
		hedges = len(of[Send](sc.run(850 * ms)))
		for _, c := range of[Cancel](sc.step(0, served(first, 0, 850*ms))) {
			sc.step(0, AttemptEnded{Part: c.Part, Attempt: c.Attempt, Outcome: Cancelled, Latency: 150 * ms})
		}
		id += 10
	}
	return hedges
}

func TestHedging_LimitedAfterWastedHedges(t *testing.T) {
	cfg := plain()
	cfg.Limits.Hedging = true
	if first := wastedHedges(t, cfg, 1); first != 1 {
		t.Fatalf("%d hedges of the first overdue part, want 1", first)
	}
	if last := wastedHedges(t, cfg, 12); last > 0 {
		t.Errorf("%d hedges after eleven wasted ones, want 0", last)
	}
}

func TestSend_TimeoutWhenValueEnds(t *testing.T) {
	for _, tc := range []struct {
		late float64
		want int64
	}{{0, 1000 * ms}, {0.1, 3000 * ms}} {
		cfg := plain()
		cfg.Classes[0].LateValue = tc.late
		sc := newScript(t, cfg, "a", "b")
		if s := of[Send](sc.step(0, sc.request(100, 100*ms)...)); len(s) != 1 || s[0].Timeout != tc.want {
			t.Errorf("late value %v: %v, want a timeout of %d us", tc.late, s, tc.want)
		}
	}
}

func TestReportedWork_DecaysWithoutReports(t *testing.T) {
	sc := newScript(t, oneCell(), "a", "b")
	sc.queryWithReports(100, 20, 40, 900*ms, 900*ms)
	if got := sc.step(10*ms, sc.request(800, 100*ms)...); len(of[Refuse](got)) != 1 {
		t.Fatalf("query with a latency target of 1 s admitted with 4 s of reported work at every server: %v", got)
	}
	// No parts were sent since, so there were no further reports.
	sc.now += 30_000 * ms
	if got := sc.step(10*ms, sc.request(900, 100*ms)...); len(of[Send](got)) != 1 {
		t.Errorf("query refused 30 s after the last report: %v", got)
	}
}

func TestDispatch_LatePartsOnlyUpToMinWeight(t *testing.T) {
	for _, tc := range []struct {
		name      string
		minWeight float64
		want      int
	}{{"half of the parts suffice", 0.5, 1}, {"all parts are needed", 1, 2}} {
		sc := newScriptWithBusyHolder(t, tc.minWeight, 1200*ms)
		got := of[Send](sc.step(ms, sc.request(200, 100*ms, 100*ms)...))
		if len(got) != tc.want || !slices.ContainsFunc(got, func(s Send) bool { return s.Part == 202 }) {
			t.Errorf("%s: sent %v, want %d parts, one of them 202", tc.name, got, tc.want)
		}
	}
}

// All aggregators together, one of them with nearly all traffic, stay within the overload rule for
// a warming server of one core while the warm servers are fully busy.
func TestSlowStart_SumOverAggregatorsWithinRule(t *testing.T) {
	cfg := oneCell()
	cfg.Aggregators = 8
	cfg.Rules.OverloadMultiple = 2
	sum := 0.0
	for self := range cfg.Aggregators {
		cfg.Self = self
		sc := newScript(t, cfg, "warm")
		sc.now += 100_000 * ms
		sc.step(0, FleetChanged{Kind: FleetDelta, Servers: []Server{{ID: "cold", Health: Ready, StartedAt: sc.now}}})
		carried := 0.1 / float64(cfg.Aggregators-1)
		if self == 0 {
			carried = 0.9
		}
		sc.s.servedWork, sc.s.servedWorkAt = carried*float64(cfg.Rules.WarmUp), sc.now
		permitted := 0.0
		p := &part{Part: Part{Work: ms}, query: &query{class: &sc.s.cfg.Classes[0]}}
		for r := sc.s.servers["cold"]; sc.s.hasWarmUpCapacity(p, r); permitted += ms {
			r.warmUpSends = append(r.warmUpSends, warmUpSend{sc.now, ms})
		}
		sum += permitted
	}
	limit := cfg.Rules.OverloadMultiple * cfg.Rules.SlowStartFraction * float64(cfg.Rules.OverloadWindow)
	if sum > limit {
		t.Errorf("%v us of work may be sent to a warming server within a window, the rule allows %v", sum, limit)
	}
	if sum < limit/4 {
		t.Errorf("%v us of work may be sent to a warming server, want at least a quarter of %v", sum, limit)
	}
}

func TestQuotaValue_TenantOverQuota(t *testing.T) {
	cfg := plain()
	cfg.Tenants, cfg.OverQuotaValue = []Tenant{{Name: "big", Quota: 1}, {Name: "small", Quota: 9}}, 0.1
	sc := newScript(t, cfg, "a", "b")
	asTenant := func(id ID, tenant string) []Event {
		return withQuery(sc.request(id, ms), func(q *Query) { q.Tenant = tenant })
	}
	for id := ID(100); id < 1000; id += 10 { // all queries are of the tenant with a tenth of the quota
		for _, s := range of[Send](sc.step(10*ms, asTenant(id, "big")...)) {
			sc.step(ms, served(s, 0, ms))
		}
	}
	valueOf := func(tenant string) float64 { return sc.s.quotaValue(&query{Query: Query{Tenant: tenant}}) }
	if big := valueOf("big"); big > 0.35 || big < cfg.OverQuotaValue {
		t.Errorf("tenant with ten times its quota keeps %v of its value, want OverQuotaValue to 0.35", big)
	}
	if small, other := valueOf("small"), valueOf("unheard of"); small != 1 || other != 1 {
		t.Errorf("tenants within their quota keep %v and %v of their value, want 1", small, other)
	}
}
