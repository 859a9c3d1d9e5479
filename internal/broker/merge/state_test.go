package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge/partial"
	"saffronquay/internal/testing/fakebackend"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
	"google.golang.org/protobuf/proto"
)

// randomStore returns random rows sorted by key, and the keys at which they are split into parts.
func randomStore(rng *rand.Rand) (rows []fakebackend.Row, cuts []int64) {
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

// query is a random search request.
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

func requestBody(p *Plan) []byte {
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

func readAnswer(p *Plan, text string) (*Part, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return nil, err
	}
	return p.Read(v, []byte(text))
}

// readParts searches the rows of each span and reads the answers.
func readParts(t *testing.T, p *Plan, rows []fakebackend.Row, cuts []int64) (out []*Part) {
	t.Helper()
	for i := range len(cuts) - 1 {
		part, err := readAnswer(p, fakebackend.Search("key", requestBody(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
		if err != nil {
			t.Fatalf("%s: %v", requestBody(p), err)
		}
		out = append(out, part)
	}
	return out
}

// readBinaryParts is readParts for the binary form.
func readBinaryParts(t *testing.T, p *Plan, rows []fakebackend.Row, cuts []int64) (out []*Part) {
	t.Helper()
	for i := range len(cuts) - 1 {
		part, err := p.ReadBinary(fakebackend.Binary("key", requestBody(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
		if err != nil {
			t.Fatalf("%s: %v", requestBody(p), err)
		}
		out = append(out, part)
	}
	return out
}

func mergePage(p *Plan, parts []*Part) (Page, error) {
	s := NewState(p)
	for _, x := range parts {
		s.Add(x)
	}
	return s.Page()
}

// fingerprint returns the text of a page including scores, for comparison.
func (p Page) fingerprint() string {
	if !p.HasTotal {
		p.Total = 0
	}
	return fmt.Sprintf("%d %t %t %g %t %s", p.Total, p.TotalIsLowerBound, p.HasTotal, p.MaxScore, p.HasScore, bytes.Join(p.Hits, []byte("\n")))
}

// singleStorePage returns the answer of a single store with all rows, with its own order and total,
// in the form of comparableText.
func singleStorePage(p *Plan, rows []fakebackend.Row) string {
	all := *p
	text := fakebackend.Search("key", requestBody(&all), rows, layout.Span{From: 0, To: 1 << 40})
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

// comparableText returns the text of a page without scores, for comparison.
func (p Page) comparableText() string {
	if !p.HasTotal {
		p.Total = 0
	}
	return fmt.Sprintf("%d %t %t %s", p.Total, p.TotalIsLowerBound, p.HasTotal, bytes.Join(p.Hits, []byte("\n")))
}

// proofCounts are the counters of TestProof.
type proofCounts struct{ queries, orders, pages, mismatches, falseComplete int }

// TestProof compares merged pages with those of a single store, for random data, splits, queries
// and orders of arrival. Each successive page uses a new split, as if ranges had moved in between.
func TestProof(t *testing.T) {
	const workers = 4
	queries := 6_000
	if info, ok := debug.ReadBuildInfo(); ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"}) {
		queries = 400 // the package has no concurrency of its own for the race detector to check
	}
	got := make(chan proofCounts)
	for w := range workers {
		go func() { got <- runProof(t, uint64(w), workers, queries/workers) }()
	}
	var all proofCounts
	for range workers {
		s := <-got
		all = proofCounts{all.queries + s.queries, all.orders + s.orders, all.pages + s.pages, all.mismatches + s.mismatches, all.falseComplete + s.falseComplete}
	}
	fmt.Printf("proof: queries=%d orders=%d pages=%d mismatches=%d false_whole=%d\n", all.queries, all.orders, all.pages, all.mismatches, all.falseComplete)
	if all.mismatches+all.falseComplete > 0 {
		t.Fail()
	}
}

// runProof checks random queries with the seeds first, first+step, and so on, until it has run most
// queries or the test has failed.
func runProof(t *testing.T, first, step uint64, most int) proofCounts {
	var queries, orders, pages, mismatches, falseComplete int
	for seed := first; queries < most && !t.Failed(); seed += step {
		rng := rand.New(rand.NewPCG(seed, 7))
		rows, cuts := randomStore(rng)
		q := randomQuery(rng)
		queries++
		if q.size > 1 && rng.IntN(2) == 0 { // pages by offset
			p, err := NewPlan(q.keys, rng.IntN(20), q.size, nil, q.limit)
			if err != nil {
				t.Error(err)
				break
			}
			in := readParts(t, p, rows, cuts)
			want := singleStorePage(p, rows)
			first, _ := mergePage(p, in)
			binary := readBinaryParts(t, p, rows, cuts)
			for n := range 4 {
				orders++
				if n == 3 {
					in = binary
				}
				rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
				if page, err := mergePage(p, in); err != nil || page.comparableText() != want || page.fingerprint() != first.fingerprint() {
					mismatches++
					t.Errorf("seed %d %s:\n%s\n%v %s", seed, requestBody(p), want, err, page.comparableText())
				}
			}
			pages++
			for i := range in { // omit each part in turn
				coverage := make([]PartCoverage, len(in))
				for j := range coverage {
					coverage[j] = PartCoverage{Weight: 1 / float64(len(in)), Shard: j, Received: j != i}
				}
				if (CompletenessPolicy{CompleteWeight: 1, MinWeight: 1}).Evaluate(coverage).Answerable {
					falseComplete++
				}
				e := CompletenessPolicy{CompleteWeight: 1, MinWeight: 0.1}.Evaluate(coverage)
				if e.Complete || len(e.Missing) != 1 || e.Missing[0].Shard != i {
					falseComplete++
				}
			}
			continue
		}
		ids := []string{} // successive pages by search_after
		var after []Value
		for {
			p, err := NewPlan(q.keys, 0, q.size, after, q.limit)
			if err != nil {
				t.Fatal(err)
			}
			_, cuts = randomStore(rng)
			cuts = slices.DeleteFunc(cuts, func(c int64) bool { return c > int64(len(rows)) })
			in := readParts(t, p, rows, append(cuts, int64(len(rows))+1))
			rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
			orders++
			page, err := mergePage(p, in)
			if err != nil || page.comparableText() != singleStorePage(p, rows) {
				mismatches++
				t.Errorf("seed %d %s: %v\n%s\n%s", seed, requestBody(p), err, singleStorePage(p, rows), page.comparableText())
				break
			}
			if len(page.Hits) == 0 {
				break
			}
			pages++
			for _, h := range page.Hits {
				ids = append(ids, string(fastjson.MustParseBytes(h).GetStringBytes("_id")))
			}
			last := in[slices.IndexFunc(in, func(x *Part) bool { return bytes.Contains(x.body, []byte(`"`+ids[len(ids)-1]+`"`)) })]
			for i := range last.hits {
				if v := last.sortValuesAt(i, len(p.Keys)); v[len(v)-1].text == ids[len(ids)-1] {
					after = v
				}
			}
		}
		slices.Sort(ids)
		if len(ids) != len(rows) || len(slices.Compact(ids)) != len(rows) {
			mismatches++
			t.Errorf("seed %d: %d hits on all pages, want %d distinct ones", seed, len(ids), len(rows))
		}
	}
	return proofCounts{queries, orders, pages, mismatches, falseComplete}
}

// answerJSON returns the answer of a server with a total and hits.
func answerJSON(total string, hits ...string) string {
	return `{"hits":{"total":` + total + `,"hits":[` + strings.Join(hits, ",") + `]}}`
}

// TestRead_MalformedParts checks that Read rejects answers that do not match the request with
// ErrMalformedPart.
func TestRead_MalformedParts(t *testing.T) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, []Value{Int(2), String("b")}, Exact)
	if err != nil {
		t.Fatal(err)
	}
	hit := func(due, id string) string { return fmt.Sprintf(`{"_id":%q,"sort":[%s,%q]}`, id, due, id) }
	for text, want := range map[string]string{
		answerJSON(`{"value":9,"relation":"eq"}`, hit("2", "c"), hit("2.5", "a"), hit("null", "a")): "",
		answerJSON(`9`, hit("3", "a")):                                                                        "",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit("3", "a")):                               "does not sort after",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("4", "a"), hit("3", "b")):                               "does not sort after",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("null", "a"), hit("3", "b")):                            "does not sort after",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit("4", "a"), hit("5", "a"), hit("6", "a")): "4 hits, but at most 3",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("2", "b")):                                              "precedes the requested page",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("1", "z")):                                              "precedes the requested page",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("NaN", "z")):                                            "[due]",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("1e999", "z")):                                          "[due]",
		answerJSON(`{"value":9,"relation":"eq"}`, hit("3", "a"), hit(`"x"`, "b")):                             "number and keyword",
		answerJSON(`{"value":9,"relation":"eq"}`, `{"_id":"a"}`):                                              "missing sort value of [due]",
		answerJSON(`{"value":9,"relation":"eq"}`, `{"_id":"a","sort":[3]}`):                                   "1 sort values, but 2",
		answerJSON(`{"value":9,"relation":"eq"}`, `{"_id":"a","sort":[{},"a"]}`):                              "[due]",
		answerJSON(`{"value":9,"relation":"gte"}`):                                                            "lower bound below the requested limit",
		answerJSON(`{"value":9}`):                                                                             "neither eq nor gte",
		answerJSON(`{"value":-1,"relation":"eq"}`):                                                            "hits -1: want an integer of 0 or more",
		answerJSON(`{"value":1.5,"relation":"eq"}`):                                                           "hits 1.5: want an integer of 0 or more",
		answerJSON(`{"value":0,"relation":"eq"}`, hit("3", "a")):                                              "total of 0",
		answerJSON(`null`):     "missing total",
		`{"hits":{"hits":{}}}`: "hits.hits is not a list",
	} {
		got, err := readAnswer(p, text)
		if want == "" && (err != nil || got == nil) || want != "" && (!errors.Is(err, ErrMalformedPart) || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// TestPage_InconsistentParts checks that parts that cannot be merged make Page fail with the same
// error in any order: sort values of two kinds, a duplicate document, an overflow of the total.
func TestPage_InconsistentParts(t *testing.T) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, nil, Exact)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ a, b, want string }{
		{answerJSON("1", `{"_id":"a","sort":[1,"a"]}`), answerJSON("1", `{"_id":"b","sort":["x","b"]}`), "can't sort on field [due]: it has both number and keyword values"},
		{answerJSON("1", `{"_id":"a","sort":[-0.0,"a"]}`), answerJSON("1", `{"_id":"a","sort":[0,"a"]}`), `duplicate document in two partial answers: "a"`},
		{answerJSON("9223372036854775807"), answerJSON("1"), "exceeds 2^63-1"},
		{answerJSON("9007199254740993"), answerJSON("9007199254740992"), ""},
	} {
		for _, order := range [][]string{{c.a, c.b}, {c.b, c.a}} {
			s := NewState(p)
			for _, text := range order {
				x, err := readAnswer(p, text)
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

// TestReadBinary_HitsMustBeObjects checks that ReadBinary rejects a part with a hit that is not a
// JSON object, including hits that are empty or consist of white space.
func TestReadBinary_HitsMustBeObjects(t *testing.T) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, nil, Exact)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", " ", "  ", " \n\t\r ", "x", "[]", " []", "7 ", "null"} {
		_, err := p.ReadBinary(binaryAnswer(t, text))
		if !errors.Is(err, ErrMalformedPart) || !strings.Contains(err.Error(), "hit 0 is not a JSON object") {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := p.ReadBinary(binaryAnswer(t, ` {"_id":"a"} `)); err != nil {
		t.Error(err)
	}
}

// binaryAnswer returns the binary form of a part with one hit, whose JSON is text.
func binaryAnswer(tb testing.TB, text string) []byte {
	tb.Helper()
	sort := []*partial.Value{{Kind: &partial.Value_Whole{Whole: 3}}, {Kind: &partial.Value_Text{Text: "a"}}}
	body, err := proto.Marshal(&partial.Answer{
		Version: binaryVersion, Total: &partial.Total{Value: 1}, Hits: []*partial.Hit{{Json: []byte(text), Sort: sort}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	return body
}

// FuzzReadBinaryHits reads parts with hits. The plan of FuzzReadBinary requests only aggregations.
func FuzzReadBinaryHits(f *testing.F) {
	p, err := NewPlan([]Key{{Field: "due"}}, 0, 3, nil, Exact)
	if err != nil {
		f.Fatal(err)
	}
	for _, text := range []string{`{"_id":"a"}`, "  ", "{"} {
		f.Add(binaryAnswer(f, text))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		part, err := p.ReadBinary(body)
		if err != nil {
			return
		}
		s := NewState(p)
		s.Add(part)
		if _, err := s.Page(); err != nil {
			t.Errorf("Page fails for a part that ReadBinary accepted: %v", err)
		}
	})
}

func FuzzReadBinary(f *testing.F) {
	p := aggregationPlan(f, aggregationClauses[9]+`,"c":{"cardinality":{"field":"key"}},"p":{"percentiles":{"field":"due"}}`)
	rows := []fakebackend.Row{{Key: 1, ID: "a", Fields: map[string]any{"desk": "x", "small": 1.5, "due": 0.1}}}
	f.Add(fakebackend.Binary("key", aggregationBody(p), rows, layout.Span{From: 0, To: 9}))
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		if x, err := p.ReadBinary(text); err == nil {
			checkMergedJSON(t, p, x)
		}
	})
}

func FuzzRead(f *testing.F) {
	p, err := NewPlan([]Key{{Field: "due", Desc: true}}, 0, 5, nil, Exact)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(answerJSON(`{"value":2,"relation":"eq"}`, `{"_id":"a","sort":[3,"a"]}`, `{"_id":"b","sort":[1e2,"b"]}`))
	f.Add(answerJSON(`3`, `{"_id":"a","sort":[null,"a"]}`))
	f.Fuzz(func(t *testing.T, text string) {
		x, err := readAnswer(p, text)
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
