package merge

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fastjson"
)

// Agg is one aggregation of a client's request, with defaults filled in. ParseAggs returns it.
type Agg struct {
	Name, Kind, Field string
	Subs              []*Agg

	size, shardSize   int     // terms, composite
	minDocCount       int64   // min_doc_count
	byKey, descending bool    // order of the buckets of terms
	interval          float64 // histogram; fixed interval of date_histogram, in milliseconds
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

// MaxBuckets is the maximum number of buckets in one answer: OpenSearch's default of
// search.max_buckets.
const MaxBuckets = 65_535

// millisPerDay is the shortest calendar interval, in milliseconds.
const millisPerDay = 8.64e7

// Limits of one aggregation clause.
const (
	maxDepth = 5      // nesting levels of aggregations
	maxAggs  = 64     // aggregations of one request; percents of one aggregation
	maxSize  = 10_000 // buckets of one terms or composite aggregation; ranges of one aggregation
)

// ErrAggregation is wrapped by the errors for unsupported or invalid aggregations in a client's
// request.
var ErrAggregation = errors.New("aggregation")

func (a *Agg) invalidf(format string, args ...any) error {
	return fmt.Errorf("%w [%s]: %s", ErrAggregation, a.Name, fmt.Sprintf(format, args...))
}

// metricKinds are the kinds without buckets, which cannot have sub-aggregations.
var metricKinds = []string{"sum", "min", "max", "avg", "value_count", "stats", "extended_stats", "cardinality", "percentiles"}

// nextCalendarBucket returns the start of the calendar bucket after the one that starts at ms. Both
// are Unix milliseconds, in UTC.
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

// minStep returns the minimum distance between the keys of two buckets of a histogram.
func (a *Agg) minStep() float64 {
	if a.calendar != "" {
		return millisPerDay
	}
	return a.interval
}
