package opensearch

import (
	"cmp"
	"math"
	"saffronquay/internal/broker/layout"
	"slices"
)

// Span is the half-open range [From, To) of integers.
type Span = layout.Span

// spans is a set of integers as sorted, disjoint spans. The form is canonical: equal sets have
// equal spans, regardless of the order, overlap or repetition of a search's ranges.
type spans []Span

// everything is the set of all values.
var everything = spans{{From: math.MinInt64, To: math.MaxInt64}}

// union returns the union of sets.
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

// intersect returns the intersection of two sets, in linear time.
func intersect(a, b spans) spans {
	var out spans
	for i, j := 0, 0; i < len(a) && j < len(b); {
		if s := a[i].Intersect(b[j]); !s.Empty() {
			out = append(out, s)
		}
		if a[i].To < b[j].To {
			i++
		} else {
			j++
		}
	}
	return out
}
