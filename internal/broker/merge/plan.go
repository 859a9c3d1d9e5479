package merge

import (
	"errors"
	"fmt"
)

// Key is one key of the order.
type Key struct {
	Field        string
	Desc         bool
	MissingFirst bool // where documents without the field go
}

// Fields that every hit has.
const (
	Score = "_score"
	ID    = "_id"
)

// Exact asks for the number of all hits, Uncounted for none; any other limit above nought for the number up to it.
const (
	Exact     = int64(-1)
	Uncounted = int64(0)
)

// Plan is what a query asks of the merge. Make one with NewPlan.
type Plan struct {
	Keys       []Key // the last one is the tie-break, by _id
	From, Size int
	After      []Value // of the last hit of the page before; nil: the first page
	Limit      int64   // Exact, Uncounted, or how far hits are counted
	Aggs       []*Agg
	AsOf       int64 // the time whose state is asked for, in Unix microseconds; 0: as things are
	Binary     bool  // servers may answer in the binary form
	Asked      int   // keys that the client gave; 0: by score, and hits show no sort values
	loose      bool  // After names no tie-break: all hits that tie with it stand before it
}

// ErrPlan marks a plan that makes no sense.
var ErrPlan = errors.New("invalid page")

// NewPlan makes a plan by the client's keys (none: by score), with the tie-break that makes the order total: no two documents of an
// index have the same _id, so neither holders nor the order of arrival decide.
func NewPlan(keys []Key, from, size int, after []Value, limit int64) (*Plan, error) {
	p := &Plan{Keys: append([]Key(nil), keys...), From: from, Size: size, After: after, Limit: limit, Asked: len(keys)}
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
		p.loose = true
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

// kinds takes the kinds of one hit's values into those seen; it names the key at which they are mixed.
func (p *Plan) kinds(seen []Kind, values []Value) error {
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

// MixedError says that a field has values that can't be ordered among each other.
type MixedError struct {
	Field string
	A, B  Kind
}

func (e *MixedError) Error() string {
	return fmt.Sprintf("can't sort on field [%s]: it has both %s and %s values", e.Field, e.A, e.B)
}
