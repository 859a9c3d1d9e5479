package merge

import (
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// Part is what one part of a query gave, read and judged by itself.
type Part struct {
	body   []byte   // the object that has "hits", or the binary form
	texts  [][]byte // of the hits, without sort values; nil: they are read from body
	values []Value  // of each hit, one after the other
	hits   int
	kinds  []Kind
	total  int64
	gte    bool
	top    float64 // the best score
	scored bool
	ids    arena
	gone   bool
	read   reader // how many buckets, sketches and centroids it has
	aggs   []*node
}

// GonePart is what a server gives that holds the state of a query's time no longer.
func GonePart() *Part { return &Part{gone: true} }

// Size is about how many bytes a part keeps beside its text: a sort value takes 40, a bucket with one figure under it some 350, a
// sketch up to 16 KiB.
func (part *Part) Size() int {
	return 40*len(part.values) + 350*part.read.buckets + 16<<10*part.read.sketches + 16*part.read.centroids
}

// Gone tells such a part.
func (part *Part) Gone() bool { return part.gone }

// ErrPart marks what a server must not give: the attempt has failed, and no page may come of it.
var ErrPart = errors.New("not what was asked for")

func wrong(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrPart, fmt.Sprintf(format, args...))
}

// Read judges a part's answer, which body holds as a JSON object with the key hits, already read as v. It keeps body. Guards the page
// against a part that has more hits than asked for, is not in the order asked for, lies before the page's beginning, or has
// sort values that are none: any of these is a failed attempt.
func (p *Plan) Read(v *fastjson.Value, body []byte) (*Part, error) {
	h := v.Get("hits")
	list := h.Get("hits")
	if list == nil || list.Type() != fastjson.TypeArray {
		return nil, wrong("no list of hits")
	}
	hits := list.GetArray()
	if len(hits) > p.Window() {
		return nil, wrong("%d hits, where %d were asked for", len(hits), p.Window())
	}
	part := p.newPart(body, len(hits))
	if err := p.readTotal(part, h, len(hits)); err != nil {
		return nil, err
	}
	for i, x := range hits {
		var err error
		if part.values, err = p.sortValues(part, x); err != nil {
			return nil, err
		}
		if err := p.judge(part, i); err != nil {
			return nil, err
		}
		if p.Keys[0].Field == Score { // the best one comes first or last, and is read already
			if v := part.at(i, len(p.Keys))[0]; v.Kind == Number {
				part.top, part.scored = max(part.top, v.float()), true
			}
		} else if score, err := parseFloat(x.Get("_score")); err == nil {
			part.top, part.scored = max(part.top, score), true
		}
	}
	if len(p.Aggs) > 0 {
		var err error
		if part.aggs, err = part.read.all(p.Aggs, v.Get("aggregations")); err != nil {
			return nil, err
		}
	}
	return part, nil
}

func (p *Plan) newPart(body []byte, hits int) *Part {
	return &Part{body: body, hits: hits, kinds: make([]Kind, len(p.Keys)), top: math.Inf(-1), values: make([]Value, 0, hits*len(p.Keys))}
}

// judge judges the hit whose values came in last, against the one before it and against where the page begins.
func (p *Plan) judge(part *Part, i int) error {
	now := part.at(i, len(p.Keys))
	if err := p.kinds(part.kinds, now); err != nil {
		return wrong("%v", err)
	}
	if i > 0 && p.compare(part.at(i-1, len(p.Keys)), now) >= 0 {
		return wrong("hit %d does not come after the one before it", i)
	}
	if i == 0 && p.After != nil {
		if err := p.kinds(append([]Kind(nil), part.kinds...), p.After); err == nil && p.compare(now, p.After) <= 0 {
			return wrong("a hit that stands before the page")
		}
	}
	return nil
}

// sortValues appends those of one hit. Where a server gives none, score and id speak for themselves.
func (p *Plan) sortValues(part *Part, x *fastjson.Value) ([]Value, error) {
	dst := part.values
	given := x.Get("sort")
	if given != nil {
		list := given.GetArray()
		if len(list) != len(p.Keys) {
			return nil, wrong("%d sort values, where %d were asked for", len(list), len(p.Keys))
		}
		for i, s := range list {
			v, err := readValue(s, &part.ids)
			if err != nil {
				return nil, wrong("sort value of [%s]: %v", p.Keys[i].Field, err)
			}
			dst = append(dst, v)
		}
		return dst, nil
	}
	for _, k := range p.Keys {
		s := x.Get(k.Field)
		if k.Field != Score && k.Field != ID || s == nil {
			return nil, wrong("no sort value of [%s]", k.Field)
		}
		v, err := readValue(s, &part.ids)
		if err != nil {
			return nil, wrong("[%s]: %v", k.Field, err)
		}
		dst = append(dst, v)
	}
	return dst, nil
}

func (part *Part) at(i, keys int) []Value { return part.values[i*keys : (i+1)*keys] }

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
			return wrong("a total without its relation")
		}
		t = t.Get("value")
	}
	if t == nil || t.Type() != fastjson.TypeNumber {
		return wrong("no total")
	}
	n, err := t.Int64()
	if err != nil {
		return wrong("total: want a whole number from nought, not %s", t)
	}
	return p.total(part, n, gte, hits)
}

// total takes in how many hits a part has.
func (p *Plan) total(part *Part, n int64, gte bool, hits int) error {
	switch {
	case n < 0:
		return wrong("total: want a whole number from nought, not %d", n)
	case gte && (p.Limit == Exact || n < p.Limit):
		return wrong("a total that is not counted as far as asked")
	case !gte && n < int64(hits):
		return wrong("a total of %d, with %d hits", n, hits)
	}
	part.total, part.gte = n, gte
	return nil
}
