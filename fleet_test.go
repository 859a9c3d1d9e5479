package saffronquay

import (
	"fmt"
	"math"
	"testing"
)

// Tests of many aggregators that each have a fraction of the traffic. They check the sum of their
// actions.

// aggregatorFleet is a set of aggregators that share a fleet of servers. There are as many cells as
// servers and as many shards; four servers have each shard.
type aggregatorFleet struct {
	t         *testing.T
	cfg       Settings
	all       []*Scheduler
	now       int64
	id        ID
	sends     map[ServerID][]warmUpSend
	warmingUp map[ServerID]bool // servers that report an empty queue
	idle      bool              // all servers report an empty queue
}

func newAggregatorFleet(t *testing.T, aggregators, servers int, zones ...string) *aggregatorFleet {
	cfg := plain()
	cfg.Aggregators, cfg.Shards, cfg.Cells, cfg.CellsPerShard, cfg.Period = aggregators, servers, servers, 4, ms
	cfg.Limits.MaxAttempts = 4
	cfg.Rules.SlowStartFraction, cfg.Rules.OverloadMultiple, cfg.Rules.OverloadWindow, cfg.Rules.WarmUp = 0.2, 2.5, 1500*ms, 14_000*ms
	f := &aggregatorFleet{t: t, cfg: cfg, now: 1_000_000_000, sends: map[ServerID][]warmUpSend{}, warmingUp: map[ServerID]bool{}}
	var list []Server
	for i := range servers {
		v := Server{ID: ServerID(fmt.Sprint("s", i)), Cell: i, Health: Ready}
		if len(zones) > 0 {
			v.Zone = zones[i%len(zones)]
		}
		list = append(list, v)
	}
	for self := range aggregators {
		cfg.Self = self
		s, err := New(cfg, uint64(self)+1)
		if err != nil {
			t.Fatal(err)
		}
		s.Step(f.now, []Event{FleetChanged{Kind: FleetCached, Servers: list}})
		f.all = append(f.all, s)
	}
	return f
}

// request gives one aggregator a query of one part, and serves what it sends.
func (f *aggregatorFleet) request(self, shard int, work int64) {
	f.id += 10
	s := f.all[self]
	as := s.Step(f.now, []Event{
		Query{ID: f.id, Group: int64(f.id), Class: "q", Deadline: f.now + 3000*ms, Work: work},
		Part{ID: f.id + 1, Group: int64(f.id), Shard: shard, Weight: 1, Work: work},
	})
	var back []Event
	for _, a := range of[Send](as) {
		f.sends[a.Server] = append(f.sends[a.Server], warmUpSend{f.now, float64(work)})
		queue := int64(5 + f.id/10%20)
		if f.idle || f.warmingUp[a.Server] {
			queue = 0
		}
		end := served(a, 0, work+work*queue/2)
		end.Report = &LoadReport{Queue: float64(queue), Utilization: 1}
		back = append(back, end)
	}
	if len(back) > 0 {
		s.Step(f.now+ms/2, back)
	}
}

// peakLoad returns the maximum work sent to a server within one window, divided by what the rule
// allows for a server of one core that started at the given time.
func (f *aggregatorFleet) peakLoad(id ServerID, started int64) float64 {
	worst, r := 0.0, f.cfg.Rules
	for i, from := range f.sends[id] {
		sum := 0.0
		for _, x := range f.sends[id][i:] {
			if x.at < from.at+r.OverloadWindow {
				sum += x.work
			}
		}
		warm := r.SlowStartFraction + (1-r.SlowStartFraction)*float64(from.at-started)/float64(r.WarmUp)
		worst = max(worst, sum/(r.OverloadMultiple*warm*float64(r.OverloadWindow)))
	}
	return worst
}

// A server restarts in a fleet in which each aggregator sends it little work. It must get a
// substantial fraction of its capacity, and never more than the overload rule allows: with steady
// traffic, with a surge seen by all aggregators at once after each has accumulated credit, and
// under heavy load while all servers of a shard are warming up.
func TestSlowStart_FleetStaysWithinOverloadRule(t *testing.T) {
	const aggregators, servers, work = 120, 12, 20 * ms
	for name, tc := range map[string]struct {
		restarts       int     // servers that restart
		partsPerSecond float64 // parts per second and server, over the fleet
		surge          bool    // no load in the first four seconds, then a burst in one tick
		minFraction    float64 // minimum fraction of the warming server's expected parts that it gets
	}{
		"steady":             {1, 30, false, 0.15},
		"surge":              {1, 30, true, 0},
		"all are warming up": {12, 200, false, 0},
	} {
		f := newAggregatorFleet(t, aggregators, servers)
		rng := f.all[0].rng
		tick, started := int64(50*ms), f.now+5000*ms
		var warmingUp []Server
		for i := range tc.restarts {
			v := Server{ID: ServerID(fmt.Sprint("s", i)), Cell: i, Health: Ready, StartedAt: started}
			warmingUp, f.warmingUp[v.ID] = append(warmingUp, v), true
		}
		requested := 0.0
		for f.now < started+7000*ms {
			if f.now == started {
				f.sends = map[ServerID][]warmUpSend{}
				for _, s := range f.all {
					s.Step(f.now, []Event{FleetChanged{Kind: FleetDelta, Servers: warmingUp}})
				}
			}
			since := f.now - started
			n, from, shards := tc.partsPerSecond*servers*float64(tick)/1e6, 0, servers
			if f.idle = tc.surge && since < 3000*ms; tc.surge && since >= 3000*ms { // first the shards that s0 does not have, then the others
				if from, shards = 1, 8; since == 4000*ms {
					n, from, shards = 4*tc.partsPerSecond*servers, 9, 4
				}
			}
			for range int(n) {
				f.request(rng.IntN(aggregators), (from+rng.IntN(shards))%servers, work)
			}
			if since >= 0 {
				warm := f.cfg.Rules.SlowStartFraction + (1-f.cfg.Rules.SlowStartFraction)*float64(since)/float64(f.cfg.Rules.WarmUp)
				requested += n / servers * warm
			}
			f.now += tick
		}
		for _, v := range warmingUp {
			if over := f.peakLoad(v.ID, started); over > 1 {
				t.Errorf("%s: %s was sent %.2f times the work that the rule allows", name, v.ID, over)
			}
		}
		if got := float64(len(f.sends["s0"])); got < tc.minFraction*requested {
			t.Errorf("%s: the warming server got %v parts, its fraction of the requested ones is %.0f", name, got, requested)
		}
	}
}

// Connections that break at the same time in one zone are attributed to the zone. Breaks in two
// zones, or one after the other, are attributed to the key.
func TestBrokeIndependently(t *testing.T) {
	for name, tc := range map[string]struct {
		zones [2]string
		later bool // the second attempt leaves after the first has broken
		want  bool
	}{
		"one zone together": {[2]string{"x", "x"}, false, false},
		"two zones":         {[2]string{"x", "y"}, false, true},
		"one after another": {[2]string{"x", "x"}, true, true},
		"no zones known":    {[2]string{"", ""}, false, true},
	} {
		a := &attempt{replica: &replica{Server: Server{ID: "a", Zone: tc.zones[0]}}, sentAt: 1, brokeAt: 10}
		b := &attempt{replica: &replica{Server: Server{ID: "b", Zone: tc.zones[1]}}, sentAt: 1, brokeAt: 10}
		if tc.later {
			b.sentAt, b.brokeAt = 11, 20
		}
		q := &query{parts: []*part{{attempts: []*attempt{a}}, {attempts: []*attempt{b}}}}
		if got := q.brokeIndependently(); got != tc.want {
			t.Errorf("%s: brokeIndependently returned %v", name, got)
		}
	}
	if math.Abs(hashFraction(1, 2, 3)-hashFraction(1, 2, 3)) > 0 || hashFraction(1) == hashFraction(2) {
		t.Error("hashFraction is not a function of its words")
	}
}

// Under overload, a query is ended at its latency target although a late answer would earn a
// little. At-most-once queries and queries without overload are not.
func TestValuableUntil_OverloadEndsLateQueries(t *testing.T) {
	for name, tc := range map[string]struct {
		overloaded bool
		effect     Effect
		late       float64 // value
		want       bool    // it ends by 1.1 latency targets
	}{
		"overload": {true, Idempotent, 0.1, true}, "no overload": {false, Idempotent, 0.1, false}, "at most once": {true, AtMostOnce, 0.1, false},
		"late value": {true, Idempotent, 0.9, false},
	} {
		cfg := plain()
		cfg.Limits.MaxAttempts = 1
		cfg.Classes[0].LateValue, cfg.Classes[0].Effect = tc.late, tc.effect
		sc := newScript(t, cfg, "a", "b")
		sent := of[Send](sc.step(0, sc.request(100, 10*ms)...))
		for id := ID(200); id < 300; id += 10 {
			sc.step(90 * ms)
			for _, a := range of[Send](sc.step(ms, sc.request(id, 10*ms)...)) {
				end := served(a, 0, ms)
				if tc.overloaded && id%20 == 0 {
					end.Outcome = Rejected
				}
				sc.step(ms, end)
			}
		}
		done := len(sent) == 1
		for _, a := range sc.run(200 * ms) {
			switch a := a.(type) {
			case Refuse:
				done = done && a.Query != 100
			case Fail:
				done = done && a.Query != 100
			}
		}
		if ended := !done; ended != tc.want {
			t.Errorf("%s: query ended within 1.1 latency targets: %v", name, ended)
		}
	}
}

// The last of many parts is hedged as soon as it is overdue and another server is predicted to be
// in time. The last of few parts is hedged only if another server is predicted to be faster than
// the first is late.
func TestHedging_LastOfManyParts(t *testing.T) {
	for parts, want := range map[int]int{16: 1, 4: 0} {
		cfg := plain()
		cfg.Shards, cfg.Cells, cfg.CellsPerShard, cfg.Limits.Hedging = 16, 16, 2, true
		var ids []ServerID
		for i := range 16 {
			ids = append(ids, ServerID(fmt.Sprint("s", i)))
		}
		sc := newScript(t, cfg, ids...)
		costs := make([]int64, parts)
		for i := range costs {
			costs[i] = 120 * ms
		}
		sent := of[Send](sc.step(ms, sc.request(100, costs...)...))
		var back []Event
		for _, a := range sent[1:] {
			end := served(a, 0, 120*ms)
			end.Report = &LoadReport{Queue: 3, Utilization: 1} // a hedge would be queued
			back = append(back, end)
		}
		sc.step(120*ms, back...)
		hedges := 0
		for range 20 {
			for _, a := range of[Send](sc.step(10 * ms)) {
				if a.Part == sent[0].Part {
					hedges++
				}
			}
		}
		if hedges != want {
			t.Errorf("%d parts: the last was hedged %d times, want %d", parts, hedges, want)
		}
	}
}

// A server that was busy in each of its reports is assumed to be busy between reports; other
// servers are not.
func TestBacklog_DecaysToServerMean(t *testing.T) {
	sc := newScript(t, oneCell(), "busy", "idle")
	for id := ID(100); id < 300; id += 10 {
		for _, a := range of[Send](sc.step(50*ms, sc.request(id, 20*ms)...)) {
			end := served(a, 0, 20*ms)
			end.Report = &LoadReport{Utilization: 1}
			if a.Server == "busy" {
				end.Report.Queue = 20
			}
			sc.step(ms, end)
		}
		r := sc.s.servers["busy"]
		sc.s.applyReport(r, &LoadReport{Queue: 20})
	}
	sc.step(5000 * ms)
	if b, i := sc.s.backlog(sc.s.servers["busy"]), sc.s.backlog(sc.s.servers["idle"]); b < 1.5*i || b < 50*ms {
		t.Errorf("five latency targets after the last report: predicted backlog %v of the busy server, %v of the idle one", b, i)
	}
}

// A part does not return immediately to a full server that rejected it: the number of attempts is
// limited and, if there is no other holder, they are spread over time. Attempts of many aggregators
// must not be synchronized.
func TestRejection_RetryIsDelayedWithJitter(t *testing.T) {
	f := newAggregatorFleet(t, 40, 4)
	last := map[int64]int{}
	for _, s := range f.all {
		s.Step(f.now, []Event{FleetChanged{Kind: FleetFull, Servers: []Server{{ID: "s0", Health: Ready}}}})
		now := f.now
		as := s.Step(now, []Event{
			Query{ID: 1000, Group: 1, Class: "q", Deadline: now + 3000*ms, Work: 20 * ms},
			Part{ID: 1001, Group: 1, Weight: 1, Work: 20 * ms},
		})
		var times []int64
		for now < f.now+1000*ms {
			events := []Event{TimerFired{}}
			for _, a := range of[Send](as) {
				events = append(events, AttemptEnded{Part: a.Part, Attempt: len(times), Server: a.Server, Outcome: Rejected})
				times = append(times, now-f.now)
			}
			now += 2 * ms
			as = s.Step(now, events)
		}
		if len(times) != 4 || times[1] < 25*ms || times[3] < 150*ms || times[3] > 700*ms {
			t.Fatalf("attempts at %v us, want four, the last after 150 to 700 ms", times)
		}
		last[times[3]/(20*ms)]++
	}
	for at, n := range last {
		if n > 12 {
			t.Errorf("%d of 40 aggregators make their last attempt within the same 20 ms, after %d ms", n, at*20)
		}
	}
}

// BenchmarkStepBySize measures a step that opens a query of eight parts and the step in which these
// are served, with 200 and 1,000 servers. The idle case is a step with a timer only.
func BenchmarkStepBySize(b *testing.B) {
	for _, servers := range []int{200, 1000} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d,busy=%v", servers, busy), func(b *testing.B) {
				cfg := plain()
				cfg.Aggregators, cfg.Shards, cfg.Cells, cfg.CellsPerShard, cfg.Period = 300, servers, servers, 4, ms
				s, err := New(cfg, 1)
				if err != nil {
					b.Fatal(err)
				}
				now, id := int64(1_000_000_000), ID(0)
				var list []Server
				for i := range servers {
					list = append(list, Server{ID: ServerID(fmt.Sprint("s", i)), Cell: i, Health: Ready})
				}
				s.Step(now, []Event{FleetChanged{Kind: FleetCached, Servers: list}})
				newQuery := func() []Event {
					id += 10
					events := []Event{Query{ID: id, Group: int64(id), Class: "q", Deadline: now + 3000*ms, Work: 80 * ms}}
					for i := range 8 {
						events = append(events, Part{ID: id + ID(i) + 1, Group: int64(id), Shard: (int(id) + i*31) % servers, Weight: 0.125, Work: 10 * ms})
					}
					return events
				}
				for range 2000 { // until every server has samples
					now += 2 * ms
					var back []Event
					for _, a := range of[Send](s.Step(now, newQuery())) {
						back = append(back, served(a, 0, 10*ms))
					}
					now += 2 * ms
					s.Step(now, back)
				}
				b.ReportAllocs()
				for b.Loop() {
					now += 2 * ms
					if !busy {
						s.Step(now, []Event{TimerFired{}})
						continue
					}
					var back []Event
					for _, a := range of[Send](s.Step(now, newQuery())) {
						back = append(back, served(a, 0, 10*ms))
					}
					now += ms
					s.Step(now, back)
				}
			})
		}
	}
}

// Load reports do not say how many cores process the queue. The predicted wait must approach the
// observed one for any number of cores; a new aggregator assumes two.
func TestDrainFactor_LearnsServerCores(t *testing.T) {
	for _, cores := range []float64{1, 2, 8} {
		sc := newScript(t, oneCell(), "a", "b")
		sc.queryWithReports(100, 20, 0, 10*ms, 100*ms)
		waits := 10 * 100 * ms / cores
		sc.queryWithReports(1000, 60, 10, 10*ms, 100*ms+int64(waits))
		if w := sc.s.predictWait(sc.s.servers["a"]); w < 0.5*waits || w > 1.6*waits {
			t.Errorf("%v cores: predicted wait %.0f us, observed %.0f us", cores, w, waits)
		}
	}
}
