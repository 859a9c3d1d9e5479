package routecheck

import (
	"fmt"
	"math/rand/v2"
	"os"
	"saffronquay/internal/broker/layout"
	"slices"
	"strings"
	"testing"
	"time"

	sq "saffronquay"
)

// validRoster returns a valid roster: twelve servers in three zones, and forty ranges of a thousand keys,
// each with a holder in every zone.
func validRoster() Roster {
	r := Roster{Name: "good", Seed: 1, Settings: sq.Settings{
		Aggregators: 1, Zone: "norte", Period: 1000, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1,
		Classes: []sq.Class{{Name: "c", LatencyTarget: 1e6, HardLimit: 4e6, Value: 1, CompleteWeight: 1, MinWeight: 1}},
		Tenants: []sq.Tenant{{Name: "lagos", Quota: 100}, {Name: "ferrer", Quota: 50}},
		Limits:  sq.Limits{MaxAttempts: 3, Hedging: true},
	}}
	doc := layout.Doc{History: "h", Epoch: 1, NextShard: 40}
	for i := range 12 {
		r.Servers = append(r.Servers, sq.Server{ID: id(i), Zone: []string{"norte", "sur", "villa-maria"}[i%3], Health: sq.Ready})
	}
	for i := range 40 {
		doc.Ranges = append(doc.Ranges, layout.Range{
			Shard: i, Span: layout.Span{From: int64(i) * 1000, To: int64(i+1) * 1000},
			Holders: []sq.ServerID{id(i), id(i + 1), id(i + 2)},
		})
	}
	return r.with(doc)
}

func id(i int) sq.ServerID { return sq.ServerID(fmt.Sprintf("s%02d", i%12)) }

// with returns the roster with another layout.
func (r Roster) with(doc layout.Doc) Roster {
	l, err := layout.New(doc, nil)
	if err != nil {
		panic(err)
	}
	r.Layout = l
	r.Indices = map[string]Index{"invoices": {Class: "c", PartWork: 10_000, Ranges: PlacedRanges(l)}}
	r.Servers = slices.Clone(r.Servers)
	return r
}

// ranges returns the roster with changed ranges.
func (r Roster) ranges(change func(rs []layout.Range) []layout.Range) Roster {
	doc := r.Layout.Doc()
	doc.Ranges = slices.Clone(doc.Ranges)
	for i := range doc.Ranges {
		doc.Ranges[i].Holders = slices.Clone(doc.Ranges[i].Holders)
	}
	doc.Ranges = change(doc.Ranges)
	doc.Epoch++
	return r.with(doc)
}

// under returns the roster with a layout change in progress, to which the given actions were
// applied.
func (r Roster) under(kind layout.Kind, from []int, to []layout.Range, actions ...layout.Action) Roster {
	l := r.Layout
	for i, do := range append([]layout.Action{layout.Announce}, actions...) {
		s := layout.Step{History: l.History(), Epoch: l.Epoch() + 1, Change: "m", Do: do}
		if i == 0 {
			s.Kind, s.From, s.To = kind, from, to
		}
		next, err := l.Step(s, nil)
		if err != nil {
			panic(err)
		}
		l = next
	}
	return r.with(l.Doc())
}

func (r Roster) server(i int, change func(*sq.Server)) Roster {
	r.Servers = slices.Clone(r.Servers)
	change(&r.Servers[i])
	return r
}

const standardExpectations = `{"expect":[
 {"name":"holders","reason":"r","least_holders":{"holders":2}},
 {"name":"zones","reason":"r","least_zones":{"zones":2}},
 {"name":"pilot zones","reason":"r","key_zones":{"key":30500,"zones":3}},
 {"name":"pilot","reason":"r","key_goes_to":{"key":5500,"servers":["s05","s06","s07"]}},
 {"name":"covers","reason":"r","covers":{"from":0,"to":40000}},
 {"name":"parts","reason":"r","most_parts":{"from":0,"to":10000,"parts":10}},
 {"name":"load","reason":"r","most_load":{"times_mean":1.5}},
 {"name":"moved","reason":"r","most_moved":{"from_roster":"now","share":0.1}},
 {"name":"lagos fits","reason":"r","contract_fits":{"tenant":"lagos","index":"invoices","parts":2,"cores_per_server":4,"share":0.25}},
 {"name":"all fit","reason":"r","contract_fits":{"index":"invoices","parts":2,"cores_per_server":4,"share":0.25}},
 {"name":"any server","reason":"r","gone":{"any":"server"},"least_holders":{"holders":2}},
 {"name":"any zone","reason":"r","gone":{"any":"zone"},"least_holders":{"holders":2}},
 {"name":"villa-maria","reason":"r","gone":{"zone":"villa-maria"},"least_zones":{"zones":2}},
 {"name":"load without one","reason":"r","gone":{"any":"server"},"most_load":{"times_mean":1.8}},
 {"name":"fit without a zone","reason":"r","gone":{"any":"zone"},"contract_fits":{"index":"invoices","parts":2,"cores_per_server":4,"share":0.4}},
 {"name":"pilot without s05","reason":"r","gone":{"server":"s05"},"key_goes_to":{"key":5500,"servers":["s06","s07"]}}]}`

func parsed(t *testing.T, text string) []Expectation {
	t.Helper()
	es, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return es
}

func span(i int) layout.Span { return layout.Span{From: int64(i) * 1000, To: int64(i+1) * 1000} }

// faultyRosters are rosters with one fault each, and the expectations that fail because of it. extra is
// evaluated in addition to standardExpectations.
var faultyRosters = []struct {
	name  string
	make  func(Roster) Roster
	extra string
	fails string
}{
	{"one holder", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[7].Holders = rs[7].Holders[:1]; return rs })
	}, "", "holders, zones, any server, any zone, villa-maria"},
	{"two holders", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[7].Holders = []sq.ServerID{"s07", "s09"}; return rs })
	}, "", "any server, any zone"},
	{"all holders in one zone", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[8].Holders = []sq.ServerID{"s00", "s03", "s06"}; return rs })
	}, "", "zones, any zone, villa-maria"},
	{"two of three in one zone", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[8].Holders = []sq.ServerID{"s08", "s05", "s07"}; return rs })
	}, "", "any zone, villa-maria"},
	{"the pilot in two zones", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[30].Holders = []sq.ServerID{"s06", "s07", "s00"}; return rs })
	}, "", "pilot zones, any zone"},
	{"the pilot elsewhere", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[5].Holders = []sq.ServerID{"s00", "s01", "s02"}; return rs })
	}, "", "pilot, pilot without s05"},
	{"a draining holder", func(r Roster) Roster { return r.server(4, func(s *sq.Server) { s.Health = sq.Draining }) }, "", "any server, any zone, load without one, villa-maria"},
	{"two draining neighbours", func(r Roster) Roster {
		return r.server(4, func(s *sq.Server) { s.Health = sq.Draining }).server(5, func(s *sq.Server) { s.Health = sq.Draining })
	}, "", "holders, zones, any server, any zone, villa-maria, load, load without one"},
	{"a holder that is not listed", func(r Roster) Roster { r.Servers = slices.Delete(slices.Clone(r.Servers), 9, 10); return r }, "", "any server, any zone, villa-maria"},
	{"a zone renamed", func(r Roster) Roster {
		for i := range r.Servers {
			if r.Servers[i].Zone == "villa-maria" {
				r.Servers[i].Zone = "sur"
			}
		}
		return r
	}, "", "pilot zones, any zone, villa-maria"},
	{"fewer keys", func(r Roster) Roster { return r.ranges(func(rs []layout.Range) []layout.Range { return rs[:39] }) }, "", "covers"},
	{"keys from later on", func(r Roster) Roster { return r.ranges(func(rs []layout.Range) []layout.Range { return rs[1:] }) }, "", "covers"},
	{"a range in pieces", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range {
			half := rs[3]
			rs[3].To, half.From, half.Shard = 3500, 3500, 39 // reuses the number of the dropped last shard
			return slices.Insert(rs[:39:39], 4, half)
		})
	}, "", "covers, parts"},
	{"one wide range", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[39].To = 52000; return rs })
	}, "", "load, load without one, moved"},
	{"one server holds too much", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range {
			for _, i := range []int{3, 15, 27, 39, 6, 18, 9} {
				rs[i].Holders[0] = "s00"
			}
			return rs
		})
	}, "", "load, load without one, moved"},
	{"much moved", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range {
			for i := range 6 {
				rs[20+i].Holders = []sq.ServerID{id(i + 3), id(i + 4), id(i + 5)}
			}
			return rs
		})
	}, "", "moved"},
	{"one tenant asks for more", func(r Roster) Roster {
		r.Settings.Tenants = []sq.Tenant{{Name: "lagos", Quota: 601}, {Name: "ferrer", Quota: 50}}
		return r
	}, "", "lagos fits, all fit, fit without a zone"},
	{"all ask for a little more", func(r Roster) Roster {
		r.Settings.Tenants = append(slices.Clone(r.Settings.Tenants), sq.Tenant{Name: "new", Quota: 460})
		return r
	}, "", "all fit"},
	{"a tenant gone", func(r Roster) Roster { r.Settings.Tenants = r.Settings.Tenants[1:]; return r }, "", "lagos fits"},
	{"parts cost more", func(r Roster) Roster {
		r.Indices = map[string]Index{"invoices": {Class: "c", PartWork: 65_000, Ranges: r.Indices["invoices"].Ranges}}
		return r
	}, "", "lagos fits, all fit, fit without a zone"},
	{"an index without cost", func(r Roster) Roster {
		r.Indices = map[string]Index{"invoices": {Class: "c", Ranges: r.Indices["invoices"].Ranges}}
		return r
	}, "", "lagos fits, all fit, fit without a zone"},
	{"a change half done", func(r Roster) Roster {
		return r.under(layout.Move, []int{7}, []layout.Range{{Shard: 7, Span: span(7), Holders: []sq.ServerID{"s07"}}}, layout.Copy)
	}, `{"name":"quiet","reason":"r","no_change":{}}`, "quiet, holders, zones, any server, any zone, villa-maria"},
	{"a split that ends in one zone", func(r Roster) Roster {
		return r.under(layout.Split, []int{7}, []layout.Range{
			{Shard: 40, Span: layout.Span{From: 7000, To: 7500}, Holders: []sq.ServerID{"s00", "s03", "s06"}},
			{Shard: 41, Span: layout.Span{From: 7500, To: 8000}, Holders: []sq.ServerID{"s07", "s08", "s09"}},
		})
	}, "", "zones, any zone, villa-maria, parts"},
	{"cut over and not retired", func(r Roster) Roster {
		return r.under(layout.Move, []int{7}, []layout.Range{{Shard: 7, Span: span(7), Holders: []sq.ServerID{"s01", "s02", "s03"}}}, layout.Copy, layout.MarkReady, layout.Cut)
	}, `{"name":"quiet","reason":"r","no_change":{}}`, "quiet"},
	{"a server that should get nothing", func(r Roster) Roster { return r }, `{"name":"idle","reason":"r","gets_nothing":{"server":"s11"}}`, "idle"},
	{"a server that is not there", func(r Roster) Roster { return r }, `{"name":"idle","reason":"r","gets_nothing":{"server":"s12"}}`, "idle"},
	{"a zone that is not there", func(r Roster) Roster { return r }, `{"name":"oeste","reason":"r","gone":{"zone":"oeste"},"least_holders":{"holders":1}}`, "oeste"},
	{"a roster that is not there", func(r Roster) Roster { return r }, `{"name":"then","reason":"r","most_moved":{"from_roster":"then","share":1}}`, "then"},
	{"a key nowhere", func(r Roster) Roster { return r }, `{"name":"far","reason":"r","key_zones":{"key":99999,"zones":1}}`, "far"},
}

// harmlessChanges are changes under which all expectations are met.
var harmlessChanges = []struct {
	name string
	make func(Roster) Roster
}{
	{"as it is", func(r Roster) Roster { return r }},
	{"another seed", func(r Roster) Roster { r.Seed = 99; return r }},
	{"another home zone", func(r Roster) Roster { r.Settings.Zone = "sur"; return r }},
	{"a spare server", func(r Roster) Roster {
		r.Servers = append(slices.Clone(r.Servers), sq.Server{ID: "s99", Zone: "sur", Health: sq.Ready})
		return r
	}},
	{"a spare server drains", func(r Roster) Roster {
		r.Servers = append(slices.Clone(r.Servers), sq.Server{ID: "s99", Zone: "sur", Health: sq.Draining})
		return r
	}},
	{"one range moved", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[20].Holders = []sq.ServerID{"s03", "s04", "s05"}; return rs })
	}},
	{"holders in another order", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { slices.Reverse(rs[5].Holders); return rs })
	}},
	{"a fourth holder", func(r Roster) Roster {
		return r.ranges(func(rs []layout.Range) []layout.Range { rs[10].Holders = append(rs[10].Holders, "s01"); return rs })
	}},
	{"a sound move under way", func(r Roster) Roster {
		return r.under(layout.Move, []int{20}, []layout.Range{{Shard: 20, Span: span(20), Holders: []sq.ServerID{"s03", "s04", "s05"}}}, layout.Copy)
	}},
	{"a smaller contract", func(r Roster) Roster { r.Settings.Tenants = []sq.Tenant{{Name: "lagos", Quota: 10}}; return r }},
}

func failing(t *testing.T, r Roster, es []Expectation) (names []string, took time.Duration) {
	t.Helper()
	began := time.Now()
	results, err := Evaluate(r, map[string]Roster{"now": validRoster()}, es)
	if err != nil {
		t.Fatal(err)
	}
	took = time.Since(began)
	for _, x := range results {
		if !x.OK {
			names = append(names, x.Name)
			for _, f := range x.Failures {
				if f.Why == "" {
					t.Errorf("%s: failure without a reason", x.Name)
				}
			}
		}
	}
	slices.Sort(names)
	return names, took
}

// TestProof checks that each faulty roster fails exactly the expectations listed for it, that the
// harmless changes fail none, and that no evaluation takes longer than a second.
func TestProof(t *testing.T) {
	caught, passed, slowest := 0, 0, time.Duration(0)
	for _, c := range faultyRosters {
		es := parsed(t, standardExpectations)
		if c.extra != "" {
			es = append(es, parsed(t, `{"expect":[`+c.extra+`]}`)...)
		}
		names, took := failing(t, c.make(validRoster()), es)
		want := strings.Split(c.fails, ", ")
		slices.Sort(want)
		if slices.Equal(names, want) {
			caught++
		} else {
			t.Errorf("%s: failing expectations %q, want %q", c.name, names, want)
		}
		slowest = max(slowest, took)
	}
	for _, c := range harmlessChanges {
		names, took := failing(t, c.make(validRoster()), parsed(t, standardExpectations))
		if len(names) == 0 {
			passed++
		} else {
			t.Errorf("%s: failing expectations %q, want none", c.name, names)
		}
		slowest = max(slowest, took)
	}
	if slowest > time.Second {
		t.Errorf("slowest evaluation took %s, want at most 1s", slowest)
	}
	fmt.Printf("proof: broken_caught=%d good_passed=%d slowest_ms=%d\n", caught, passed, slowest.Milliseconds())
}

// TestEvaluate_LossEqualsRosterWithoutServer checks that the results under the simulated loss of a
// server match those of a roster that does not list it.
func TestEvaluate_LossEqualsRosterWithoutServer(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range 30 {
		r := validRoster().ranges(func(rs []layout.Range) []layout.Range {
			for range 6 {
				i := rng.IntN(40)
				rs[i].Holders = []sq.ServerID{id(rng.IntN(6)), id(6 + rng.IntN(6))}
			}
			return rs
		})
		for _, kind := range []string{
			`"least_holders":{"holders":2}`, `"least_zones":{"zones":2}`, `"most_load":{"times_mean":1.3}`,
			`"contract_fits":{"index":"invoices","parts":2,"cores_per_server":4,"share":0.069}`,
		} {
			at := rng.IntN(12)
			under := parsed(t, fmt.Sprintf(`{"expect":[{"name":"n","reason":"r","gone":{"server":%q},%s}]}`, id(at), kind))
			plain := parsed(t, fmt.Sprintf(`{"expect":[{"name":"n","reason":"r",%s}]}`, kind))
			smaller := r
			smaller.Servers = slices.Delete(slices.Clone(r.Servers), at, at+1)
			a, err := Evaluate(r, nil, under)
			if err != nil {
				t.Fatal(err)
			}
			b, err := Evaluate(smaller, nil, plain)
			if err != nil {
				t.Fatal(err)
			}
			// Under a loss only the affected ranges are reported; others are reported without the
			// loss.
			if a[0].OK && !b[0].OK && kind[1:6] != "least" || !a[0].OK && b[0].OK {
				t.Errorf("round %d, %s: with the loss of %s %v, with a roster that lacks it %v", round, kind, id(at), a[0], b[0])
			}
		}
	}
}

// TestMeasure measures the evaluation of a roster of production size. SAFFRONQUAY_MEASURE=1 runs
// it.
func TestMeasure(t *testing.T) {
	if os.Getenv("SAFFRONQUAY_MEASURE") == "" {
		t.Skip("SAFFRONQUAY_MEASURE is not set")
	}
	r := validRoster()
	r.Servers = nil
	for i := range 1000 {
		r.Servers = append(r.Servers, sq.Server{ID: sq.ServerID(fmt.Sprintf("s%04d", i)), Zone: fmt.Sprint("z", i%5), Health: sq.Ready})
	}
	doc := layout.Doc{History: "h", Epoch: 1, NextShard: 10_000}
	for i := range 10_000 {
		x := layout.Range{Shard: i, Span: layout.Span{From: int64(i) * 10, To: int64(i+1) * 10}}
		for j := range 3 {
			x.Holders = append(x.Holders, r.Servers[(i+j)%1000].ID)
		}
		doc.Ranges = append(doc.Ranges, x)
	}
	r = r.with(doc)
	var es []string
	for i := range 200 {
		kind := []string{
			`"least_holders":{"holders":2}`, `"least_zones":{"zones":2}`, `"most_load":{"times_mean":2}`,
			fmt.Sprintf(`"key_zones":{"key":%d,"zones":2}`, i*500), fmt.Sprintf(`"key_goes_to":{"key":%d,"servers":["s%04d","s%04d","s%04d"]}`, i*500, i*50%1000, (i*50+1)%1000, (i*50+2)%1000),
		}[i%5]
		es = append(es, fmt.Sprintf(`{"name":"e%d","reason":"r","gone":{"any":%q},%s}`, i, []string{"server", "zone"}[i/5%2], kind))
	}
	began := time.Now()
	names, _ := failing(t, r, parsed(t, `{"expect":[`+strings.Join(es, ",")+`]}`))
	t.Logf("10,000 ranges, 1,000 servers, 200 expectations under all single losses of servers or zones: %s, %d broken", time.Since(began), len(names))
}
