package saffronquay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A step without decisions reads no latency ratio. A step that sends parts reads each server's at
// most once.
func TestMedianLatencyRatio_NotComputedInIdleSteps(t *testing.T) {
	const servers = 400
	c := newBusyModule(t, large(servers, 2))
	c.now += 5 * ms
	out := of[Send](c.s.Step(c.now, c.request(100)))
	if len(out) != 100 {
		t.Fatalf("%d sends, want 100", len(out))
	}
	scanned := c.s.replicasScanned
	for range 50 { // a query is open with its parts in flight, and only timers occur
		c.now += 100
		if got := c.s.Step(c.now, []Event{TimerFired{}}); len(of[Send](got)) > 0 {
			t.Fatal("a part was sent in a step with a timer only")
		}
	}
	if n := c.s.replicasScanned - scanned; n != 0 {
		t.Errorf("50 idle steps scanned %d servers, want 0", n)
	}
	for i, a := range out[:40] {
		before := c.s.replicasScanned
		c.now += 100
		c.s.Step(c.now, []Event{served(a, 0, 4*ms)})
		if n := c.s.replicasScanned - before; n > 2*servers || i > 0 && n > servers {
			t.Fatalf("a step with a served part scanned %d servers of %d", n, servers)
		}
	}
}

// sortedMedian computes the median of all latency ratios by sorting.
func sortedMedian(s *Scheduler) float64 {
	var ps []float64
	for _, r := range s.servers {
		if r.Health == Ready && r.latencyRatio > 0 {
			ps = append(ps, 1+(r.latencyRatio-1)*decay(s.medianAt-r.latencyRatioAt, s.medianSpan))
		}
	}
	if len(ps) == 0 {
		return 1
	}
	slices.Sort(ps)
	return ps[len(ps)/2]
}

// Two modules get the same events: servers are added, removed, drained and restarted, settings
// change and state is restored. One of them also computes the median after each step. Both must
// return the same actions, and the median must be that of all sorted ratios.
func TestMedianLatencyRatio_LazyEqualsEager(t *testing.T) {
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 9))
		cfg := large(60, 3)
		cfg.Classes[0].CompleteWeight, cfg.Classes[0].MinWeight, cfg.Limits.Hedging = 0.9, 0.5, seed%2 == 0
		lazy, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		eager, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		now, id := int64(1_000_000_000), ID(1)
		server := func(i int, h Health) Server {
			return Server{ID: ServerID(fmt.Sprint("s", i)), Zone: fmt.Sprint("z", i%3), Cell: i % 60, Health: h, StartedAt: now * int64(rng.IntN(2))}
		}
		var list []Server
		for i := range 120 {
			list = append(list, Server{ID: ServerID(fmt.Sprint("s", i)), Zone: fmt.Sprint("z", i%3), Cell: i % 60, Health: Ready})
		}
		events := []Event{FleetChanged{Kind: FleetCached, Servers: list}}
		type flight struct {
			send Send
			n    int
			at   int64
		}
		tries := map[ID]int{}
		var out []flight
		for step := range 1500 {
			a, b := lazy.Step(now, events), eager.Step(now, slices.Clone(events))
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("seed %d, step %d: actions %v, with the median computed in each step %v", seed, step, a, b)
			}
			if got, want := eager.medianLatencyRatio(), sortedMedian(eager); math.Float64bits(got) != math.Float64bits(want) {
				t.Fatalf("seed %d, step %d: median %v, want %v", seed, step, got, want)
			}
			ready := 0
			for _, r := range lazy.servers {
				if r.Health == Ready {
					ready++
				}
			}
			if lazy.readyCount != ready {
				t.Fatalf("seed %d, step %d: readyCount is %d, want %d", seed, step, lazy.readyCount, ready)
			}
			for _, x := range of[Send](a) {
				out = append(out, flight{x, tries[x.Part], now})
				tries[x.Part]++
			}
			now += int64(1+rng.IntN(8)) * ms
			events = []Event{TimerFired{ID: lazy.timerID}}
			kept := out[:0]
			for _, f := range out {
				switch {
				case rng.IntN(6) > 0:
					kept = append(kept, f)
				case rng.IntN(20) == 0:
					events = append(events, AttemptEnded{Part: f.send.Part, Attempt: f.n, Server: f.send.Server, Outcome: Outcome(1 + rng.IntN(5)), Latency: now - f.at})
				default:
					e := served(f.send, f.n, now-f.at)
					e.Report = &LoadReport{Queue: float64(rng.IntN(5)), InFlight: -1}
					events = append(events, e)
				}
			}
			out = kept
			if rng.IntN(3) == 0 {
				id += 100
				n := 1 + rng.IntN(12)
				events = append(events, Query{ID: id, Group: int64(id), Class: "q", Deadline: now + 300*ms, Work: int64(n) * 5 * ms})
				for i := range n {
					events = append(events, Part{ID: id + ID(i) + 1, Group: int64(id), Shard: rng.IntN(60), Weight: 1 / float64(n), Work: 5 * ms})
				}
			}
			switch rng.IntN(40) {
			case 0:
				events = append(events, FleetChanged{Kind: FleetDelta, Servers: []Server{server(rng.IntN(130), Health(rng.IntN(3)))}})
			case 1:
				other := cfg
				other.Classes = slices.Clone(cfg.Classes)
				other.Classes[0].LatencyTarget = int64(40+rng.IntN(80)) * ms
				events = append(events, SettingsChanged{Settings: other})
			case 2:
				l := Snapshot{Admission: rng.Float64()}
				for i := range 130 { // applied to servers without samples
					l.Servers = append(l.Servers, ServerSnapshot{Server: ServerID(fmt.Sprint("s", i)), LatencyRatio: 9 * rng.Float64(), LatencyRatioAt: now, Attempts: 2, CountedAt: now})
				}
				events = slices.Insert(events, rng.IntN(2), Event(SnapshotRestored{l}))
			}
			if rng.IntN(2) == 0 { // events in random order
				rng.Shuffle(len(events)-1, func(i, j int) {
					if _, ok := events[i+1].(Part); !ok {
						if _, ok := events[j+1].(Part); !ok {
							events[i+1], events[j+1] = events[j+1], events[i+1]
						}
					}
				})
			}
		}
		if lazy.replicasScanned >= eager.replicasScanned {
			t.Errorf("seed %d: %d servers scanned, want fewer than the %d with the median computed after each step", seed, lazy.replicasScanned, eager.replicasScanned)
		}
	}
}

// State restored from an earlier process changes the median only from the next step on.
func TestMedianLatencyRatio_RestoredStateAppliesNextStep(t *testing.T) {
	sc := newScript(t, plain(), "a", "b", "c", "d", "e")
	sc.s.servers["a"].latencyRatio, sc.s.servers["a"].latencyRatioAt = 3, sc.now
	sc.step(10 * ms)
	l := Snapshot{Admission: 1}
	for _, id := range []ServerID{"b", "c", "d"} {
		l.Servers = append(l.Servers, ServerSnapshot{Server: id, LatencyRatio: 9, LatencyRatioAt: sc.now, CountedAt: sc.now})
	}
	want := sortedMedian(sc.s)
	sc.s.restore(l)
	if got := sc.s.medianLatencyRatio(); got != want || got < 2 || got > 3 {
		t.Errorf("median %v, want %v as of the previous step", got, want)
	}
	if sc.step(10 * ms); sc.s.medianLatencyRatio() < 8 {
		t.Errorf("median %v with a ratio of 9 at three of four servers, want at least 8", sc.s.medianLatencyRatio())
	}
}

func TestSelectNth_MatchesSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := rapid.SliceOfN(rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, 1, 1, 2, math.NaN(), math.Inf(1), math.Inf(-1)})), 1, 200).Draw(t, "v")
		k := rapid.IntRange(0, len(v)-1).Draw(t, "k")
		sorted := slices.Sorted(slices.Values(v))
		if got := selectNth(v, k); math.Float64bits(got) != math.Float64bits(sorted[k]) && !(got != got && sorted[k] != sorted[k]) && got != sorted[k] {
			t.Fatalf("value %v at index %d, want %v", got, k, sorted[k])
		}
	})
	for _, n := range []int{1, 2, 3, 1000, 4096} { // ascending, descending and equal values
		up, same := make([]float64, n), make([]float64, n)
		for i := range up {
			up[i] = float64(i)
		}
		down := slices.Clone(up)
		slices.Reverse(down)
		for _, v := range [][]float64{up, down, same} {
			want := slices.Sorted(slices.Values(v))[n/2]
			if got := selectNth(v, n/2); got != want {
				t.Errorf("%d values: median %v, want %v", n, got, want)
			}
		}
	}
}
