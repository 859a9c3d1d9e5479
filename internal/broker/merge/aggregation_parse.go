package merge

import (
	"fmt"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// ParseAggs parses an aggregation clause. Errors wrap ErrAggregation and name the clause that is
// invalid or unsupported. The aggregations retain references to v, which must outlive them.
func ParseAggs(v *fastjson.Value) ([]*Agg, error) {
	n := 0
	return parseAggs(v, 1, &n)
}

func parseAggs(v *fastjson.Value, depth int, n *int) (out []*Agg, err error) {
	o, err := v.Object()
	if err != nil {
		return nil, fmt.Errorf("%w: must be an object of named aggregations", ErrAggregation)
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("%w: nested more than %d levels deep", ErrAggregation, maxDepth)
	}
	err = visitAll(o, func(name string, v *fastjson.Value) error {
		if *n++; *n > maxAggs {
			return fmt.Errorf("%w [%s]: more than %d aggregations in one search", ErrAggregation, name, maxAggs)
		}
		a := &Agg{Name: name}
		out = append(out, a)
		return a.parse(v, depth, n)
	})
	return out, err
}

// visitAll calls f for the keys of an object in order, up to the first error. A duplicate key is an
// error.
func visitAll(o *fastjson.Object, f func(string, *fastjson.Value) error) (err error) {
	var seen []string
	o.Visit(func(k []byte, v *fastjson.Value) {
		key := string(k)
		if err == nil && slices.Contains(seen, key) {
			err = fmt.Errorf("%w: duplicate key [%s]", ErrAggregation, key)
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
		return a.invalidf("must be an object")
	}
	err = visitAll(o, func(key string, v *fastjson.Value) error {
		switch {
		case key == "aggs" || key == "aggregations":
			subs, err := parseAggs(v, depth+1, n)
			a.Subs = append(a.Subs, subs...)
			return err
		case a.Kind != "":
			return a.invalidf("found two aggregation kinds, [%s] and [%s]", a.Kind, key)
		}
		a.Kind = key
		return a.parseParameters(v)
	})
	switch {
	case err != nil:
		return err
	case a.Kind == "":
		return a.invalidf("missing aggregation kind")
	case len(a.Subs) > 0 && slices.Contains(metricKinds, a.Kind):
		return a.invalidf("[%s] does not accept sub-aggregations", a.Kind)
	}
	return nil
}

// parseParameters sets the defaults of a kind and parses its parameters.
func (a *Agg) parseParameters(v *fastjson.Value) error {
	switch a.Kind {
	case "terms":
		a.size, a.minDocCount = 10, 1
	case "composite":
		a.size = 10
	case "percentiles":
		a.percents = []float64{1, 5, 25, 50, 75, 95, 99}
	case "filter":
		a.filters = []filter{{"", v}}
		return nil
	case "histogram", "date_histogram", "range", "filters":
	default:
		if !slices.Contains(metricKinds, a.Kind) {
			return a.invalidf("unsupported kind [%s]", a.Kind)
		}
	}
	o, err := v.Object()
	if err != nil {
		return a.invalidf("[%s] must be an object", a.Kind)
	}
	if err := visitAll(o, a.parseParameter); err != nil {
		return err
	}
	return a.validate()
}

func (a *Agg) parseParameter(key string, v *fastjson.Value) error {
	integer := func(into *int, least, most int) error {
		n, err := v.Int()
		if *into = n; err != nil || n < least || n > most {
			return a.invalidf("[%s] must be an integer from %d to %d", key, least, most)
		}
		return nil
	}
	number := func(into *float64) error {
		f, err := parseFloat(v)
		if *into = f; err != nil || f > 1e300 || f < -1e300 {
			return a.invalidf("[%s] must be a number", key)
		}
		return nil
	}
	switch at := a.Kind + "." + key; {
	case key == "field" && a.Kind != "filters" && a.Kind != "composite":
		a.Field = string(v.GetStringBytes())
		return nil
	case at == "terms.size", at == "composite.size":
		return integer(&a.size, 1, maxSize)
	case at == "terms.shard_size":
		return integer(&a.shardSize, 1, maxSize)
	case at == "terms.min_doc_count", at == "histogram.min_doc_count", at == "date_histogram.min_doc_count":
		n := 0
		err := integer(&n, 0, 1<<30)
		if a.minDocCount = int64(n); a.Kind == "terms" && n != 1 {
			return a.invalidf("unsupported value for [min_doc_count] of [terms]: must be 1")
		}
		return err
	case at == "terms.order":
		return a.parseOrder(v)
	case at == "histogram.interval":
		return number(&a.interval)
	case at == "histogram.offset":
		return number(&a.offset)
	case at == "date_histogram.fixed_interval":
		return a.parseFixedInterval(string(v.GetStringBytes()))
	case at == "date_histogram.calendar_interval":
		a.calendar = string(v.GetStringBytes())
		if !slices.Contains([]string{"day", "1d", "month", "1M", "year", "1y"}, a.calendar) {
			return a.invalidf("unsupported [calendar_interval] [%s]: must be day, month or year", a.calendar)
		}
		a.calendar = strings.NewReplacer("1d", "day", "1M", "month", "1y", "year").Replace(a.calendar)
		return nil
	case at == "percentiles.percents":
		return a.parsePercents(v)
	case at == "range.ranges":
		return a.parseRanges(v)
	case at == "filters.filters":
		o, err := v.Object()
		if err != nil {
			return a.invalidf("[filters] must be an object of named queries")
		}
		return visitAll(o, func(name string, q *fastjson.Value) error {
			a.filters = append(a.filters, filter{name, q})
			return nil
		})
	case at == "composite.sources":
		return a.parseSources(v)
	case at == "composite.after":
		return a.parseAfter(v)
	}
	return a.invalidf("unsupported parameter [%s] of [%s]", key, a.Kind)
}

// validate checks the parameters of the aggregation against each other, and sets the default shard
// size of terms.
func (a *Agg) validate() error {
	switch {
	case a.Field == "" && a.Kind != "filters" && a.Kind != "composite":
		return a.invalidf("[%s] requires [field]", a.Kind)
	case a.Kind == "histogram" && !(a.interval > 0), a.Kind == "date_histogram" && !(a.interval > 0) && a.calendar == "":
		return a.invalidf("[%s] requires an interval greater than 0", a.Kind)
	case a.interval > 0 && a.calendar != "":
		return a.invalidf("[%s] accepts only one of [fixed_interval] and [calendar_interval]", a.Kind)
	case a.Kind == "range" && len(a.ranges) == 0, a.Kind == "filters" && len(a.filters) == 0, a.Kind == "composite" && len(a.sources) == 0:
		return a.invalidf("[%s] requires at least one range, filter or source", a.Kind)
	case a.after != nil && len(a.after) != len(a.sources):
		return a.invalidf("[after] has %d values but there are %d sources", len(a.after), len(a.sources))
	}
	if a.Kind == "terms" {
		if a.shardSize == 0 {
			a.shardSize = a.size + a.size/2 + 10 // OpenSearch's default
		}
		a.shardSize = max(a.shardSize, a.size)
	}
	return nil
}

func (a *Agg) parseOrder(v *fastjson.Value) error {
	o, err := v.Object()
	if err != nil || o.Len() != 1 {
		return a.invalidf("[order] must be an object with one key")
	}
	return visitAll(o, func(key string, v *fastjson.Value) error {
		dir := string(v.GetStringBytes())
		switch {
		case key == "_key" && (dir == "asc" || dir == "desc"):
			a.byKey, a.descending = true, dir == "desc"
		case key == "_count" && dir == "desc":
		default:
			return a.invalidf("unsupported order [%s %s]: must be _count desc or _key", key, dir)
		}
		return nil
	})
}

func (a *Agg) parseFixedInterval(text string) error {
	for unit, ms := range map[string]float64{"ms": 1, "s": 1e3, "m": 6e4, "h": 3.6e6, "d": 8.64e7} {
		var n int
		var u string
		if _, err := fmt.Sscanf(text, "%d%s", &n, &u); err == nil && u == unit && n > 0 {
			a.interval = float64(n) * ms
			return nil
		}
	}
	return a.invalidf("[fixed_interval] must be a number with unit ms, s, m, h or d, got [%s]", text)
}

func (a *Agg) parsePercents(v *fastjson.Value) error {
	a.percents = nil
	for _, x := range v.GetArray() {
		f, err := parseFloat(x)
		if err != nil || !(f >= 0 && f <= 100) {
			return a.invalidf("[percents] must be numbers from 0 to 100")
		}
		a.percents = append(a.percents, f)
	}
	if len(a.percents) == 0 || len(a.percents) > maxAggs {
		return a.invalidf("[percents] must have 1 to %d numbers", maxAggs)
	}
	return nil
}

func (a *Agg) parseRanges(v *fastjson.Value) error {
	for _, x := range v.GetArray() {
		r, err := a.parseRange(x)
		if err != nil {
			return err
		}
		if slices.ContainsFunc(a.ranges, func(other aggRange) bool { return other.key == r.key }) {
			return a.invalidf("duplicate range [%s]", r.key)
		}
		a.ranges = append(a.ranges, r)
	}
	if len(a.ranges) > maxSize {
		return a.invalidf("more than %d ranges", maxSize)
	}
	return nil
}

// parseRange parses one range. The default key of a range is FROM-TO, with * for an open end, as in
// OpenSearch.
func (a *Agg) parseRange(v *fastjson.Value) (aggRange, error) {
	from, fromName, err := a.parseRangeBound(v, "from")
	if err != nil {
		return aggRange{}, err
	}
	to, toName, err := a.parseRangeBound(v, "to")
	if err != nil {
		return aggRange{}, err
	}
	r := aggRange{key: string(v.GetStringBytes("key")), from: from, to: to}
	if r.key == "" {
		r.key = fromName + "-" + toName
	}
	return r, nil
}

// parseRangeBound parses one bound of a range and returns it with its text. A missing bound is nil,
// with the text *.
func (a *Agg) parseRangeBound(v *fastjson.Value, bound string) (*float64, string, error) {
	b := v.Get(bound)
	if b == nil {
		return nil, "*", nil
	}
	f, err := parseFloat(b)
	if err != nil {
		return nil, "", a.invalidf("[%s] of a range must be a number", bound)
	}
	return &f, string(appendFloat(nil, f)), nil
}

func (a *Agg) parseSources(v *fastjson.Value) error {
	for _, x := range v.GetArray() {
		o, err := x.Object()
		if err != nil || o.Len() != 1 {
			return a.invalidf("[sources] must be objects with one name")
		}
		err = visitAll(o, func(name string, v *fastjson.Value) error {
			s := source{name: name}
			inner, err := v.Object()
			if err != nil || inner.Len() != 1 {
				return a.invalidf("source [%s] must have one kind", name)
			}
			a.sources = append(a.sources, s)
			return visitAll(inner, func(kind string, v *fastjson.Value) error { return a.parseSource(len(a.sources)-1, kind, v) })
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *Agg) parseSource(i int, kind string, v *fastjson.Value) error {
	s := &a.sources[i]
	s.kind, s.field = kind, string(v.GetStringBytes("field"))
	s.interval, _ = parseFloat(v.Get("interval")) // 0 if not a number, which is rejected below for a histogram
	s.desc = string(v.GetStringBytes("order")) == "desc"
	o, err := v.Object()
	if err != nil || s.field == "" || kind != "terms" && kind != "histogram" || kind == "histogram" && !(s.interval > 0) {
		return a.invalidf("source [%s] must be terms with a field, or a histogram with a field and an interval", s.name)
	}
	return visitAll(o, func(key string, _ *fastjson.Value) error {
		if key == "field" || key == "order" || key == "interval" && kind == "histogram" {
			return nil
		}
		return a.invalidf("unsupported parameter [%s] of source [%s]", key, s.name)
	})
}

// parseAfter parses the key of the last bucket of the previous page. It may precede or follow the
// sources in the request.
func (a *Agg) parseAfter(v *fastjson.Value) error {
	o, err := v.Object()
	if err != nil {
		return a.invalidf("[after] must be an object")
	}
	return visitAll(o, func(name string, v *fastjson.Value) error {
		x, err := parseValue(v)
		if err != nil || x.Kind == Missing {
			return a.invalidf("[after] has no valid value for [%s]", name)
		}
		a.after = append(a.after, x)
		return nil
	})
}
