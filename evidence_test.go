package saffronquay

import (
	"fmt"
	"math"
	"testing"
)

// fleetOf returns a server list from zones by server. In a deployment of one cell, each server has
// every shard.
func fleetOf(zones map[ServerID]string) FleetChanged {
	f := FleetChanged{Kind: FleetCached}
	for _, id := range []ServerID{"a1", "a2", "a3", "b1", "b2", "b3"} {
		if z, ok := zones[id]; ok {
			f.Servers = append(f.Servers, Server{ID: id, Zone: z, Health: Ready})
		}
	}
	return f
}

func oneCell() Settings {
	cfg := plain()
	cfg.Shards, cfg.Cells, cfg.CellsPerShard = 1, 1, 1
	return cfg
}

func TestFailureRisk_ZonePriorForUntriedServers(t *testing.T) {
	sc := newScript(t, oneCell())
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"}))
	for id := ID(100); id < 140; id += 2 { // zone b answers, zone a is unreachable from this aggregator
		events := sc.request(id, 10*ms)
		s := of[Send](sc.step(100*ms, events...))[0]
		for n := 0; ; n++ {
			if s.Server[0] == 'b' {
				sc.step(10*ms, served(s, n, 10*ms))
				break
			}
			again := of[Send](sc.step(ms, AttemptEnded{Part: s.Part, Attempt: n, Server: s.Server, Outcome: Unreachable}))
			if len(again) == 0 {
				break
			}
			s = again[0]
		}
	}
	// An untried server joins in each zone: the one in the reachable zone gets the part.
	sc.step(0, fleetOf(map[ServerID]string{"a3": "a", "b3": "b"}))
	if s := of[Send](sc.step(ms, sc.request(900, 10*ms)...)); len(s) != 1 || s[0].Server != "b3" {
		t.Fatalf("want b3, got %v", s)
	}
}

func TestFailureRisk_PerClass(t *testing.T) {
	cfg := oneCell()
	other := cfg.Classes[0]
	other.Name = "other"
	cfg.Classes = append(cfg.Classes, other)
	sc := newScript(t, cfg)
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	for id := ID(100); id < 120; id += 2 {
		es := sc.request(id, 10*ms)
		out := Errored
		if id%4 == 0 {
			q := es[0].(Query)
			q.Class, out = "other", Served
			es[0] = q
		}
		s := of[Send](sc.step(ms, es...))[0]
		sc.step(ms, AttemptEnded{Part: s.Part, Server: s.Server, Outcome: out, Latency: 10 * ms}, ClientLeft{Query: id})
	}
	r := sc.s.servers["a1"]
	if bad, good := sc.s.failureRisk("q", r), sc.s.failureRisk("other", r); bad < 0.5 || good > 0.35 {
		t.Errorf("failure risk %v for the failing class, %v for the other, want >= 0.5 and <= 0.35", bad, good)
	}
}

func TestFailureRisk_PersistsUntilRestart(t *testing.T) {
	sc := newScript(t, oneCell())
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	r := sc.s.servers["a1"]
	p := &part{query: &query{class: &sc.s.cfg.Classes[0]}}
	for i := range 15 { // one attempt in five fails
		failed := 0.0
		if i%5 == 0 {
			failed = 1
		}
		sc.s.recordOutcome(p, r, failed)
	}
	if got := sc.s.failureRisk("q", r); got < 0.08 || got > 0.4 {
		t.Errorf("failure risk %v of a server that fails one attempt in five, want 0.08 to 0.4", got)
	}
	sc.step(ms, FleetChanged{Kind: FleetDelta, Servers: []Server{{ID: "a1", Zone: "a", Health: Ready, StartedAt: sc.now}}})
	if got := r.failureRate.count; got != 0 {
		t.Errorf("%v attempts of the former process count for the new one, want 0", got)
	}
}

func TestEvidenceSpan_GrowsWithSendInterval(t *testing.T) {
	for _, tc := range []struct {
		every  int64
		longer bool
	}{{20 * ms, false}, {2000 * ms, true}} {
		t.Run(fmt.Sprint(tc.every), func(t *testing.T) {
			sc := newScript(t, oneCell())
			sc.step(0, fleetOf(map[ServerID]string{"a1": "a", "a2": "a", "b1": "b"}))
			for id := ID(100); id < 200; id += 2 {
				s := of[Send](sc.step(tc.every, sc.request(id, 10*ms)...))[0]
				sc.step(10*ms, served(s, 0, 10*ms))
			}
			if got := sc.s.evidenceSpan > 2*sc.s.shortestTarget; got != tc.longer {
				t.Errorf("evidence span is %d us with an attempt every %d us", sc.s.evidenceSpan, tc.every)
			}
		})
	}
}

func TestRestart_DeferredUntilNearLatencyTarget(t *testing.T) {
	sc := newScript(t, plain(), "a", "b")
	sc.step(0, sc.request(100, 100*ms)...)
	if c := of[Cancel](sc.run(600 * ms)); len(c) > 0 {
		t.Errorf("cancelled with half the latency target left: %v", c)
	}
	if c := of[Cancel](sc.run(350 * ms)); len(c) == 0 {
		t.Error("the part was not cancelled before the latency target")
	}
}

// If this aggregator stalls for longer than the latency target, it gets all events of that time at
// once. Servers that answered in time must not count as failing, and no part may be sent twice.
func TestStep_OwnStallDoesNotBlameServers(t *testing.T) {
	sc := newScript(t, plain(), "a", "b")
	a := of[Send](sc.step(0, sc.request(100, 50*ms, 50*ms)...))
	got := sc.step(1500*ms, served(a[0], 0, 60*ms), served(a[1], 0, 60*ms))
	if n := len(of[Send](got)) + len(of[Cancel](got)); n > 0 {
		t.Errorf("parts were sent or cancelled after a stall: %v", got)
	}
	for id, r := range sc.s.servers {
		if r.failureRate.sum > 0 || r.mostlyFailing {
			t.Errorf("server %s has failures recorded after the stall", id)
		}
	}
}

func TestIdleConnections_BreakWithinSoundIdleTimeIsFailure(t *testing.T) {
	sc := newScript(t, plain(), "a", "b")
	for id := ID(100); id < 140; id += 2 {
		s := of[Send](sc.step(700*ms, sc.request(id, 10*ms)...))[0]
		sc.step(10*ms, served(s, 0, 10*ms))
	}
	s := of[Send](sc.step(400*ms, sc.request(900, 10*ms)...))[0]
	sc.step(ms, broken(s, 0))
	if r := sc.s.servers[s.Server]; r.failureRate.sum == 0 {
		t.Error("break attributed to the idle connection, although connections idle for longer work")
	}
}

func BenchmarkStep(b *testing.B) {
	for _, servers := range []int{12, 100, 400} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg := plain()
			cfg.Shards, cfg.Cells, cfg.CellsPerShard, cfg.Aggregators = servers, servers, 3, 40
			cfg.Classes[0].LatencyTarget, cfg.Classes[0].HardLimit = 1e9, 3e9
			s, err := New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			f := FleetChanged{Kind: FleetCached}
			for i := range servers {
				f.Servers = append(f.Servers, Server{ID: ServerID(fmt.Sprint("s", i)), Zone: fmt.Sprint(i % 3), Cell: i, Health: Ready})
			}
			now, id := int64(1_000_000), ID(1)
			s.Step(now, []Event{f})
			for range 20 { // 200 open parts
				es := []Event{Query{ID: id, Group: int64(id), Class: "q", Deadline: now + 3e9}}
				for i := range 10 {
					es = append(es, Part{ID: id + ID(i) + 1, Group: int64(id), Shard: int(id) % servers, Weight: 0.1, Work: 100 * ms})
				}
				id += 11
				s.Step(now, es)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 5 * ms
				s.Step(now, []Event{TimerFired{}})
			}
		})
	}
}

// If one client in ten leaves early, the other clients' queries must not be refused.
func TestClientWait_ToleratesFewEarlyLeavers(t *testing.T) {
	sc := newScript(t, oneCell())
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	for i := range ID(40) {
		s := of[Send](sc.step(50*ms, sc.request(100+10*i, 10*ms)...))
		if len(s) != 1 {
			t.Fatalf("query %d: %d sends", i, len(s))
		}
		if i%10 == 9 {
			sc.step(10*ms, ClientLeft{Query: 100 + 10*i})
			sc.step(0, AttemptEnded{Part: s[0].Part, Server: "a1", Outcome: Cancelled, Latency: 10 * ms})
		} else {
			sc.step(10*ms, served(s[0], 0, 10*ms))
		}
	}
	if w := sc.s.expectedClientWait(&sc.s.cfg.Classes[0]); w < 800*ms {
		t.Errorf("clients are expected to wait %v ms, want at least 800", w/ms)
	}
}

// Attempts stranded with their connection are no evidence against the server, but they may have
// run.
func TestStrandedAttempts_NoServerFailureRecorded(t *testing.T) {
	cfg := oneCell()
	cfg.Classes[0].Effect = AtMostOnce
	sc := newScript(t, cfg)
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	for id := ID(100); id < 140; id += 2 {
		s := of[Send](sc.step(ms, sc.request(id, 10*ms)...))[0]
		got := sc.step(500*ms, AttemptEnded{Part: s.Part, Server: s.Server, Outcome: ConnectionClosed, Latency: 500 * ms})
		if len(of[Fail](got)) != 1 || len(of[Send](got)) != 0 {
			t.Fatalf("want one Fail and no Send, got %v", got)
		}
	}
	if p := sc.s.failureRisk("q", sc.s.servers["a1"]); p > 0.01 {
		t.Errorf("failure risk %v, want at most 0.01", p)
	}
}

// The statistics of a server's former process must not apply to the process that replaces it.
func TestFleetChanged_RestartResetsServerStatistics(t *testing.T) {
	sc := newScript(t, oneCell())
	list := FleetChanged{Kind: FleetFull, Servers: []Server{{ID: "a1", Health: Ready}}}
	sc.step(0, list)
	s := of[Send](sc.step(ms, sc.request(100, 10*ms)...))[0]
	sc.step(400*ms, AttemptEnded{
		Part: s.Part, Server: s.Server, Outcome: Served, Latency: 400 * ms,
		Report: &LoadReport{Queue: 9, InFlight: -1},
	})
	list.Servers[0].StartedAt = sc.now
	sc.step(ms, list)
	r := sc.s.servers["a1"]
	if r.latencyRatio != 0 || r.foreignWork != 0 || r.lastUsedAt != 0 || sc.s.warmUpFraction(r) > 0.5 {
		t.Errorf("latency ratio %v, foreign work %v, last used %d, warm-up fraction %v", r.latencyRatio, r.foreignWork, r.lastUsedAt, sc.s.warmUpFraction(r))
	}
}

// Keys that were served while some key was blocked are dropped after they expire, even if no query
// is refused.
func TestSweep_DropsExpiredKeysWithoutRefusals(t *testing.T) {
	sc := newScript(t, oneCell())
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	sc.s.blockKey("bad")
	for id := ID(100); id < 2100; id += 2 {
		s := of[Send](sc.step(20*ms, withKey(sc.request(id, ms), fmt.Sprint("key", id))...))
		sc.step(ms, served(s[0], 0, ms))
	}
	sc.run(20_000 * ms)
	if n := len(sc.s.keys); n > 0 {
		t.Errorf("%d keys remain, want 0", n)
	}
}

// An attempt that is never answered makes its server look unresponsive only until an attempt sent
// after its due time is served. Otherwise a server would be avoided because of one broken
// connection.
func TestUnresponsiveFor_IgnoresLostAttemptAfterLaterSuccess(t *testing.T) {
	sc := newScript(t, oneCell())
	sc.step(0, fleetOf(map[ServerID]string{"a1": "a"}))
	r := sc.s.servers["a1"]
	lost := of[Send](sc.step(ms, sc.request(100, 10*ms)...))
	if len(lost) != 1 {
		t.Fatal(sc.got)
	}
	sc.step(200 * ms)
	if w := sc.s.predictWait(r); w < 200*ms {
		t.Errorf("predicted wait %v with an overdue part, want at least 200 ms", w)
	}
	s := of[Send](sc.step(ms, sc.request(200, 10*ms)...))
	sc.step(10*ms, served(s[0], 0, 10*ms))
	if w := sc.s.predictWait(r); w > 100*ms {
		t.Errorf("predicted wait %v after a later part was served, want at most 100 ms", w)
	}
}

// Settings change while queries are open. Guards against applying the rules of a changed class to
// open queries, against losing the statistics of classes that change their order, and against
// keeping those of removed classes.
func TestSettingsChanged_OpenQueriesAndClassStatistics(t *testing.T) {
	cfg := plain()
	cfg.Limits.MaxAttempts = 3
	other := cfg.Classes[0]
	other.Name = "other"
	cfg.Classes = append(cfg.Classes, other)
	sc := newScript(t, cfg, "a", "b")
	open := of[Send](sc.step(ms, sc.request(100, 10*ms)...))[0]
	sc.s.recordClientLeft(&query{class: sc.s.classes["other"], arrivedAt: sc.now - 100*ms, Query: Query{Deadline: sc.now + 1e9}})
	sc.s.servers["a"].classFailureRate(sc.s.classes["other"]).add(sc.now, 1000*ms, 1)
	now := cfg
	now.Limits.MaxAttempts = 2
	strict := cfg.Classes[0]
	strict.Effect = AtMostOnce
	now.Classes = []Class{{Name: "new", LatencyTarget: 500 * ms, HardLimit: 9000 * ms, Value: 1, CompleteWeight: 1, MinWeight: 1}, other, strict}
	sc.step(ms, SettingsChanged{Settings: now})
	if k := sc.s.statsOf(&other); k.clientLeftAt == 0 || sc.s.servers["a"].classFailureRates["other"].count == 0 {
		t.Error("statistics of a remaining class were dropped")
	}
	// The open query keeps its effect, so its part may be repeated, but the new MaxAttempts applies.
	fail := func(s Send, n int) []Action {
		return sc.step(ms, AttemptEnded{Part: s.Part, Attempt: n, Server: s.Server, Outcome: Errored, Latency: ms})
	}
	again := of[Send](fail(open, 0))
	if len(again) != 1 {
		t.Fatalf("want one more attempt of the open query, got %v", sc.got)
	}
	if got := fail(again[0], 1); len(of[Send](got)) != 0 || len(of[Refuse](got)) != 1 {
		t.Errorf("want a refusal after two attempts, got %v", got)
	}
	// A new query has the stricter effect.
	if got := fail(of[Send](sc.step(ms, sc.request(200, 10*ms)...))[0], 0); len(of[Send](got)) != 0 || len(of[Fail](got)) != 1 {
		t.Errorf("want a failure after one attempt, got %v", got)
	}
	// The statistics of a removed class are dropped after its last query has ended.
	sc.step(ms, append(sc.request(300, 10*ms), SettingsChanged{Settings: Settings{
		Aggregators: 1, Period: 5 * ms, Shards: 2, Cells: 2,
		CellsPerShard: 2, Classes: []Class{other}, Limits: now.Limits, Rules: now.Rules,
	}})...)
	sc.s.sweptAt = 0
	if sc.step(ms); sc.s.statsByClass["q"] == nil {
		t.Error("statistics of a class with an open query were dropped")
	}
	sc.step(ms, ClientLeft{Query: 300})
	sc.s.sweptAt = 0
	sc.step(ms)
	if len(sc.s.statsByClass) != 1 || len(sc.s.servers["a"].classFailureRates)+len(sc.s.servers["b"].classFailureRates) > 2 {
		t.Errorf("statistics of removed classes remain: %v", sc.s.statsByClass)
	}
	for _, r := range sc.s.servers {
		if r.classFailureRates["q"] != nil {
			t.Error("a server has statistics of a removed class")
		}
	}
}

// Rotation returns the length of the server list and the number of servers that are avoided.
func TestScheduler_RotationCounts(t *testing.T) {
	sc := newScript(t, plain(), "fine", "drains", "unresponsive", "gone")
	want := func(listed, out int) {
		t.Helper()
		if l, o := sc.s.Rotation(); l != listed || o != out {
			t.Errorf("%d servers listed, %d avoided; want %d, %d", l, o, listed, out)
		}
	}
	want(4, 0)
	sc.step(ms, FleetChanged{Kind: FleetDelta, Servers: []Server{{ID: "drains", Health: Draining, Cell: 1}, {ID: "gone", Health: Gone, Cell: 1}}})
	want(3, 1)
	r := sc.s.servers["unresponsive"]
	r.attempts = append(r.attempts, &attempt{replica: r, sentAt: sc.now, predicted: 10 * ms})
	sc.step(900 * ms)
	want(3, 1)
	sc.step(200 * ms)
	want(3, 2)
	r.attempts = nil
	for range 5 {
		sc.s.recordOutcome(&part{query: &query{class: sc.s.classes["q"]}}, sc.s.servers["fine"], 1)
	}
	want(3, 2)
}

// After a handover, blocked keys stay blocked, admission stays as strict as before, and the free
// part of the budget is not spent twice.
func TestSnapshotRestored_KeysAdmissionAndBudget(t *testing.T) {
	before := newScript(t, plain(), "a")
	before.s.blockKey("bad")
	before.s.adjustAdmission(&query{class: &before.s.cfg.Classes[0], admitted: true}, false)
	l := before.s.Snapshot()
	if l.Admission < 0.7 || l.Admission > 0.8 || l.Suspects["bad"] != before.now {
		t.Fatalf("handed-over state %+v, want admission 0.7 to 0.8 and the blocked key", l)
	}
	l.Suspects["old"], l.Suspects["ahead"] = before.now-1e9, before.now+1e9
	cfg := plain()
	cfg.Rules.Budgeted, cfg.Rules.FreeExtraAttempts, cfg.Rules.ExtraAttemptWindow = true, 5, 100*ms
	sc := newScript(t, cfg, "a")
	sc.step(ms, SnapshotRestored{l})
	if got := sc.s.currentSlack() / sc.s.openSlack; got < 0.7 || got > 0.8 {
		t.Errorf("admission %v, want 0.7 to 0.8", got)
	}
	es := sc.request(100, 10*ms)
	q := es[0].(Query)
	q.Key = "bad"
	es[0] = q
	if got := of[Refuse](sc.step(ms, es...)); len(got) != 1 {
		t.Errorf("want the query of a blocked key refused, got %v", sc.got)
	}
	if len(sc.s.keys) != 1 {
		t.Errorf("want one key, got %v", sc.s.keys)
	}
	if sc.s.extraAttemptBudget() != 0 {
		t.Errorf("budget %v within the first window, want 0", sc.s.extraAttemptBudget())
	}
	sc.step(200 * ms)
	if sc.s.extraAttemptBudget() != 5 {
		t.Errorf("budget %v after the first window, want 5", sc.s.extraAttemptBudget())
	}
}

// After a handover, the statistics of servers keep their age and are dropped for servers that have
// restarted since. Times in the future count as now, and implausible values are ignored.
func TestSnapshotRestored_ServerStatistics(t *testing.T) {
	before := newScript(t, plain(), "slow", "bad", "new")
	r := before.s.servers["slow"]
	r.latencyRatio, r.latencyRatioAt = 3, before.now
	before.s.servers["bad"].failureRate = decayingMean{sum: 8, count: 9, at: before.now}
	before.s.servers["new"].failureRate = decayingMean{sum: 8, count: 9, at: before.now}
	l := before.s.Snapshot()
	if len(l.Servers) != 3 || l.Servers[2].Server != "slow" || l.Servers[2].LatencyRatio != 3 {
		t.Fatalf("handed-over servers %+v, want three with a latency ratio of 3 for the slow one", l.Servers)
	}
	at := func(age int64) *script {
		sc := newScript(t, plain(), "slow", "bad", "new")
		sc.s.servers["new"].StartedAt = before.now + 1
		sc.now = before.now + age
		sc.step(0, SnapshotRestored{l})
		return sc
	}
	young, old := at(ms), at(100*before.s.evidenceSpan)
	if got := young.s.latencyRatioOf(young.s.servers["slow"]); got < 2.5 {
		t.Errorf("latency ratio %v, want at least 2.5", got)
	}
	if got := old.s.latencyRatioOf(old.s.servers["slow"]); got > 1.5 {
		t.Errorf("latency ratio %v after 100 evidence spans, want at most 1.5", got)
	}
	rate := func(sc *script, id ServerID) float64 {
		return sc.s.servers[id].failureRate.mean(sc.now, sc.s.evidenceSpan, 0)
	}
	if rate(young, "bad") < 0.7 || rate(old, "bad") > 0.1 || rate(young, "new") != 0 {
		t.Errorf("failure rate %v, %v after 100 evidence spans, %v of a restarted server", rate(young, "bad"), rate(old, "bad"), rate(young, "new"))
	}
	sc := newScript(t, plain(), "a", "b")
	sc.step(ms, SnapshotRestored{Snapshot{Admission: 1, Servers: []ServerSnapshot{
		{Server: "a", LatencyRatio: 2, LatencyRatioAt: 1 << 60, Failures: 1, Attempts: 2, CountedAt: 1 << 60},
		{Server: "b", LatencyRatio: math.NaN(), LatencyRatioAt: 5, Failures: math.NaN(), Attempts: 1, CountedAt: 5},
		{Server: "gone", LatencyRatio: 1, LatencyRatioAt: 5},
	}}})
	a, b := sc.s.servers["a"], sc.s.servers["b"]
	if a.latencyRatioAt > sc.now || a.failureRate.at > sc.now || b.latencyRatio != 0 || b.failureRate.count != 0 {
		t.Errorf("restored statistics %+v, %+v, want no time in the future and no implausible value", a, b)
	}
}
