package merge

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// Part is the validated answer of one server to its part of a query. It is immutable.
type Part struct {
	body              []byte   // the JSON object that contains "hits", or the binary form
	texts             [][]byte // JSON of each hit, without sort values; nil: parsed from body on demand
	values            []Value  // sort values of all hits, concatenated
	hits              int
	kinds             []Kind
	total             int64
	totalIsLowerBound bool
	maxScore          float64 // highest score; -Inf if there is none
	hasScore          bool
	keywords          arena
	expired           bool
	reader            reader // number of buckets, sketches and centroids
	aggs              []*node
}

// ExpiredPart returns the part for a server that no longer has the state as of Plan.AsOf. It has no
// hits.
func ExpiredPart() *Part { return &Part{expired: true} }

// Size estimates the memory of a part in bytes, not counting its text: 40 for a sort value, about
// 350 for a bucket with one sub-aggregation, up to 16 KiB for a sketch, 16 for a centroid.
func (part *Part) Size() int {
	return 40*len(part.values) + 350*part.reader.buckets + 16<<10*part.reader.sketches + 16*part.reader.centroids
}

// Expired reports whether the part is an ExpiredPart.
func (part *Part) Expired() bool { return part.expired }

// ErrMalformedPart is wrapped by the errors for an answer that does not match the request. The
// attempt has failed, and the answer must not be merged.
var ErrMalformedPart = errors.New("merge: malformed partial answer")

func malformedf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformedPart, fmt.Sprintf(format, args...))
}

// Read validates the answer of one server. v is the parsed body, a JSON object with the key "hits".
// The part retains body, but not v. Read rejects an answer with more hits than requested, with hits
// that are out of order or precede the page, or with invalid sort values. Every error wraps
// ErrMalformedPart.
func (p *Plan) Read(v *fastjson.Value, body []byte) (*Part, error) {
	h := v.Get("hits")
	list := h.Get("hits")
	if list == nil || list.Type() != fastjson.TypeArray {
		return nil, malformedf("hits.hits is not a list")
	}
	hits := list.GetArray()
	if len(hits) > p.Window() {
		return nil, malformedf("%d hits, but at most %d were requested", len(hits), p.Window())
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
		if p.Keys[0].Field == Score { // already parsed as a sort value
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

// validateHit checks that hit i, the last one read, sorts after the previous hit and after
// Plan.After.
func (p *Plan) validateHit(part *Part, i int) error {
	now := part.sortValuesAt(i, len(p.Keys))
	if err := p.mergeKinds(part.kinds, now); err != nil {
		return malformedf("%v", err)
	}
	if i > 0 && p.compare(part.sortValuesAt(i-1, len(p.Keys)), now) >= 0 {
		return malformedf("hit %d does not sort after the previous hit", i)
	}
	if i == 0 && p.After != nil {
		if err := p.mergeKinds(append([]Kind(nil), part.kinds...), p.After); err == nil && p.compare(now, p.After) <= 0 {
			return malformedf("the first hit precedes the requested page")
		}
	}
	return nil
}

// appendSortValues returns the part's values with those of one hit appended. If the hit has no sort
// list, it uses the hit's score and id.
func (p *Plan) appendSortValues(part *Part, x *fastjson.Value) ([]Value, error) {
	dst := part.values
	given := x.Get("sort")
	if given != nil {
		list := given.GetArray()
		if len(list) != len(p.Keys) {
			return nil, malformedf("%d sort values, but %d were requested", len(list), len(p.Keys))
		}
		for i, s := range list {
			v, err := readValue(s, &part.keywords)
			if err != nil {
				return nil, malformedf("invalid sort value of [%s]: %v", p.Keys[i].Field, err)
			}
			dst = append(dst, v)
		}
		return dst, nil
	}
	for _, k := range p.Keys {
		s := x.Get(k.Field)
		if k.Field != Score && k.Field != ID || s == nil {
			return nil, malformedf("missing sort value of [%s]", k.Field)
		}
		v, err := readValue(s, &part.keywords)
		if err != nil {
			return nil, malformedf("invalid value of [%s]: %v", k.Field, err)
		}
		dst = append(dst, v)
	}
	return dst, nil
}

func (part *Part) sortValuesAt(i, keys int) []Value { return part.values[i*keys : (i+1)*keys] }

// readTotal reads hits.total, which older servers send as a plain number.
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
			return malformedf("hits.total.relation is neither eq nor gte")
		}
		t = t.Get("value")
	}
	if t == nil || t.Type() != fastjson.TypeNumber {
		return malformedf("missing total number of hits")
	}
	n, err := t.Int64()
	if err != nil {
		return malformedf("invalid total number of hits %s: want an integer of 0 or more", t)
	}
	return p.setTotal(part, n, gte, hits)
}

// setTotal validates and stores the total number of hits of a part.
func (p *Plan) setTotal(part *Part, n int64, gte bool, hits int) error {
	switch {
	case n < 0:
		return malformedf("invalid total number of hits %d: want an integer of 0 or more", n)
	case gte && (p.Limit == Exact || n < p.Limit):
		return malformedf("total number of hits is a lower bound below the requested limit")
	case !gte && n < int64(hits):
		return malformedf("total of %d is less than the %d hits of the answer", n, hits)
	}
	part.total, part.totalIsLowerBound = n, gte
	return nil
}
