package work

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/platform"
	"saffronquay/internal/broker/transport"
	"testing"
	"time"

	sq "saffronquay"
)

// BenchmarkEngineBySize measures a query through engine, core, module, pool and sockets, without
// the front end, with a simulated fleet in the same process. The fleet's CPU time is included; a
// profile tells them apart:
//
//	go test -run '^$' -bench EngineBySize -benchtime 2s -cpuprofile cpu.out ./internal/scale/work
func BenchmarkEngineBySize(b *testing.B) {
	for _, parts := range []int{187, 375, 750, 1500} {
		b.Run(fmt.Sprintf("servers=2600,parts=%d", parts), func(b *testing.B) {
			const servers, cells = 2600, 1300
			w, err := Listen(Config{Workers: servers, Cells: cells, Value: 8, Seed: 1, Delay: 5 * time.Millisecond})
			if err != nil {
				b.Fatal(err)
			}
			defer w.Close()
			class := sq.Class{Name: "q", LatencyTarget: 4_000_000, HardLimit: 30_000_000, Value: 1, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9}
			settings := sq.Settings{
				Aggregators: 600, Zone: "z0", Period: 5000, Classes: []sq.Class{class}, Shards: servers, Cells: cells, CellsPerShard: 1, PartsPerCall: 1,
				Limits: sq.Limits{MaxAttempts: 3, MayCancel: true}, Rules: sq.Rules{
					AnswerGrace: 20_000, DrainGrace: 250_000, SlowStartFraction: 0.2, WarmUp: 14_000_000,
					OverloadMultiple: 2.5, OverloadWindow: 1_500_000, MembershipWithin: 10_000_000,
				},
			}
			module, err := sq.New(settings, 1)
			if err != nil {
				b.Fatal(err)
			}
			clock := transport.NewClock()
			gatherer := core.New(core.Config{Period: 5000, Shards: servers, PartsPerCall: 1, AnswerGrace: 5000, Classes: settings.Classes}, module)
			e := transport.NewEngine(clock, gatherer, transport.PoolConfig{ConnectTimeout: 1_000_000, IdleClose: 60_000_000, MaxConns: 7000},
				platform.Workers{PerConn: 32}, adminapi.NewMetrics(), slog.New(slog.NewTextHandler(io.Discard, nil)))
			news, addresses := sq.FleetChanged{Kind: sq.FleetCached}, map[sq.ServerID]string{}
			for i := range servers {
				id := sq.ServerID(Name(i))
				news.Servers = append(news.Servers, sq.Server{ID: id, Zone: fmt.Sprint("z", i%zones), Cell: i % cells, Health: sq.Ready})
				addresses[id] = w.Address(i)
			}
			e.UpdateFleet(news, addresses)
			go e.Run()
			defer e.Stop()
			sent := 0
			query := func() {
				ask := core.Query{Label: fmt.Sprintf("%016x", sent), Unique: true, Class: "q", Deadline: clock.Now() + 30_000_000, Text: []byte("c41e77d0")}
				for i := range parts {
					ask.Parts = append(ask.Parts, core.QueryPart{Shard: (sent*parts + i) % servers, Weight: 1 / float64(parts)})
				}
				sent++
				t := e.Open(ask)
				select {
				case f := <-t.Final:
					if f.Outcome != core.Answered || !f.Complete {
						b.Fatalf("query %d: %+v", sent, f.Outcome)
					}
				case err := <-t.Err:
					b.Fatal(err)
				}
			}
			for range 2 * servers / parts {
				query()
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began, n := ownCPU(), 0
			for b.Loop() {
				query()
				n++
			}
			runtime.ReadMemStats(&after)
			all := float64(n * parts)
			b.ReportMetric(float64(ownCPU()-began)/all, "cpu-ns/part")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/all, "allocs/part")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/all, "B/part")
		})
	}
}
