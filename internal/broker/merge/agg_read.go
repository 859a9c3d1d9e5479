package merge

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/axiomhq/hyperloglog"
	"github.com/valyala/fastjson"
)

// ErrBuckets says that an answer would have too many buckets, or sketches.
var ErrBuckets = errors.New("too many buckets")

// node is the state of one aggregation: what one part gave, or what is merged so far.
type node struct {
	count     int64
	sum, sq   exact
	min, max  float64 // with count above nought
	sketch    *hyperloglog.Sketch
	centroids []centroid
	buckets   map[string]*bucket
	other     int64 // documents in buckets that a part left out
	bound     int64 // by which a bucket's count may be short
}

type centroid struct{ mean, weight float64 }

type bucket struct {
	key   []Value
	count int64
	subs  []*node
}

// reader reads one part's aggregations, within bounds.
type reader struct {
	buckets   int
	sketches  int
	centroids int
}

const (
	maxSketches  = 512 // of one part: 16 KiB each at the most
	maxCentroids = 2000
)

func (r *reader) all(aggs []*Agg, v *fastjson.Value) ([]*node, error) {
	out := make([]*node, len(aggs))
	for i, a := range aggs {
		x := v.Get(a.Name)
		if x == nil || x.Type() != fastjson.TypeObject {
			return nil, wrong("no aggregation [%s]", a.Name)
		}
		n, err := r.node(a, x)
		if err != nil {
			return nil, err
		}
		out[i] = n
	}
	return out, nil
}

func (r *reader) node(a *Agg, v *fastjson.Value) (*node, error) {
	n := &node{min: math.Inf(1), max: math.Inf(-1)}
	var err error
	switch a.Kind {
	case "value_count":
		n.count, err = wholeAt(a, v, "value")
	case "sum":
		n.sum, err = exactAt(a, v, "value", "sum_exact")
	case "min", "max":
		if x := v.Get("value"); x != nil && x.Type() != fastjson.TypeNull {
			n.count = 1
			n.min, err = floatAt(a, v, "value")
			n.max = n.min
		}
	case "avg", "stats", "extended_stats":
		err = n.stats(a, v)
	case "cardinality":
		err = r.cardinality(a, n, v)
	case "percentiles":
		err = n.percentiles(a, v)
		r.centroids += len(n.centroids)
	case "filter":
		n.buckets = map[string]*bucket{}
		err = r.bucket(a, n, nil, v)
	default:
		err = r.bucketList(a, n, v)
	}
	return n, err
}

func floatAt(a *Agg, v *fastjson.Value, key string) (float64, error) {
	f, err := parseFloat(v.Get(key))
	if err != nil {
		return 0, wrong("[%s].%s is no number: %v", a.Name, key, err)
	}
	return f, nil
}

func wholeAt(a *Agg, v *fastjson.Value, key string) (int64, error) {
	x := v.Get(key)
	if x == nil {
		return 0, wrong("[%s] has no %s", a.Name, key)
	}
	n, err := x.Int64()
	if err != nil || n < 0 {
		return 0, wrong("[%s].%s is no whole number from nought", a.Name, key)
	}
	return n, nil
}

// exactAt reads a sum, in its parts where the server gives them.
func exactAt(a *Agg, v *fastjson.Value, key, parts string) (e exact, err error) {
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
		if err != nil || len(list) > 64 {
			return nil, wrong("[%s].%s holds what is no number", a.Name, parts)
		}
		e.add(f)
	}
	return e, nil
}

func (n *node) stats(a *Agg, v *fastjson.Value) (err error) {
	if n.count, err = wholeAt(a, v, "count"); err != nil || n.count == 0 {
		return err
	}
	if n.sum, err = exactAt(a, v, "sum", "sum_exact"); err != nil {
		return err
	}
	if n.min, err = floatAt(a, v, "min"); err != nil {
		return err
	}
	if n.max, err = floatAt(a, v, "max"); err != nil {
		return err
	}
	if a.Kind == "extended_stats" {
		n.sq, err = exactAt(a, v, "sum_of_squares", "sum_of_squares_exact")
	}
	return err
}

func (r *reader) cardinality(a *Agg, n *node, v *fastjson.Value) error {
	raw, err := base64.StdEncoding.DecodeString(string(v.GetStringBytes("sketch")))
	if err != nil {
		return wrong("[%s] has no sketch: %v", a.Name, err)
	}
	return r.sketch(a, n, raw)
}

func (r *reader) sketch(a *Agg, n *node, raw []byte) error {
	if r.sketches++; r.sketches > maxSketches {
		return wrong("more than %d sketches", maxSketches)
	}
	if len(raw) == 0 {
		return wrong("[%s] has no sketch", a.Name)
	}
	var err error
	if n.sketch, err = sketchOf(raw); err != nil {
		return wrong("[%s] sketch: %v", a.Name, err)
	}
	return nil
}

// sketchOf reads a sketch. Guards the program against bytes that lie and that the library would panic over, now or when merged:
// they are merged into an empty one and counted here, where that can still be caught.
func sketchOf(raw []byte) (s *hyperloglog.Sketch, err error) {
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("it can't be read: %v", p)
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

func (n *node) percentiles(a *Agg, v *fastjson.Value) error {
	list := v.Get("centroids")
	if list == nil || list.Type() != fastjson.TypeArray || len(list.GetArray()) > maxCentroids {
		return wrong("[%s] has no centroids, or over %d", a.Name, maxCentroids)
	}
	for _, x := range list.GetArray() {
		pair := x.GetArray()
		if len(pair) != 2 {
			return wrong("[%s] has a centroid that is no pair", a.Name)
		}
		mean, err := parseFloat(pair[0])
		weight, werr := parseFloat(pair[1])
		c := centroid{mean, weight}
		if err != nil || werr != nil || !(c.weight > 0) {
			return wrong("[%s] has a centroid out of range", a.Name)
		}
		n.centroids = append(n.centroids, c)
	}
	return nil
}

func (r *reader) bucketList(a *Agg, n *node, v *fastjson.Value) error {
	n.buckets = map[string]*bucket{}
	if a.Kind == "filters" {
		for _, f := range a.filters {
			x := v.Get("buckets", f.name)
			if x == nil {
				return wrong("[%s] has no bucket [%s]", a.Name, f.name)
			}
			if err := r.bucket(a, n, []Value{String(f.name)}, x); err != nil {
				return err
			}
		}
		return nil
	}
	list := v.Get("buckets")
	if list == nil || list.Type() != fastjson.TypeArray {
		return wrong("[%s] has no buckets", a.Name)
	}
	for _, x := range list.GetArray() {
		key, err := a.keyOf(x)
		if err != nil {
			return err
		}
		if err := r.bucket(a, n, key, x); err != nil {
			return err
		}
	}
	if a.Kind == "terms" {
		var err error
		if n.other, err = wholeAt(a, v, "sum_other_doc_count"); err != nil {
			return err
		}
	}
	return a.listBounds(n)
}

// keyOf reads a bucket's key.
func (a *Agg) keyOf(x *fastjson.Value) ([]Value, error) {
	if a.Kind == "composite" {
		key := make([]Value, len(a.sources))
		for i, s := range a.sources {
			v := x.Get("key", s.name)
			if v == nil {
				return nil, wrong("[%s] has a bucket without [%s]", a.Name, s.name)
			}
			var err error
			if key[i], err = parseValue(v); err != nil || key[i].Kind == Missing {
				return nil, wrong("[%s] has a bucket whose [%s] is no value", a.Name, s.name)
			}
		}
		return key, nil
	}
	v := x.Get("key")
	if v == nil {
		return nil, wrong("[%s] has a bucket without its key", a.Name)
	}
	key, err := parseValue(v)
	if err != nil {
		return nil, wrong("[%s] has a key that is no value", a.Name)
	}
	return []Value{key}, a.checkKey([]Value{key})
}

// checkKey turns down a bucket that was not asked for.
func (a *Agg) checkKey(key []Value) error {
	want := 1
	switch a.Kind {
	case "composite":
		want = len(a.sources)
	case "filter":
		want = 0
	}
	if len(key) != want || slices.ContainsFunc(key, func(v Value) bool { return v.Kind == Missing }) {
		return wrong("[%s] has a key that is no value", a.Name)
	}
	asked := true
	switch a.Kind {
	case "range":
		asked = slices.ContainsFunc(a.ranges, func(r aggRange) bool { return r.key == key[0].s })
	case "filters":
		asked = slices.ContainsFunc(a.filters, func(f filter) bool { return f.name == key[0].s })
	case "histogram", "date_histogram":
		asked = key[0].Kind == Number
	}
	if !asked {
		return wrong("[%s] has a bucket that was not asked for", a.Name)
	}
	return nil
}

func (r *reader) bucket(a *Agg, n *node, key []Value, x *fastjson.Value) error {
	b := &bucket{key: key}
	var err error
	if b.count, err = wholeAt(a, x, "doc_count"); err != nil {
		return err
	}
	if b.subs, err = r.all(a.Subs, x); err != nil {
		return err
	}
	return r.put(a, n, b)
}

func (r *reader) put(a *Agg, n *node, b *bucket) error {
	if r.buckets++; r.buckets > MaxBuckets {
		return wrong("more than %d buckets", MaxBuckets)
	}
	name := string(AppendValues(nil, b.key))
	if n.buckets[name] != nil {
		return wrong("[%s] has bucket %s twice", a.Name, name)
	}
	n.buckets[name] = b
	return nil
}

// listBounds takes in what a part left out of its list of terms.
func (a *Agg) listBounds(n *node) error {
	switch {
	case a.Kind == "terms" && len(n.buckets) > a.shardSize, a.Kind == "composite" && len(n.buckets) > a.size:
		return wrong("[%s] has %d buckets, more than asked for", a.Name, len(n.buckets))
	case a.Kind != "terms":
		return nil
	}
	if n.other > 0 && !a.byKey {
		least := int64(math.MaxInt64)
		for _, b := range n.buckets {
			least = min(least, b.count)
		}
		n.bound = least
	}
	return nil
}

// mergeAll takes one part's nodes into those merged so far. What the merge holds is its own: parts stay as they were read.
func mergeAll(aggs []*Agg, dst, src []*node, held *int) error {
	for i, a := range aggs {
		if err := merge(a, dst[i], src[i], held); err != nil {
			return err
		}
	}
	return nil
}

func blank(aggs []*Agg) []*node {
	out := make([]*node, len(aggs))
	for i := range aggs {
		out[i] = &node{min: math.Inf(1), max: math.Inf(-1), buckets: map[string]*bucket{}}
	}
	return out
}

func merge(a *Agg, dst, src *node, held *int) error {
	dst.count += src.count
	for _, x := range src.sum {
		dst.sum.add(x)
	}
	for _, x := range src.sq {
		dst.sq.add(x)
	}
	dst.min, dst.max = min(dst.min, src.min), max(dst.max, src.max)
	dst.other += src.other
	dst.bound += src.bound
	if src.sketch != nil {
		if dst.sketch == nil {
			if *held += 4; *held > MaxBuckets { // a sketch weighs as some buckets do
				return ErrBuckets
			}
			dst.sketch = hyperloglog.New14()
		}
		if err := dst.sketch.Merge(src.sketch); err != nil {
			return wrong("[%s] sketch: %v", a.Name, err)
		}
	}
	dst.centroids = append(dst.centroids, src.centroids...)
	for name, b := range src.buckets {
		have := dst.buckets[name]
		if have == nil {
			if *held++; *held > MaxBuckets {
				return fmt.Errorf("%w: [%s] has more than %d", ErrBuckets, a.Name, MaxBuckets)
			}
			have = &bucket{key: b.key, subs: blank(a.Subs)}
			dst.buckets[name] = have
		}
		have.count += b.count
		if err := mergeAll(a.Subs, have.subs, b.subs, held); err != nil {
			return err
		}
	}
	return nil
}
