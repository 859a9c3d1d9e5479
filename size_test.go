package saffronquay

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// Benchmarks of the module with many servers and many parts per query. The command below runs all of
// them. The cpu metrics are processor time of the process, including garbage collection, and are
// comparable on a busy machine:
//
//	go test -run '^$' -bench 'BySize$' -benchtime 1s .

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// large returns the settings of a deployment with a number of servers in six zones, and reach
// holders per shard.
func large(servers, reach int) Settings {
	cfg := plain()
	cfg.Aggregators, cfg.Shards, cfg.Cells, cfg.CellsPerShard, cfg.Zone = 600, servers, servers, reach, "z0"
	cfg.Classes = []Class{{Name: "q", LatencyTarget: 75 * ms, HardLimit: 1000 * ms, Value: 1, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9}}
	cfg.Limits.Hedging = true
	return cfg
}

// busyModule is a module with statistics of nearly all of its servers, and its driver.
type busyModule struct {
	s       *Scheduler
	now     int64
	id      ID
	servers int
}

func newBusyModule(tb testing.TB, cfg Settings) *busyModule {
	tb.Helper()
	s, err := New(cfg, 1)
	if err != nil {
		tb.Fatal(err)
	}
	c := &busyModule{s: s, now: 1_000_000_000, servers: cfg.Cells}
	var list []Server
	for i := range c.servers {
		list = append(list, Server{ID: ServerID(fmt.Sprintf("s-%08x", i)), Zone: fmt.Sprint("z", i%6), Cell: i, Health: Ready})
	}
	s.Step(c.now, []Event{FleetChanged{Kind: FleetCached, Servers: list}})
	for known := 0; known < c.servers; {
		c.query(min(c.servers, 1500), 2)
		known = 0
		for _, r := range s.servers {
			if r.latencyRatio > 0 {
				known++
			}
		}
		if known >= c.servers*9/10 {
			break
		}
	}
	return c
}

// request returns the events of a query with a number of parts, each of another shard.
func (c *busyModule) request(parts int) []Event {
	c.id += ID(parts) + 1
	events := make([]Event, 0, parts+1)
	events = append(events, Query{ID: c.id, Group: int64(c.id), Class: "q", Deadline: c.now + 1000*ms, Work: int64(parts) * 5 * ms})
	for i := range parts {
		events = append(events, Part{ID: c.id + ID(i) + 1, Group: int64(c.id), Shard: (int(c.id) + i) % c.servers, Weight: 1 / float64(parts), Work: 5 * ms})
	}
	return events
}

// query opens a query and serves its parts over a number of further steps. It reports whether the
// query was answered, and how many parts were sent.
func (c *busyModule) query(parts, steps int) (answered bool, sent int) {
	c.now += 5 * ms
	out := of[Send](c.s.Step(c.now, c.request(parts)))
	sent = len(out)
	for i := range steps {
		c.now += 5 * ms
		var back []Event
		for _, a := range out[len(out)*i/steps : len(out)*(i+1)/steps] {
			e := served(a, 0, int64(i+1)*5*ms)
			e.Report = &LoadReport{Queue: 1, InFlight: -1}
			back = append(back, e)
		}
		if len(back) == 0 {
			back = []Event{TimerFired{}}
		}
		got := c.s.Step(c.now, back)
		answered = answered || len(of[Answer](got)) > 0
		sent += len(of[Send](got))
	}
	return answered, sent
}

// BenchmarkIdleStepBySize measures a step with a timer only, by number of servers in the list.
func BenchmarkIdleStepBySize(b *testing.B) {
	for _, servers := range []int{325, 650, 1300, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newBusyModule(b, large(servers, 2))
			b.ReportAllocs()
			began := processorTime()
			for b.Loop() {
				c.now += 5 * ms
				c.s.Step(c.now, []Event{TimerFired{}})
			}
			b.ReportMetric(float64(processorTime()-began)/float64(b.N), "cpu-ns/step")
		})
	}
}

// BenchmarkQueryBySize measures a query, by number of its parts, of servers, of holders per shard
// and of steps over which its parts are served.
func BenchmarkQueryBySize(b *testing.B) {
	type size struct{ servers, parts, reach, steps int }
	var sizes []size
	for _, parts := range []int{100, 187, 375, 750, 1500} {
		sizes = append(sizes, size{2600, parts, 2, 4})
	}
	for _, servers := range []int{325, 650, 1300} {
		sizes = append(sizes, size{servers, 300, 2, 4})
	}
	sizes = append(sizes, size{2600, 300, 2, 4})
	for _, reach := range []int{1, 4, 8} {
		sizes = append(sizes, size{2600, 1500, reach, 4})
	}
	for _, steps := range []int{2, 8, 14} {
		sizes = append(sizes, size{2600, 1500, 2, steps})
	}
	for _, z := range sizes {
		b.Run(fmt.Sprintf("servers=%d,parts=%d,holders=%d,steps=%d", z.servers, z.parts, z.reach, z.steps), func(b *testing.B) {
			c := newBusyModule(b, large(z.servers, z.reach))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			n, late, began := 0, 0, processorTime()
			for b.Loop() {
				if ok, _ := c.query(z.parts, z.steps); !ok {
					late++
				}
				n++
			}
			runtime.ReadMemStats(&after)
			parts := float64(n * z.parts)
			b.ReportMetric(float64(processorTime()-began)/parts, "cpu-ns/part")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/parts, "allocs/part")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/parts, "B/part")
			b.ReportMetric(float64(late)/float64(n), "unanswered/query")
		})
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkStateBySize reports the memory of a server and of an open part. Its times are
// meaningless.
func BenchmarkStateBySize(b *testing.B) {
	for _, servers := range []int{325, 650, 1300, 2600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := newBusyModule(b, large(servers, 2))
				b.ReportMetric((heap()-before)/float64(servers), "B/server")
				runtime.KeepAlive(c)
			}
		})
	}
	for _, parts := range []int{100, 187, 375, 750, 1500} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			for b.Loop() {
				c := newBusyModule(b, large(2600, 2))
				before := heap()
				for range 8 {
					c.s.Step(c.now, c.request(parts))
				}
				b.ReportMetric((heap()-before)/8/float64(parts), "B/part")
				runtime.KeepAlive(c)
			}
		})
	}
}
