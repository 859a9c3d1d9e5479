package merge

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
	"pgregory.net/rapid"

	_ "saffronquay/internal/testing/harness/steady"
)

// aggregationClauses cover every kind of aggregation. Their merged results are compared with those
// of a single store.
var aggregationClauses = []string{
	`"a":{"sum":{"field":"due"}}`, `"a":{"min":{"field":"due"}}`, `"a":{"max":{"field":"due"}}`, `"a":{"avg":{"field":"due"}}`,
	`"a":{"value_count":{"field":"desk"}}`, `"a":{"stats":{"field":"due"}}`, `"a":{"extended_stats":{"field":"small"}}`,
	`"a":{"terms":{"field":"desk"}}`, `"a":{"terms":{"field":"small","order":{"_key":"desc"},"size":3}}`,
	`"a":{"terms":{"field":"desk"},"aggs":{"s":{"sum":{"field":"due"}},"t":{"terms":{"field":"small"},"aggs":{"m":{"max":{"field":"key"}}}}}}`,
	`"a":{"histogram":{"field":"small","interval":2}}`, `"a":{"histogram":{"field":"small","interval":0.5,"offset":0.25,"min_doc_count":1},"aggs":{"v":{"avg":{"field":"due"}}}}`,
	`"a":{"date_histogram":{"field":"at","calendar_interval":"month"}}`, `"a":{"date_histogram":{"field":"at","fixed_interval":"36h","min_doc_count":1}}`,
	`"a":{"date_histogram":{"field":"at","calendar_interval":"day","min_doc_count":2}}`,
	`"a":{"range":{"field":"small","ranges":[{"to":2},{"from":2,"to":4},{"key":"much","from":4}]},"aggs":{"s":{"stats":{"field":"due"}}}}`,
	`"a":{"filter":{"range":{"key":{"gte":10,"lt":50}}},"aggs":{"s":{"sum":{"field":"due"}}}}`,
	`"a":{"filters":{"filters":{"low":{"range":{"key":{"lt":30}}},"all":{"match_all":{}}}},"aggs":{"c":{"value_count":{"field":"due"}}}}`,
	`"a":{"composite":{"size":4,"sources":[{"d":{"terms":{"field":"desk","order":"desc"}}},{"h":{"histogram":{"field":"small","interval":2}}}]},"aggs":{"s":{"sum":{"field":"due"}}}}`,
	`"a":{"sum":{"field":"due"}},"b":{"avg":{"field":"small"}}`,
}

// addAggregationFields adds the fields that the clauses use: due, with values of many magnitudes,
// so that the order of floating-point addition matters; small numbers; dates.
func addAggregationFields(rng *rand.Rand, rows []fakebackend.Row) {
	for _, r := range rows {
		r.Fields["due"] = (rng.Float64() - 0.5) * math.Pow(10, float64(rng.IntN(34)-17))
		if rng.IntN(4) > 0 {
			r.Fields["small"] = float64(rng.IntN(12)) / 2
		}
		if rng.IntN(4) > 0 {
			r.Fields["at"] = int64(1_700_000_000_000) + rng.Int64N(200)*86_400_000/3
		}
	}
}

func aggregationPlan(t fataler, clause string) *Plan {
	aggs, err := ParseAggs(fastjson.MustParse("{" + clause + "}"))
	if err != nil {
		t.Fatal(clause, err)
	}
	p, err := NewPlan(nil, 0, 0, nil, Exact)
	if err != nil {
		t.Fatal(err)
	}
	p.Aggs = aggs
	return p
}

type fataler interface{ Fatal(...any) }

func aggregationBody(p *Plan) []byte {
	return append(AppendAggs([]byte(`{"size":0,"track_total_hits":true,"aggs":`), p.Aggs), '}')
}

func decodeJSON(text []byte) any {
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return fmt.Sprintf("%v: %s", err, text)
	}
	return v
}

// TestProofOfAggregations compares merged aggregations with those of a single store, for random
// data, splits and orders of arrival.
func TestProofOfAggregations(t *testing.T) {
	queries, orders := 0, 0
	for seed := uint64(0); seed < 60 && !t.Failed(); seed++ {
		rng := rand.New(rand.NewPCG(seed, 3))
		rows, cuts := randomStore(rng)
		addAggregationFields(rng, rows)
		for _, clause := range aggregationClauses {
			queries++
			p := aggregationPlan(t, clause)
			var in, binary []*Part
			for i := range len(cuts) - 1 {
				part, err := readAnswer(p, fakebackend.Search("key", aggregationBody(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
				if err != nil {
					t.Fatalf("%s: %v", aggregationBody(p), err)
				}
				in = append(in, part)
				other, err := p.ReadBinary(fakebackend.Binary("key", aggregationBody(p), rows, layout.Span{From: cuts[i], To: cuts[i+1]}))
				if err != nil {
					t.Fatalf("%s: binary: %v", aggregationBody(p), err)
				}
				binary = append(binary, other)
			}
			spec := fastjson.MustParse("{" + strings.ReplaceAll(clause, `{"to":2},{"from":2,"to":4}`, `{"key":"*-2","to":2},{"key":"2-4","from":2,"to":4}`) + "}")
			single, err := json.Marshal(fakebackend.Aggregate(spec, rows, "key", false))
			if err != nil {
				t.Fatal(err)
			}
			for n := range 4 {
				orders++
				if n == 2 { // JSON and binary parts together
					in[0] = binary[0]
				} else if n == 3 {
					in = binary
				} else {
					rng.Shuffle(len(in), func(i, j int) { in[i], in[j], binary[i], binary[j] = in[j], in[i], binary[j], binary[i] })
				}
				page, err := mergePage(p, in)
				got := append(append([]byte{'{'}, page.Aggs...), '}')
				if err != nil || !reflect.DeepEqual(decodeJSON(got), decodeJSON(single)) {
					t.Errorf("seed %d %s: %v\ngot  %s\nwant %s", seed, clause, err, got, single)
					break
				}
			}
		}
	}
	fmt.Printf("proof of aggregations: queries=%d orders=%d\n", queries, orders)
}

// TestSketches_AccurateInAnyOrder checks that merged cardinality and percentile estimates stay
// within their error and do not depend on the order of arrival.
func TestSketches_AccurateInAnyOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	p := aggregationPlan(t, `"c":{"cardinality":{"field":"key"}},"p":{"percentiles":{"field":"due","percents":[1,50,99]}}`)
	var rows []fakebackend.Row
	for i := range 20_000 {
		rows = append(rows, fakebackend.Row{Key: int64(i), Fields: map[string]any{"due": rng.NormFloat64()}})
	}
	var in []*Part
	for from := int64(0); from < 20_000; from += 500 {
		part, err := readAnswer(p, fakebackend.Search("key", aggregationBody(p), rows, layout.Span{From: from, To: from + 500}))
		if err != nil {
			t.Fatal(err)
		}
		in = append(in, part)
	}
	var first string
	for range 5 {
		rng.Shuffle(len(in), func(i, j int) { in[i], in[j] = in[j], in[i] })
		page, err := mergePage(p, in)
		if err != nil {
			t.Fatal(err)
		}
		if first == "" {
			first = string(page.Aggs)
		}
		if first != string(page.Aggs) {
			t.Errorf("result depends on the order of arrival: %s %s", first, page.Aggs)
		}
	}
	v := fastjson.MustParse("{" + first + "}")
	if n := v.GetFloat64("c", "value"); math.Abs(n-20_000) > 20_000*0.03 {
		t.Errorf("estimated cardinality %g, want 20000 within 3%%", n)
	}
	var all []float64
	for _, r := range rows {
		all = append(all, r.Fields["due"].(float64))
	}
	slices.Sort(all)
	for percent, name := range map[int]string{1: "1.0", 50: "50.0", 99: "99.0"} {
		at, _ := slices.BinarySearch(all, v.GetFloat64("p", "values", name))
		if math.Abs(float64(at)/200-float64(percent)) > 1 {
			t.Errorf("percentile %d is at rank %g%%: %s", percent, float64(at)/200, first)
		}
	}
}

// TestTerms_CountsWithinErrorBound checks truncated lists of terms: a count is too low by at most
// the reported error bound, and the sum of all counts is exact.
func TestTerms_CountsWithinErrorBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := aggregationPlan(t, `"a":{"terms":{"field":"small","size":3,"shard_size":4}}`)
		rows, truth := []fakebackend.Row{}, map[float64]int64{}
		n := rapid.IntRange(1, 200).Draw(t, "rows")
		for i := range n {
			v := float64(rapid.IntRange(0, 12).Draw(t, "v"))
			rows, truth[v] = append(rows, fakebackend.Row{Key: int64(i), Fields: map[string]any{"small": v}}), truth[v]+1
		}
		s := NewState(p)
		for from := 0; from < n; from += 40 {
			part, err := readAnswer(p, fakebackend.Search("key", aggregationBody(p), rows, layout.Span{From: int64(from), To: int64(from + 40)}))
			if err != nil {
				t.Fatal(err)
			}
			s.Add(part)
		}
		page, err := s.Page()
		if err != nil {
			t.Fatal(err)
		}
		v := fastjson.MustParse("{" + string(page.Aggs) + "}").Get("a")
		bound, sum := v.GetInt64("doc_count_error_upper_bound"), v.GetInt64("sum_other_doc_count")
		for _, b := range v.GetArray("buckets") {
			count, real := b.GetInt64("doc_count"), truth[b.GetFloat64("key")]
			if sum += count; count > real || count < real-bound {
				t.Fatalf("count %d, true count %d, error bound %d", count, real, bound)
			}
		}
		if sum != int64(n) {
			t.Fatalf("counts add up to %d of %d rows", sum, n)
		}
	})
}

// TestExactSum_IndependentOfOrder checks that an exactSum is the true sum, rounded only once, in
// any order of addition.
func TestExactSum_IndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		xs := rapid.SliceOfN(rapid.Float64Range(-1e200, 1e200), 0, 40).Draw(t, "xs")
		var a exactSum
		rows := []fakebackend.Row{}
		for i, x := range xs {
			a.add(x)
			rows = append(rows, fakebackend.Row{Key: int64(i), Fields: map[string]any{"x": x}})
		}
		var b exactSum
		for _, i := range rapid.Permutation(xs).Draw(t, "order") {
			b.add(i)
		}
		text, _ := json.Marshal(fakebackend.Aggregate(fastjson.MustParse(`{"a":{"sum":{"field":"x"}}}`), rows, "key", false))
		if want, err := parseFloat(fastjson.MustParseBytes(text).Get("a", "value")); err != nil || a.value() != b.value() || a.value() != want {
			t.Fatalf("%g, %g, want %g", a.value(), b.value(), want)
		}
	})
}

// TestAggregations_Malformed checks that Read rejects malformed aggregations, and that Page reports
// why valid ones cannot be merged.
func TestAggregations_Malformed(t *testing.T) {
	for _, c := range []struct{ clause, aggs, want string }{
		{`"a":{"sum":{"field":"x"}}`, `{}`, "missing aggregation [a]"},
		{`"a":{"sum":{"field":"x"}}`, `{"a":{"value":"much"}}`, "is not a number"},
		{`"a":{"sum":{"field":"x"}}`, `{"a":{"value":NaN}}`, "[a].value"},
		{`"a":{"sum":{"field":"x"}}`, `{"a":{"value":1,"sum_exact":[1,Inf]}}`, "entry that is not a number"},
		{`"a":{"stats":{"field":"x"}}`, `{"a":{"count":-1}}`, "[a].count"},
		{`"a":{"stats":{"field":"x"}}`, `{"a":{"count":2,"sum":3,"min":1}}`, "[a].max"},
		{`"a":{"cardinality":{"field":"x"}}`, `{"a":{"value":3}}`, "no sketch"},
		{`"a":{"cardinality":{"field":"x"}}`, `{"a":{"sketch":"AAAA"}}`, "sketch"},
		{`"a":{"percentiles":{"field":"x"}}`, `{"a":{"centroids":[[1,-1]]}}`, "out of range"},
		{`"a":{"terms":{"field":"x"}}`, `{"a":{"buckets":[{"key":1}],"sum_other_doc_count":0}}`, "doc_count"},
		{`"a":{"terms":{"field":"x"}}`, `{"a":{"buckets":[{"key":1,"doc_count":1},{"key":1.0,"doc_count":2}],"sum_other_doc_count":0}}`, "duplicate bucket"},
		{`"a":{"terms":{"field":"x"}}`, `{"a":{"buckets":[{"key":[],"doc_count":1}],"sum_other_doc_count":0}}`, "invalid key"},
		{`"a":{"terms":{"field":"x","size":1,"shard_size":1}}`, `{"a":{"buckets":[{"key":1,"doc_count":1},{"key":2,"doc_count":1}],"sum_other_doc_count":0}}`, "more than requested"},
		{`"a":{"histogram":{"field":"x","interval":1}}`, `{"a":{"buckets":[{"key":"x","doc_count":1}]}}`, "not requested"},
		{`"a":{"range":{"field":"x","ranges":[{"to":1}]}}`, `{"a":{"buckets":[{"key":"z","doc_count":1}]}}`, "not requested"},
		{`"a":{"terms":{"field":"x"},"aggs":{"b":{"sum":{"field":"y"}}}}`, `{"a":{"buckets":[{"key":1,"doc_count":1}],"sum_other_doc_count":0}}`, "missing aggregation [b]"},
	} {
		p := aggregationPlan(t, c.clause)
		if _, err := readAnswer(p, `{"hits":{"total":0,"hits":[]},"aggregations":`+c.aggs+`}`); !errors.Is(err, ErrMalformedPart) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.aggs, err, c.want)
		}
	}
	var many strings.Builder
	for i := range MaxBuckets + 1 {
		fmt.Fprintf(&many, `,{"key":%d,"doc_count":1}`, i)
	}
	p := aggregationPlan(t, `"a":{"histogram":{"field":"x","interval":1,"min_doc_count":1}}`)
	if _, err := readAnswer(p, `{"hits":{"total":0,"hits":[]},"aggregations":{"a":{"buckets":[`+many.String()[1:]+`]}}}`); !errors.Is(err, ErrMalformedPart) || !strings.Contains(err.Error(), "more than 65535 buckets") {
		t.Errorf("more than MaxBuckets buckets: %v", err)
	}
	for _, c := range []struct{ clause, a, b, want string }{
		{`"a":{"terms":{"field":"x"}}`, `{"buckets":[{"key":1,"doc_count":1}],"sum_other_doc_count":0}`, `{"buckets":[{"key":"x","doc_count":1}],"sum_other_doc_count":0}`, "field [a]: it has both number and keyword"},
		{`"a":{"histogram":{"field":"x","interval":0.001}}`, `{"buckets":[{"key":0,"doc_count":1}]}`, `{"buckets":[{"key":1000000,"doc_count":1}]}`, "too many buckets"},
	} {
		p := aggregationPlan(t, c.clause)
		s := NewState(p)
		for _, x := range []string{c.a, c.b} {
			part, err := readAnswer(p, `{"hits":{"total":0,"hits":[]},"aggregations":{"a":`+x+`}}`)
			if err != nil {
				t.Fatal(err)
			}
			s.Add(part)
		}
		if _, err := s.Page(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.clause, err)
		}
	}
}

// FuzzAggs checks that the request built from any accepted clause is valid JSON.
func FuzzAggs(f *testing.F) {
	for _, c := range aggregationClauses {
		f.Add("{" + c + "}")
	}
	f.Fuzz(func(t *testing.T, text string) {
		v, err := fastjson.Parse(text)
		if err != nil {
			return
		}
		aggs, err := ParseAggs(v)
		if err != nil {
			return
		}
		if _, err := fastjson.ParseBytes(AppendAggs(nil, aggs)); err != nil {
			t.Errorf("request for %s is not valid JSON: %v", text, err)
		}
	})
}

// FuzzReadAggs reads and merges every kind of aggregation from arbitrary answers.
func FuzzReadAggs(f *testing.F) {
	all := []string{`"c":{"cardinality":{"field":"key"}}`, `"p":{"percentiles":{"field":"due"}}`}
	for i, c := range aggregationClauses[:len(aggregationClauses)-1] {
		all = append(all, strings.Replace(c, `"a":`, fmt.Sprintf(`"a%d":`, i), 1))
	}
	p := aggregationPlan(f, strings.Join(all, ","))
	rows := []fakebackend.Row{
		{Key: 1, ID: "a", Fields: map[string]any{"desk": "x", "small": 1.5, "due": 0.1, "at": int64(1_700_000_000_000)}},
		{Key: 20, ID: "b", Fields: map[string]any{"desk": "y", "small": 4.5, "due": 7e9}},
	}
	f.Add(fakebackend.Search("key", aggregationBody(p), rows, layout.Span{From: 0, To: 99}))
	f.Fuzz(func(t *testing.T, text string) {
		if x, err := readAnswer(p, text); err == nil {
			checkMergedJSON(t, p, x)
		}
	})
}

// checkMergedJSON merges a part with itself and checks that the result is valid JSON or an error.
func checkMergedJSON(t *testing.T, p *Plan, x *Part) {
	s := NewState(p)
	s.Add(x)
	s.Add(x)
	if page, err := s.Page(); err == nil {
		if _, err := fastjson.ParseBytes(append(append([]byte{'{'}, page.Aggs...), '}')); err != nil {
			t.Errorf("merged answer is not valid JSON: %v", err)
		}
	}
}
