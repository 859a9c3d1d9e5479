package core

import (
	"fmt"
	"saffronquay/internal/broker/layout"
	"slices"
	"testing"

	sq "saffronquay"
	_ "saffronquay/internal/testing/harness/steady"
)

// fataler is implemented by tests, benchmarks and rapid properties.
type fataler interface{ Fatal(...any) }

func span(from, to int64) layout.Span { return layout.Span{From: from, To: to} }

// newRangedLayout returns a layout of n ranges of ten keys, each with the holders s0 and s1.
func newRangedLayout(t fataler, n int) *layout.Layout {
	d := layout.Doc{History: "h", Epoch: 1}
	for i := range n {
		d.Ranges = append(d.Ranges, layout.Range{Span: span(int64(10*i), int64(10*i+10)), Shard: i, Holders: []sq.ServerID{"s0", "s1"}})
	}
	l, err := layout.New(d, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// stepLayout applies the steps of a change up to a given step, and returns the layouts in order.
// The change is a split of a shard at its middle, its merge with the next range, or its move.
func stepLayout(t testing.TB, l *layout.Layout, kind layout.Kind, shard int, until layout.Action, holders ...sq.ServerID) []*layout.Layout {
	d := l.Doc()
	i := slices.IndexFunc(d.Ranges, func(r layout.Range) bool { return r.Shard == shard })
	r := d.Ranges[i]
	s := layout.Step{History: "h", Change: "x", Do: layout.Announce, Kind: kind, From: []int{shard}}
	switch mid := (r.From + r.To) / 2; kind {
	case layout.Move:
		s.To = []layout.Range{{Span: r.Span, Shard: shard, Holders: holders}}
	case layout.Split:
		s.To = []layout.Range{{Span: span(r.From, mid), Shard: d.NextShard, Holders: holders}, {Span: span(mid, r.To), Shard: d.NextShard + 1, Holders: holders}}
	case layout.Merge:
		s.From = append(s.From, d.Ranges[i+1].Shard)
		s.To = []layout.Range{{Span: span(r.From, d.Ranges[i+1].To), Shard: d.NextShard, Holders: holders}}
	}
	var out []*layout.Layout
	for _, do := range []layout.Action{layout.Announce, layout.Copy, layout.MarkReady, layout.Cut, layout.Retire} {
		s.Do, s.Epoch = do, l.Epoch()+1
		next, err := l.Step(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		if l, out = next, append(out, next); do == until {
			break
		}
	}
	return out
}

// openPlanned opens a query that was planned under one layout at a core that may have another
// layout in force.
func openPlanned(t *testing.T, class string, planned, inForce *layout.Layout, want ...layout.Span) (*Core, *scriptedModule, *openQuery) {
	t.Helper()
	m := &scriptedModule{}
	set := testConfig()
	set.MaxOpen = 0
	c := New(set, m)
	c.LayoutChanged(50, layout.Update{Layout: inForce})
	a := Query{Label: "q", Class: class, Deadline: 1000, RequestedSpans: want}
	plan := planned.Plan(nil, want)
	for _, p := range plan {
		a.Parts = append(a.Parts, QueryPart{Shard: p.Shard, Span: p.Span, Weight: 1 / float64(len(plan)), Work: 100})
	}
	id, _, err := c.Open(100, a)
	if err != nil {
		t.Fatal(err)
	}
	return c, m, c.queries[id]
}

func (q *openQuery) partSpans() (out []string) {
	for _, p := range q.parts {
		out = append(out, fmt.Sprintf("%d:%s", p.spec.Shard, p.spec.Span))
	}
	return out
}

func update(c *Core, l *layout.Layout) layout.Update {
	return layout.Update{Layout: l, Changed: layout.Diff(c.routes, l)}
}

// A range may be split or merged between the planning of a query and its arrival at the core, or
// later.
func TestReplan_SplitAndMerge(t *testing.T) {
	l := newRangedLayout(t, 3)
	split, merged := stepLayout(t, l, layout.Split, 1, layout.Cut, "s2"), stepLayout(t, l, layout.Merge, 0, layout.Cut, "s2")
	for _, c := range []struct {
		name   string
		then   []*layout.Layout
		want   []layout.Span
		places string
	}{
		{"split", split, []layout.Span{span(5, 25)}, "[0:0-10 3:10-15 4:15-20 2:20-30]"},
		{"split, only one half requested", split, []layout.Span{span(16, 18)}, "[4:15-20]"},
		{"merge", merged, []layout.Span{span(5, 25)}, "[3:0-10 3:10-20 2:20-30]"},
		{"copying only", split[:2], []layout.Span{span(5, 25)}, "[0:0-10 1:10-20 2:20-30]"},
	} {
		last := c.then[len(c.then)-1]
		_, _, before := openPlanned(t, "free", l, last, c.want...)
		core, m, after := openPlanned(t, "free", l, l, c.want...)
		core.LayoutChanged(110, update(core, last))
		stepEffects[Call](core, m, 120)
		for when, q := range map[string]*openQuery{"before": before, "after": after} {
			if got := fmt.Sprint(q.partSpans()); got != c.places {
				t.Errorf("%s, layout reported %s the query was opened: %s, want %s", c.name, when, got, c.places)
			}
			weight := 0.0
			for _, p := range q.parts {
				weight += p.spec.Weight
			}
			if weight < 0.999 || weight > 1.001 {
				t.Errorf("%s: the weights add up to %g", c.name, weight)
			}
		}
	}
}

// A received part stays. An attempt at an old holder may be answered until that holder is retired.
// A part of an at-most-once class that may have run is not sent elsewhere.
func TestReplan_AttemptInFlight(t *testing.T) {
	l := newRangedLayout(t, 1)
	steps := stepLayout(t, l, layout.Split, 0, layout.Retire, "s2")
	cut, retired := steps[3], steps[4]
	for _, c := range []struct {
		name, class string
		outcome     sq.Outcome
		when        *layout.Layout // in force when the outcome comes
		places      string
	}{
		{"answer of an old holder", "free", sq.Served, cut, "[0:0-10]"},
		{"misplaced", "free", sq.Misplaced, cut, "[1:0-5 2:5-10]"},
		{"misplaced, at most once", "once", sq.Misplaced, cut, "[1:0-5 2:5-10]"},
		{"unreachable, at most once", "once", sq.Unreachable, cut, "[1:0-5 2:5-10]"},
		{"broken, at most once", "once", sq.Broken, cut, "[0:0-10]"},
		{"timed out, at most once", "once", sq.TimedOut, retired, "[0:0-10]"},
		{"broken, idempotent", "free", sq.Broken, cut, "[1:0-5 2:5-10]"},
		{"served by a retired holder", "once", sq.Served, retired, "[0:0-10]"},
	} {
		core, m, q := openPlanned(t, c.class, l, l, span(0, 10))
		calls := stepEffects[Call](core, m, 110, sq.Send{Part: q.parts[0].id, Server: "s0"})
		core.LayoutChanged(120, update(core, cut))
		if c.when == retired {
			core.LayoutChanged(121, update(core, retired))
		}
		core.AttemptEnded(130, calls[0].Attempts[0].ID, c.outcome, []byte("v"), nil)
		stepEffects[Call](core, m, 140)
		if got := fmt.Sprint(q.partSpans()); got != c.places {
			t.Errorf("%s: %s, want %s", c.name, got, c.places)
		}
		if in := q.parts[0].received; in != (c.outcome == sq.Served && c.when == cut) {
			t.Errorf("%s: received is %t", c.name, in)
		}
	}
	// The servers do not reply: when the old holders are retired, the attempts must be cancelled.
	core, m, q := openPlanned(t, "free", l, l, span(0, 10))
	stepEffects[Call](core, m, 110, sq.Send{Part: q.parts[0].id, Server: "s0"}, sq.Send{Part: q.parts[0].id, Server: "s1"})
	core.LayoutChanged(120, update(core, cut))
	core.LayoutChanged(121, update(core, retired))
	if cancels := stepEffects[CancelAttempt](core, m, 130); len(cancels) != 2 || fmt.Sprint(q.partSpans()) != "[1:0-5 2:5-10]" {
		t.Errorf("holders retired with attempts in flight: cancelled %v, parts %v", cancels, q.partSpans())
	}
}

// A part that a server reports as misplaced is not replanned without a later epoch; the layout is
// requested instead.
func TestMisplaced_RequestsLayoutWithoutReplan(t *testing.T) {
	l := newRangedLayout(t, 1)
	core, m, q := openPlanned(t, "free", l, l, span(0, 10))
	for n := range 3 {
		now := int64(110 + 20*n)
		calls := stepEffects[Call](core, m, now, sq.Send{Part: q.parts[0].id, Server: "s0"})
		core.AttemptEnded(now+5, calls[0].Attempts[0].ID, sq.Misplaced, nil, nil)
		if requests := stepEffects[FetchLayout](core, m, now+10); len(requests) != 1 || len(q.parts) != 1 || core.replanned != 0 {
			t.Fatalf("misplaced reply %d: %d layout requests, want 1; parts %v", n, len(requests), q.partSpans())
		}
	}
}

// A value that exceeds Config.MaxValueBytes fails its query immediately, and the query's memory is
// released.
func TestHandleReply_MaxValueBytes(t *testing.T) {
	l := newRangedLayout(t, 3)
	core, m, q := openPlanned(t, "free", l, l, span(0, 30))
	core.config.MaxValueBytes = 100
	var sends []sq.Action
	for _, p := range q.parts {
		sends = append(sends, sq.Send{Part: p.id, Server: "s0"})
	}
	var ids []AttemptID
	for _, call := range stepEffects[Call](core, m, 110, sends...) {
		for _, a := range call.Attempts {
			ids = append(ids, a.ID)
		}
	}
	core.HandleReply(120, Reply{Attempt: ids[0], Outcome: sq.Served, Size: 60})
	core.HandleReply(121, Reply{Attempt: ids[1], Outcome: sq.Served, Size: 40})
	if core.valueBytes != 100 || len(core.queries) != 1 {
		t.Fatalf("%d bytes of values at the limit, want 100", core.valueBytes)
	}
	core.HandleReply(122, Reply{Attempt: ids[2], Outcome: sq.Served, Size: 1})
	if got := stepEffects[Final](core, m, 130); len(got) != 1 || got[0].Outcome != Failed || core.valueBytes != 0 || len(core.parts) != 0 {
		t.Errorf("want one failed query and no bytes, got %+v, %d bytes", got, core.valueBytes)
	}
}
