package layout

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	sq "saffronquay"
	_ "saffronquay/internal/testing/harness/steady"
)

var servers = []sq.ServerID{"a", "b", "c", "d"}

func isKnown(id sq.ServerID) bool { return slices.Contains(servers, id) }

func newRange(from, to int64, shard int, holders ...sq.ServerID) Range {
	return Range{Span{from, to}, shard, holders}
}

func testDoc() Doc {
	return Doc{History: "h", Epoch: 5, NextShard: 9, Ranges: []Range{newRange(0, 100, 0, "a", "b"), newRange(100, 200, 3, "b", "c"), newRange(200, 300, 8, "c")}}
}

// An invalid document is rejected with all of its faults, each with its range and the epoch.
func TestNew_RejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct {
		name   string
		modify func(*Doc)
		names  []string
	}{
		{"gap", func(d *Doc) { d.Ranges[1].From = 110 }, []string{"epoch 5", "range 110-200", "gap before the range, from 100"}},
		{"overlap", func(d *Doc) { d.Ranges[1].From = 90 }, []string{"range 90-200", "overlaps 0-100"}},
		{"empty range", func(d *Doc) { d.Ranges[1].To = 100 }, []string{"empty range"}},
		{"no holder", func(d *Doc) { d.Ranges[2].Holders = nil }, []string{"range 200-300", "no holder"}},
		{"unlisted", func(d *Doc) { d.Ranges[2].Holders = []sq.ServerID{"z"} }, []string{"range 200-300", `"z" is not in the list`}},
		{"duplicate holder", func(d *Doc) { d.Ranges[2].Holders = []sq.ServerID{"c", "c"} }, []string{"duplicate holder"}},
		{"duplicate shard", func(d *Doc) { d.Ranges[2].Shard = 3 }, []string{"shard 3"}},
		{"epoch", func(d *Doc) { d.Epoch = 0 }, []string{"epoch: want 1"}},
		{"history", func(d *Doc) { d.History = "" }, []string{"history: missing"}},
		{"empty", func(d *Doc) { d.Ranges = nil }, []string{"want at least one range"}},
		{"two faults", func(d *Doc) { d.Ranges[0].Holders, d.Ranges[2].Holders = nil, nil }, []string{"range 0-100", "range 200-300"}},
		{"two changes on one range", func(d *Doc) {
			d.Changes = []Change{
				{"x", Move, Copying, d.Ranges[2:], []Range{newRange(200, 300, 8, "d")}},
				{"y", Move, Announced, d.Ranges[2:], []Range{newRange(200, 300, 8, "a")}},
			}
		}, []string{`range is already part of change "x"`}},
		{"a change without a new side", func(d *Doc) { d.Changes = []Change{{"x", Split, Ready, []Range{newRange(0, 50, 0, "a")}, nil}} }, []string{"on the old and on the new side"}},
		{"unknown state", func(d *Doc) {
			d.Changes = []Change{{"x", Move, "odd", d.Ranges[2:], []Range{newRange(200, 300, 8, "d")}}}
		}, []string{`unknown state "odd"`}},
	} {
		d := testDoc()
		c.modify(&d)
		l, err := New(d, isKnown)
		if err == nil || l != nil {
			t.Errorf("%s: invalid document accepted", c.name)
			continue
		}
		for _, n := range c.names {
			if !strings.Contains(err.Error(), n) || !errors.Is(err, ErrInvalid) {
				t.Errorf("%s: error %q does not contain %q", c.name, err, n)
			}
		}
	}
}

func step(epoch int64, change string, do Action) Step {
	return Step{History: "h", Epoch: epoch, Change: change, Do: do}
}

func split(epoch int64, change string, shard int, to ...Range) Step {
	return Step{"h", epoch, change, Announce, Split, []int{shard}, to}
}

// Steps that are out of order or inconsistent with the layout in force are rejected and change nothing.
func TestLayoutStep_RejectsInvalidSteps(t *testing.T) {
	halves := []Range{newRange(0, 50, 9, "a"), newRange(50, 100, 10, "d")}
	initial, err := New(testDoc(), isKnown)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		steps []Step
		kind  error
		want  string // in the error of the last step; empty: all steps are valid
	}{
		{"a complete split", []Step{split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut), step(10, "x", Retire)}, nil, ""},
		{"an epoch in force", []Step{split(5, "x", 0, halves...)}, ErrEpoch, "want epoch 6"},
		{"a skipped epoch", []Step{split(7, "x", 0, halves...)}, ErrEpoch, "want epoch 6"},
		{"another history", []Step{{History: "g", Epoch: 6}}, ErrHistory, `"h" is in force`},
		{"a skipped state", []Step{split(6, "x", 0, halves...), step(7, "x", Cut)}, ErrState, `action "cutover" is not possible in state "announced"`},
		{"retired before the cut over", []Step{split(6, "x", 0, halves...), step(7, "x", Retire)}, ErrState, "is not possible in state"},
		{"unknown action", []Step{split(6, "x", 0, halves...), step(7, "x", "melt")}, ErrState, `"melt"`},
		{"unknown change", []Step{step(6, "y", Copy)}, ErrState, "not in progress"},
		{"a second change of a range", []Step{split(6, "x", 0, halves...), split(7, "y", 0, newRange(0, 1, 11, "a"), newRange(1, 100, 12, "a"))}, ErrState, `range is already part of change "x"`},
		{"sides with different spans", []Step{split(6, "x", 0, newRange(0, 50, 9, "a"), newRange(50, 90, 10, "a"))}, ErrInvalid, "new side covers 0-90"},
		{"a used shard id", []Step{split(6, "x", 0, newRange(0, 50, 7, "a"), newRange(50, 100, 10, "a"))}, ErrInvalid, "shard id 7 was already assigned"},
		{"an id used by an aborted change", []Step{split(6, "x", 0, halves...), step(7, "x", Abort), split(8, "y", 0, halves...)}, ErrInvalid, "was already assigned"},
		{"an unlisted target", []Step{split(6, "x", 0, newRange(0, 50, 9, "z"), newRange(50, 100, 10, "a"))}, ErrInvalid, `"z" is not in the list`},
		{"a merge of neighbours with different holders", []Step{
			{"h", 6, "x", Announce, Merge, []int{8, 3}, []Range{newRange(100, 300, 9, "a")}},
			step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
		}, nil, ""},
		{"a merge over a gap", []Step{{"h", 6, "x", Announce, Merge, []int{0, 8}, []Range{newRange(0, 300, 9, "a")}}}, ErrInvalid, "gap before the range"},
		{"a split of a split before the first is retired", []Step{
			split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
			split(10, "y", 9, newRange(0, 20, 11, "b"), newRange(20, 50, 12, "c")), step(11, "y", Copy), step(12, "y", MarkReady), step(13, "y", Cut), step(14, "x", Retire), step(15, "y", Retire),
		}, nil, ""},
		{"an abort of a change on which another one depends", []Step{
			split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
			split(10, "y", 9, newRange(0, 20, 11, "b"), newRange(20, 50, 12, "c")), step(11, "x", Abort),
		}, ErrState, "a later change depends on it"},
		{"an abort after the cut over", []Step{split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut), step(10, "x", Abort)}, nil, ""},
		{"a move that changes nothing", []Step{{"h", 6, "x", Announce, Move, []int{8}, []Range{newRange(200, 300, 8, "c")}}}, ErrInvalid, "change the holders"},
	} {
		l, err := initial, error(nil)
		for i, s := range c.steps {
			before := l.Doc()
			next, stepErr := l.Step(s, isKnown)
			if err = stepErr; err == nil {
				l = next
			} else if i < len(c.steps)-1 {
				t.Errorf("%s: step %d: %v", c.name, i, err)
			}
			if err != nil && !reflect.DeepEqual(before, l.Doc()) {
				t.Errorf("%s: a rejected step changed the layout", c.name)
			}
		}
		if c.want == "" && err != nil || c.want != "" && (!errors.Is(err, c.kind) || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

// The tracker accepts a full layout only if it continues the layout in force, ignores repeated
// steps, and reports a stalled change once.
func TestTracker(t *testing.T) {
	var k Tracker
	if err := k.SetServers(servers); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Step(step(6, "x", Copy), 0); !errors.Is(err, ErrEpoch) {
		t.Errorf("step before the first layout: %v", err)
	}
	if u, err := k.Replace(testDoc(), 0); u == nil || err != nil {
		t.Fatal(u, err)
	}
	if u, err := k.Replace(testDoc(), 0); u != nil || err != nil {
		t.Errorf("layout that is in force already: %v %v", u, err)
	}
	for _, c := range []struct {
		name   string
		modify func(*Doc)
		kind   error
	}{
		{"an older epoch", func(d *Doc) { d.Epoch = 4 }, ErrEpoch},
		{"another history", func(d *Doc) { d.History, d.Epoch = "g", 50 }, ErrHistory},
		{"another layout of the same epoch", func(d *Doc) { d.Ranges[0].Holders = []sq.ServerID{"d"} }, ErrHistory},
		{"a shard with another span", func(d *Doc) { d.Epoch, d.Ranges[0].To, d.Ranges[1].From = 9, 50, 50 }, ErrHistory},
		{"a shard id that was retired", func(d *Doc) { d.Epoch, d.Ranges[0].Shard = 9, 7 }, ErrHistory},
		{"less than the domain in force", func(d *Doc) { d.Epoch, d.Ranges = 9, d.Ranges[:2] }, ErrInvalid},
		{"an unlisted holder", func(d *Doc) { d.Epoch, d.Ranges[0].Holders = 9, []sq.ServerID{"z"} }, ErrInvalid},
	} {
		d := testDoc()
		c.modify(&d)
		if u, err := k.Replace(d, 0); u != nil || !errors.Is(err, c.kind) || k.Current().Epoch() != 5 {
			t.Errorf("%s: %v %v", c.name, u, err)
		}
	}
	if err := k.SetServers([]sq.ServerID{"a", "b"}); err == nil || !strings.Contains(err.Error(), "range 200-300") {
		t.Errorf("list of servers without a holder in force: %v", err)
	}
	u, err := k.Step(split(6, "x", 0, newRange(0, 50, 9, "a"), newRange(50, 100, 10, "d")), 1_000)
	if err != nil || len(u.Changed) != 0 {
		t.Fatal(u, err)
	}
	if u, err := k.Step(split(6, "x", 0), 0); u != nil || err != nil {
		t.Errorf("repeated step: %v %v", u, err)
	}
	if all, _ := k.Stalled(1_500, 500); len(all) != 0 {
		t.Errorf("reported as stalled too early: %v", all)
	}
	if all, fresh := k.Stalled(1_501, 500); len(all) != 1 || len(fresh) != 1 || all[0].ID != "x" || all[0].State != Announced {
		t.Errorf("stalled change not reported: %v %v", all, fresh)
	}
	if all, fresh := k.Stalled(2_000, 500); len(all) != 1 || len(fresh) != 0 {
		t.Errorf("stalled change reported as new again: %v %v", all, fresh)
	}
}

// history draws a layout and a sequence of valid and invalid steps. It returns all successive
// layouts and the accepted steps.
func history(t *rapid.T) (layouts []*Layout, steps []Step) {
	n := rapid.IntRange(1, 6).Draw(t, "ranges")
	d := Doc{History: "h", Epoch: 1}
	at := int64(0)
	for i := range n {
		to := at + rapid.Int64Range(1, 30).Draw(t, "width")
		d.Ranges = append(d.Ranges, newRange(at, to, i, servers[i%4]))
		at = to
	}
	l, err := New(d, isKnown)
	if err != nil {
		t.Fatal(err)
	}
	layouts = append(layouts, l)
	for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
		s := drawStep(t, l, i)
		next, err := l.Step(s, isKnown)
		if err != nil {
			continue
		}
		l = next
		layouts, steps = append(layouts, l), append(steps, s)
	}
	return layouts, steps
}

func drawStep(t *rapid.T, l *Layout, i int) Step {
	d := l.Doc()
	s := Step{History: "h", Epoch: d.Epoch + 1 + int64(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1, -1}).Draw(t, "skew"))}
	if cs := d.Changes; len(cs) > 0 && rapid.Bool().Draw(t, "advance") {
		s.Change = rapid.SampledFrom(cs).Draw(t, "change").ID
		s.Do = rapid.SampledFrom([]Action{Copy, MarkReady, Cut, Retire, Copy, MarkReady, Cut, Retire, Abort}).Draw(t, "action")
		return s
	}
	s.Change, s.Do = fmt.Sprint("c", i), Announce
	at := rapid.IntRange(0, len(d.Ranges)-1).Draw(t, "range")
	r := d.Ranges[at]
	s.From = []int{r.Shard}
	holder := func() sq.ServerID { return rapid.SampledFrom(append(servers, "z")).Draw(t, "holder") }
	switch s.Kind = rapid.SampledFrom([]Kind{Split, Merge, Move}).Draw(t, "kind"); s.Kind {
	case Move:
		s.To = []Range{newRange(r.From, r.To, r.Shard, holder())}
	case Merge:
		to := r.To
		if at+1 < len(d.Ranges) {
			s.From, to = append(s.From, d.Ranges[at+1].Shard), d.Ranges[at+1].To
		}
		s.To = []Range{newRange(r.From, to, d.NextShard, holder())}
	case Split:
		mid := rapid.Int64Range(r.From, r.To).Draw(t, "mid")
		s.To = []Range{newRange(r.From, mid, d.NextShard, holder()), newRange(mid, r.To, d.NextShard+1, holder())}
	}
	return s
}

func drawSpans(t *rapid.T, l *Layout) (out []Span) {
	all := l.Domain()
	at := all.From - 3
	for range rapid.IntRange(0, 4).Draw(t, "spans") {
		from := at + rapid.Int64Range(1, 20).Draw(t, "gap")
		at = from + rapid.Int64Range(1, 20).Draw(t, "length")
		out = append(out, Span{from, at})
	}
	return out
}

// countParts returns, for each key, the number of parts that contain it.
func countParts(parts []Part, domain Span) map[int64]int {
	n := map[int64]int{}
	for _, p := range parts {
		for k := p.From; k < p.To; k++ {
			n[k]++
		}
	}
	return n
}

// In random histories each layout is valid, a plan contains each wanted key exactly once, and a
// part that is planned again after changes covers exactly its span. A full document gives the same
// layout as the steps that lead to it.
func TestLayoutStep_RandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layouts, steps := history(t)
		used := map[int]Span{}
		for _, l := range layouts {
			if _, err := New(l.Doc(), isKnown); err != nil || !isValidDoc(l.Doc()) {
				t.Fatalf("invalid layout after valid steps: %v %+v", err, l.Doc())
			}
			for _, r := range l.Doc().Ranges {
				if was, ok := used[r.Shard]; ok && was != r.Span {
					t.Fatalf("span of shard %d changed from %s to %s", r.Shard, was, r.Span)
				}
				used[r.Shard] = r.Span
			}
			want := drawSpans(t, l)
			plan := l.Plan(nil, want)
			seen := countParts(plan, l.Domain())
			for _, w := range want {
				for k := max(w.From, l.Domain().From); k < min(w.To, l.Domain().To); k++ {
					if seen[k] != 1 {
						t.Fatalf("key %d is in %d parts of %v, want 1", k, seen[k], plan)
					}
				}
			}
			last := layouts[len(layouts)-1]
			for _, p := range plan {
				for k, n := range countParts(last.Cover(nil, p.Span), p.Span) {
					if n != 1 || k < p.From || k >= p.To {
						t.Fatalf("part planned again: key %d is in %d parts, want 1", k, n)
					}
				}
				if got := len(countParts(last.Cover(nil, p.Span), p.Span)); got != int(p.To-p.From) {
					t.Fatalf("part planned again: %d keys of %s covered, want all", got, p.Span)
				}
			}
		}
		var stepped, jumped Tracker
		stepped.Replace(layouts[0].Doc(), 0)
		jumped.Replace(layouts[0].Doc(), 0)
		for _, s := range steps {
			if u, err := stepped.Step(s, 0); u == nil || err != nil {
				t.Fatalf("%+v: %v", s, err)
			}
		}
		text, err := json.Marshal(layouts[len(layouts)-1].Doc())
		if err != nil {
			t.Fatal(err)
		}
		full, err := ParseDoc(text)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := jumped.Replace(full, 0); err != nil {
			t.Fatalf("full document rejected after skipped epochs: %v", err)
		}
		if !equalDocs(stepped.Current().Doc(), jumped.Current().Doc()) || jumped.Current().Doc().NextShard != stepped.Current().Doc().NextShard {
			t.Fatalf("%+v\n%+v", stepped.Current().Doc(), jumped.Current().Doc())
		}
		if d := Diff(stepped.Current(), jumped.Current()); len(d) != 0 {
			t.Fatalf("layouts differ at shards %v", d)
		}
	})
}

// isValidDoc validates a document by brute force: each key is in exactly one range, and each range
// has a unique shard and known holders.
func isValidDoc(d Doc) bool {
	if len(d.Ranges) == 0 {
		return false
	}
	lo, hi, held, shards := int64(1<<40), int64(-1<<40), map[int64]int{}, map[int]bool{}
	for _, r := range d.Ranges {
		lo, hi = min(lo, r.From), max(hi, r.To)
		for k := r.From; k < r.To; k++ {
			held[k]++
		}
		if r.From >= r.To || len(r.Holders) == 0 || shards[r.Shard] || r.Shard < 0 {
			return false
		}
		for i, h := range r.Holders {
			if !isKnown(h) || slices.Contains(r.Holders[:i], h) {
				return false
			}
		}
		shards[r.Shard] = true
	}
	for k := lo; k < hi; k++ {
		if held[k] != 1 {
			return false
		}
	}
	return true
}

// For random documents New accepts exactly those that a brute-force validation accepts.
func TestNew_MatchesBruteForceValidation(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		d := Doc{History: "h", Epoch: 1}
		at := int64(0)
		for i := range rapid.IntRange(0, 4).Draw(t, "ranges") {
			r := newRange(at, at+rapid.Int64Range(1, 9).Draw(t, "width"), i)
			for range rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(t, "holders") {
				r.Holders = append(r.Holders, rapid.SampledFrom([]sq.ServerID{"a", "b", "c", "d", "a", "b", "c", "d", "z"}).Draw(t, "holder"))
			}
			if rapid.IntRange(0, 19).Draw(t, "corrupt") == 0 {
				r.From += rapid.Int64Range(-3, 3).Draw(t, "by")
				r.Shard -= rapid.IntRange(0, 1).Draw(t, "shard")
			}
			d.Ranges, at = append(d.Ranges, r), r.To
		}
		d.Ranges = rapid.Permutation(d.Ranges).Draw(t, "order")
		_, err := New(d, isKnown)
		if (err == nil) != isValidDoc(d) {
			t.Fatalf("%+v: brute-force validation %t, New returned error %v", d, isValidDoc(d), err)
		}
		if err == nil {
			accepted++
		}
	})
	if accepted == 0 {
		t.Error("no valid document was drawn")
	}
}

func FuzzParse(f *testing.F) {
	text, _ := json.Marshal(testDoc())
	f.Add(text)
	f.Add([]byte(`{"history":"h","epoch":6,"change":"x","do":"announce","kind":"split","from":[0],"to":[{"from":0,"to":9,"shard":9,"holders":["a"]}]}`))
	l, err := New(testDoc(), isKnown)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := ParseDoc(text); err == nil {
			if l, err := New(d, nil); err == nil {
				if _, err := New(l.Doc(), nil); err != nil {
					t.Errorf("document of a valid layout rejected: %v", err)
				}
			}
		}
		if s, err := ParseStep(text); err == nil {
			if next, err := l.Step(s, isKnown); err == nil {
				if _, err := New(next.Doc(), isKnown); err != nil {
					t.Errorf("invalid layout after a valid step: %v", err)
				}
			}
		}
		if p, err := ParsePlace(string(text)); err == nil && p.String() != string(text) {
			t.Errorf("place %q parsed as %q", text, p)
		}
	})
}

// newLargeLayout returns a layout of n ranges with three holders each.
func newLargeLayout(n int) *Layout {
	d := Doc{History: "h", Epoch: 1}
	for i := range n {
		var hs []sq.ServerID
		for j := range 3 {
			hs = append(hs, sq.ServerID(fmt.Sprint("s", (i+j)%1000)))
		}
		d.Ranges = append(d.Ranges, newRange(int64(i)*100, int64(i+1)*100, i, hs...))
	}
	l, err := New(d, nil)
	if err != nil {
		panic(err)
	}
	return l
}

func BenchmarkPlan200Of10000(b *testing.B) {
	l := newLargeLayout(10_000)
	var want []Span
	for i := range 200 {
		want = append(want, Span{int64(i) * 5000, int64(i)*5000 + 10})
	}
	plan := make([]Part, 0, 200)
	b.ReportAllocs()
	for b.Loop() {
		if plan = l.Plan(plan[:0], want); len(plan) != 200 {
			b.Fatal(len(plan))
		}
	}
}

func BenchmarkCutOverOf10000(b *testing.B) {
	l := newLargeLayout(10_000)
	for i, s := range []Step{split(2, "x", 7, newRange(700, 720, 10_000, "s1"), newRange(720, 800, 10_001, "s2")), step(3, "x", Copy), step(4, "x", MarkReady)} {
		next, err := l.Step(s, nil)
		if err != nil {
			b.Fatal(i, err)
		}
		l = next
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := l.Step(step(5, "x", Cut), nil); err != nil {
			b.Fatal(err)
		}
	}
}
