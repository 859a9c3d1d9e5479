package merge

import (
	"bytes"
	"math"
	"saffronquay/internal/broker/merge/partial"
	"slices"

	"google.golang.org/protobuf/proto"
)

// BinaryType is the media type of the binary form of a part, in the version that ReadBinary
// accepts.
const BinaryType = "application/x-saffronquay-partial; version=1"

const binaryVersion = 1

// ReadBinary is Read for the binary form. The part retains body. Every error wraps
// ErrMalformedPart.
func (p *Plan) ReadBinary(body []byte) (*Part, error) {
	var m partial.Answer
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, malformedf("decode: %v", err)
	}
	switch {
	case m.Version != binaryVersion:
		return nil, malformedf("unsupported version %d: want %d", m.Version, binaryVersion)
	case m.TimedOut || m.Failed > 0:
		return nil, malformedf("incomplete: the search timed out or failed on a shard")
	case len(m.Hits) > p.Window():
		return nil, malformedf("%d hits, but at most %d were requested", len(m.Hits), p.Window())
	}
	part := p.newPart(body, len(m.Hits))
	part.texts = make([][]byte, len(m.Hits))
	if p.Limit != Uncounted {
		if m.Total == nil {
			return nil, malformedf("missing total number of hits")
		}
		if err := p.setTotal(part, m.Total.Value, m.Total.AtLeast, len(m.Hits)); err != nil {
			return nil, err
		}
	}
	for i, h := range m.Hits {
		if err := p.addBinaryHit(part, i, h); err != nil {
			return nil, err
		}
	}
	var err error
	part.aggs, err = part.reader.readAllBinary(p.Aggs, m.Aggregations)
	return part, err
}

// addBinaryHit validates hit i and appends its sort values to the part.
func (p *Plan) addBinaryHit(part *Part, i int, h *partial.Hit) error {
	values, err := valuesFromBinary(h.Sort)
	if err != nil || len(values) != len(p.Keys) {
		return malformedf("hit %d has invalid sort values, or not one for each sort key", i)
	}
	part.texts[i] = bytes.TrimSpace(h.Json)
	if !bytes.HasPrefix(part.texts[i], []byte("{")) {
		return malformedf("hit %d is not a JSON object", i)
	}
	if h.Score != nil {
		if !isFinite(*h.Score) {
			return malformedf("hit %d has a score that is not a finite number", i)
		}
		part.maxScore, part.hasScore = max(part.maxScore, *h.Score), true
	}
	part.values = append(part.values, values...)
	return p.validateHit(part, i)
}

func isFinite(f float64) bool { return !math.IsNaN(f) && !math.IsInf(f, 0) }

// valuesFromBinary converts sort values or the key of a bucket. It rejects numbers that are not
// finite.
func valuesFromBinary(list []*partial.Value) ([]Value, error) {
	out := make([]Value, len(list))
	for i, v := range list {
		switch k := v.Kind.(type) {
		case *partial.Value_Missing:
		case *partial.Value_Whole:
			out[i] = Int(k.Whole)
		case *partial.Value_Number:
			if !isFinite(k.Number) {
				return nil, errInvalidValue
			}
			out[i] = Float(k.Number)
		case *partial.Value_Text:
			out[i] = String(k.Text)
		case *partial.Value_Flag:
			if out[i] = (Value{Kind: Bool}); k.Flag {
				out[i].integer = 1
			}
		default:
			return nil, errInvalidValue
		}
	}
	return out, nil
}

func (r *reader) readAllBinary(aggs []*Agg, list []*partial.Aggregation) ([]*node, error) {
	if len(list) != len(aggs) {
		return nil, malformedf("%d aggregations, but %d were requested", len(list), len(aggs))
	}
	out := make([]*node, len(aggs))
	for i, a := range aggs {
		if list[i].GetName() != a.Name {
			return nil, malformedf("missing aggregation [%s]", a.Name)
		}
		var err error
		if out[i], err = r.readNodeBinary(a, list[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (r *reader) readNodeBinary(a *Agg, m *partial.Aggregation) (*node, error) {
	if err := a.validateBinary(m); err != nil {
		return nil, err
	}
	n := &node{count: m.Count, min: math.Inf(1), max: math.Inf(-1), otherDocs: m.Other, buckets: map[string]*bucket{}}
	if m.Min != nil {
		n.min = *m.Min
	}
	if m.Max != nil {
		n.max = *m.Max
	}
	for _, x := range m.Sum {
		n.sum.add(x)
	}
	for _, x := range m.Squares {
		n.sumOfSquares.add(x)
	}
	for i, w := range m.Weights {
		if !(w > 0) {
			return nil, malformedf("[%s] has a centroid out of range: want a positive weight", a.Name)
		}
		n.centroids = append(n.centroids, centroid{m.Means[i], w})
		r.centroids++
	}
	if a.Kind == "cardinality" {
		if err := r.readSketch(a, n, m.Sketch); err != nil {
			return nil, err
		}
	}
	for _, b := range m.Buckets {
		if err := r.readBucketBinary(a, n, b); err != nil {
			return nil, err
		}
	}
	return n, a.applyListBounds(n)
}

// validateBinary checks that the numbers of an aggregation are finite and in range, and that its
// lists are within their limits.
func (a *Agg) validateBinary(m *partial.Aggregation) error {
	for _, list := range [][]float64{m.Sum, m.Squares, m.Means, m.Weights, {m.GetMin(), m.GetMax()}} {
		for _, f := range list {
			if !isFinite(f) {
				return malformedf("[%s] has a value that is not a finite number", a.Name)
			}
		}
	}
	wantsExtremes := m.Count > 0 && slices.Contains([]string{"min", "max", "stats", "extended_stats", "avg"}, a.Kind)
	switch {
	case m.Count < 0, m.Other < 0,
		len(m.Sum) > maxSumTerms, len(m.Squares) > maxSumTerms,
		len(m.Means) != len(m.Weights), len(m.Means) > maxCentroids,
		wantsExtremes && (m.Min == nil || m.Max == nil):
		return malformedf("[%s] has a count, list or extreme that is missing or out of range", a.Name)
	}
	return nil
}

func (r *reader) readBucketBinary(a *Agg, n *node, m *partial.Bucket) error {
	key, err := valuesFromBinary(m.Key)
	if err != nil {
		return malformedf("[%s] has a bucket with an invalid key", a.Name)
	}
	if err := a.validateKey(key); err != nil {
		return err
	}
	if m.Count < 0 {
		return malformedf("[%s] has a bucket with a negative count", a.Name)
	}
	subs, err := r.readAllBinary(a.Subs, m.Aggregations)
	if err != nil {
		return err
	}
	return r.addBucket(a, n, &bucket{key: key, count: m.Count, subs: subs})
}
