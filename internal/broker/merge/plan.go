package merge

import (
	"errors"
	"fmt"
)

// Key is one sort key.
type Key struct {
	Field        string
	Desc         bool
	MissingFirst bool // documents without the field sort first in either direction
}

// Fields that every hit has.
const (
	Score = "_score"
	ID    = "_id"
)

// Special values of Plan.Limit: with Exact all hits are counted, with Uncounted none. A positive
// limit counts up to that number.
const (
	Exact     = int64(-1)
	Uncounted = int64(0)
)

// Plan is what a query requests of the merge. NewPlan returns it.
type Plan struct {
	Keys           []Key // sort keys; includes _id as the tie-break
	From, Size     int
	After          []Value // sort values of the last hit of the previous page; nil: the first page
	Limit          int64   // Exact, Uncounted, or the number up to which hits are counted
	Aggs           []*Agg
	AsOf           int64 // time of the searched state, in Unix microseconds; 0: the current state
	Binary         bool  // servers may answer in the binary form
	ClientKeys     int   // number of sort keys in the request; 0: by score, and hits have no sort values
	afterWithoutID bool  // After has no _id: all hits that tie with it belong to previous pages
}

// ErrPlan is wrapped by the errors for an invalid page.
var ErrPlan = errors.New("invalid page")

// NewPlan returns a plan with the client's sort keys, or by score if there are none, and with _id
// appended as the last key unless it is among them. No two documents of an index have the same _id,
// so the order is total and depends neither on replicas nor on the order of arrival. Errors wrap
// ErrPlan.
func NewPlan(keys []Key, from, size int, after []Value, limit int64) (*Plan, error) {
	p := &Plan{Keys: append([]Key(nil), keys...), From: from, Size: size, After: after, Limit: limit, ClientKeys: len(keys)}
	if len(keys) == 0 {
		p.Keys = []Key{{Field: Score, Desc: true}}
	}
	tie := false
	for _, k := range p.Keys {
		tie = tie || k.Field == ID
	}
	if !tie {
		p.Keys = append(p.Keys, Key{Field: ID})
	}
	if from < 0 || size < 0 {
		return nil, fmt.Errorf("%w: [from] and [size] must be 0 or more", ErrPlan)
	}
	if after == nil {
		return p, nil
	}
	switch {
	case from != 0:
		return nil, fmt.Errorf("%w: `from` parameter must be set to 0 when `search_after` is used", ErrPlan)
	case len(after) == len(p.Keys):
	case len(after) == len(keys) && len(keys) > 0:
		p.afterWithoutID = true
	default:
		return nil, fmt.Errorf("%w: search_after has %d value(s) but sort has %d", ErrPlan, len(after), len(p.Keys))
	}
	return p, nil
}

// Window returns the maximum number of hits of each part that the page may need.
func (p *Plan) Window() int { return p.From + p.Size }

// compare orders two hits by their sort values, whose kinds must agree.
func (p *Plan) compare(a, b []Value) int {
	for i := range min(len(a), len(b)) {
		x, y, k := a[i], b[i], p.Keys[i]
		switch {
		case x.Kind == Missing && y.Kind == Missing:
		case x.Kind == Missing || y.Kind == Missing:
			if (x.Kind == Missing) == k.MissingFirst {
				return -1
			}
			return 1
		default:
			if c := x.compare(y); c != 0 {
				if k.Desc {
					return -c
				}
				return c
			}
		}
	}
	return 0
}

// mergeKinds merges the kinds of one hit's values into seen. It returns a MixedError if a key has
// values of two kinds.
func (p *Plan) mergeKinds(seen []Kind, values []Value) error {
	for i, v := range values {
		switch {
		case v.Kind == Missing, v.Kind == seen[i]:
		case seen[i] == Missing:
			seen[i] = v.Kind
		default:
			return &MixedError{p.Keys[i].Field, seen[i], v.Kind}
		}
	}
	return nil
}

// MixedError reports that a field has values of two kinds, which have no common order. For buckets
// Field is the name of the aggregation.
type MixedError struct {
	Field string
	A, B  Kind
}

func (e *MixedError) Error() string {
	return fmt.Sprintf("can't sort on field [%s]: it has both %s and %s values", e.Field, e.A, e.B)
}
