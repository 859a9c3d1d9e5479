package core

import (
	"fmt"
	"saffronquay/internal/broker/layout"
	"testing"

	sq "saffronquay"
)

// BenchmarkInForceOf10000 measures putting a layout of 10,000 ranges in force, all of them changed,
// with 2,000 parts open, as in one step of the engine.
func BenchmarkInForceOf10000(b *testing.B) {
	l := newRangedLayout(b, 10_000)
	c := New(testConfig(), &scriptedModule{})
	c.config.MaxOpen = 0
	c.LayoutChanged(0, layout.Update{Layout: l})
	for i := range 250 {
		a := Query{Label: fmt.Sprint(i), Class: "free", Deadline: 1 << 50}
		for j := range 8 {
			a.Parts = append(a.Parts, QueryPart{Shard: 8*i + j, Span: span(int64(80*i+10*j), int64(80*i+10*j+10)), Weight: 1.0 / 8})
		}
		if _, _, err := c.Open(0, a); err != nil {
			b.Fatal(err)
		}
	}
	all := make([]int, 10_000)
	for i := range all {
		all[i] = i
	}
	b.ReportAllocs()
	for b.Loop() {
		c.LayoutChanged(1, layout.Update{Layout: l, Changed: all})
		c.events = c.events[:0]
	}
}

// BenchmarkQuery measures one query of 8 parts through core and module: of 10,000 ranges on 1,000
// servers with a layout, or of 12 shards on 12 servers with the formula.
func BenchmarkQuery(b *testing.B) {
	for _, c := range []struct {
		name            string
		servers, ranges int
	}{{"formula", 12, 0}, {"layout-12", 12, 12}, {"layout-10000", 1000, 10_000}} {
		b.Run(c.name, func(b *testing.B) { benchmarkQuery(b, c.servers, c.ranges) })
	}
}

func benchmarkQuery(b *testing.B, servers, ranges int) {
	set := sq.Settings{
		Aggregators: 1, Period: 100, Shards: 12, Cells: 12, CellsPerShard: 3,
		Classes: []sq.Class{{Name: "free", LatencyTarget: 2_500_000, HardLimit: 5_000_000, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1}},
		Limits:  sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true}, Rules: sq.Rules{WarmUp: 14_000_000},
	}
	module, err := sq.New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	core := New(Config{Period: 100, Shards: 12, PartsPerCall: 1, AnswerGrace: 100, Classes: set.Classes}, module)
	fleet := sq.FleetChanged{Kind: sq.FleetFull}
	for i := range servers {
		fleet.Servers = append(fleet.Servers, sq.Server{ID: sq.ServerID(fmt.Sprint("s", i)), Cell: i % 12, Health: sq.Ready})
	}
	core.FleetChanged(fleet)
	shards := 12
	var routes *layout.Layout
	if ranges > 0 {
		d := layout.Doc{History: "h", Epoch: 1}
		for i := range ranges {
			r := layout.Range{Span: span(int64(10*i), int64(10*i+10)), Shard: i}
			for j := range 3 {
				r.Holders = append(r.Holders, fleet.Servers[(i+j)%servers].ID)
			}
			d.Ranges = append(d.Ranges, r)
		}
		if routes, err = layout.New(d, nil); err != nil {
			b.Fatal(err)
		}
		core.LayoutChanged(0, layout.Update{Layout: routes})
		shards = ranges
	}
	now := int64(0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		a := Query{Class: "free", Deadline: now + 5_000_000}
		for j := range 8 {
			p := QueryPart{Shard: (n*8 + j) % shards, Weight: 1.0 / 8, Work: 1000}
			if routes != nil {
				p.Span, _ = routes.InForce(p.Shard)
			}
			a.Parts = append(a.Parts, p)
		}
		now += 100
		if _, _, err := core.Open(now, a); err != nil {
			b.Fatal(err)
		}
		for ended := false; !ended; now += 100 {
			for _, e := range core.Step(now) {
				switch e := e.(type) {
				case Call:
					core.AttemptEnded(now+50, e.Attempts[0].ID, sq.Served, nil, nil)
				case Final:
					ended = true
				}
			}
		}
	}
}
