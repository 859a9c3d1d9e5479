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

func known(id sq.ServerID) bool { return slices.Contains(servers, id) }

func rng(from, to int64, shard int, holders ...sq.ServerID) Range {
	return Range{Span{from, to}, shard, holders}
}

func doc() Doc {
	return Doc{History: "h", Epoch: 5, NextShard: 9, Ranges: []Range{rng(0, 100, 0, "a", "b"), rng(100, 200, 3, "b", "c"), rng(200, 300, 8, "c")}}
}

// An invalid document is rejected with all of its faults, each with its range and epoch.
func TestRejectsInvalidDocuments(t *testing.T) {
	for _, c := range []struct {
		name  string
		spoil func(*Doc)
		names []string
	}{
		{"gap", func(d *Doc) { d.Ranges[1].From = 110 }, []string{"epoch 5", "range 110-200", "gap before it, from 100"}},
		{"overlap", func(d *Doc) { d.Ranges[1].From = 90 }, []string{"range 90-200", "overlaps 0-100"}},
		{"inside out", func(d *Doc) { d.Ranges[1].To = 100 }, []string{"nothing lies in it"}},
		{"no holder", func(d *Doc) { d.Ranges[2].Holders = nil }, []string{"range 200-300", "left with no holder"}},
		{"unlisted", func(d *Doc) { d.Ranges[2].Holders = []sq.ServerID{"z"} }, []string{"range 200-300", `"z" is not in the list`}},
		{"twice held", func(d *Doc) { d.Ranges[2].Holders = []sq.ServerID{"c", "c"} }, []string{"named twice"}},
		{"one shard twice", func(d *Doc) { d.Ranges[2].Shard = 3 }, []string{"shard 3"}},
		{"epoch", func(d *Doc) { d.Epoch = 0 }, []string{"epoch: want 1"}},
		{"history", func(d *Doc) { d.History = "" }, []string{"history: missing"}},
		{"empty", func(d *Doc) { d.Ranges = nil }, []string{"want at least one"}},
		{"two faults", func(d *Doc) { d.Ranges[0].Holders, d.Ranges[2].Holders = nil, nil }, []string{"range 0-100", "range 200-300"}},
		{"two changes on one range", func(d *Doc) {
			d.Changes = []Change{
				{"x", Move, Copying, d.Ranges[2:], []Range{rng(200, 300, 8, "d")}},
				{"y", Move, Announced, d.Ranges[2:], []Range{rng(200, 300, 8, "a")}},
			}
		}, []string{`change "x" is under way there`}},
		{"a change of nothing", func(d *Doc) { d.Changes = []Change{{"x", Split, Ready, []Range{rng(0, 50, 0, "a")}, nil}} }, []string{"an old and a new side"}},
		{"unknown state", func(d *Doc) { d.Changes = []Change{{"x", Move, "odd", d.Ranges[2:], []Range{rng(200, 300, 8, "d")}}} }, []string{`unknown state "odd"`}},
	} {
		d := doc()
		c.spoil(&d)
		l, err := New(d, known)
		if err == nil || l != nil {
			t.Errorf("%s: was accepted", c.name)
			continue
		}
		for _, n := range c.names {
			if !strings.Contains(err.Error(), n) || !errors.Is(err, ErrInvalid) {
				t.Errorf("%s: %q does not name %q", c.name, err, n)
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

// Steps that do not follow the layout in force, or contradict it, are rejected and change nothing.
func TestSteps(t *testing.T) {
	halves := []Range{rng(0, 50, 9, "a"), rng(50, 100, 10, "d")}
	whole, err := New(doc(), known)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name  string
		steps []Step
		kind  error
		says  string // of the last one; empty: all are sound
	}{
		{"a split goes through", []Step{split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut), step(10, "x", Retire)}, nil, ""},
		{"back", []Step{split(5, "x", 0, halves...)}, ErrEpoch, "6 comes next"},
		{"skips", []Step{split(7, "x", 0, halves...)}, ErrEpoch, "6 comes next"},
		{"other history", []Step{{History: "g", Epoch: 6}}, ErrHistory, `"h" is in force`},
		{"skips a state", []Step{split(6, "x", 0, halves...), step(7, "x", Cut)}, ErrState, `"cutover" does not follow "announced"`},
		{"retired too soon", []Step{split(6, "x", 0, halves...), step(7, "x", Retire)}, ErrState, "does not follow"},
		{"unknown action", []Step{split(6, "x", 0, halves...), step(7, "x", "melt")}, ErrState, `"melt"`},
		{"unknown change", []Step{step(6, "y", Copy)}, ErrState, "not under way"},
		{"a change of a range that has one", []Step{split(6, "x", 0, halves...), split(7, "y", 0, rng(0, 1, 11, "a"), rng(1, 100, 12, "a"))}, ErrState, `change "x" is under way there`},
		{"not the same span", []Step{split(6, "x", 0, rng(0, 50, 9, "a"), rng(50, 90, 10, "a"))}, ErrInvalid, "its new side covers 0-90"},
		{"a used shard id", []Step{split(6, "x", 0, rng(0, 50, 7, "a"), rng(50, 100, 10, "a"))}, ErrInvalid, "shard 7 was handed out before"},
		{"an id used by an aborted change", []Step{split(6, "x", 0, halves...), step(7, "x", Abort), split(8, "y", 0, halves...)}, ErrInvalid, "handed out before"},
		{"an unlisted target", []Step{split(6, "x", 0, rng(0, 50, 9, "z"), rng(50, 100, 10, "a"))}, ErrInvalid, `"z" is not in the list`},
		{"a merge of neighbours with other holders", []Step{
			{"h", 6, "x", Announce, Merge, []int{8, 3}, []Range{rng(100, 300, 9, "a")}},
			step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
		}, nil, ""},
		{"a merge over a gap", []Step{{"h", 6, "x", Announce, Merge, []int{0, 8}, []Range{rng(0, 300, 9, "a")}}}, ErrInvalid, "gap before it"},
		{"a split of a split before the first is retired", []Step{
			split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
			split(10, "y", 9, rng(0, 20, 11, "b"), rng(20, 50, 12, "c")), step(11, "y", Copy), step(12, "y", MarkReady), step(13, "y", Cut), step(14, "x", Retire), step(15, "y", Retire),
		}, nil, ""},
		{"an abort on which another change has built", []Step{
			split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut),
			split(10, "y", 9, rng(0, 20, 11, "b"), rng(20, 50, 12, "c")), step(11, "x", Abort),
		}, ErrState, "a later change has built on it"},
		{"an abort that crosses the cut over", []Step{split(6, "x", 0, halves...), step(7, "x", Copy), step(8, "x", MarkReady), step(9, "x", Cut), step(10, "x", Abort)}, nil, ""},
		{"a move that changes nothing", []Step{{"h", 6, "x", Announce, Move, []int{8}, []Range{rng(200, 300, 8, "c")}}}, ErrInvalid, "changes its holders"},
	} {
		l, err := whole, error(nil)
		for i, s := range c.steps {
			before := l.Doc()
			next, stepErr := l.Step(s, known)
			if err = stepErr; err == nil {
				l = next
			} else if i < len(c.steps)-1 {
				t.Errorf("%s: step %d: %v", c.name, i, err)
			}
			if err != nil && !reflect.DeepEqual(before, l.Doc()) {
				t.Errorf("%s: a rejected step changed the layout", c.name)
			}
		}
		if c.says == "" && err != nil || c.says != "" && (!errors.Is(err, c.kind) || !strings.Contains(err.Error(), c.says)) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.says)
		}
	}
}

// A full layout after a lost connection is accepted only if it continues the layout in force.
func TestTracker(t *testing.T) {
	var k Tracker
	if err := k.SetServers(servers); err != nil {
		t.Fatal(err)
	}
	if _, err := k.Step(step(6, "x", Copy), 0); !errors.Is(err, ErrEpoch) {
		t.Errorf("a step before any layout: %v", err)
	}
	if u, err := k.Replace(doc(), 0); u == nil || err != nil {
		t.Fatal(u, err)
	}
	if u, err := k.Replace(doc(), 0); u != nil || err != nil {
		t.Errorf("the same again: %v %v", u, err)
	}
	for _, c := range []struct {
		name  string
		spoil func(*Doc)
		kind  error
	}{
		{"an older epoch", func(d *Doc) { d.Epoch = 4 }, ErrEpoch},
		{"another history", func(d *Doc) { d.History, d.Epoch = "g", 50 }, ErrHistory},
		{"another text of the same epoch", func(d *Doc) { d.Ranges[0].Holders = []sq.ServerID{"d"} }, ErrHistory},
		{"a shard with another span", func(d *Doc) { d.Epoch, d.Ranges[0].To, d.Ranges[1].From = 9, 50, 50 }, ErrHistory},
		{"a shard id that was retired", func(d *Doc) { d.Epoch, d.Ranges[0].Shard = 9, 7 }, ErrHistory},
		{"less than is in force", func(d *Doc) { d.Epoch, d.Ranges = 9, d.Ranges[:2] }, ErrInvalid},
		{"an unlisted holder", func(d *Doc) { d.Epoch, d.Ranges[0].Holders = 9, []sq.ServerID{"z"} }, ErrInvalid},
	} {
		d := doc()
		c.spoil(&d)
		if u, err := k.Replace(d, 0); u != nil || !errors.Is(err, c.kind) || k.Current().Epoch() != 5 {
			t.Errorf("%s: %v %v", c.name, u, err)
		}
	}
	if err := k.SetServers([]sq.ServerID{"a", "b"}); err == nil || !strings.Contains(err.Error(), "range 200-300") {
		t.Errorf("servers that leave a range without a listed holder: %v", err)
	}
	u, err := k.Step(split(6, "x", 0, rng(0, 50, 9, "a"), rng(50, 100, 10, "d")), 1_000)
	if err != nil || len(u.Changed) != 0 {
		t.Fatal(u, err)
	}
	if u, err := k.Step(split(6, "x", 0), 0); u != nil || err != nil {
		t.Errorf("a repeated step: %v %v", u, err)
	}
	if all, _ := k.Stalled(1_500, 500); len(all) != 0 {
		t.Errorf("stalled too early: %v", all)
	}
	if all, fresh := k.Stalled(1_501, 500); len(all) != 1 || len(fresh) != 1 || all[0].ID != "x" || all[0].State != Announced {
		t.Errorf("stalled: %v %v", all, fresh)
	}
	if all, fresh := k.Stalled(2_000, 500); len(all) != 1 || len(fresh) != 0 {
		t.Errorf("reported twice: %v %v", all, fresh)
	}
}

// history draws a layout and a sequence of valid and invalid steps. It returns every layout on the way and the steps that were accepted.
func history(t *rapid.T) (layouts []*Layout, steps []Step) {
	n := rapid.IntRange(1, 6).Draw(t, "ranges")
	d := Doc{History: "h", Epoch: 1}
	at := int64(0)
	for i := range n {
		to := at + rapid.Int64Range(1, 30).Draw(t, "width")
		d.Ranges = append(d.Ranges, rng(at, to, i, servers[i%4]))
		at = to
	}
	l, err := New(d, known)
	if err != nil {
		t.Fatal(err)
	}
	layouts = append(layouts, l)
	for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
		s := drawStep(t, l, i)
		next, err := l.Step(s, known)
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
		s.Do = rapid.SampledFrom([]Action{Copy, MarkReady, Cut, Retire, Copy, MarkReady, Cut, Retire, Abort}).Draw(t, "deed")
		return s
	}
	s.Change, s.Do = fmt.Sprint("c", i), Announce
	at := rapid.IntRange(0, len(d.Ranges)-1).Draw(t, "range")
	r := d.Ranges[at]
	s.From = []int{r.Shard}
	holder := func() sq.ServerID { return rapid.SampledFrom(append(servers, "z")).Draw(t, "holder") }
	switch s.Kind = rapid.SampledFrom([]Kind{Split, Merge, Move}).Draw(t, "kind"); s.Kind {
	case Move:
		s.To = []Range{rng(r.From, r.To, r.Shard, holder())}
	case Merge:
		to := r.To
		if at+1 < len(d.Ranges) {
			s.From, to = append(s.From, d.Ranges[at+1].Shard), d.Ranges[at+1].To
		}
		s.To = []Range{rng(r.From, to, d.NextShard, holder())}
	case Split:
		mid := rapid.Int64Range(r.From, r.To).Draw(t, "mid")
		s.To = []Range{rng(r.From, mid, d.NextShard, holder()), rng(mid, r.To, d.NextShard+1, holder())}
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

// times counts, for each key, how many parts contain it.
func countParts(parts []Part, domain Span) map[int64]int {
	n := map[int64]int{}
	for _, p := range parts {
		for k := p.From; k < p.To; k++ {
			n[k]++
		}
	}
	return n
}

// In every history each layout is valid by itself, a plan contains each wanted key exactly once, and a part that is planned again
// covers exactly its span; and a full document leads to the same layout as the steps to it.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layouts, steps := history(t)
		used := map[int]Span{}
		for _, l := range layouts {
			if _, err := New(l.Doc(), known); err != nil || !sound(l.Doc()) {
				t.Fatalf("a layout that came by steps is not sound: %v %+v", err, l.Doc())
			}
			for _, r := range l.Doc().Ranges {
				if was, ok := used[r.Shard]; ok && was != r.Span {
					t.Fatalf("shard %d was %s and is %s", r.Shard, was, r.Span)
				}
				used[r.Shard] = r.Span
			}
			want := drawSpans(t, l)
			plan := l.Plan(nil, want)
			seen := countParts(plan, l.Domain())
			for _, w := range want {
				for k := max(w.From, l.Domain().From); k < min(w.To, l.Domain().To); k++ {
					if seen[k] != 1 {
						t.Fatalf("key %d is in %d parts of %v", k, seen[k], plan)
					}
				}
			}
			last := layouts[len(layouts)-1]
			for _, p := range plan {
				for k, n := range countParts(last.Cover(nil, p.Span), p.Span) {
					if n != 1 || k < p.From || k >= p.To {
						t.Fatalf("planned again, key %d is in %d parts", k, n)
					}
				}
				if got := len(countParts(last.Cover(nil, p.Span), p.Span)); got != int(p.To-p.From) {
					t.Fatalf("%d keys of %s are covered", got, p.Span)
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
		whole, err := ParseDoc(text)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := jumped.Replace(whole, 0); err != nil {
			t.Fatalf("the full document is rejected after a gap: %v", err)
		}
		if !equalDocs(stepped.Current().Doc(), jumped.Current().Doc()) || jumped.Current().Doc().NextShard != stepped.Current().Doc().NextShard {
			t.Fatalf("%+v\n%+v", stepped.Current().Doc(), jumped.Current().Doc())
		}
		if d := Diff(stepped.Current(), jumped.Current()); len(d) != 0 {
			t.Fatalf("they differ at %v", d)
		}
	})
}

// sound validates by brute force: each key lies in one range, each range has listed holders and a shard of its own.
func sound(d Doc) bool {
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
			if !known(h) || slices.Contains(r.Holders[:i], h) {
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

// New accepts valid documents and rejects all others.
func TestValidatesAnyDocument(t *testing.T) {
	took := 0
	rapid.Check(t, func(t *rapid.T) {
		d := Doc{History: "h", Epoch: 1}
		at := int64(0)
		for i := range rapid.IntRange(0, 4).Draw(t, "ranges") {
			r := rng(at, at+rapid.Int64Range(1, 9).Draw(t, "width"), i)
			for range rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(t, "holders") {
				r.Holders = append(r.Holders, rapid.SampledFrom([]sq.ServerID{"a", "b", "c", "d", "a", "b", "c", "d", "z"}).Draw(t, "holder"))
			}
			if rapid.IntRange(0, 19).Draw(t, "spoil") == 0 {
				r.From += rapid.Int64Range(-3, 3).Draw(t, "by")
				r.Shard -= rapid.IntRange(0, 1).Draw(t, "shard")
			}
			d.Ranges, at = append(d.Ranges, r), r.To
		}
		d.Ranges = rapid.Permutation(d.Ranges).Draw(t, "order")
		_, err := New(d, known)
		if (err == nil) != sound(d) {
			t.Fatalf("%+v: sound %t, validated %v", d, sound(d), err)
		}
		if err == nil {
			took++
		}
	})
	if took == 0 {
		t.Error("nothing was sound")
	}
}

func FuzzParse(f *testing.F) {
	text, _ := json.Marshal(doc())
	f.Add(text)
	f.Add([]byte(`{"history":"h","epoch":6,"change":"x","do":"announce","kind":"split","from":[0],"to":[{"from":0,"to":9,"shard":9,"holders":["a"]}]}`))
	l, err := New(doc(), known)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := ParseDoc(text); err == nil {
			if l, err := New(d, nil); err == nil {
				if _, err := New(l.Doc(), nil); err != nil {
					t.Errorf("sound, and then not: %v", err)
				}
			}
		}
		if s, err := ParseStep(text); err == nil {
			if next, err := l.Step(s, known); err == nil {
				if _, err := New(next.Doc(), known); err != nil {
					t.Errorf("a step led to %v", err)
				}
			}
		}
		if p, err := ParsePlace(string(text)); err == nil && p.String() != string(text) {
			t.Errorf("%q reads as %q", text, p)
		}
	})
}

// big is a layout of n ranges with three holders each.
func big(n int) *Layout {
	d := Doc{History: "h", Epoch: 1}
	for i := range n {
		var hs []sq.ServerID
		for j := range 3 {
			hs = append(hs, sq.ServerID(fmt.Sprint("s", (i+j)%1000)))
		}
		d.Ranges = append(d.Ranges, rng(int64(i)*100, int64(i+1)*100, i, hs...))
	}
	l, err := New(d, nil)
	if err != nil {
		panic(err)
	}
	return l
}

func BenchmarkPlan200Of10000(b *testing.B) {
	l := big(10_000)
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
	l := big(10_000)
	for i, s := range []Step{split(2, "x", 7, rng(700, 720, 10_000, "s1"), rng(720, 800, 10_001, "s2")), step(3, "x", Copy), step(4, "x", MarkReady)} {
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
