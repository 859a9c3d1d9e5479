package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/valyala/fastjson"
)

// reader walks one JSON object. The document that it belongs to keeps every fault that is met, each with the full name of the key.
type reader struct {
	v    *fastjson.Value
	path string
	doc  *document
	keys map[string]bool // those that were asked for
}

// document is what the readers of one file share.
type document struct {
	faults  []error
	objects map[string]reader
	order   []string // their paths, as they were met
}

func newReader(text []byte) (reader, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return reader{}, fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return reader{}, fmt.Errorf("want a JSON object, not %s", v.Type())
	}
	return (&document{objects: map[string]reader{}}).reader(v, ""), nil
}

// reader is the one of an object; the same one each time.
func (d *document) reader(v *fastjson.Value, path string) reader {
	if r, ok := d.objects[path]; ok && r.v == v {
		return r
	}
	r := reader{v: v, path: path, doc: d, keys: map[string]bool{}}
	d.objects[path], d.order = r, append(d.order, path)
	return r
}

// err joins the faults; nil where there are none.
func (r reader) err() error { return errors.Join(r.doc.faults...) }

func (r reader) name(key string) string {
	switch {
	case r.path == "":
		return key
	case key == "":
		return r.path
	}
	return r.path + "." + key
}

func (r reader) fault(key, format string, args ...any) {
	fault := fmt.Errorf("%s: %s", r.name(key), fmt.Sprintf(format, args...))
	if !slices.ContainsFunc(r.doc.faults, func(o error) bool { return o.Error() == fault.Error() }) {
		r.doc.faults = append(r.doc.faults, fault)
	}
}

// strict has keys that nobody asked for, and keys that stand twice, be faults, in all objects that were read.
func (r reader) strict() {
	for _, path := range r.doc.order {
		o := r.doc.objects[path]
		if o.v == nil {
			continue
		}
		seen := map[string]bool{}
		o.v.GetObject().Visit(func(k []byte, _ *fastjson.Value) {
			key := string(k)
			switch {
			case seen[key]:
				o.fault(key, "it is there twice")
			case !o.keys[key]:
				if near := nearest(key, o.keys); near != "" {
					o.fault(key, "unknown key; is it %q?", near)
				} else {
					o.fault(key, "unknown key")
				}
			}
			seen[key] = true
		})
	}
}

// nearest is the known key that a wrong one was most likely meant to be, or nothing.
func nearest(key string, known map[string]bool) string {
	best, least := "", max(2, len(key)/3)+1
	for _, k := range slices.Sorted(maps.Keys(known)) {
		if d := distance(key, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is how many letters have to be put in, taken out or changed (Levenshtein).
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		before := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := before
			if a[i] != b[j] {
				change++
			}
			before = row[j+1]
			row[j+1] = min(change, row[j]+1, before+1)
		}
	}
	return row[len(b)]
}

// get is the value at a key, or nil where it is absent, null or of another type.
func (r reader) get(key string, want fastjson.Type) *fastjson.Value {
	if r.keys != nil {
		r.keys[key] = true
	}
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
	if r.keys != nil {
		r.keys[key] = true
	}
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
	return r.doc.reader(r.get(key, fastjson.TypeObject), r.name(key))
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
			reader{path: path, doc: r.doc}.fault("", "want an object, not %s", item.Type())
			continue
		}
		items = append(items, r.doc.reader(item, path))
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

// strs reads a list of strings; absent, it is empty.
func (r reader) strs(key string) (out []string) {
	for i, v := range r.get(key, fastjson.TypeArray).GetArray() {
		if v.Type() != fastjson.TypeString {
			r.fault(fmt.Sprintf("%s[%d]", key, i), "want string, not %s", v.Type())
			continue
		}
		out = append(out, string(v.GetStringBytes()))
	}
	return out
}
