package merge

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

// Agg is one aggregation of a query, as its client asked for it.
type Agg struct {
	Name, Kind, Field string
	Subs              []*Agg

	size, shardSize int     // terms, composite
	least           int64   // min_doc_count
	byKey, desc     bool    // the order of terms' buckets
	interval        float64 // histogram; date_histogram's fixed one, in milliseconds
	offset          float64
	calendar        string    // date_histogram
	percents        []float64 // percentiles
	ranges          []aggRange
	filters         []filter
	sources         []source
	after           []Value // composite
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

// The bounds of aggregations.
const (
	maxDepth   = 5
	maxAggs    = 64
	MaxBuckets = 65_535 // of one answer, as search.max_buckets is by default
	maxSize    = 10_000 // of one list of terms
)

// ErrAgg marks an aggregation that is not supported or makes no sense.
var ErrAgg = errors.New("aggregation")

func (a *Agg) bad(format string, args ...any) error {
	return fmt.Errorf("%w [%s]: %s", ErrAgg, a.Name, fmt.Sprintf(format, args...))
}

var metrics = []string{"sum", "min", "max", "avg", "value_count", "stats", "extended_stats", "cardinality", "percentiles"}

// ParseAggs reads an aggregation clause. What is not supported is refused by name. The values read stay in use.
func ParseAggs(v *fastjson.Value) ([]*Agg, error) {
	n := 0
	return parseAggs(v, 1, &n)
}

func parseAggs(v *fastjson.Value, depth int, n *int) (out []*Agg, err error) {
	o, err := v.Object()
	if err != nil {
		return nil, fmt.Errorf("%w: want an object of named aggregations", ErrAgg)
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("%w: more than %d levels", ErrAgg, maxDepth)
	}
	err = visitAll(o, func(name string, v *fastjson.Value) error {
		if *n++; *n > maxAggs {
			return fmt.Errorf("%w [%s]: more than %d in one search", ErrAgg, name, maxAggs)
		}
		a := &Agg{Name: name}
		out = append(out, a)
		return a.parse(v, depth, n)
	})
	return out, err
}

// visitAll goes through an object's keys in order, up to the first error; a key that is named twice is one.
func visitAll(o *fastjson.Object, f func(string, *fastjson.Value) error) (err error) {
	var seen []string
	o.Visit(func(k []byte, v *fastjson.Value) {
		key := string(k)
		if err == nil && slices.Contains(seen, key) {
			err = fmt.Errorf("%w: duplicate key [%s]", ErrAgg, key)
		}
		if seen = append(seen, key); err == nil {
			err = f(key, v)
		}
	})
	return err
}

func (a *Agg) parse(v *fastjson.Value, depth int, n *int) error {
	o, err := v.Object()
	if err != nil {
		return a.bad("want an object")
	}
	err = visitAll(o, func(key string, v *fastjson.Value) error {
		switch {
		case key == "aggs" || key == "aggregations":
			subs, err := parseAggs(v, depth+1, n)
			a.Subs = append(a.Subs, subs...)
			return err
		case a.Kind != "":
			return a.bad("two kinds, [%s] and [%s]", a.Kind, key)
		}
		a.Kind = key
		return a.params(v)
	})
	switch {
	case err != nil:
		return err
	case a.Kind == "":
		return a.bad("no kind")
	case len(a.Subs) > 0 && slices.Contains(metrics, a.Kind):
		return a.bad("[%s] has no sub-aggregations", a.Kind)
	}
	return nil
}

// params reads the parameters of a kind.
func (a *Agg) params(v *fastjson.Value) error {
	switch a.Kind {
	case "terms":
		a.size, a.least = 10, 1
	case "composite":
		a.size = 10
	case "percentiles":
		a.percents = []float64{1, 5, 25, 50, 75, 95, 99}
	case "filter":
		a.filters = []filter{{"", v}}
		return nil
	case "histogram", "date_histogram", "range", "filters":
	default:
		if !slices.Contains(metrics, a.Kind) {
			return a.bad("unsupported kind [%s]", a.Kind)
		}
	}
	o, err := v.Object()
	if err != nil {
		return a.bad("[%s] wants an object", a.Kind)
	}
	if err := visitAll(o, a.param); err != nil {
		return err
	}
	return a.settle()
}

func (a *Agg) param(key string, v *fastjson.Value) error {
	whole := func(into *int, least, most int) error {
		n, err := v.Int()
		if *into = n; err != nil || n < least || n > most {
			return a.bad("[%s] wants a whole number from %d to %d", key, least, most)
		}
		return nil
	}
	number := func(into *float64) error {
		f, err := parseFloat(v)
		if *into = f; err != nil || f > 1e300 || f < -1e300 {
			return a.bad("[%s] wants a number", key)
		}
		return nil
	}
	switch at := a.Kind + "." + key; {
	case key == "field" && a.Kind != "filters" && a.Kind != "composite":
		a.Field = string(v.GetStringBytes())
		return nil
	case at == "terms.size", at == "composite.size":
		return whole(&a.size, 1, maxSize)
	case at == "terms.shard_size":
		return whole(&a.shardSize, 1, maxSize)
	case at == "terms.min_doc_count", at == "histogram.min_doc_count", at == "date_histogram.min_doc_count":
		n := 0
		err := whole(&n, 0, 1<<30)
		if a.least = int64(n); a.Kind == "terms" && n != 1 {
			return a.bad("unsupported value for [min_doc_count] of terms: want 1")
		}
		return err
	case at == "terms.order":
		return a.order(v)
	case at == "histogram.interval":
		return number(&a.interval)
	case at == "histogram.offset":
		return number(&a.offset)
	case at == "date_histogram.fixed_interval":
		return a.fixed(string(v.GetStringBytes()))
	case at == "date_histogram.calendar_interval":
		a.calendar = string(v.GetStringBytes())
		if !slices.Contains([]string{"day", "1d", "month", "1M", "year", "1y"}, a.calendar) {
			return a.bad("unsupported [calendar_interval] [%s]: want day, month or year", a.calendar)
		}
		a.calendar = strings.NewReplacer("1d", "day", "1M", "month", "1y", "year").Replace(a.calendar)
		return nil
	case at == "percentiles.percents":
		return a.percentList(v)
	case at == "range.ranges":
		return a.rangeList(v)
	case at == "filters.filters":
		o, err := v.Object()
		if err != nil {
			return a.bad("[filters] wants an object of named queries")
		}
		return visitAll(o, func(name string, q *fastjson.Value) error {
			a.filters = append(a.filters, filter{name, q})
			return nil
		})
	case at == "composite.sources":
		return a.sourceList(v)
	case at == "composite.after":
		return a.afterKey(v)
	}
	return a.bad("unsupported parameter [%s] of [%s]", key, a.Kind)
}

// settle judges the parameters together.
func (a *Agg) settle() error {
	switch {
	case a.Field == "" && a.Kind != "filters" && a.Kind != "composite":
		return a.bad("[%s] wants a field", a.Kind)
	case a.Kind == "histogram" && !(a.interval > 0), a.Kind == "date_histogram" && !(a.interval > 0) && a.calendar == "":
		return a.bad("[%s] wants an interval above nought", a.Kind)
	case a.interval > 0 && a.calendar != "":
		return a.bad("[%s] wants one interval", a.Kind)
	case a.Kind == "range" && len(a.ranges) == 0, a.Kind == "filters" && len(a.filters) == 0, a.Kind == "composite" && len(a.sources) == 0:
		return a.bad("[%s] wants at least one", a.Kind)
	case a.after != nil && len(a.after) != len(a.sources):
		return a.bad("[after] has %d values, where there are %d sources", len(a.after), len(a.sources))
	}
	if a.Kind == "terms" {
		if a.shardSize == 0 {
			a.shardSize = a.size + a.size/2 + 10 // as OpenSearch has it
		}
		a.shardSize = max(a.shardSize, a.size)
	}
	return nil
}

func (a *Agg) order(v *fastjson.Value) error {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return a.bad("[order] wants an object of one key")
	}
	return visitAll(o, func(key string, v *fastjson.Value) error {
		dir := string(v.GetStringBytes())
		switch {
		case key == "_key" && (dir == "asc" || dir == "desc"):
			a.byKey, a.desc = true, dir == "desc"
		case key == "_count" && dir == "desc":
		default:
			return a.bad("unsupported order [%s %s]: want _count desc or _key", key, dir)
		}
		return nil
	})
}

func (a *Agg) fixed(text string) error {
	for unit, ms := range map[string]float64{"ms": 1, "s": 1e3, "m": 6e4, "h": 3.6e6, "d": 8.64e7} {
		var n int
		var u string
		if _, err := fmt.Sscanf(text, "%d%s", &n, &u); err == nil && u == unit && n > 0 {
			a.interval = float64(n) * ms
			return nil
		}
	}
	return a.bad("[fixed_interval] wants a number and ms, s, m, h or d, not [%s]", text)
}

func (a *Agg) percentList(v *fastjson.Value) error {
	a.percents = nil
	for _, x := range v.GetArray() {
		f, err := parseFloat(x)
		if err != nil || !(f >= 0 && f <= 100) {
			return a.bad("[percents] wants numbers from 0 to 100")
		}
		a.percents = append(a.percents, f)
	}
	if len(a.percents) == 0 || len(a.percents) > maxAggs {
		return a.bad("[percents] wants 1 to %d numbers", maxAggs)
	}
	return nil
}

func (a *Agg) rangeList(v *fastjson.Value) error {
	for _, x := range v.GetArray() {
		r := aggRange{key: string(x.GetStringBytes("key"))}
		names := []string{"*", "*"}
		for i, bound := range []string{"from", "to"} {
			if b := x.Get(bound); b != nil {
				f, err := parseFloat(b)
				if err != nil {
					return a.bad("[%s] of a range wants a number", bound)
				}
				names[i] = string(appendFloat(nil, f))
				if i == 0 {
					r.from = &f
				} else {
					r.to = &f
				}
			}
		}
		if r.key == "" {
			r.key = names[0] + "-" + names[1]
		}
		for _, other := range a.ranges {
			if other.key == r.key {
				return a.bad("range [%s] is named twice", r.key)
			}
		}
		a.ranges = append(a.ranges, r)
	}
	if len(a.ranges) > maxSize {
		return a.bad("more than %d ranges", maxSize)
	}
	return nil
}

func (a *Agg) sourceList(v *fastjson.Value) error {
	for _, x := range v.GetArray() {
		o, err := x.Object()
		if err != nil || o.Len() != 1 {
			return a.bad("[sources] wants objects of one name")
		}
		err = visitAll(o, func(name string, v *fastjson.Value) error {
			s := source{name: name}
			inner, err := v.Object()
			if err != nil || inner.Len() != 1 {
				return a.bad("source [%s] wants one kind", name)
			}
			a.sources = append(a.sources, s)
			return visitAll(inner, func(kind string, v *fastjson.Value) error { return a.source(len(a.sources)-1, kind, v) })
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *Agg) source(i int, kind string, v *fastjson.Value) error {
	s := &a.sources[i]
	s.kind, s.field = kind, string(v.GetStringBytes("field"))
	s.interval, _ = parseFloat(v.Get("interval")) // one that is none is nought, which is judged
	s.desc = string(v.GetStringBytes("order")) == "desc"
	o, err := v.Object()
	if err != nil || s.field == "" || kind != "terms" && kind != "histogram" || kind == "histogram" && !(s.interval > 0) {
		return a.bad("source [%s] wants terms of a field, or a histogram of one with its interval", s.name)
	}
	return visitAll(o, func(key string, _ *fastjson.Value) error {
		if key == "field" || key == "order" || key == "interval" && kind == "histogram" {
			return nil
		}
		return a.bad("unsupported parameter [%s] of source [%s]", key, s.name)
	})
}

// afterKey reads the key of the last bucket of the page before; it comes before or after the sources.
func (a *Agg) afterKey(v *fastjson.Value) error {
	o, err := v.Object()
	if err != nil {
		return a.bad("[after] wants an object")
	}
	return visitAll(o, func(name string, v *fastjson.Value) error {
		x, err := parseValue(v)
		if err != nil || x.Kind == Missing {
			return a.bad("[after] [%s] wants a value", name)
		}
		a.after = append(a.after, x)
		return nil
	})
}

// nextDate is the calendar bucket after one, both in milliseconds of UTC.
func nextDate(ms int64, unit string) int64 {
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
