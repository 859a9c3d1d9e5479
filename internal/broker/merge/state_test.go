package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

// store is random rows, in order of the key, and a way to split them.
func store(rng *rand.Rand) (rows []fakebackend.Row, cuts []int64) {
	n := rng.IntN(80)
	for i := range n {
		r := fakebackend.Row{Key: int64(i), ID: fmt.Sprintf("d%03d", rng.IntN(1000)*1000+i), Score: float64(rng.IntN(4)), Fields: map[string]any{}}
		if rng.IntN(5) > 0 {
			r.Fields["due"] = []any{int64(rng.IntN(6)), int64(1)<<53 + int64(rng.IntN(3)), -int64(rng.IntN(3)), 0.5 * float64(rng.IntN(6)), 1e300}[rng.IntN(5)]
		}
		if rng.IntN(6) > 0 {
			r.Fields["desk"] = []string{"lagos", "ferrer", "Ñandú", ""}[rng.IntN(4)]
		}
		rows = append(rows, r)
	}
	cuts = []int64{0}
	for k := int64(1); k < int64(n); k++ {
		if rng.IntN(20) == 0 {
			cuts = append(cuts, k)
		}
	}
	return rows, append(cuts, int64(n)+1)
}

// query is a random page: the plan, and the body that a server of a part gets.
type query struct {
	keys  []Key
	limit int64
	size  int
}

func randomQuery(rng *rand.Rand) (q query) {
	for _, i := range rng.Perm(3)[:rng.IntN(4)] {
		q.keys = append(q.keys, Key{Field: []string{"due", "desk", Score}[i], Desc: rng.IntN(2) == 0, MissingFirst: rng.IntN(2) == 0})
	}
	q.limit, q.size = []int64{Exact, Uncounted, 1 + rng.Int64N(50)}[rng.IntN(3)], 1+rng.IntN(25)
	return q
}

func body(p *Plan) []byte {
	var sort []any
	for _, k := range p.Keys {
		o := map[string]any{"order": "asc"}
		if k.Desc {
			o["order"] = "desc"
		}
		if k.MissingFirst {
			o["missing"] = "_first"
		}
		sort = append(sort, map[string]any{k.Field: o})
	}
	m := map[string]any{"size": p.Window(), "sort": sort, "track_total_hits": p.Limit}
	switch p.Limit {
	case Exact:
		m["track_total_hits"] = true
	case Uncounted:
		m["track_total_hits"] = false
	}
	if p.After != nil {
		m["search_after"] = json.RawMessage(AppendValues(nil, p.After))
	}
	text, _ := json.Marshal(m)
	return text
}

func read(p *Plan, text string) (*Part, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, err
	}
	return p.Read(v, []byte(text))
}

// parts asks the stores of each span.
func parts(t *testing.T, p *Plan, rows []fakebackend.Row, cuts []int64) (out []*Part) {
	t.Helper()
	for i := range len(cuts) - 1 {
		part, err := read(p, fakebackend.Search("key", body(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
		if err != nil {
			t.Fatalf("%s: %v", body(p), err)
		}
		out = append(out, part)
	}
	return out
}

// partsBinary is the same in the binary form.
func partsBinary(t *testing.T, p *Plan, rows []fakebackend.Row, cuts []int64) (out []*Part) {
	t.Helper()
	for i := range len(cuts) - 1 {
		part, err := p.ReadBinary(fakebackend.Binary("key", body(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
		if err != nil {
			t.Fatalf("%s: %v", body(p), err)
		}
		out = append(out, part)
	}
	return out
}

func merged(p *Plan, parts []*Part) (Page, error) {
	s := NewState(p)
	for _, x := range parts {
		s.Add(x)
	}
	return s.Page()
}

// text is a page in a form that can be compared.
func (p Page) text() string {
	if !p.HasTotal {
		p.Total = 0
	}
	return fmt.Sprintf("%d %t %t %g %t %s", p.Total, p.TotalIsLowerBound, p.HasTotal, p.MaxScore, p.HasScore, bytes.Join(p.Hits, []byte("\n")))
}

// single is what one store gives, read as it stands: its own order and its own total.
func single(p *Plan, rows []fakebackend.Row) string {
	whole := *p
	text := fakebackend.Search("key", body(&whole), rows, layout.Span{From: 0, To: 1 << 40})
	v := fastjson.MustParse(text)
	hits := v.GetArray("hits", "hits")
	page := Page{HasTotal: p.Limit != Uncounted, Total: v.GetInt64("hits", "total", "value"), TotalIsLowerBound: string(v.GetStringBytes("hits", "total", "relation")) == "gte"}
	for _, h := range hits[min(p.From, len(hits)):] {
		if p.ClientKeys == 0 {
			h.Del("sort")
		}
		page.Hits = append(page.Hits, h.MarshalTo(nil))
	}
	return fmt.Sprintf("%d %t %t %s", page.Total, page.TotalIsLowerBound, page.HasTotal, bytes.Join(page.Hits, []byte("\n")))
}

func (p Page) beside() string {
	if !p.HasTotal {
		p.Total = 0
	}
	return fmt.Sprintf("%d %t %t %s", p.Total, p.TotalIsLowerBound, p.HasTotal, bytes.Join(p.Hits, []byte("\n")))
}

// sums are what TestProof counts.
type proofCounts struct{ queries, orders, pages, mismatches, falseWhole int }

// TestProof compares pages with a single store, for random data, splits, queries and orders of arrival; every next page is split
// anew, as if ranges had moved meanwhile.
func TestProof(t *testing.T) {
	const workers = 4
	queries := 6_000
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		queries = 400 // the race detector has nothing to find in a pure package
	}
	got := make(chan proofCounts)
	for w := range workers {
		go func() { got <- prove(t, uint64(w), workers, queries/workers) }()
	}
	var all proofCounts
	for range workers {
		s := <-got
		all = proofCounts{all.queries + s.queries, all.orders + s.orders, all.pages + s.pages, all.mismatches + s.mismatches, all.falseWhole + s.falseWhole}
	}
	fmt.Printf("proof: queries=%d orders=%d pages=%d mismatches=%d false_whole=%d\n", all.queries, all.orders, all.pages, all.mismatches, all.falseWhole)
	if all.mismatches+all.falseWhole > 0 {
		t.Fail()
	}
}

func prove(t *testing.T, first, step uint64, most int) proofCounts {
	var queries, orders, pages, mismatches, falseWhole int
	for seed := first; queries < most && !t.Failed(); seed += step {
		rng := rand.New(rand.NewPCG(seed, 7))
		rows, cuts := store(rng)
		q := randomQuery(rng)
		queries++
		if q.size > 1 && rng.IntN(2) == 0 { // by from
			p, err := NewPlan(q.keys, rng.IntN(20), q.size, nil, q.limit)
			if err != nil {
				t.Error(err)
				break
			}
			in := parts(t, p, rows, cuts)
			want := single(p, rows)
			first, _ := merged(p, in)
			binary := partsBinary(t, p, rows, cuts)
			for n := range 4 {
				orders++
				if n == 3 {
					in = binary
				}
				rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
				if page, err := merged(p, in); err != nil || page.beside() != want || page.text() != first.text() {
					mismatches++
					t.Errorf("seed %d %s:\n%s\n%v %s", seed, body(p), want, err, page.beside())
				}
			}
			pages++
			for i := range in { // each part left out in turn
				pieces := make([]PartCoverage, len(in))
				for j := range pieces {
					pieces[j] = PartCoverage{Weight: 1 / float64(len(in)), Shard: j, Received: j != i}
				}
				if (CompletenessPolicy{CompleteWeight: 1, MinWeight: 1}).Evaluate(pieces).Answerable {
					falseWhole++
				}
				e := CompletenessPolicy{CompleteWeight: 1, MinWeight: 0.1}.Evaluate(pieces)
				if e.Complete || len(e.Missing) != 1 || e.Missing[0].Shard != i {
					falseWhole++
				}
			}
			continue
		}
		falls := []string{} // page after page
		var after []Value
		for {
			p, err := NewPlan(q.keys, 0, q.size, after, q.limit)
			if err != nil {
				t.Fatal(err)
			}
			_, cuts = store(rng)
			cuts = slices.DeleteFunc(cuts, func(c int64) bool { return c > int64(len(rows)) })
			in := parts(t, p, rows, append(cuts, int64(len(rows))+1))
			rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
			orders++
			page, err := merged(p, in)
			if err != nil || page.beside() != single(p, rows) {
				mismatches++
				t.Errorf("seed %d %s: %v\n%s\n%s", seed, body(p), err, single(p, rows), page.beside())
				break
			}
			if len(page.Hits) == 0 {
				break
			}
			pages++
			for _, h := range page.Hits {
				falls = append(falls, string(fastjson.MustParseBytes(h).GetStringBytes("_id")))
			}
			last := in[slices.IndexFunc(in, func(x *Part) bool { return bytes.Contains(x.body, []byte(`"`+falls[len(falls)-1]+`"`)) })]
			for i := range last.hits {
				if v := last.sortValuesAt(i, len(p.Keys)); v[len(v)-1].text == falls[len(falls)-1] {
					after = v
				}
			}
		}
		slices.Sort(falls)
		if len(falls) != len(rows) || len(slices.Compact(falls)) != len(rows) {
			mismatches++
			t.Errorf("seed %d: %d hits over all pages, of %d rows", seed, len(falls), len(rows))
		}
	}
	return proofCounts{queries, orders, pages, mismatches, falseWhole}
}

func part(total string, hits ...string) string {
	return `{"hits":{"total":` + total + `,"hits":[` + strings.Join(hits, ",") + `]}}`
}

// A part that is not as asked is a failed attempt.
func TestBadParts(t *testing.T) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, []Value{Int(2), String("b")}, Exact)
	if err != nil {
		t.Fatal(err)
	}
	hit := func(due, id string) string { return fmt.Sprintf(`{"_id":%q,"sort":[%s,%q]}`, id, due, id) }
	for text, want := range map[string]string{
		part(`{"value":9,"relation":"eq"}`, hit("2", "c"), hit("2.5", "a"), hit("null", "a")): "",
		part(`9`, hit("3", "a")): "",
		part(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit("3", "a")):                               "does not come after",
		part(`{"value":9,"relation":"eq"}`, hit("4", "a"), hit("3", "b")):                               "does not come after",
		part(`{"value":9,"relation":"eq"}`, hit("null", "a"), hit("3", "b")):                            "does not come after",
		part(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit("4", "a"), hit("5", "a"), hit("6", "a")): "4 hits, where 3",
		part(`{"value":9,"relation":"eq"}`, hit("2", "b")):                                              "before the page",
		part(`{"value":9,"relation":"eq"}`, hit("1", "z")):                                              "before the page",
		part(`{"value":9,"relation":"eq"}`, hit("NaN", "z")):                                            "[due]",
		part(`{"value":9,"relation":"eq"}`, hit("1e999", "z")):                                          "[due]",
		part(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit(`"x"`, "b")):                             "number and keyword",
		part(`{"value":9,"relation":"eq"}`, `{"_id":"a"}`):                                              "no sort value of [due]",
		part(`{"value":9,"relation":"eq"}`, `{"_id":"a","sort":[3]}`):                                   "1 sort values, where 2",
		part(`{"value":9,"relation":"eq"}`, `{"_id":"a","sort":[{},"a"]}`):                              "[due]",
		part(`{"value":9,"relation":"gte"}`):                                                            "not counted as far",
		part(`{"value":9}`):                                                                             "without its relation",
		part(`{"value":-1,"relation":"eq"}`):                                                            "from nought",
		part(`{"value":1.5,"relation":"eq"}`):                                                           "from nought",
		part(`{"value":0,"relation":"eq"}`, hit("3", "a")):                                              "total of 0",
		part(`null`):           "no total",
		`{"hits":{"hits":{}}}`: "no list of hits",
	} {
		got, err := read(p, text)
		if want == "" && (err != nil || got == nil) || want != "" && (!errors.Is(err, ErrMalformedPart) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// What can't be made one answer of fails by name, whichever part came first.
func TestMixedTwiceAndTooMany(t *testing.T) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, nil, Exact)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ a, b, want string }{
		{part("1", `{"_id":"a","sort":[1,"a"]}`), part("1", `{"_id":"b","sort":["x","b"]}`), "can't sort on field [due]: it has both number and keyword values"},
		{part("1", `{"_id":"a","sort":[-0.0,"a"]}`), part("1", `{"_id":"a","sort":[0,"a"]}`), `a document stands in two parts: "a"`},
		{part("9223372036854775807"), part("1"), "over 2^63-1"},
		{part("9007199254740993"), part("9007199254740992"), ""},
	} {
		for _, order := range [][]string{{c.a, c.b}, {c.b, c.a}} {
			s := NewState(p)
			for _, text := range order {
				x, err := read(p, text)
				if err != nil {
					t.Fatal(err)
				}
				s.Add(x)
			}
			page, err := s.Page()
			if c.want == "" && (err != nil || page.Total != 18014398509481985) || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("%v: %v %v", order, page.Total, err)
			}
		}
	}
}

func FuzzReadBinary(f *testing.F) {
	p := aggPlan(f, clauses[9]+`,"c":{"cardinality":{"field":"key"}},"p":{"percentiles":{"field":"due"}}`)
	rows := []fakebackend.Row{{Key: 1, ID: "a", Fields: map[string]any{"desk": "x", "small": 1.5, "due": 0.1}}}
	f.Add(fakebackend.Binary("key", aggBody(p), rows, layout.Span{From: 0, To: 9}))
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		if x, err := p.ReadBinary(text); err == nil {
			wellFormed(t, p, x)
		}
	})
}

func FuzzRead(f *testing.F) {
	p, err := NewPlan([]Key{{Field: "due", Desc: true}}, 0, 5, nil, Exact)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(part(`{"value":2,"relation":"eq"}`, `{"_id":"a","sort":[3,"a"]}`, `{"_id":"b","sort":[1e2,"b"]}`))
	f.Add(part(`3`, `{"_id":"a","sort":[null,"a"]}`))
	f.Fuzz(func(t *testing.T, text string) {
		x, err := read(p, text)
		if err != nil {
			return
		}
		s := NewState(p)
		s.Add(x)
		page, err := s.Page()
		if err == nil && len(page.Hits) != x.hits {
			t.Errorf("%d of %d hits", len(page.Hits), x.hits)
		}
	})
}
