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

// digestCompression is the compression of the t-digest that merges percentiles.
const digestCompression = 200

// writer encodes the merged aggregations as JSON. If there are more than MaxBuckets buckets, it
// sets err and the output must be discarded.
type writer struct {
	out       []byte
	remaining int // number of buckets that may still be written
	err       error
}

func (w *writer) writeAll(aggs []*Agg, nodes []*node) {
	for i, a := range aggs {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		w.out = append(appendString(w.out, a.Name), ':', '{')
		w.writeNode(a, nodes[i])
		w.out = append(w.out, '}')
	}
}

func (w *writer) writeKey(name string) { w.out = append(appendString(w.out, name), ':') }

// writeNumber writes a key and a number, or null if some is false or the number is not finite.
func (w *writer) writeNumber(name string, f float64, some bool) {
	if len(w.out) > 0 && w.out[len(w.out)-1] != '{' {
		w.out = append(w.out, ',')
	}
	if w.writeKey(name); !some || math.IsNaN(f) || math.IsInf(f, 0) {
		w.out = append(w.out, "null"...)
		return
	}
	w.out = appendFloat(w.out, f)
}

func (w *writer) writeNode(a *Agg, n *node) {
	some := n.count > 0
	switch a.Kind {
	case "value_count":
		w.writeKey("value")
		w.out = strconv.AppendInt(w.out, n.count, 10)
	case "sum":
		w.writeNumber("value", n.sum.value(), true)
	case "min":
		w.writeNumber("value", n.min, some)
	case "max":
		w.writeNumber("value", n.max, some)
	case "avg":
		w.writeNumber("value", n.sum.value()/float64(n.count), some)
	case "stats", "extended_stats":
		w.writeStats(a, n)
	case "cardinality":
		w.writeKey("value")
		if n.sketch == nil {
			w.out = append(w.out, '0')
		} else {
			w.out = strconv.AppendUint(w.out, n.sketch.Estimate(), 10)
		}
	case "percentiles":
		w.writePercentiles(a, n)
	case "filter":
		b := n.buckets["[]"]
		if b == nil {
			b = &bucket{subs: newNodes(a.Subs)}
		}
		w.writeCount(a, b)
	case "filters":
		w.writeFilters(a, n)
	default:
		w.writeBuckets(a, n)
	}
}

func (w *writer) writeStats(a *Agg, n *node) {
	some, count, sum := n.count > 0, float64(n.count), n.sum.value()
	w.writeKey("count")
	w.out = strconv.AppendInt(w.out, n.count, 10)
	w.writeNumber("min", n.min, some)
	w.writeNumber("max", n.max, some)
	w.writeNumber("avg", sum/count, some)
	w.writeNumber("sum", sum, true)
	if a.Kind == "stats" {
		return
	}
	sq := n.sumOfSquares.value()
	variance := math.Max(0, (sq-sum*sum/count)/count)
	w.writeNumber("sum_of_squares", sq, some)
	w.writeNumber("variance", variance, some)
	w.writeNumber("std_deviation", math.Sqrt(variance), some)
	w.out = append(w.out, `,"std_deviation_bounds":{`...)
	w.writeNumber("upper", sum/count+2*math.Sqrt(variance), some)
	w.writeNumber("lower", sum/count-2*math.Sqrt(variance), some)
	w.out = append(w.out, '}')
}

// writePercentiles builds one digest from the centroids of all parts. It sorts them first, so that
// the result does not depend on the order of arrival.
func (w *writer) writePercentiles(a *Agg, n *node) {
	cs := slices.Clone(n.centroids)
	slices.SortFunc(cs, func(x, y centroid) int { return cmp.Or(cmp.Compare(x.mean, y.mean), cmp.Compare(x.weight, y.weight)) })
	d := tdigest.NewWithCompression(digestCompression)
	for _, c := range cs {
		d.Add(c.mean, c.weight)
	}
	w.out = append(w.out, `"values":{`...)
	for _, p := range a.percents {
		w.writeNumber(percentName(p), d.Quantile(p/100), len(cs) > 0)
	}
	w.out = append(w.out, '}')
}

// percentName returns the key of a percentile in the answer, in OpenSearch's format: 50.0, 99.9.
func percentName(p float64) string {
	if p == math.Trunc(p) {
		return strconv.FormatFloat(p, 'f', 1, 64)
	}
	return strconv.FormatFloat(p, 'g', -1, 64)
}

func (w *writer) writeFilters(a *Agg, n *node) {
	w.out = append(w.out, `"buckets":{`...)
	for i, f := range a.filters {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		w.writeKey(f.name)
		b := n.buckets[string(AppendValues(nil, []Value{String(f.name)}))]
		if b == nil {
			b = &bucket{subs: newNodes(a.Subs)}
		}
		w.out = append(w.out, '{')
		w.writeCount(a, b)
		w.out = append(w.out, '}')
	}
	w.out = append(w.out, '}')
}

// writeCount writes the document count of a bucket and its sub-aggregations.
func (w *writer) writeCount(a *Agg, b *bucket) {
	w.remaining--
	if w.remaining < 0 {
		w.fail(fmt.Errorf("%w: more than %d in one answer", ErrBuckets, MaxBuckets))
	}
	w.writeKey("doc_count")
	w.out = strconv.AppendInt(w.out, b.count, 10)
	if len(a.Subs) > 0 {
		w.out = append(w.out, ',')
		w.writeAll(a.Subs, b.subs)
	}
}

func (w *writer) writeBuckets(a *Agg, n *node) {
	list, err := a.sortedBuckets(n)
	if err != nil {
		w.fail(err)
	}
	switch a.Kind {
	case "terms":
		other := n.otherDocs
		for _, b := range list[min(a.size, len(list)):] {
			other += b.count
		}
		list = list[:min(a.size, len(list))]
		w.out = fmt.Appendf(w.out, `"doc_count_error_upper_bound":%d,"sum_other_doc_count":%d,`, n.errorBound, other)
	case "composite":
		if list = list[:min(a.size, len(list))]; len(list) > 0 {
			w.out = append(a.appendKey(append(w.out, `"after_key":`...), list[len(list)-1].key), ',')
		}
	case "range":
		list = a.rangeBuckets(n)
	case "histogram", "date_histogram":
		list = w.fillGaps(a, list)
	}
	w.out = append(w.out, `"buckets":[`...)
	for i, b := range list {
		if i > 0 {
			w.out = append(w.out, ',')
		}
		w.out = append(w.out, '{')
		w.writeBucketKey(a, b)
		w.writeCount(a, b)
		if w.out = append(w.out, '}'); w.err != nil {
			break
		}
	}
	w.out = append(w.out, ']')
}

func (w *writer) writeBucketKey(a *Agg, b *bucket) {
	w.writeKey("key")
	switch a.Kind {
	case "composite":
		w.out = a.appendKey(w.out, b.key)
	case "date_histogram":
		w.out = b.key[0].append(w.out)
		at := time.UnixMilli(b.key[0].integer).UTC().Format("2006-01-02T15:04:05.000Z")
		w.out = fmt.Appendf(w.out, `,"key_as_string":%q`, at)
	case "range":
		w.out = b.key[0].append(w.out)
		for _, r := range a.ranges {
			if r.key == b.key[0].text {
				if r.from != nil {
					w.writeNumber("from", *r.from, true)
				}
				if r.to != nil {
					w.writeNumber("to", *r.to, true)
				}
			}
		}
	default:
		w.out = b.key[0].append(w.out)
	}
	w.out = append(w.out, ',')
}

// sortedBuckets returns the buckets in the order of the answer. It returns a MixedError that names
// the aggregation if keys have kinds without a common order.
func (a *Agg) sortedBuckets(n *node) ([]*bucket, error) {
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
	slices.SortFunc(list, a.compareBuckets)
	return list, nil
}

// compareBuckets orders two buckets: those of terms by descending count, unless the client ordered
// by key, and then by key. The kinds of the keys must agree.
func (a *Agg) compareBuckets(x, y *bucket) int {
	if a.Kind == "terms" && !a.byKey && x.count != y.count {
		return cmp.Compare(y.count, x.count)
	}
	for i := range x.key {
		c := x.key[i].compare(y.key[i])
		if c == 0 {
			continue
		}
		if a.Kind == "terms" && a.byKey && a.descending || a.Kind == "composite" && a.sources[i].desc {
			return -c
		}
		return c
	}
	return 0
}

// rangeBuckets returns a bucket for each range in the order of the request, including empty ones.
func (a *Agg) rangeBuckets(n *node) (list []*bucket) {
	for _, r := range a.ranges {
		key := []Value{String(r.key)}
		b := n.buckets[string(AppendValues(nil, key))]
		if b == nil {
			b = &bucket{key: key, subs: newNodes(a.Subs)}
		}
		list = append(list, b)
	}
	return list
}

// fillGaps adds the empty buckets between the others of a histogram, or, with a positive
// min_doc_count, drops the buckets below it. More than MaxBuckets buckets set the writer's error.
func (w *writer) fillGaps(a *Agg, list []*bucket) []*bucket {
	if a.minDocCount > 0 || len(list) == 0 {
		return slices.DeleteFunc(list, func(b *bucket) bool { return b.count < a.minDocCount })
	}
	var out []*bucket
	for i, b := range list {
		out = append(out, b)
		if i == len(list)-1 {
			break
		}
		start, end := b.key[0].float(), list[i+1].key[0].float()
		key := start
		for n := 1.0; ; n++ {
			key = a.nextHistogramKey(start, key, n)
			if key >= end-a.minStep()/2 {
				break
			}
			out = append(out, &bucket{key: []Value{Float(key)}, subs: newNodes(a.Subs)})
			if len(out) > MaxBuckets {
				w.fail(fmt.Errorf("%w: [%s] has more than %d", ErrBuckets, a.Name, MaxBuckets))
				return nil
			}
		}
	}
	return out
}

// nextHistogramKey returns the key of the n-th bucket after start; previous is the key of the
// bucket before it. Servers use the same formula for fixed intervals, so that keys are equal to the
// last bit.
func (a *Agg) nextHistogramKey(start, previous, n float64) float64 {
	if a.calendar != "" {
		return float64(nextCalendarBucket(int64(previous), a.calendar))
	}
	return (math.Round((start-a.offset)/a.interval)+n)*a.interval + a.offset
}

// fail records the first error.
func (w *writer) fail(err error) {
	if w.err == nil {
		w.err = err
	}
}
