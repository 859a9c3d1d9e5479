package opensearch

import (
	"cmp"
	"math"
	"slices"
)

// Span is a run of whole numbers, From up to but without To.
type Span struct{ From, To int64 }

// spans is a set of whole numbers as disjoint spans in order: whatever order, overlap or repetition a search
// names its ranges in, the same set comes out.
type spans []Span

var everything = spans{{math.MinInt64, math.MaxInt64}}

func union(sets ...spans) spans {
	var all spans
	for _, s := range sets {
		all = append(all, s...)
	}
	slices.SortFunc(all, func(a, b Span) int { return cmp.Compare(a.From, b.From) })
	var out spans
	for _, s := range all {
		if n := len(out); n > 0 && s.From <= out[n-1].To {
			out[n-1].To = max(out[n-1].To, s.To)
		} else if s.From < s.To {
			out = append(out, s)
		}
	}
	return out
}

func intersect(a, b spans) spans {
	var out spans
	for _, x := range a {
		for _, y := range b {
			if s := (Span{max(x.From, y.From), min(x.To, y.To)}); s.From < s.To {
				out = append(out, s)
			}
		}
	}
	return union(out)
}
