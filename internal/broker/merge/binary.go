package merge

import (
	"bytes"
	"math"
	"saffronquay/internal/broker/merge/partial"

	"google.golang.org/protobuf/proto"
)

// BinaryType is the media type of the binary form, of the version that is read here.
const BinaryType = "application/x-saffronquay-partial; version=1"

const binaryVersion = 1

// ReadBinary is Read for the binary form, which keeps body too. What it can't judge as whole is not what was asked for.
func (p *Plan) ReadBinary(body []byte) (*Part, error) {
	var m partial.Answer
	if err := proto.Unmarshal(body, &m); err != nil {
		return nil, wrong("%v", err)
	}
	switch {
	case m.Version != binaryVersion:
		return nil, wrong("version %d, where %d is known", m.Version, binaryVersion)
	case m.TimedOut || m.Failed > 0:
		return nil, wrong("not whole")
	case len(m.Hits) > p.Window():
		return nil, wrong("%d hits, where %d were asked for", len(m.Hits), p.Window())
	}
	part := p.newPart(body, len(m.Hits))
	part.texts = make([][]byte, len(m.Hits))
	if p.Limit != Uncounted {
		if m.Total == nil {
			return nil, wrong("no total")
		}
		if err := p.total(part, m.Total.Value, m.Total.AtLeast, len(m.Hits)); err != nil {
			return nil, err
		}
	}
	for i, h := range m.Hits {
		values, err := valuesFrom(h.Sort)
		if err != nil || len(values) != len(p.Keys) {
			return nil, wrong("hit %d has sort values that were not asked for", i)
		}
		if part.texts[i] = bytes.TrimSpace(h.Json); len(h.Json) < 2 || part.texts[i][0] != '{' {
			return nil, wrong("hit %d is no object", i)
		}
		if h.Score != nil {
			if math.IsNaN(*h.Score) || math.IsInf(*h.Score, 0) {
				return nil, wrong("hit %d has a score that is no number", i)
			}
			part.top, part.scored = max(part.top, *h.Score), true
		}
		part.values = append(part.values, values...)
		if err := p.judge(part, i); err != nil {
			return nil, err
		}
	}
	var err error
	part.aggs, err = part.read.allBinary(p.Aggs, m.Aggregations)
	return part, err
}

func valuesFrom(list []*partial.Value) ([]Value, error) {
	out := make([]Value, len(list))
	for i, v := range list {
		switch k := v.Kind.(type) {
		case *partial.Value_Missing:
		case *partial.Value_Whole:
			out[i] = Int(k.Whole)
		case *partial.Value_Number:
			if math.IsNaN(k.Number) || math.IsInf(k.Number, 0) {
				return nil, errValue
			}
			out[i] = Float(k.Number)
		case *partial.Value_Text:
			out[i] = String(k.Text)
		case *partial.Value_Flag:
			if out[i] = (Value{Kind: Flag}); k.Flag {
				out[i].i = 1
			}
		default:
			return nil, errValue
		}
	}
	return out, nil
}

func (r *reader) allBinary(aggs []*Agg, list []*partial.Aggregation) ([]*node, error) {
	if len(list) != len(aggs) {
		return nil, wrong("%d aggregations, where %d were asked for", len(list), len(aggs))
	}
	out := make([]*node, len(aggs))
	for i, a := range aggs {
		if list[i].GetName() != a.Name {
			return nil, wrong("no aggregation [%s]", a.Name)
		}
		var err error
		if out[i], err = r.nodeBinary(a, list[i]); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (r *reader) nodeBinary(a *Agg, m *partial.Aggregation) (*node, error) {
	n := &node{count: m.Count, min: math.Inf(1), max: math.Inf(-1), other: m.Other, buckets: map[string]*bucket{}}
	if m.Min != nil {
		n.min = *m.Min
	}
	if m.Max != nil {
		n.max = *m.Max
	}
	for _, list := range [][]float64{m.Sum, m.Squares, m.Means, m.Weights, {m.GetMin(), m.GetMax()}} {
		for _, f := range list {
			if math.IsNaN(f) || math.IsInf(f, 0) {
				return nil, wrong("[%s] holds what is no number", a.Name)
			}
		}
	}
	some := m.Count > 0 && (a.Kind == "min" || a.Kind == "max" || a.Kind == "stats" || a.Kind == "extended_stats" || a.Kind == "avg")
	if m.Count < 0 || m.Other < 0 || len(m.Sum) > 64 || len(m.Squares) > 64 || len(m.Means) != len(m.Weights) || len(m.Means) > maxCentroids ||
		some && (m.Min == nil || m.Max == nil) {
		return nil, wrong("[%s] is out of range", a.Name)
	}
	for _, x := range m.Sum {
		n.sum.add(x)
	}
	for _, x := range m.Squares {
		n.sq.add(x)
	}
	for i, w := range m.Weights {
		if !(w > 0) {
			return nil, wrong("[%s] has a centroid out of range", a.Name)
		}
		n.centroids = append(n.centroids, centroid{m.Means[i], w})
		r.centroids++
	}
	if a.Kind == "cardinality" {
		if err := r.sketch(a, n, m.Sketch); err != nil {
			return nil, err
		}
	}
	for _, b := range m.Buckets {
		if err := r.bucketBinary(a, n, b); err != nil {
			return nil, err
		}
	}
	return n, a.listBounds(n)
}

func (r *reader) bucketBinary(a *Agg, n *node, m *partial.Bucket) error {
	key, err := valuesFrom(m.Key)
	if err != nil {
		return wrong("[%s] has a key that is no value", a.Name)
	}
	if err := a.checkKey(key); err != nil {
		return err
	}
	if m.Count < 0 {
		return wrong("[%s] has a count below nought", a.Name)
	}
	subs, err := r.allBinary(a.Subs, m.Aggregations)
	if err != nil {
		return err
	}
	return r.put(a, n, &bucket{key: key, count: m.Count, subs: subs})
}
