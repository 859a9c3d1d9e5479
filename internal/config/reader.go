package config

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// reader walks one JSON object and keeps the first fault it meets, with the full name of the key.
type reader struct {
	v    *fastjson.Value
	path string
	err  *error
}

func newReader(text []byte) (reader, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return reader{}, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return reader{}, fmt.Errorf("want a JSON object, not %s", v.Type())
	}
	var first error
	return reader{v: v, err: &first}, nil
}

func (r reader) name(key string) string {
	if r.path == "" {
		return key
	}
	return r.path + "." + key
}

func (r reader) fault(key, format string, args ...any) {
	if *r.err == nil {
		*r.err = fmt.Errorf("%s: %s", r.name(key), fmt.Sprintf(format, args...))
	}
}

// get is the value at a key, or nil where it is absent, null or of another type.
func (r reader) get(key string, want fastjson.Type) *fastjson.Value {
	if r.v == nil {
		return nil
	}
	v := r.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != want {
		r.fault(key, "want %s, not %s", want, v.Type())
		return nil
	}
	return v
}

func (r reader) has(key string) bool {
	return r.v != nil && r.v.Get(key) != nil && r.v.Get(key).Type() != fastjson.TypeNull
}

func (r reader) require(keys ...string) {
	for _, k := range keys {
		if !r.has(k) {
			r.fault(k, "missing")
		}
	}
}

func (r reader) object(key string) reader {
	return reader{v: r.get(key, fastjson.TypeObject), path: r.name(key), err: r.err}
}

func (r reader) array(key string) []reader {
	v := r.get(key, fastjson.TypeArray)
	if v == nil {
		return nil
	}
	var items []reader
	for i, item := range v.GetArray() {
		path := fmt.Sprintf("%s[%d]", r.name(key), i)
		if item.Type() != fastjson.TypeObject {
			reader{path: path, err: r.err}.fault("", "want an object, not %s", item.Type())
			return nil
		}
		items = append(items, reader{v: item, path: path, err: r.err})
	}
	return items
}

func (r reader) str(key, otherwise string) string {
	if v := r.get(key, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return otherwise
}

func (r reader) float(key string, otherwise float64) float64 {
	if v := r.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return otherwise
}

func (r reader) integer(key string, otherwise int64) int64 {
	v := r.get(key, fastjson.TypeNumber)
	if v == nil {
		return otherwise
	}
	if n, err := v.Int64(); err == nil {
		return n
	}
	f := v.GetFloat64()
	if f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		r.fault(key, "want a whole number, not %s", v)
		return otherwise
	}
	return int64(f)
}

func (r reader) count(key string, otherwise int) int { return int(r.integer(key, int64(otherwise))) }

func (r reader) boolean(key string) bool {
	if !r.has(key) {
		return false
	}
	b, err := r.v.Get(key).Bool()
	if err != nil {
		r.fault(key, "want true or false")
	}
	return b
}

// floats reads a list of exactly n numbers.
func (r reader) floats(key string, n int) []float64 {
	out := make([]float64, n)
	v := r.get(key, fastjson.TypeArray)
	if items := v.GetArray(); len(items) != n {
		r.fault(key, "want one figure for each of %d classes, not %d", n, len(items))
	} else {
		for i, item := range items {
			f, err := item.Float64()
			if err != nil {
				r.fault(key, "entry %d is not a number", i)
			}
			out[i] = f
		}
	}
	return out
}
