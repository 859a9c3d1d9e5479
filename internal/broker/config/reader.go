package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"github.com/valyala/fastjson"
)

// reader reads the keys of one JSON object. The document that it belongs to collects every fault, each with the full name of its key. A reader of an absent object (v is nil)
// returns defaults.
type reader struct {
	v    *fastjson.Value
	path string
	doc  *document
	keys map[string]bool // the keys that were read, or checked for
}

// document is common to the readers of one file.
type document struct {
	faults  []error
	objects map[string]reader
	order   []string // the paths of objects, in the order in which they were read
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

// reader returns the reader of an object, the same one each time.
func (d *document) reader(v *fastjson.Value, path string) reader {
	if r, ok := d.objects[path]; ok && r.v == v {
		return r
	}
	r := reader{v: v, path: path, doc: d, keys: map[string]bool{}}
	d.objects[path], d.order = r, append(d.order, path)
	return r
}

// err returns all faults joined; nil if there are none.
func (r reader) err() error { return errors.Join(r.doc.faults...) }

// name returns the full name of a key.
func (r reader) name(key string) string {
	switch {
	case r.path == "":
		return key
	case key == "":
		return r.path
	}
	return r.path + "." + key
}

// fault records a fault of a key. The same fault is recorded only the first time.
func (r reader) fault(key, format string, args ...any) {
	fault := fmt.Errorf("%s: %s", r.name(key), fmt.Sprintf(format, args...))
	if !slices.ContainsFunc(r.doc.faults, func(o error) bool { return o.Error() == fault.Error() }) {
		r.doc.faults = append(r.doc.faults, fault)
	}
}

// strict reports keys that were never read, and keys that stand twice, as faults, in all objects that were read.
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

// nearest returns the known key that an unknown one was most likely meant to be; empty if none is near.
func nearest(key string, known map[string]bool) string {
	best, least := "", max(2, len(key)/3)+1
	for _, k := range slices.Sorted(maps.Keys(known)) {
		if d := distance(key, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// distance is the Levenshtein distance of two strings, in bytes.
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

// get returns the value of a key; nil if it is absent, null, or of another type, which is a fault.
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

// has reports whether a key is there and not null.
func (r reader) has(key string) bool {
	if r.keys != nil {
		r.keys[key] = true
	}
	return r.v != nil && r.v.Get(key) != nil && r.v.Get(key).Type() != fastjson.TypeNull
}

// require reports missing keys as faults.
func (r reader) require(keys ...string) {
	for _, k := range keys {
		if !r.has(k) {
			r.fault(k, "missing")
		}
	}
}

// object returns the reader of an object in this one.
func (r reader) object(key string) reader {
	return r.doc.reader(r.get(key, fastjson.TypeObject), r.name(key))
}

// array returns the readers of an array of objects.
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

// integer returns a whole number, also where it is written as a fraction such as 1e3.
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

// boolean returns true or false; false if the key is absent.
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

// floats returns a list of exactly n numbers, one for each class.
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

// strs returns a list of strings; empty if it is absent.
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

// addrPort parses an IPv4 address and port.
func (r reader) addrPort(key, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(value)
	if err != nil || !a.Addr().Is4() {
		r.fault(key, "%q is not an IPv4 address and port", value)
	}
	return a
}

// hostPort checks that a value is host:port.
func (r reader) hostPort(key, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		r.fault(key, "%q is not host:port", value)
	}
}

// optionalHostPort checks that a value is host:port or empty.
func (r reader) optionalHostPort(key, value string) {
	if value != "" {
		r.hostPort(key, value)
	}
}

// seed parses the key seed, hex digits.
func (r reader) seed() uint64 {
	seed, err := strconv.ParseUint(r.str("seed", "0"), 16, 64)
	if err != nil {
		r.fault("seed", "want hex digits, not %q", r.str("seed", ""))
	}
	return seed
}
