package merge

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

// Agg is one aggregation of a client's request, with its defaults filled in. Make it with ParseAggs.
type Agg struct {
	Name, Kind, Field string
	Subs              []*Agg

	size, shardSize   int     // terms, composite
	minDocCount       int64   // min_doc_count
	byKey, descending bool    // the order of terms' buckets
	interval          float64 // histogram; date_histogram's fixed one, in milliseconds
	offset            float64
	calendar          string    // date_histogram
	percents          []float64 // percentiles
	ranges            []aggRange
	filters           []filter
	sources           []source
	after             []Value // composite
}

type aggRange struct {
	key      string
	from, to *float64
}

type filter struct {
	name  string
	query *fastjson.Value
}

type source struct {
	name, kind, field string
	desc              bool
	interval          float64
}

// MaxBuckets is the most buckets of one answer: the default of search.max_buckets in OpenSearch.
const MaxBuckets = 65_535

// millisPerDay is the shortest calendar interval.
const millisPerDay = 8.64e7

// Bounds of one aggregation clause.
const (
	maxDepth = 5      // levels of sub-aggregations
	maxAggs  = 64     // of one request, and percents of one aggregation
	maxSize  = 10_000 // buckets of one terms or composite aggregation; ranges of one aggregation
)

// ErrAggregation marks an aggregation of a client that is not supported or is invalid.
var ErrAggregation = errors.New("aggregation")

func (a *Agg) invalidf(format string, args ...any) error {
	return fmt.Errorf("%w [%s]: %s", ErrAggregation, a.Name, fmt.Sprintf(format, args...))
}

// metricKinds are the kinds without buckets; they take no sub-aggregations.
var metricKinds = []string{"sum", "min", "max", "avg", "value_count", "stats", "extended_stats", "cardinality", "percentiles"}

// nextCalendarBucket returns the start of the calendar bucket after the one that starts at ms. Both are Unix milliseconds, in UTC.
func nextCalendarBucket(ms int64, unit string) int64 {
	t := time.UnixMilli(ms).UTC()
	switch unit {
	case "day":
		t = t.AddDate(0, 0, 1)
	case "month":
		t = t.AddDate(0, 1, 0)
	default:
		t = t.AddDate(1, 0, 0)
	}
	return t.UnixMilli()
}

// minStep is the least distance between the keys of two buckets of a histogram.
func (a *Agg) minStep() float64 {
	if a.calendar != "" {
		return millisPerDay
	}
	return a.interval
}
