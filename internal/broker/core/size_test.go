package core

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	sq "saffronquay"
)

// BenchmarkQueryBySize measures a query through the core with the real module, by number of parts,
// with 2,600 servers and parts served over four steps. Processor time is that of the whole process.
//
//	go test -run '^$' -bench QueryBySize -benchtime 1s ./internal/broker/core
func BenchmarkQueryBySize(b *testing.B) {
	used := func() time.Duration {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	const servers, cells, steps, period = 2600, 1300, 4, 5000
	for _, parts := range []int{100, 187, 375, 750, 1500} {
		b.Run(fmt.Sprintf("servers=%d,parts=%d", servers, parts), func(b *testing.B) {
			class := sq.Class{Name: "q", LatencyTarget: 75_000, HardLimit: 1_000_000, Value: 1, CompleteWeight: 1, MinWeight: 1}
			cfg := sq.Settings{
				Aggregators: 600, Period: period, Shards: servers, Cells: cells, CellsPerShard: 1, PartsPerCall: 1, Classes: []sq.Class{class},
				Limits: sq.Limits{MaxAttempts: 3, Hedging: true, MayCancel: true},
				Rules:  sq.Rules{SlowStartFraction: 0.3, WarmUp: 10_000_000, OverloadMultiple: 3, OverloadWindow: 1_000_000, MembershipWithin: 10_000_000},
			}
			module, err := sq.New(cfg, 1)
			if err != nil {
				b.Fatal(err)
			}
			c := New(Config{Period: period, Shards: servers, PartsPerCall: 1, AnswerGrace: period, Classes: cfg.Classes}, module)
			list := sq.FleetChanged{Kind: sq.FleetCached}
			for i := range servers {
				list.Servers = append(list.Servers, sq.Server{ID: sq.ServerID(fmt.Sprintf("s-%08x", i)), Cell: i % cells, Health: sq.Ready})
			}
			now, opened := int64(1_000_000_000), 0
			c.FleetChanged(list)
			c.Step(now)
			value, report := []byte("12345678"), &sq.LoadReport{Queue: 1, InFlight: -1}
			query := func() (answered bool) {
				now += period
				spec := Query{Label: fmt.Sprint(opened), Class: "q", Deadline: now + 1_000_000}
				for i := range parts {
					spec.Parts = append(spec.Parts, QueryPart{Shard: (opened*parts + i) % servers, Weight: 1 / float64(parts), Work: 5000})
				}
				opened++
				if _, _, err := c.Open(now, spec); err != nil {
					b.Fatal(err)
				}
				var out []AttemptID
				for _, x := range c.Step(now) {
					if call, ok := x.(Call); ok {
						for _, a := range call.Attempts {
							out = append(out, a.ID)
						}
					}
				}
				for i := range steps {
					now += period
					for _, id := range out[len(out)*i/steps : len(out)*(i+1)/steps] {
						c.AttemptEnded(now, id, sq.Served, value, report)
					}
					for _, x := range c.Step(now) {
						if f, ok := x.(Final); ok && f.Outcome == Answered && f.Complete {
							answered = true
						}
					}
				}
				return answered
			}
			for range 4 * servers / parts {
				query()
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began, n, unanswered := used(), 0, 0
			for b.Loop() {
				if !query() {
					unanswered++
				}
				n++
			}
			runtime.ReadMemStats(&after)
			all := float64(n * parts)
			b.ReportMetric(float64(used()-began)/all, "cpu-ns/part")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/all, "allocs/part")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/all, "B/part")
			b.ReportMetric(float64(unanswered)/float64(n), "unanswered/query")
		})
	}
}
