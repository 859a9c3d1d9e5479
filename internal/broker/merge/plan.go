package merge

import (
	"errors"
	"fmt"
)

// Key is one key of the sort order.
type Key struct {
	Field        string
	Desc         bool
	MissingFirst bool // documents without the field come first, whatever the direction
}

// Fields that every hit has.
const (
	Score = "_score"
	ID    = "_id"
)

// Values of Plan.Limit: Exact counts all hits, Uncounted none. A limit above 0 counts up to it.
const (
	Exact     = int64(-1)
	Uncounted = int64(0)
)

// Plan is what a query requests of the merge. Make it with NewPlan.
type Plan struct {
	Keys           []Key // the last one is the tie-break, by _id
	From, Size     int
	After          []Value // sort values of the last hit of the previous page; nil: the first page
	Limit          int64   // Exact, Uncounted, or how far hits are counted
	Aggs           []*Agg
	AsOf           int64 // the time whose state is searched, in Unix microseconds; 0: the present
	Binary         bool  // servers may answer in the binary form
	ClientKeys     int   // how many keys the client gave; 0: by score, and hits have no sort values
	afterWithoutID bool  // After has no _id: all hits that tie with it belong to previous pages
}

// ErrPlan marks a plan whose page is invalid.
var ErrPlan = errors.New("invalid page")

// NewPlan returns a plan with the client's keys (none: by score), and with _id as the last key unless it is one. No two documents of an
// index have the same _id, so the order is total and depends neither on replicas nor on the order of arrival. Errors wrap ErrPlan.
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
		return nil, fmt.Errorf("%w: from and size want nought or more", ErrPlan)
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

// Window is how many hits of each part the page may need.
func (p *Plan) Window() int { return p.From + p.Size }

// compare orders two hits by their sort values; kinds agree.
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

// mergeKinds merges the kinds of one hit's values into those seen. Two kinds under one key give a MixedError.
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

// MixedError says that a field has values of two kinds, which have no common order. Field is the name of the aggregation for buckets.
type MixedError struct {
	Field string
	A, B  Kind
}

func (e *MixedError) Error() string {
	return fmt.Sprintf("can't sort on field [%s]: it has both %s and %s values", e.Field, e.A, e.B)
}
