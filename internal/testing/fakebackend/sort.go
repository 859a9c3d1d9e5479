package fakebackend

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/valyala/fastjson"
)

// order is a parsed sort clause. It supports objects of one field with the options order and missing.
type order []struct {
	field       string
	desc, first bool
}

func orderOf(v *fastjson.Value) (o order) {
	for _, x := range v.GetArray() {
		x.GetObject().Visit(func(name []byte, options *fastjson.Value) {
			o = append(o, struct {
				field       string
				desc, first bool
			}{string(name), string(options.GetStringBytes("order")) == "desc", string(options.GetStringBytes("missing")) == "_first"})
		})
	}
	return o
}

// Field returns the row's value of the named field as int64, float64 or string, or nil if it has
// none. key is the name under which the row's Key is queried.
func (r Row) Field(name, key string) any {
	switch name {
	case "_id":
		return r.ID
	case "_score":
		return r.Score
	case key:
		return r.Key
	}
	return r.Fields[name]
}

// values returns a row's sort values.
func (o order) values(r Row, key string) []any {
	out := make([]any, len(o))
	for i, k := range o {
		out[i] = r.Field(k.field, key)
	}
	return out
}

func (o order) compare(a, b []any) int {
	for i, k := range o {
		c := 0
		switch {
		case a[i] == nil && b[i] == nil:
		case a[i] == nil || b[i] == nil:
			if c = 1; (a[i] == nil) == k.first {
				c = -1
			}
			return c
		default:
			if c = compareAny(a[i], b[i]); k.desc {
				c = -c
			}
		}
		if c != 0 {
			return c
		}
	}
	return 0
}

func compareAny(a, b any) int {
	switch x := a.(type) {
	case string:
		y, _ := b.(string)
		return cmp.Compare(x, y)
	case int64:
		if y, ok := b.(int64); ok {
			return cmp.Compare(x, y)
		}
	}
	return cmp.Compare(float(a), float(b))
}

func float(v any) float64 {
	if i, ok := v.(int64); ok {
		return float64(i)
	}
	f, _ := v.(float64)
	return f
}

// page sorts rows and returns the first size of them after the search_after values, with their sort
// values.
func (o order) page(rows []Row, key string, after []any, size int) (out []Row, sorted [][]any) {
	type entry struct {
		row    Row
		values []any
	}
	var all []entry
	for _, r := range rows {
		v := o.values(r, key)
		if after == nil || o[:len(after)].compare(v[:len(after)], after) > 0 {
			all = append(all, entry{r, v})
		}
	}
	slices.SortFunc(all, func(a, b entry) int { return o.compare(a.values, b.values) })
	for _, e := range all[:min(size, len(all))] {
		out, sorted = append(out, e.row), append(sorted, e.values)
	}
	return out, sorted
}

// valuesOf parses a list of sort values. It returns nil if one cannot be parsed.
func valuesOf(v *fastjson.Value) (out []any) {
	for _, x := range v.GetArray() {
		d := json.NewDecoder(bytes.NewReader(x.MarshalTo(nil)))
		d.UseNumber()
		var a any
		if d.Decode(&a) != nil {
			return nil
		}
		if n, ok := a.(json.Number); ok {
			if i, err := n.Int64(); err == nil {
				a = i
			} else {
				a, _ = n.Float64()
			}
		}
		out = append(out, a)
	}
	return out
}
