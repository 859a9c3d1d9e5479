package merge

import (
	"errors"
	"fmt"
	"math"

	"github.com/axiomhq/hyperloglog"
)

// sketchWeight is the number of buckets that one sketch counts as towards MaxBuckets.
const sketchWeight = 4

// ErrBuckets is returned if an answer would exceed MaxBuckets, with sketches counted as buckets.
var ErrBuckets = errors.New("too many buckets")

// node is the state of one aggregation: the result of one part, or the parts merged so far.
type node struct {
	count             int64
	sum, sumOfSquares exactSum
	min, max          float64 // only valid with a count above 0
	sketch            *hyperloglog.Sketch
	centroids         []centroid
	buckets           map[string]*bucket
	otherDocs         int64 // documents in buckets that the parts omitted
	errorBound        int64 // maximum by which the count of a bucket may be too low
}

// centroid is one point of a t-digest.
type centroid struct{ mean, weight float64 }

// bucket is one bucket of an aggregation, with the states of its sub-aggregations.
type bucket struct {
	key   []Value
	count int64
	subs  []*node
}

// mergeNodes merges one part's aggregations into dst. It copies what it retains: neither this nor a
// later merge into dst modifies src.
func mergeNodes(aggs []*Agg, dst, src []*node, bucketCount *int) error {
	for i, a := range aggs {
		if err := mergeNode(a, dst[i], src[i], bucketCount); err != nil {
			return err
		}
	}
	return nil
}

// newNodes returns an empty state for each aggregation.
func newNodes(aggs []*Agg) []*node {
	out := make([]*node, len(aggs))
	for i := range aggs {
		out[i] = &node{min: math.Inf(1), max: math.Inf(-1), buckets: map[string]*bucket{}}
	}
	return out
}

// mergeNode merges one part's aggregation into dst. It adds new buckets and sketches to
// bucketCount.
func mergeNode(a *Agg, dst, src *node, bucketCount *int) error {
	dst.count += src.count
	for _, x := range src.sum {
		dst.sum.add(x)
	}
	for _, x := range src.sumOfSquares {
		dst.sumOfSquares.add(x)
	}
	dst.min, dst.max = min(dst.min, src.min), max(dst.max, src.max)
	dst.otherDocs += src.otherDocs
	dst.errorBound += src.errorBound
	if err := mergeSketch(a, dst, src, bucketCount); err != nil {
		return err
	}
	dst.centroids = append(dst.centroids, src.centroids...)
	for name, b := range src.buckets {
		merged := dst.buckets[name]
		if merged == nil {
			*bucketCount++
			if *bucketCount > MaxBuckets {
				return fmt.Errorf("%w: [%s] has more than %d", ErrBuckets, a.Name, MaxBuckets)
			}
			merged = &bucket{key: b.key, subs: newNodes(a.Subs)}
			dst.buckets[name] = merged
		}
		merged.count += b.count
		if err := mergeNodes(a.Subs, merged.subs, b.subs, bucketCount); err != nil {
			return err
		}
	}
	return nil
}

func mergeSketch(a *Agg, dst, src *node, bucketCount *int) error {
	if src.sketch == nil {
		return nil
	}
	if dst.sketch == nil {
		*bucketCount += sketchWeight
		if *bucketCount > MaxBuckets {
			return ErrBuckets
		}
		dst.sketch = hyperloglog.New14()
	}
	if err := dst.sketch.Merge(src.sketch); err != nil {
		return malformedf("aggregation [%s]: merge sketch: %v", a.Name, err)
	}
	return nil
}
