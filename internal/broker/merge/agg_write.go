package merge

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/influxdata/tdigest"
)

// writer writes the end of aggregations, within the bound on buckets.
type writer struct {
	b     []byte
	left  int // buckets that may still be written
	first error
}

func (w *writer) all(aggs []*Agg, nodes []*node) {
	for i, a := range aggs {
		if i > 0 {
			w.b = append(w.b, ',')
		}
		w.b = append(appendString(w.b, a.Name), ':', '{')
		w.node(a, nodes[i])
		w.b = append(w.b, '}')
	}
}

func (w *writer) key(name string) { w.b = append(appendString(w.b, name), ':') }

// number writes a figure, or null where there is none.
func (w *writer) number(name string, f float64, some bool) {
	if len(w.b) > 0 && w.b[len(w.b)-1] != '{' {
		w.b = append(w.b, ',')
	}
	if w.key(name); !some || math.IsNaN(f) || math.IsInf(f, 0) {
		w.b = append(w.b, "null"...)
		return
	}
	w.b = appendFloat(w.b, f)
}

func (w *writer) node(a *Agg, n *node) {
	some := n.count > 0
	switch a.Kind {
	case "value_count":
		w.key("value")
		w.b = strconv.AppendInt(w.b, n.count, 10)
	case "sum":
		w.number("value", n.sum.value(), true)
	case "min":
		w.number("value", n.min, some)
	case "max":
		w.number("value", n.max, some)
	case "avg":
		w.number("value", n.sum.value()/float64(n.count), some)
	case "stats", "extended_stats":
		w.stats(a, n)
	case "cardinality":
		w.key("value")
		if n.sketch == nil {
			w.b = append(w.b, '0')
		} else {
			w.b = strconv.AppendUint(w.b, n.sketch.Estimate(), 10)
		}
	case "percentiles":
		w.percentiles(a, n)
	case "filter":
		b := n.buckets["[]"]
		if b == nil {
			b = &bucket{subs: blank(a.Subs)}
		}
		w.count(a, b)
	case "filters":
		w.filters(a, n)
	default:
		w.buckets(a, n)
	}
}

func (w *writer) stats(a *Agg, n *node) {
	some, count, sum := n.count > 0, float64(n.count), n.sum.value()
	w.key("count")
	w.b = strconv.AppendInt(w.b, n.count, 10)
	w.number("min", n.min, some)
	w.number("max", n.max, some)
	w.number("avg", sum/count, some)
	w.number("sum", sum, true)
	if a.Kind == "stats" {
		return
	}
	sq := n.sq.value()
	variance := math.Max(0, (sq-sum*sum/count)/count)
	w.number("sum_of_squares", sq, some)
	w.number("variance", variance, some)
	w.number("std_deviation", math.Sqrt(variance), some)
	w.b = append(w.b, `,"std_deviation_bounds":{`...)
	w.number("upper", sum/count+2*math.Sqrt(variance), some)
	w.number("lower", sum/count-2*math.Sqrt(variance), some)
	w.b = append(w.b, '}')
}

// percentiles builds one digest of all parts' centroids, in one order, so that the order of arrival does not matter.
func (w *writer) percentiles(a *Agg, n *node) {
	cs := slices.Clone(n.centroids)
	slices.SortFunc(cs, func(x, y centroid) int { return cmp.Or(cmp.Compare(x.mean, y.mean), cmp.Compare(x.weight, y.weight)) })
	d := tdigest.NewWithCompression(200)
	for _, c := range cs {
		d.Add(c.mean, c.weight)
	}
	w.b = append(w.b, `"values":{`...)
	for _, p := range a.percents {
		w.number(percentName(p), d.Quantile(p/100), len(cs) > 0)
	}
	w.b = append(w.b, '}')
}

func percentName(p float64) string {
	if p == math.Trunc(p) {
		return strconv.FormatFloat(p, 'f', 1, 64)
	}
	return strconv.FormatFloat(p, 'g', -1, 64)
}

func (w *writer) filters(a *Agg, n *node) {
	w.b = append(w.b, `"buckets":{`...)
	for i, f := range a.filters {
		if i > 0 {
			w.b = append(w.b, ',')
		}
		w.key(f.name)
		b := n.buckets[string(AppendValues(nil, []Value{String(f.name)}))]
		if b == nil {
			b = &bucket{subs: blank(a.Subs)}
		}
		w.b = append(w.b, '{')
		w.count(a, b)
		w.b = append(w.b, '}')
	}
	w.b = append(w.b, '}')
}

// count writes a bucket's count and what is under it.
func (w *writer) count(a *Agg, b *bucket) {
	if w.left--; w.left < 0 && w.first == nil {
		w.first = fmt.Errorf("%w: more than %d", ErrBuckets, MaxBuckets)
	}
	w.key("doc_count")
	w.b = strconv.AppendInt(w.b, b.count, 10)
	if len(a.Subs) > 0 {
		w.b = append(w.b, ',')
		w.all(a.Subs, b.subs)
	}
}

func (w *writer) buckets(a *Agg, n *node) {
	list, err := a.ordered(n)
	if err != nil && w.first == nil {
		w.first = err
	}
	switch a.Kind {
	case "terms":
		other := n.other
		for _, b := range list[min(a.size, len(list)):] {
			other += b.count
		}
		list = list[:min(a.size, len(list))]
		w.b = fmt.Appendf(w.b, `"doc_count_error_upper_bound":%d,"sum_other_doc_count":%d,`, n.bound, other)
	case "composite":
		if list = list[:min(a.size, len(list))]; len(list) > 0 {
			w.b = append(a.appendKey(append(w.b, `"after_key":`...), list[len(list)-1].key), ',')
		}
	case "range":
		list = a.everyRange(n)
	case "histogram", "date_histogram":
		list = w.filled(a, list)
	}
	w.b = append(w.b, `"buckets":[`...)
	for i, b := range list {
		if i > 0 {
			w.b = append(w.b, ',')
		}
		w.b = append(w.b, '{')
		w.bucketKey(a, b)
		w.count(a, b)
		if w.b = append(w.b, '}'); w.first != nil {
			break
		}
	}
	w.b = append(w.b, ']')
}

func (w *writer) bucketKey(a *Agg, b *bucket) {
	w.key("key")
	switch a.Kind {
	case "composite":
		w.b = a.appendKey(w.b, b.key)
	case "date_histogram":
		w.b = b.key[0].append(w.b)
		at := time.UnixMilli(b.key[0].i).UTC().Format("2006-01-02T15:04:05.000Z")
		w.b = fmt.Appendf(w.b, `,"key_as_string":%q`, at)
	case "range":
		w.b = b.key[0].append(w.b)
		for _, r := range a.ranges {
			if r.key == b.key[0].s {
				if r.from != nil {
					w.number("from", *r.from, true)
				}
				if r.to != nil {
					w.number("to", *r.to, true)
				}
			}
		}
	default:
		w.b = b.key[0].append(w.b)
	}
	w.b = append(w.b, ',')
}

// ordered lists buckets in their order; keys of kinds without a common order are an error that names the aggregation.
func (a *Agg) ordered(n *node) ([]*bucket, error) {
	list := make([]*bucket, 0, len(n.buckets))
	kinds := map[int]Kind{}
	for _, b := range n.buckets {
		for i, v := range b.key {
			if k, ok := kinds[i]; ok && k != v.Kind {
				return nil, &MixedError{a.Name, min(k, v.Kind), max(k, v.Kind)}
			}
			kinds[i] = v.Kind
		}
		list = append(list, b)
	}
	slices.SortFunc(list, func(x, y *bucket) int {
		if a.Kind == "terms" && !a.byKey && x.count != y.count {
			return cmp.Compare(y.count, x.count)
		}
		for i := range x.key {
			if c := x.key[i].compare(y.key[i]); c != 0 {
				if a.Kind == "terms" && a.byKey && a.desc || a.Kind == "composite" && a.sources[i].desc {
					return -c
				}
				return c
			}
		}
		return 0
	})
	return list, nil
}

// everyRange lists the ranges as they were asked for.
func (a *Agg) everyRange(n *node) (list []*bucket) {
	for _, r := range a.ranges {
		key := []Value{String(r.key)}
		b := n.buckets[string(AppendValues(nil, key))]
		if b == nil {
			b = &bucket{key: key, subs: blank(a.Subs)}
		}
		list = append(list, b)
	}
	return list
}

// filled puts empty buckets between the others, or leaves those out that have too few documents.
func (w *writer) filled(a *Agg, list []*bucket) []*bucket {
	if a.least > 0 || len(list) == 0 {
		return slices.DeleteFunc(list, func(b *bucket) bool { return b.count < a.least })
	}
	at := func(b *bucket) float64 {
		if v := b.key[0]; !v.whole {
			return v.f
		}
		return float64(b.key[0].i)
	}
	var out []*bucket
	for i, b := range list {
		if out = append(out, b); i == len(list)-1 {
			break
		}
		end, k := at(list[i+1]), at(b)
		for n := 1.0; ; n++ {
			if a.calendar != "" {
				k = float64(nextDate(int64(k), a.calendar))
			} else { // as servers reckon it, so that keys are the same to the last bit
				k = (math.Round((at(b)-a.offset)/a.interval)+n)*a.interval + a.offset
			}
			if k >= end-a.step()/2 {
				break
			}
			if out = append(out, &bucket{key: []Value{Float(k)}, subs: blank(a.Subs)}); len(out) > MaxBuckets {
				if w.first == nil {
					w.first = fmt.Errorf("%w: [%s] has more than %d", ErrBuckets, a.Name, MaxBuckets)
				}
				return nil
			}
		}
	}
	return out
}

// step is the least distance between two buckets.
func (a *Agg) step() float64 {
	if a.calendar != "" {
		return 8.64e7
	}
	return a.interval
}
