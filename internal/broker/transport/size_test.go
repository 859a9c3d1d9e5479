package transport

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/platform"
	"testing"

	sq "saffronquay"
)

// listOf returns the first entries of a list of servers, as discovery delivers it. It is complete
// if first equals servers.
func listOf(servers, first int, generation int64) platform.List {
	l := platform.List{Generation: generation, Complete: first == servers, Addresses: map[sq.ServerID]string{}}
	for i := range first {
		id := sq.ServerID(fmt.Sprintf("s-%08x", i))
		l.Servers = append(l.Servers, sq.Server{ID: id, Zone: fmt.Sprint("z", i%6), Cell: i % max(1, servers/2), Health: sq.Ready, StartedAt: generation * 1000})
		l.Addresses[id] = fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)
	}
	return l
}

// BenchmarkListBySize measures what an update of the list of servers costs a gatherer, from the
// received bytes until the pool and the module have applied it: a full list, and a change of one
// entry.
//
//	go test -run '^$' -bench ListBySize -benchtime 1s ./internal/broker/transport
func BenchmarkListBySize(b *testing.B) {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	for _, servers := range []int{325, 650, 1300, 2600} {
		for _, change := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d,change=%v", servers, change), func(b *testing.B) {
				cfg := sq.Settings{
					Aggregators: 600, Period: 5000, Shards: servers, Cells: max(1, servers/2), CellsPerShard: 1, PartsPerCall: 1,
					Classes: []sq.Class{{Name: "q", LatencyTarget: 75_000, HardLimit: 1_000_000, Value: 1, CompleteWeight: 1, MinWeight: 1}},
					Rules:   sq.Rules{WarmUp: 14_000_000, MembershipWithin: 10_000_000},
				}
				module, err := sq.New(cfg, 1)
				if err != nil {
					b.Fatal(err)
				}
				gatherer := core.New(core.Config{Period: 5000, Shards: servers, PartsPerCall: 1, Classes: cfg.Classes}, module)
				p := newPool(PoolConfig{ConnectTimeout: 250_000, IdleClose: 15_000_000, MaxConns: 7000}, platform.Workers{PerConn: 32},
					func(func(int64)) bool { return true })
				now := int64(1_000_000_000)
				w := NewWatcher("127.0.0.1:1", 0, false, func(f sq.FleetChanged, addresses map[sq.ServerID]string) {
					now += 5000
					p.updateFleet(now, f, addresses)
					gatherer.FleetChanged(f)
					gatherer.Step(now)
				}, quiet)
				if err := w.applyFull(listOf(servers, servers, 1).Append(nil), "x"); err != nil {
					b.Fatal(err)
				}
				first := servers
				if change {
					first = 1
				}
				text := listOf(servers, first, 2)
				text.Complete = !change
				bytes := text.Append(nil)
				if change { // List.Append always writes a complete list
					bytes = append([]byte(`{"generation":2,"reset":false,`), bytes[len(`{"generation":2,"reset":true,`):]...)
				}
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				for b.Loop() {
					if change {
						err = w.applyLine(bytes, "x")
					} else {
						err = w.applyFull(bytes, "x")
					}
					if err != nil {
						b.Fatal(err)
					}
				}
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(len(bytes)), "B/list")
				b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/1024, "kB-allocated/list")
			})
		}
	}
}

// BenchmarkLookBySize measures the periodic work of the engine, 20 times a second without any
// event: over every connection, and over every server in the list.
func BenchmarkLookBySize(b *testing.B) {
	for _, servers := range []int{325, 650, 1300, 2600} {
		cfg := sq.Settings{
			Aggregators: 600, Period: 5000, Shards: servers, Cells: servers, CellsPerShard: 1, PartsPerCall: 1,
			Classes: []sq.Class{{Name: "q", LatencyTarget: 75_000, HardLimit: 1_000_000, Value: 1, CompleteWeight: 1, MinWeight: 1}},
		}
		module, err := sq.New(cfg, 1)
		if err != nil {
			b.Fatal(err)
		}
		list := listOf(servers, servers, 1)
		module.Step(1_000_000_000, []sq.Event{sq.FleetChanged{Kind: sq.FleetFull, Servers: list.Servers}})
		p := newPool(PoolConfig{IdleClose: 1 << 60, MaxConns: 7000}, platform.Workers{PerConn: 32}, func(func(int64)) bool { return true })
		p.updateFleet(0, sq.FleetChanged{Kind: sq.FleetFull, Servers: list.Servers}, list.Addresses)
		for _, s := range p.servers {
			s.conns = append(s.conns, &serverConn{server: s, up: true, calls: map[core.AttemptID]*frame{}})
		}
		b.Run(fmt.Sprintf("connections=%d", servers), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.sweep(1)
			}
		})
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			for b.Loop() {
				module.Rotation()
			}
		})
	}
}
