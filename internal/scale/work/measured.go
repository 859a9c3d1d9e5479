package work

import (
	"io"
	"log/slog"
	"math"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/testing/harness"
	"sync"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

const (
	mb = 1 << 20
	kb = 1 << 10
	// limits of a gatherer that has to be able to connect to all workers
	uncontendedSockets, uncontendedMemoryMB = 8192, 2048
	replicasPerShard                        = 2
)

// uncontended configures a gatherer of which only the costs of sockets and of the program itself
// are measured: nothing is late, and nothing is sent twice.
func (s *measurement) uncontended(workers int) (Config, GathererConfig) {
	cells := max(1, workers/replicasPerShard)
	return Config{Workers: workers, Cells: cells, Delay: s.Delay, Value: 8, Seed: 1},
		GathererConfig{
			Workers: workers, Shards: workers, Cells: cells, Replicas: 1, PartsPerCall: 1, LatencyTarget: 4 * time.Second, CompleteWeight: 1, Idle: 5 * time.Minute,
			Sockets: uncontendedSockets, MemoryMB: uncontendedMemoryMB, Cores: s.Cores, Period: 5 * time.Millisecond,
		}
}

func (s *measurement) setUp(cfg Config, size GathererConfig, parts int) *Testbed {
	testbed := StartTestbed(s.t, s.Program, cfg, size)
	if parts > 0 {
		WarmUp(s.ctx, testbed.Gatherer.Listen, parts, size.Shards)
	}
	return testbed
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measureRest measures a gatherer that maintains its list and its connections without serving
// queries, then list changes, and calls at its admin endpoint.
func (s *measurement) measureRest(x float64) []float64 {
	servers := int(x)
	cfg, size := s.uncontended(servers)
	testbed := s.setUp(cfg, size, 0)
	testbed.Idle(s.ctx, time.Second)
	unconnected := testbed.Idle(s.ctx, s.For)
	WarmUp(s.ctx, testbed.Gatherer.Listen, min(servers, 1500), size.Shards)
	for testbed.Idle(s.ctx, 0).Fleet.Open < int64(servers)*98/100 && s.ctx.Err() == nil {
		WarmUp(s.ctx, testbed.Gatherer.Listen, min(servers, 1500), size.Shards)
		if testbed.Idle(s.ctx, 0).Fleet.Opened > 3*int64(servers) {
			break
		}
	}
	testbed.Idle(s.ctx, time.Second)
	connected := testbed.Idle(s.ctx, s.For)
	const changes = 40
	changed := testbed.Record(func() (a Results) {
		for range changes {
			if err := testbed.Fleet.Change(1); err != nil {
				s.t.Fatal(err)
			}
		}
		return a
	})
	const calls = 300
	length := 0
	polled := testbed.Record(func() (a Results) {
		for range calls {
			length = len(testbed.Gatherer.Call("stats"))
		}
		return a
	})
	pct := func(r Run) float64 { return 100 * float64(r.Gatherer.Total()) / float64(r.Took) }
	grown := float64(connected.Gatherer.Resident - unconnected.Gatherer.Resident)
	return []float64{
		pct(unconnected), pct(connected), float64(unconnected.Gatherer.Resident) / mb, float64(connected.Gatherer.Resident) / mb,
		grown / kb / float64(max(1, connected.Fleet.Open)), float64(connected.Fleet.Open), ms(changed.Gatherer.Total()) / changes, float64(length),
		us(polled.Gatherer.Total()) / calls,
	}
}

// measureWalk measures a gatherer that gets one query of one part in each period of the module, so
// that nearly all of its work is stepping the module.
func (s *measurement) measureWalk(x float64) []float64 {
	cfg, size := s.uncontended(int(x))
	cfg.Delay = 0
	testbed := s.setUp(cfg, size, min(int(x), 1500))
	testbed.SendLoad(s.ctx, Load{Parts: 1, Shards: size.Shards, Rate: 200, For: time.Second, Timeout: warmTimeout})
	r := testbed.SendLoad(s.ctx, Load{Parts: 1, Shards: size.Shards, Rate: 200, For: s.For, Timeout: warmTimeout})
	return []float64{100 * float64(r.Gatherer.Total()) / float64(r.Took), us(r.Gatherer.Total()) / float64(r.Queries), float64(r.Queries)}
}

// partsPerSecond is the rate of parts per second when the cost of one is measured: low, so that
// queries do not wait for each other.
const partsPerSecond = 3000

// measureParts measures the cost of a query by its number of parts.
func (s *measurement) measureParts(x float64) []float64 {
	cfg, size := s.uncontended(s.Workers)
	testbed := s.setUp(cfg, size, int(x))
	r := testbed.SendLoad(s.ctx, Load{Parts: int(x), Shards: size.Shards, Rate: partsPerSecond / x, For: s.For, Timeout: warmTimeout})
	n, q := float64(r.Fleet.Parts), float64(r.Queries)
	return []float64{
		ms(r.Gatherer.Total()) / q, us(r.Gatherer.Total()) / n, us(r.Gatherer.System) / n, us(r.Workers.Total()) / n, float64(r.Fleet.Received) / n,
		float64(r.Fleet.Sent) / n, float64(r.Gatherer.Resident) / mb, ms(r.P50), ms(r.P99), float64(r.Complete) / q,
	}
}

// measureOpening measures the cost of a query whose connections all have to be opened, and of one
// that reuses them.
func (s *measurement) measureOpening(x float64) []float64 {
	var cost, opened [2]float64
	for i, idle := range []time.Duration{900 * time.Millisecond, time.Minute} {
		cfg, size := s.uncontended(s.Workers)
		cfg.Delay, size.Idle = 0, idle
		testbed := s.setUp(cfg, size, int(x))
		r := testbed.SendLoad(s.ctx, Load{Parts: int(x), Shards: size.Shards, Rate: 1, For: s.For, Timeout: warmTimeout})
		cost[i], opened[i] = ms(r.Gatherer.Total())/float64(r.Queries), float64(r.Fleet.Opened)/float64(r.Queries)
	}
	return []float64{cost[0], cost[1], opened[0], 1000 * (cost[0] - cost[1]) / max(1, opened[0]-opened[1])}
}

// measureCalls measures the cost of a part if several of a query go to one worker in one call.
func (s *measurement) measureCalls(x float64) []float64 {
	n := int(x)
	workers := (s.Parts + n - 1) / n
	cfg, size := s.uncontended(workers)
	cfg.Cells, size.Cells = workers, workers
	size.Shards, size.PartsPerCall = workers*n, n
	testbed := s.setUp(cfg, size, s.Parts)
	r := testbed.SendLoad(s.ctx, Load{Parts: s.Parts, Shards: size.Shards, Rate: partsPerSecond / float64(s.Parts), For: s.For, Timeout: warmTimeout})
	parts := float64(r.Fleet.Parts)
	return []float64{
		us(r.Gatherer.Total()) / parts, us(r.Gatherer.System) / parts, us(r.Workers.Total()) / parts, parts / float64(r.Fleet.Calls),
		float64(r.Fleet.Received) / parts, float64(r.Complete) / float64(r.Queries),
	}
}

// estimatedWorkMicros is the clients' estimate of a part's work in microseconds. With more digits a
// query of 1,500 parts exceeds 64 KiB.
const estimatedWorkMicros = 500

// measureRates measures a gatherer with a latency target of 75 ms and second attempts, at
// increasing query rates.
func (s *measurement) measureRates(x float64) []float64 {
	cfg, size := s.uncontended(s.Workers)
	size.Replicas, size.Copies, size.LatencyTarget = replicasPerShard, true, 75*time.Millisecond
	size.Cells, cfg.Cells = s.Workers, s.Workers
	testbed := s.setUp(cfg, size, s.Parts)
	r := testbed.SendLoad(s.ctx, Load{Parts: s.Parts, Shards: size.Shards, Rate: x, For: s.For, Timeout: 4 * time.Second, Work: estimatedWorkMicros})
	q := float64(r.Queries + r.Unsent)
	return []float64{
		100 * float64(r.Gatherer.Total()) / float64(r.Took), ms(r.Gatherer.Total()) / max(1, float64(r.Complete+r.Partial)), float64(r.Complete) / q,
		float64(r.Partial) / q, float64(r.Refused) / q, float64(r.Failed) / q, float64(r.Unanswered+r.Unsent) / q,
		1000 * (float64(r.Fleet.Parts)/max(1, float64(r.Queries)*float64(s.Parts)) - 1), ms(r.P50), ms(r.P99), float64(r.Gatherer.Resident) / mb,
	}
}

// measureConnections measures what the connections of all gatherers cost one worker. The worker is
// simulated, so this covers its sockets and the minimum that a program keeps per connection.
func (s *measurement) measureConnections(x float64) []float64 {
	h := StartFleet(s.t, s.Program, Config{Workers: 1, Cells: 1, Value: 8, Seed: 1})
	look := func() Usage {
		u, err := UsageOf(h.PID)
		if err != nil {
			s.t.Fatal(err)
		}
		return u
	}
	before, kernel := look(), KernelBytes()
	conns := h.Dial(s.t, int(x))
	ask := func() {
		for i, c := range conns {
			if err := RoundTrip(c, i); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	ask()
	after, kernelAfter := look(), KernelBytes()
	rounds := max(1, int(20_000/x))
	for range rounds {
		ask()
	}
	busy := look()
	return []float64{float64(after.Resident) / mb, float64(after.Resident-before.Resident) / kb / x, float64(kernelAfter-kernel) / kb / x / 2, // both ends of each connection are on this machine
		us(busy.Total()-after.Total()) / x / float64(rounds)}
}

// measureWatchers measures many gatherers that follow one list, using the program's own watchers:
// the initial list, one change of an entry pushed to all of them, and idle time.
func (s *measurement) measureWatchers(x float64) []float64 {
	h := StartFleet(s.t, s.Program, Config{Workers: s.Workers, Cells: max(1, s.Workers/replicasPerShard), Value: 8, Seed: 1})
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	var heard atomic.Int64
	all := make([]*transport.Watcher, int(x))
	stats := func() FleetStats {
		t, err := h.FleetStats()
		if err != nil {
			s.t.Fatal(err)
		}
		return t
	}
	began := ownCPU()
	var wg sync.WaitGroup
	for i := range all {
		w := transport.NewWatcher(h.Address, 0, false, func(sq.FleetChanged, map[sq.ServerID]string) { heard.Add(1) }, quiet)
		w.RequestFullList()
		all[i] = w
		wg.Add(1)
		go func() { defer wg.Done(); w.Run() }()
	}
	defer wg.Wait()
	defer func() {
		for _, w := range all {
			w.Stop()
		}
	}()
	until := func(n int64) {
		for end := time.Now().Add(harness.WaitTimeout); heard.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				s.t.Fatalf("timed out: watchers received %d of %d list updates", heard.Load(), n)
			}
		}
	}
	until(int64(x))
	for stats().Watches < int64(x) {
		time.Sleep(10 * time.Millisecond) // wait until all watches are open
	}
	listed, first := ownCPU()-began, stats()
	const changes = 20
	began = ownCPU()
	for i := range int64(changes) {
		if err := h.Change(1); err != nil {
			s.t.Fatal(err)
		}
		until(int64(x) * (i + 2))
	}
	changed, after := ownCPU()-began, stats()
	time.Sleep(6 * time.Second) // three keep-alives
	rest := stats()
	return []float64{
		float64(first.ListBytes) / kb / x, float64(after.ListBytes-first.ListBytes) / kb / changes, float64(rest.ListBytes-after.ListBytes) / 6,
		float64(rest.FullLists-int64(x)) + math.Max(0, float64(rest.Watches)-x), ms(listed) / x, us(changed) / x / changes,
	}
}
