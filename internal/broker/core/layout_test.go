package core

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/broker/layout"
	"slices"
	"testing"

	"pgregory.net/rapid"

	sq "saffronquay"
	_ "saffronquay/internal/testing/harness/steady"
)

// fataler is a test, a benchmark or a property.
type fataler interface{ Fatal(...any) }

func span(from, to int64) layout.Span { return layout.Span{From: from, To: to} }

// ranged makes a layout of ranges of ten keys, each held by s0 and s1.
func ranged(t fataler, n int) *layout.Layout {
	d := layout.Doc{History: "h", Epoch: 1}
	for i := range n {
		d.Ranges = append(d.Ranges, layout.Range{Span: span(int64(10*i), int64(10*i+10)), Shard: i, Holders: []sq.ServerID{"s0", "s1"}})
	}
	l, err := layout.Make(d, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// change takes a layout through a split at its middle, a merge with the next range or a move, up to a deed.
func change(t testing.TB, l *layout.Layout, kind layout.Kind, shard int, until layout.Deed, holders ...sq.ServerID) []*layout.Layout {
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
	for _, do := range []layout.Deed{layout.Announce, layout.Copy, layout.BothUp, layout.Cut, layout.Retire} {
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

// placed opens a query for keys under a layout at a core that holds another one, or the same.
func placed(t *testing.T, class string, planned, inForce *layout.Layout, want ...layout.Span) (*Core, *script, *openQuery) {
	t.Helper()
	m := &script{}
	set := terms()
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

func (q *openQuery) places() (out []string) {
	for _, p := range q.parts {
		out = append(out, fmt.Sprintf("%d:%s", p.ask.Shard, p.ask.Span))
	}
	return out
}

func update(c *Core, l *layout.Layout) layout.Update {
	return layout.Update{Layout: l, Changed: layout.Diff(c.routes, l)}
}

// A key's range may split, or merge, between the planning of its parts and their arrival at the core, or later.
func TestPlannedAnew(t *testing.T) {
	l := ranged(t, 3)
	split, merged := change(t, l, layout.Split, 1, layout.Cut, "s2"), change(t, l, layout.Merge, 0, layout.Cut, "s2")
	for _, c := range []struct {
		name   string
		then   []*layout.Layout
		want   []layout.Span
		places string
	}{
		{"split", split, []layout.Span{span(5, 25)}, "[0:0-10 3:10-15 4:15-20 2:20-30]"},
		{"split, only one half asked for", split, []layout.Span{span(16, 18)}, "[4:15-20]"},
		{"merge", merged, []layout.Span{span(5, 25)}, "[3:0-10 3:10-20 2:20-30]"},
		{"copying only", split[:2], []layout.Span{span(5, 25)}, "[0:0-10 1:10-20 2:20-30]"},
	} {
		last := c.then[len(c.then)-1]
		_, _, before := placed(t, "free", l, last, c.want...)
		core, m, after := placed(t, "free", l, l, c.want...)
		core.LayoutChanged(110, update(core, last))
		act[Call](core, m, 120)
		for when, q := range map[string]*openQuery{"before": before, "after": after} {
			if got := fmt.Sprint(q.places()); got != c.places {
				t.Errorf("%s, told %s it was opened: %s, want %s", c.name, when, got, c.places)
			}
			weight := 0.0
			for _, p := range q.parts {
				weight += p.ask.Weight
			}
			if weight < 0.999 || weight > 1.001 {
				t.Errorf("%s: the weights add up to %g", c.name, weight)
			}
		}
	}
}

// What is in stays in, what is out at an old side may come in until that is retired, and what may have run of a class that must
// not run twice goes nowhere else.
func TestOutWhenItsRangeSplits(t *testing.T) {
	l := ranged(t, 1)
	steps := change(t, l, layout.Split, 0, layout.Retire, "s2")
	cut, retired := steps[3], steps[4]
	for _, c := range []struct {
		name, class string
		outcome     sq.Outcome
		when        *layout.Layout // in force when the outcome comes
		places      string
	}{
		{"an answer of the old side", "free", sq.Served, cut, "[0:0-10]"},
		{"misplaced", "free", sq.Misplaced, cut, "[1:0-5 2:5-10]"},
		{"misplaced once", "once", sq.Misplaced, cut, "[1:0-5 2:5-10]"},
		{"cut before its frame", "once", sq.Unreachable, cut, "[1:0-5 2:5-10]"},
		{"cut after its frame", "once", sq.Broken, cut, "[0:0-10]"},
		{"timed out", "once", sq.TimedOut, retired, "[0:0-10]"},
		{"cut after its frame, may be repeated", "free", sq.Broken, cut, "[1:0-5 2:5-10]"},
		{"served by one that holds it no longer", "once", sq.Served, retired, "[0:0-10]"},
	} {
		core, m, q := placed(t, c.class, l, l, span(0, 10))
		calls := act[Call](core, m, 110, sq.Send{Part: q.parts[0].id, Server: "s0"})
		core.LayoutChanged(120, update(core, cut))
		if c.when == retired {
			core.LayoutChanged(121, update(core, retired))
		}
		core.AttemptEnded(130, calls[0].Attempts[0].ID, c.outcome, []byte("v"), nil)
		act[Call](core, m, 140)
		if got := fmt.Sprint(q.places()); got != c.places {
			t.Errorf("%s: %s, want %s", c.name, got, c.places)
		}
		if in := q.parts[0].in; in != (c.outcome == sq.Served && c.when == cut) {
			t.Errorf("%s: in %t", c.name, in)
		}
	}
	core, m, q := placed(t, "free", l, l, span(0, 10)) // a silent server: its old side goes, and nothing else would end it
	act[Call](core, m, 110, sq.Send{Part: q.parts[0].id, Server: "s0"}, sq.Send{Part: q.parts[0].id, Server: "s1"})
	core.LayoutChanged(120, update(core, cut))
	core.LayoutChanged(121, update(core, retired))
	if drops := act[CancelAttempt](core, m, 130); len(drops) != 2 || fmt.Sprint(q.places()) != "[1:0-5 2:5-10]" {
		t.Errorf("retired under it: %v %v", drops, q.places())
	}
}

// A server's word can't send a part in circles: without a later epoch it is not planned anew, and the directory is asked.
func TestMisplacedAndNothingNew(t *testing.T) {
	l := ranged(t, 1)
	core, m, q := placed(t, "free", l, l, span(0, 10))
	for n := range 3 {
		now := int64(110 + 20*n)
		calls := act[Call](core, m, now, sq.Send{Part: q.parts[0].id, Server: "s0"})
		core.AttemptEnded(now+5, calls[0].Attempts[0].ID, sq.Misplaced, nil, nil)
		if asked := act[Refresh](core, m, now+10); len(asked) != 1 || len(q.parts) != 1 || core.replanned != 0 {
			t.Fatalf("%d: asked %d times, %v", n, len(asked), q.places())
		}
	}
}

// Parts that are more than may be held together fail their query at once, and what is held is given back with it.
func TestHeldParts(t *testing.T) {
	l := ranged(t, 3)
	core, m, q := placed(t, "free", l, l, span(0, 30))
	core.terms.MaxHeld = 100
	var sends []sq.Action
	for _, p := range q.parts {
		sends = append(sends, sq.Send{Part: p.id, Server: "s0"})
	}
	var ids []AttemptID
	for _, call := range act[Call](core, m, 110, sends...) {
		for _, a := range call.Attempts {
			ids = append(ids, a.ID)
		}
	}
	core.HandleReply(120, Reply{Attempt: ids[0], Outcome: sq.Served, Size: 60})
	core.HandleReply(121, Reply{Attempt: ids[1], Outcome: sq.Served, Size: 40})
	if core.held != 100 || len(core.queries) != 1 {
		t.Fatalf("%d held", core.held)
	}
	core.HandleReply(122, Reply{Attempt: ids[2], Outcome: sq.Served, Size: 1})
	if got := act[Final](core, m, 130); len(got) != 1 || got[0].Outcome != Failed || core.held != 0 || len(core.parts) != 0 {
		t.Errorf("%+v, %d held", got, core.held)
	}
}

// world plays the module and the core in virtual time against servers that are ahead of what the gatherer was told.
type world struct {
	rng      *rand.Rand
	core     *Core
	now      int64
	truth    *layout.Layout
	untold   []*layout.Layout
	coming   []arrival
	ran      map[sq.ID][]layout.Span // of queries that must not run twice
	asked    map[string]Query
	ended    map[sq.ID]bool
	ids      map[sq.ID]Query
	problem  string
	answered int
	// careless has the driver say that what was cut after it ran never ran: a bug that the ledger has to find.
	careless bool
}

type arrival struct {
	at      int64
	attempt AttemptID
	outcome sq.Outcome
	value   []byte
}

func (w *world) fault(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf("at %d: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// newWorld makes one. lax has the module believe that everything may be repeated: another bug that the ledger has to find.
func newWorld(t fataler, seed uint64, lax bool) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), ran: map[sq.ID][]layout.Span{}, ended: map[sq.ID]bool{}, ids: map[sq.ID]Query{}}
	classes := []sq.Class{
		{Name: "free", LatencyTarget: 40_000, HardLimit: 60_000, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1},
		{Name: "once", LatencyTarget: 40_000, HardLimit: 60_000, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce},
	}
	set := sq.Settings{
		Aggregators: 1, Period: 100, Classes: slices.Clone(classes), Shards: 1, Cells: 1, CellsPerShard: 1,
		Limits: sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true, RetryAfter: true, MaxRetryAfter: 500},
	}
	if lax {
		set.Classes[1].Effect = sq.Idempotent
	}
	module, err := sq.New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	w.core = New(Config{Period: 100, Shards: 1, PartsPerCall: 1, RetryAfter: true, MaxRetryAfter: 500, AnswerGrace: 100, Classes: classes}, module)
	var fleet []sq.Server
	for i := range 5 {
		fleet = append(fleet, sq.Server{ID: sq.ServerID(fmt.Sprint("s", i)), Health: sq.Ready})
	}
	w.core.FleetChanged(sq.FleetChanged{Kind: sq.FleetFull, Servers: fleet})
	w.truth = ranged(t, 6)
	w.core.LayoutChanged(0, layout.Update{Layout: w.truth})
	return w
}

// alter takes the truth on by one step; the gatherer is told some time.
func (w *world) alter(n int) {
	d := w.truth.Doc()
	s := layout.Step{History: "h", Epoch: d.Epoch + 1, Change: fmt.Sprint("c", n), Do: layout.Announce}
	holders := []sq.ServerID{sq.ServerID(fmt.Sprint("s", w.rng.IntN(5)))}
	at := w.rng.IntN(len(d.Ranges))
	r := d.Ranges[at]
	s.From = []int{r.Shard}
	if len(d.Changes) > 0 && w.rng.IntN(3) > 0 {
		c := d.Changes[w.rng.IntN(len(d.Changes))]
		s.Change, s.From = c.ID, nil
		s.Do = map[layout.State]layout.Deed{layout.Announced: layout.Copy, layout.Copying: layout.BothUp, layout.Ready: layout.Cut, layout.CutOver: layout.Retire}[c.State]
		if w.rng.IntN(6) == 0 {
			s.Do = layout.Abort
		}
	} else if mid := (r.From + r.To) / 2; w.rng.IntN(2) == 0 && mid > r.From {
		s.Kind, s.To = layout.Split, []layout.Range{{Span: span(r.From, mid), Shard: d.NextShard, Holders: holders}, {Span: span(mid, r.To), Shard: d.NextShard + 1, Holders: holders}}
	} else if at+1 < len(d.Ranges) && w.rng.IntN(2) == 0 {
		s.Kind, s.From = layout.Merge, append(s.From, d.Ranges[at+1].Shard)
		s.To = []layout.Range{{Span: span(r.From, d.Ranges[at+1].To), Shard: d.NextShard, Holders: holders}}
	} else {
		s.Kind, s.To = layout.Move, []layout.Range{{Span: r.Span, Shard: r.Shard, Holders: holders}}
	}
	if next, err := w.truth.Step(s, nil); err == nil {
		w.truth, w.untold = next, append(w.untold, next)
	}
}

// tell has the gatherer hear of some epochs, perhaps of several as one whole list.
func (w *world) tell() {
	if len(w.untold) == 0 {
		return
	}
	n := 1 + w.rng.IntN(len(w.untold))
	l := w.untold[n-1]
	w.untold = w.untold[n:]
	w.core.LayoutChanged(w.now, update(w.core, l))
}

func (w *world) ask() {
	a := Query{Label: fmt.Sprint("q", w.now), Class: []string{"free", "once"}[w.rng.IntN(2)], Deadline: w.now + 30_000 + w.rng.Int64N(30_000)}
	from := w.rng.Int64N(55)
	a.RequestedSpans = []layout.Span{span(from, from+1+w.rng.Int64N(60-from))}
	plan := w.core.routes.Plan(nil, a.RequestedSpans)
	for _, p := range plan {
		a.Parts = append(a.Parts, QueryPart{Shard: p.Shard, Span: p.Span, Weight: 1 / float64(len(plan)), Work: 500})
	}
	id, f, err := w.core.Open(w.now, a)
	if err != nil || f != nil {
		w.fault("%v %v", f, err)
		return
	}
	w.ids[id] = a
}

// serve plays a server that knows the truth: what it holds it runs, and what then comes back may be lost or late.
func (w *world) serve(server sq.ServerID, a Attempt) {
	p := w.core.attempts[a.ID].p
	at := w.now + 100 + w.rng.Int64N(6_000)
	got := arrival{at, a.ID, sq.Served, []byte(a.Span.String())}
	inForce, ok := w.truth.InForce(a.Shard)
	switch {
	case w.rng.IntN(10) == 0:
		got.outcome = sq.Unreachable
	case !ok || a.Span.From < inForce.From || a.Span.To > inForce.To || !slices.Contains(w.truth.Of(a.Shard), server):
		if got.outcome = sq.Rejected; w.truth.Epoch() > a.Epoch {
			got.outcome = sq.Misplaced
		}
	default:
		if p.q.class.Effect == sq.AtMostOnce {
			for _, other := range w.ran[p.q.id] {
				if !other.Meet(a.Span).Empty() {
					w.fault("query %d ran %s after %s", p.q.id, a.Span, other)
				}
			}
			w.ran[p.q.id] = append(w.ran[p.q.id], a.Span)
		}
		switch w.rng.IntN(12) {
		case 0:
			if got.outcome = sq.Broken; w.careless {
				got.outcome = sq.Unreachable
			}
		case 1:
			got.outcome = sq.Errored
		case 2:
			return // silence
		}
	}
	w.coming = append(w.coming, got)
}

func (w *world) end(f Final) {
	a := w.ids[f.Query]
	if w.ended[f.Query] || w.now > a.Deadline+200 {
		w.fault("query %d ended twice or late", f.Query)
	}
	w.ended[f.Query] = true
	if f.Outcome == Refused && len(w.ran[f.Query]) > 0 {
		w.fault("query %d was refused, and yet it ran", f.Query)
	}
	if f.Outcome != Answered {
		return
	}
	w.answered++
	seen := map[int64]int{}
	for _, v := range f.Values {
		var s layout.Span
		fmt.Sscanf(string(v.Data), "%d-%d", &s.From, &s.To)
		for k := s.From; k < s.To; k++ {
			seen[k]++
		}
	}
	for k := a.RequestedSpans[0].From; k < a.RequestedSpans[0].To; k++ {
		if seen[k] != 1 || !f.Complete {
			w.fault("query %d: key %d is %d times in an answer (whole %t)", f.Query, k, seen[k], f.Complete)
		}
	}
}

// play lets time pass until every query has ended, and returns what went wrong.
func (w *world) play() string {
	for n := range 1100 {
		w.now += 100
		if n < 400 {
			if w.rng.IntN(4) == 0 {
				w.ask()
			}
			if w.rng.IntN(3) == 0 {
				w.alter(n)
			}
		}
		if w.rng.IntN(8) == 0 || n > 400 {
			w.tell()
		}
		due := w.coming
		w.coming = nil
		for _, a := range due {
			if a.at > w.now {
				w.coming = append(w.coming, a)
			} else {
				w.core.AttemptEnded(w.now, a.attempt, a.outcome, a.value, nil)
			}
		}
		for _, e := range w.core.Step(w.now) {
			switch e := e.(type) {
			case Call:
				for _, a := range e.Attempts {
					if w.core.attempts[a.ID] != nil {
						w.serve(e.Server, a)
					}
				}
			case Final:
				w.end(e)
			}
		}
	}
	for id := range w.ids {
		if !w.ended[id] {
			w.fault("query %d has no end", id)
		}
	}
	if c := w.core; len(c.queries)+len(c.parts)+len(c.attempts)+len(c.byShard)+c.open > 0 {
		w.fault("something is left: %d queries, %d parts, %d attempts, %d shards, %d open", len(c.queries), len(c.parts), len(c.attempts), len(c.byShard), c.open)
	}
	return w.problem
}

// Whatever the history of changes, the gatherer's lateness and the losses: one end in time for each query, answers that hold
// each key once, nothing run twice that must not, no refusal of what ran, and nothing left behind.
func TestAnyChangesUnderQueries(t *testing.T) {
	asked, answered := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), false)
		if p := w.play(); p != "" {
			t.Fatal(p)
		}
		asked, answered = asked+len(w.ids), answered+w.answered
	})
	if t.Logf("%d of %d queries answered", answered, asked); answered*3 < asked {
		t.Errorf("%d of %d queries answered: the property says little", answered, asked)
	}
}

// The ledger finds what it is there for: a driver that calls what ran never run, and a module that repeats everything.
func TestSeededBugsAreFound(t *testing.T) {
	for name, bug := range map[string]func(seed uint64) *world{
		"careless driver": func(seed uint64) *world { w := newWorld(t, seed, false); w.careless = true; return w },
		"lax module":      func(seed uint64) *world { return newWorld(t, seed, true) },
	} {
		found := ""
		for seed := uint64(0); seed < 20 && found == ""; seed++ {
			found = bug(seed).play()
		}
		if found == "" {
			t.Errorf("%s: not found", name)
		} else {
			t.Logf("%s: %s", name, found)
		}
	}
}

// BenchmarkInForceOf10000 puts a layout of 10,000 ranges in force, all of them changed, with 2,000 parts open, as one step of
// the engine does.
func BenchmarkInForceOf10000(b *testing.B) {
	l := ranged(b, 10_000)
	c := New(terms(), &script{})
	c.terms.MaxOpen = 0
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

// BenchmarkQuery is one query of 8 parts through core and module, of 10,000 ranges on 1,000 servers by a layout, or of 12 shards
// on 12 servers by the formula.
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
		if routes, err = layout.Make(d, nil); err != nil {
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
