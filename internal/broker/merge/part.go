package merge

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// Part is the validated answer of one server to its part of a query. It is not changed after it was read.
type Part struct {
	body              []byte   // the object that has "hits", or the binary form
	texts             [][]byte // of the hits, without sort values; nil: they are read from body
	values            []Value  // of each hit, one after the other
	hits              int
	kinds             []Kind
	total             int64
	totalIsLowerBound bool
	maxScore          float64 // the highest score; -Inf without one
	hasScore          bool
	keywords          arena
	expired           bool
	reader            reader // counts buckets, sketches and centroids
	aggs              []*node
}

// ExpiredPart is the answer of a server that no longer has the state at the time of the query (Plan.AsOf). It has no hits.
func ExpiredPart() *Part { return &Part{expired: true} }

// Size estimates how many bytes a part keeps beside its text: a sort value takes 40, a bucket with one sub-aggregation some 350, a
// sketch up to 16 KiB, a centroid 16.
func (part *Part) Size() int {
	return 40*len(part.values) + 350*part.reader.buckets + 16<<10*part.reader.sketches + 16*part.reader.centroids
}

// Expired tells whether the part is an ExpiredPart.
func (part *Part) Expired() bool { return part.expired }

// ErrMalformedPart marks an answer that does not match the request. The attempt has failed; the answer must not be merged.
var ErrMalformedPart = errors.New("not what was asked for")

func malformedf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedPart, fmt.Sprintf(format, args...))
}

// Read validates the answer of one server. v is the parsed form of body, a JSON object with the key hits; the part keeps body, not v.
// An answer with more hits than requested, with hits out of order or before the start of the page, or with invalid sort values fails.
// Every error wraps ErrMalformedPart.
func (p *Plan) Read(v *fastjson.Value, body []byte) (*Part, error) {
	h := v.Get("hits")
	list := h.Get("hits")
	if list == nil || list.Type() != fastjson.TypeArray {
		return nil, malformedf("no list of hits")
	}
	hits := list.GetArray()
	if len(hits) > p.Window() {
		return nil, malformedf("%d hits, where %d were asked for", len(hits), p.Window())
	}
	part := p.newPart(body, len(hits))
	if err := p.readTotal(part, h, len(hits)); err != nil {
		return nil, err
	}
	for i, x := range hits {
		var err error
		if part.values, err = p.appendSortValues(part, x); err != nil {
			return nil, err
		}
		if err := p.validateHit(part, i); err != nil {
			return nil, err
		}
		if p.Keys[0].Field == Score { // the score is a sort value, already parsed
			if v := part.sortValuesAt(i, len(p.Keys))[0]; v.Kind == Number {
				part.maxScore, part.hasScore = max(part.maxScore, v.float()), true
			}
		} else if score, err := parseFloat(x.Get("_score")); err == nil {
			part.maxScore, part.hasScore = max(part.maxScore, score), true
		}
	}
	if len(p.Aggs) > 0 {
		var err error
		if part.aggs, err = part.reader.readAll(p.Aggs, v.Get("aggregations")); err != nil {
			return nil, err
		}
	}
	return part, nil
}

func (p *Plan) newPart(body []byte, hits int) *Part {
	return &Part{body: body, hits: hits, kinds: make([]Kind, len(p.Keys)), maxScore: math.Inf(-1), values: make([]Value, 0, hits*len(p.Keys))}
}

// validateHit checks the order of hit i, the last one read: after the hit before it, and after the start of the page.
func (p *Plan) validateHit(part *Part, i int) error {
	now := part.sortValuesAt(i, len(p.Keys))
	if err := p.mergeKinds(part.kinds, now); err != nil {
		return malformedf("%v", err)
	}
	if i > 0 && p.compare(part.sortValuesAt(i-1, len(p.Keys)), now) >= 0 {
		return malformedf("hit %d does not come after the one before it", i)
	}
	if i == 0 && p.After != nil {
		if err := p.mergeKinds(append([]Kind(nil), part.kinds...), p.After); err == nil && p.compare(now, p.After) <= 0 {
			return malformedf("a hit that stands before the page")
		}
	}
	return nil
}

// appendSortValues returns the part's values with those of one hit appended. Without a sort list the hit's own score and id are taken.
func (p *Plan) appendSortValues(part *Part, x *fastjson.Value) ([]Value, error) {
	dst := part.values
	given := x.Get("sort")
	if given != nil {
		list := given.GetArray()
		if len(list) != len(p.Keys) {
			return nil, malformedf("%d sort values, where %d were asked for", len(list), len(p.Keys))
		}
		for i, s := range list {
			v, err := readValue(s, &part.keywords)
			if err != nil {
				return nil, malformedf("sort value of [%s]: %v", p.Keys[i].Field, err)
			}
			dst = append(dst, v)
		}
		return dst, nil
	}
	for _, k := range p.Keys {
		s := x.Get(k.Field)
		if k.Field != Score && k.Field != ID || s == nil {
			return nil, malformedf("no sort value of [%s]", k.Field)
		}
		v, err := readValue(s, &part.keywords)
		if err != nil {
			return nil, malformedf("[%s]: %v", k.Field, err)
		}
		dst = append(dst, v)
	}
	return dst, nil
}

func (part *Part) sortValuesAt(i, keys int) []Value { return part.values[i*keys : (i+1)*keys] }

// readTotal reads hits.total, which older servers give as a bare number.
func (p *Plan) readTotal(part *Part, h *fastjson.Value, hits int) error {
	if p.Limit == Uncounted {
		return nil
	}
	t, gte := h.Get("total"), false
	if t != nil && t.Type() == fastjson.TypeObject {
		switch string(t.GetStringBytes("relation")) {
		case "eq":
		case "gte":
			gte = true
		default:
			return malformedf("a total without its relation")
		}
		t = t.Get("value")
	}
	if t == nil || t.Type() != fastjson.TypeNumber {
		return malformedf("no total")
	}
	n, err := t.Int64()
	if err != nil {
		return malformedf("total: want a whole number from nought, not %s", t)
	}
	return p.setTotal(part, n, gte, hits)
}

// setTotal checks and keeps how many hits a part counted.
func (p *Plan) setTotal(part *Part, n int64, gte bool, hits int) error {
	switch {
	case n < 0:
		return malformedf("total: want a whole number from nought, not %d", n)
	case gte && (p.Limit == Exact || n < p.Limit):
		return malformedf("a total that is not counted as far as asked")
	case !gte && n < int64(hits):
		return malformedf("a total of %d, with %d hits", n, hits)
	}
	part.total, part.totalIsLowerBound = n, gte
	return nil
}
