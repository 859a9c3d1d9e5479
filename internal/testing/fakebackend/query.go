package fakebackend

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// Row is one document. Layout ranges partition rows by Key.
type Row struct {
	Key    int64
	ID     string
	Score  float64        // the same for every query
	Fields map[string]any // int64, float64 or string
	From   int64          // when it was written, in Unix microseconds; 0: it always existed
	Until  int64          // when it was deleted, in Unix microseconds; 0: not deleted
}

// matches reports whether a row with this key matches the query. It supports range, term, terms and
// bool; any other clause matches all rows.
func matches(q *fastjson.Value, field string, key int64) bool {
	if q == nil {
		return true
	}
	switch {
	case q.Exists("range"):
		b := q.Get("range", field)
		lo, hi := int64(math.MinInt64), int64(math.MaxInt64)
		if v := b.Get("gte"); v != nil {
			lo = number(v)
		}
		if v := b.Get("gt"); v != nil {
			lo = number(v) + 1
		}
		if v := b.Get("lt"); v != nil {
			hi = number(v)
		}
		if v := b.Get("lte"); v != nil {
			hi = number(v) + 1
		}
		return key >= lo && key < hi
	case q.Exists("term"):
		v := q.Get("term", field)
		if v != nil && v.Type() == fastjson.TypeObject {
			v = v.Get("value")
		}
		return number(v) == key
	case q.Exists("terms"):
		for _, v := range q.GetArray("terms", field) {
			if number(v) == key {
				return true
			}
		}
		return false
	case q.Exists("bool"):
		b := q.Get("bool")
		for _, must := range append(clauses(b.Get("filter")), clauses(b.Get("must"))...) {
			if !matches(must, field, key) {
				return false
			}
		}
		should := clauses(b.Get("should"))
		for _, s := range should {
			if matches(s, field, key) {
				return true
			}
		}
		return len(should) == 0 || b.Exists("filter") || b.Exists("must")
	}
	return true
}

func clauses(v *fastjson.Value) []*fastjson.Value {
	if v != nil && v.Type() == fastjson.TypeObject {
		return []*fastjson.Value{v}
	}
	return v.GetArray()
}

func number(v *fastjson.Value) int64 {
	text := v.String()
	if v != nil && v.Type() == fastjson.TypeString {
		text = string(v.GetStringBytes())
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return math.MinInt64
	}
	return n
}

// SortRows sorts rows by key, as NewCluster requires.
func SortRows(rows []Row) {
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
}
