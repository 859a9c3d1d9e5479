package merge

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

// mergeBySorting is the implementation before issue 10, for comparison: it parses and encodes each
// part, parses it again at the end, encodes every hit, and sorts all hits.
func mergeBySorting(texts [][]byte, from, size int) [][]byte {
	type hit struct {
		score float64
		text  []byte
	}
	var given [][]byte
	for _, t := range texts {
		v, _ := fastjson.ParseBytes(t)
		given = append(given, v.Get("hits").MarshalTo(nil))
	}
	var hits []hit
	for _, g := range given {
		h, _ := fastjson.ParseBytes(g)
		for _, x := range h.GetArray("hits") {
			score := math.Inf(-1)
			if sv := x.Get("_score"); sv != nil && sv.Type() == fastjson.TypeNumber {
				score = sv.GetFloat64()
			}
			hits = append(hits, hit{score, x.MarshalTo(nil)})
		}
	}
	slices.SortStableFunc(hits, func(a, b hit) int { return cmp.Compare(b.score, a.score) })
	var out [][]byte
	for _, h := range hits[min(from, len(hits)):min(from+size, len(hits))] {
		out = append(out, bytes.TrimSpace(h.text))
	}
	return out
}

// serverAnswers returns the answers of n servers, each with the given number of hits in order of
// descending score.
func serverAnswers(n, hits int) (texts [][]byte) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		scores := make([]float64, hits)
		for j := range scores {
			scores[j] = rng.Float64()
		}
		slices.SortFunc(scores, func(a, b float64) int { return cmp.Compare(b, a) })
		var b strings.Builder
		for j, s := range scores {
			if j > 0 {
				b.WriteByte(',')
			}
			fmt.Fprintf(&b, `{"_index":"invoices","_id":"%d-%d","_score":%g,"_source":{"taxpayer":%d,"due":"2026-12-20","text":"factura de servicios"},"sort":[%g,"%d-%d"]}`, i, j, s, j, s, i, j)
		}
		texts = append(texts, fmt.Appendf(nil, `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":%d,"relation":"eq"},"hits":[%s]}}`, hits, b.String()))
	}
	return texts
}

// BenchmarkFirstPage merges 200 parts of 100 hits each into a first page of 100 hits.
func BenchmarkFirstPage(b *testing.B) {
	texts := serverAnswers(200, 100)
	p, err := NewPlan(nil, 0, 100, nil, Exact)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("before", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if got := mergeBySorting(texts, 0, 100); len(got) != 100 {
				b.Fatal(len(got))
			}
		}
	})
	b.Run("now", func(b *testing.B) {
		b.ReportAllocs()
		var pool fastjson.ParserPool
		for b.Loop() {
			s := NewState(p)
			for _, t := range texts {
				parser := pool.Get()
				v, err := parser.ParseBytes(t)
				if err != nil {
					b.Fatal(err)
				}
				part, err := p.Read(v, t)
				if err != nil {
					b.Fatal(err)
				}
				pool.Put(parser)
				s.Add(part)
			}
			if page, err := s.Page(); err != nil || len(page.Hits) != 100 {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkTerms merges a terms aggregation of 200 parts with 1,000 buckets each.
func BenchmarkTerms(b *testing.B) {
	p := aggregationPlan(b, `"a":{"terms":{"field":"x","size":1000,"shard_size":1000},"aggs":{"s":{"sum":{"field":"y"}}}}`)
	var texts []string
	for i := range 200 {
		var t strings.Builder
		for j := range 1000 {
			fmt.Fprintf(&t, `,{"key":%d,"doc_count":%d,"s":{"value":%d.25}}`, j*7+i%5, 1000-j, j)
		}
		texts = append(texts, `{"hits":{"total":0,"hits":[]},"aggregations":{"a":{"sum_other_doc_count":0,"buckets":[`+t.String()[1:]+`]}}}`)
	}
	b.ReportAllocs()
	for b.Loop() {
		s := NewState(p)
		for _, t := range texts {
			part, err := readAnswer(p, t)
			if err != nil {
				b.Fatal(err)
			}
			s.Add(part)
		}
		if _, err := s.Page(); err != nil {
			b.Fatal(err)
		}
	}
}

// TestPartSize_EstimatesMemory checks that Part.Size is within a factor of three of the memory that
// parts retain in addition to their text, for hits (30 MB of them) and for buckets. The limit on
// the memory of parts relies on this estimate.
func TestPartSize_EstimatesMemory(t *testing.T) {
	var b strings.Builder
	for j := range 1000 {
		fmt.Fprintf(&b, `,{"key":%d,"doc_count":%d,"s":{"value":%d.25}}`, j*7, 1000-j, j)
	}
	buckets := make([][]byte, 100)
	for i := range buckets {
		buckets[i] = []byte(`{"hits":{"total":0,"hits":[]},"aggregations":{"a":{"sum_other_doc_count":0,"buckets":[` + b.String()[1:] + `]}}}`)
	}
	hits, err := NewPlan(nil, 0, 600, nil, Exact)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		plan  *Plan
		texts [][]byte
	}{
		"hits":    {hits, serverAnswers(300, 600)},
		"buckets": {aggregationPlan(t, `"a":{"terms":{"field":"x","size":1000},"aggs":{"s":{"sum":{"field":"y"}}}}`), buckets},
	} {
		var before, after runtime.MemStats
		var parser fastjson.Parser
		parser.ParseBytes(c.texts[0])
		runtime.GC()
		runtime.ReadMemStats(&before)
		s, estimated, size := NewState(c.plan), 0, 0
		for _, x := range c.texts {
			v, err := parser.ParseBytes(x)
			if err != nil {
				t.Fatal(err)
			}
			part, err := c.plan.Read(v, x)
			if err != nil {
				t.Fatal(err)
			}
			s.parts, estimated, size = append(s.parts, part), estimated+part.Size(), size+len(x)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		retained := int(after.HeapAlloc - before.HeapAlloc)
		if t.Logf("%s: %d KB of text, %d KB retained, %d KB estimated", name, size>>10, retained>>10, estimated>>10); retained > 3*estimated || estimated > 3*retained {
			t.Errorf("%s: %d bytes retained, %d estimated", name, retained, estimated)
		}
		runtime.KeepAlive(s)
		runtime.KeepAlive(c.texts)
	}
}
