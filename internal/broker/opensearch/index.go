package opensearch

import (
	"slices"
)

// Index is one searchable index.
type Index struct {
	Name, Class  string
	Field        string // range field, whose value determines the shard of a document
	PartWork     int64  // expected work of a part, in microseconds; 0: unknown
	Ranges       []Range
	Binary       bool  // requests to servers accept partial answers in the binary form
	Placed       bool  // the layout, instead of Ranges, maps ranges to shards
	layoutDomain spans // domain of a placed index at the time of the request
}

// Range maps a span of values of the range field to a shard.
type Range struct {
	Span
	Shard int
}

// domain returns the values of the range field that the index covers.
func (ix Index) domain() spans {
	if ix.Placed {
		return ix.layoutDomain
	}
	var out spans
	for _, r := range ix.Ranges {
		out = append(out, r.Span)
	}
	return union(out)
}

// shards returns the shards that contain any of the given values, sorted and without duplicates.
func (ix Index) shards(want spans) []int {
	var out []int
	for _, r := range ix.Ranges {
		if len(intersect(want, spans{r.Span})) > 0 && !slices.Contains(out, r.Shard) {
			out = append(out, r.Shard)
		}
	}
	slices.Sort(out)
	return out
}
