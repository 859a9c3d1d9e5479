package merge

import (
	"encoding/base64"
	"fmt"
	"math"
	"slices"

	"github.com/axiomhq/hyperloglog"
	"github.com/valyala/fastjson"
)

// reader reads the aggregations of one part and counts their buckets, sketches and centroids, for
// the limits and for Part.Size.
type reader struct {
	buckets   int
	sketches  int
	centroids int
}

const (
	maxSketches  = 512  // per part; a sketch takes up to 16 KiB
	maxCentroids = 2000 // per aggregation
	maxSumTerms  = 64   // per exact sum
)

func (r *reader) readAll(aggs []*Agg, v *fastjson.Value) ([]*node, error) {
	out := make([]*node, len(aggs))
	for i, a := range aggs {
		x := v.Get(a.Name)
		if x == nil || x.Type() != fastjson.TypeObject {
			return nil, malformedf("missing aggregation [%s]", a.Name)
		}
		n, err := r.readNode(a, x)
		if err != nil {
			return nil, err
		}
		out[i] = n
	}
	return out, nil
}

func (r *reader) readNode(a *Agg, v *fastjson.Value) (*node, error) {
	n := &node{min: math.Inf(1), max: math.Inf(-1)}
	var err error
	switch a.Kind {
	case "value_count":
		n.count, err = countAt(a, v, "value")
	case "sum":
		n.sum, err = sumAt(a, v, "value", "sum_exact")
	case "min", "max":
		if x := v.Get("value"); x != nil && x.Type() != fastjson.TypeNull {
			n.count = 1
			n.min, err = floatAt(a, v, "value")
			n.max = n.min
		}
	case "avg", "stats", "extended_stats":
		err = n.readStats(a, v)
	case "cardinality":
		err = r.readCardinality(a, n, v)
	case "percentiles":
		err = n.readPercentiles(a, v)
		r.centroids += len(n.centroids)
	case "filter":
		n.buckets = map[string]*bucket{}
		err = r.readBucket(a, n, nil, v)
	default:
		err = r.readBuckets(a, n, v)
	}
	return n, err
}

func floatAt(a *Agg, v *fastjson.Value, key string) (float64, error) {
	f, err := parseFloat(v.Get(key))
	if err != nil {
		return 0, malformedf("[%s].%s is not a number: %v", a.Name, key, err)
	}
	return f, nil
}

func countAt(a *Agg, v *fastjson.Value, key string) (int64, error) {
	x := v.Get(key)
	if x == nil {
		return 0, malformedf("[%s].%s is missing", a.Name, key)
	}
	n, err := x.Int64()
	if err != nil || n < 0 {
		return 0, malformedf("[%s].%s is not an integer of 0 or more", a.Name, key)
	}
	return n, nil
}

// sumAt reads a sum: from its exact terms under the key parts if the server sent them, else from
// the rounded number under key.
func sumAt(a *Agg, v *fastjson.Value, key, parts string) (e exactSum, err error) {
	list := v.GetArray(parts)
	if len(list) == 0 {
		f, err := floatAt(a, v, key)
		if e.add(f); err != nil {
			return nil, err
		}
		return e, nil
	}
	for _, x := range list {
		f, err := parseFloat(x)
		if err != nil || len(list) > maxSumTerms {
			return nil, malformedf("[%s].%s has an entry that is not a number, or too many entries", a.Name, parts)
		}
		e.add(f)
	}
	return e, nil
}

func (n *node) readStats(a *Agg, v *fastjson.Value) (err error) {
	if n.count, err = countAt(a, v, "count"); err != nil || n.count == 0 {
		return err
	}
	if n.sum, err = sumAt(a, v, "sum", "sum_exact"); err != nil {
		return err
	}
	if n.min, err = floatAt(a, v, "min"); err != nil {
		return err
	}
	if n.max, err = floatAt(a, v, "max"); err != nil {
		return err
	}
	if a.Kind == "extended_stats" {
		n.sumOfSquares, err = sumAt(a, v, "sum_of_squares", "sum_of_squares_exact")
	}
	return err
}

func (r *reader) readCardinality(a *Agg, n *node, v *fastjson.Value) error {
	raw, err := base64.StdEncoding.DecodeString(string(v.GetStringBytes("sketch")))
	if err != nil {
		return malformedf("[%s].sketch is not base64: %v", a.Name, err)
	}
	return r.readSketch(a, n, raw)
}

func (r *reader) readSketch(a *Agg, n *node, raw []byte) error {
	if r.sketches++; r.sketches > maxSketches {
		return malformedf("more than %d sketches in one part", maxSketches)
	}
	if len(raw) == 0 {
		return malformedf("[%s] has no sketch", a.Name)
	}
	var err error
	if n.sketch, err = decodeSketch(raw); err != nil {
		return malformedf("[%s]: decode sketch: %v", a.Name, err)
	}
	return nil
}

// decodeSketch decodes a sketch. The library panics on some malformed input when it decodes, merges
// or estimates; therefore decodeSketch does all three on a copy and turns a panic into an error.
func decodeSketch(raw []byte) (s *hyperloglog.Sketch, err error) {
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("malformed sketch: %v", p)
		}
	}()
	s = hyperloglog.New14()
	if err := s.UnmarshalBinary(raw); err != nil {
		return nil, err
	}
	probe := hyperloglog.New14()
	if err := probe.Merge(s); err != nil {
		return nil, err
	}
	probe.Estimate()
	return s, nil
}

func (n *node) readPercentiles(a *Agg, v *fastjson.Value) error {
	list := v.Get("centroids")
	if list == nil || list.Type() != fastjson.TypeArray || len(list.GetArray()) > maxCentroids {
		return malformedf("[%s].centroids is not a list of up to %d entries", a.Name, maxCentroids)
	}
	for _, x := range list.GetArray() {
		pair := x.GetArray()
		if len(pair) != 2 {
			return malformedf("[%s] has a centroid that is not a pair of numbers", a.Name)
		}
		mean, err := parseFloat(pair[0])
		weight, werr := parseFloat(pair[1])
		c := centroid{mean, weight}
		if err != nil || werr != nil || !(c.weight > 0) {
			return malformedf("[%s] has a centroid out of range: want a positive weight", a.Name)
		}
		n.centroids = append(n.centroids, c)
	}
	return nil
}

func (r *reader) readBuckets(a *Agg, n *node, v *fastjson.Value) error {
	n.buckets = map[string]*bucket{}
	if a.Kind == "filters" {
		for _, f := range a.filters {
			x := v.Get("buckets", f.name)
			if x == nil {
				return malformedf("[%s] is missing bucket [%s]", a.Name, f.name)
			}
			if err := r.readBucket(a, n, []Value{String(f.name)}, x); err != nil {
				return err
			}
		}
		return nil
	}
	list := v.Get("buckets")
	if list == nil || list.Type() != fastjson.TypeArray {
		return malformedf("[%s].buckets is not a list", a.Name)
	}
	for _, x := range list.GetArray() {
		key, err := a.bucketKey(x)
		if err != nil {
			return err
		}
		if err := r.readBucket(a, n, key, x); err != nil {
			return err
		}
	}
	if a.Kind == "terms" {
		var err error
		if n.otherDocs, err = countAt(a, v, "sum_other_doc_count"); err != nil {
			return err
		}
	}
	return a.applyListBounds(n)
}

// bucketKey reads and validates the key of a bucket.
func (a *Agg) bucketKey(x *fastjson.Value) ([]Value, error) {
	if a.Kind == "composite" {
		key := make([]Value, len(a.sources))
		for i, s := range a.sources {
			v := x.Get("key", s.name)
			if v == nil {
				return nil, malformedf("[%s] has a bucket whose key lacks [%s]", a.Name, s.name)
			}
			var err error
			if key[i], err = parseValue(v); err != nil || key[i].Kind == Missing {
				return nil, malformedf("[%s] has a bucket with an invalid key value for [%s]", a.Name, s.name)
			}
		}
		return key, nil
	}
	v := x.Get("key")
	if v == nil {
		return nil, malformedf("[%s] has a bucket without a key", a.Name)
	}
	key, err := parseValue(v)
	if err != nil {
		return nil, malformedf("[%s] has a bucket with an invalid key", a.Name)
	}
	return []Value{key}, a.validateKey([]Value{key})
}

// validateKey rejects the key of a bucket that was not requested.
func (a *Agg) validateKey(key []Value) error {
	want := 1
	switch a.Kind {
	case "composite":
		want = len(a.sources)
	case "filter":
		want = 0
	}
	if len(key) != want || slices.ContainsFunc(key, func(v Value) bool { return v.Kind == Missing }) {
		return malformedf("[%s] has a bucket with an invalid key", a.Name)
	}
	requested := true
	switch a.Kind {
	case "range":
		requested = slices.ContainsFunc(a.ranges, func(r aggRange) bool { return r.key == key[0].text })
	case "filters":
		requested = slices.ContainsFunc(a.filters, func(f filter) bool { return f.name == key[0].text })
	case "histogram", "date_histogram":
		requested = key[0].Kind == Number
	}
	if !requested {
		return malformedf("[%s] has a bucket that was not requested", a.Name)
	}
	return nil
}

func (r *reader) readBucket(a *Agg, n *node, key []Value, x *fastjson.Value) error {
	b := &bucket{key: key}
	var err error
	if b.count, err = countAt(a, x, "doc_count"); err != nil {
		return err
	}
	if b.subs, err = r.readAll(a.Subs, x); err != nil {
		return err
	}
	return r.addBucket(a, n, b)
}

func (r *reader) addBucket(a *Agg, n *node, b *bucket) error {
	if r.buckets++; r.buckets > MaxBuckets {
		return malformedf("more than %d buckets in one part", MaxBuckets)
	}
	name := string(AppendValues(nil, b.key))
	if n.buckets[name] != nil {
		return malformedf("[%s] has a duplicate bucket %s", a.Name, name)
	}
	n.buckets[name] = b
	return nil
}

// applyListBounds rejects a list longer than requested, and derives the error bound of terms: an
// omitted bucket has no more documents than the smallest one in the part.
func (a *Agg) applyListBounds(n *node) error {
	switch {
	case a.Kind == "terms" && len(n.buckets) > a.shardSize, a.Kind == "composite" && len(n.buckets) > a.size:
		return malformedf("[%s] has %d buckets, more than requested", a.Name, len(n.buckets))
	case a.Kind != "terms":
		return nil
	}
	if n.otherDocs > 0 && !a.byKey {
		least := int64(math.MaxInt64)
		for _, b := range n.buckets {
			least = min(least, b.count)
		}
		n.errorBound = least
	}
	return nil
}
