package core

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/broker/layout"
	"slices"
	"testing"

	"pgregory.net/rapid"

	sq "saffronquay"
)

// simulatedServers drives the module and the core in virtual time against servers whose layout may
// be newer than the gatherer's.
type simulatedServers struct {
	rng       *rand.Rand
	core      *Core
	now       int64
	layout    *layout.Layout
	pending   []*layout.Layout
	arrivals  []arrival
	ran       map[sq.ID][]layout.Span // of at-most-once queries
	ended     map[sq.ID]bool
	queries   map[sq.ID]Query
	violation string
	answered  int
	// reportsBrokenAsUnreachable seeds a bug that the checks must find: the driver reports attempts
	// whose connection broke after they ran as not run.
	reportsBrokenAsUnreachable bool
}

type arrival struct {
	at      int64
	attempt AttemptID
	outcome sq.Outcome
	value   []byte
}

func (w *simulatedServers) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %d: ", w.now) + fmt.Sprintf(format, args...)
	}
}

// newSimulatedServers returns a simulation. ignoresEffects seeds a bug that the checks must
// find: the module treats every class as idempotent.
func newSimulatedServers(t fataler, seed uint64, ignoresEffects bool) *simulatedServers {
	w := &simulatedServers{rng: rand.New(rand.NewPCG(seed, 1)), ran: map[sq.ID][]layout.Span{}, ended: map[sq.ID]bool{}, queries: map[sq.ID]Query{}}
	classes := []sq.Class{
		{Name: "free", LatencyTarget: 40_000, HardLimit: 60_000, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1},
		{Name: "once", LatencyTarget: 40_000, HardLimit: 60_000, Value: 1, LateValue: 0.1, CompleteWeight: 1, MinWeight: 1, Effect: sq.AtMostOnce},
	}
	set := sq.Settings{
		Aggregators: 1, Period: 100, Classes: slices.Clone(classes), Shards: 1, Cells: 1, CellsPerShard: 1,
		Limits: sq.Limits{MaxAttempts: 4, Hedging: true, MayCancel: true, RetryAfter: true, MaxRetryAfter: 500},
	}
	if ignoresEffects {
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
	w.layout = newRangedLayout(t, 6)
	w.core.LayoutChanged(0, layout.Update{Layout: w.layout})
	return w
}

// changeLayout makes one step of a layout change at the servers; reportLayout reports it to the
// gatherer later.
func (w *simulatedServers) changeLayout(n int) {
	d := w.layout.Doc()
	s := layout.Step{History: "h", Epoch: d.Epoch + 1, Change: fmt.Sprint("c", n), Do: layout.Announce}
	holders := []sq.ServerID{sq.ServerID(fmt.Sprint("s", w.rng.IntN(5)))}
	at := w.rng.IntN(len(d.Ranges))
	r := d.Ranges[at]
	s.From = []int{r.Shard}
	if len(d.Changes) > 0 && w.rng.IntN(3) > 0 {
		c := d.Changes[w.rng.IntN(len(d.Changes))]
		s.Change, s.From = c.ID, nil
		s.Do = map[layout.State]layout.Action{layout.Announced: layout.Copy, layout.Copying: layout.MarkReady, layout.Ready: layout.Cut, layout.CutOver: layout.Retire}[c.State]
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
	if next, err := w.layout.Step(s, nil); err == nil {
		w.layout, w.pending = next, append(w.pending, next)
	}
}

// reportLayout reports some of the pending epochs to the gatherer, several of them as one update.
func (w *simulatedServers) reportLayout() {
	if len(w.pending) == 0 {
		return
	}
	n := 1 + w.rng.IntN(len(w.pending))
	l := w.pending[n-1]
	w.pending = w.pending[n:]
	w.core.LayoutChanged(w.now, update(w.core, l))
}

func (w *simulatedServers) openQuery() {
	a := Query{Label: fmt.Sprint("q", w.now), Class: []string{"free", "once"}[w.rng.IntN(2)], Deadline: w.now + 30_000 + w.rng.Int64N(30_000)}
	from := w.rng.Int64N(55)
	a.RequestedSpans = []layout.Span{span(from, from+1+w.rng.Int64N(60-from))}
	plan := w.core.routes.Plan(nil, a.RequestedSpans)
	for _, p := range plan {
		a.Parts = append(a.Parts, QueryPart{Shard: p.Shard, Span: p.Span, Weight: 1 / float64(len(plan)), Work: 500})
	}
	id, f, err := w.core.Open(w.now, a)
	if err != nil || f != nil {
		w.violate("%v %v", f, err)
		return
	}
	w.queries[id] = a
}

// serve simulates a server with the latest layout: it runs the part if it holds the range, and its
// reply may be lost or late.
func (w *simulatedServers) serve(server sq.ServerID, a Attempt) {
	p := w.core.attempts[a.ID].part
	at := w.now + 100 + w.rng.Int64N(6_000)
	got := arrival{at, a.ID, sq.Served, []byte(a.Span.String())}
	inForce, ok := w.layout.InForce(a.Shard)
	switch {
	case w.rng.IntN(10) == 0:
		got.outcome = sq.Unreachable
	case !ok || a.Span.From < inForce.From || a.Span.To > inForce.To || !slices.Contains(w.layout.Holders(a.Shard), server):
		if got.outcome = sq.Rejected; w.layout.Epoch() > a.Epoch {
			got.outcome = sq.Misplaced
		}
	default:
		if p.query.class.Effect == sq.AtMostOnce {
			for _, other := range w.ran[p.query.id] {
				if !other.Intersect(a.Span).Empty() {
					w.violate("query %d ran %s after %s", p.query.id, a.Span, other)
				}
			}
			w.ran[p.query.id] = append(w.ran[p.query.id], a.Span)
		}
		switch w.rng.IntN(12) {
		case 0:
			if got.outcome = sq.Broken; w.reportsBrokenAsUnreachable {
				got.outcome = sq.Unreachable
			}
		case 1:
			got.outcome = sq.Errored
		case 2:
			return // no reply
		}
	}
	w.arrivals = append(w.arrivals, got)
}

func (w *simulatedServers) end(f Final) {
	a := w.queries[f.Query]
	if w.ended[f.Query] || w.now > a.Deadline+200 {
		w.violate("query %d ended twice or after its deadline", f.Query)
	}
	w.ended[f.Query] = true
	if f.Outcome == Refused && len(w.ran[f.Query]) > 0 {
		w.violate("query %d was refused although it ran", f.Query)
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
			w.violate("query %d: answer contains key %d %d times (complete %t)", f.Query, k, seen[k], f.Complete)
		}
	}
}

// run runs the simulation until every query has ended, and returns the first violation; empty:
// none.
func (w *simulatedServers) run() string {
	for n := range 1100 {
		w.now += 100
		if n < 400 {
			if w.rng.IntN(4) == 0 {
				w.openQuery()
			}
			if w.rng.IntN(3) == 0 {
				w.changeLayout(n)
			}
		}
		if w.rng.IntN(8) == 0 || n > 400 {
			w.reportLayout()
		}
		due := w.arrivals
		w.arrivals = nil
		for _, a := range due {
			if a.at > w.now {
				w.arrivals = append(w.arrivals, a)
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
	for id := range w.queries {
		if !w.ended[id] {
			w.violate("query %d did not end", id)
		}
	}
	if c := w.core; len(c.queries)+len(c.parts)+len(c.attempts)+len(c.byShard)+c.open > 0 {
		w.violate("state remains: %d queries, %d parts, %d attempts, %d shards, %d open", len(c.queries), len(c.parts), len(c.attempts), len(c.byShard), c.open)
	}
	return w.violation
}

// For any history of layout changes, delays and losses: each query ends once and in time, an answer
// contains each key once, no at-most-once part runs twice, no refused query has run, and no state
// remains.
func TestLayoutSimulation_Invariants(t *testing.T) {
	opened, answered := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulatedServers(t, rapid.Uint64().Draw(t, "seed"), false)
		if p := w.run(); p != "" {
			t.Fatal(p)
		}
		opened, answered = opened+len(w.queries), answered+w.answered
	})
	if t.Logf("%d of %d queries answered", answered, opened); answered*3 < opened {
		t.Errorf("%d of %d queries answered, want at least a third", answered, opened)
	}
}

// The simulation's checks must find both seeded bugs: a driver that reports attempts that ran as
// not run, and a module that repeats at-most-once parts.
func TestLayoutSimulation_FindsSeededBugs(t *testing.T) {
	for name, bug := range map[string]func(seed uint64) *simulatedServers{
		"driver reports broken as unreachable": func(seed uint64) *simulatedServers {
			w := newSimulatedServers(t, seed, false)
			w.reportsBrokenAsUnreachable = true
			return w
		},
		"module ignores effects": func(seed uint64) *simulatedServers { return newSimulatedServers(t, seed, true) },
	} {
		found := ""
		for seed := uint64(0); seed < 20 && found == ""; seed++ {
			found = bug(seed).run()
		}
		if found == "" {
			t.Errorf("%s: no violation found in 20 seeds", name)
		} else {
			t.Logf("%s: %s", name, found)
		}
	}
}
