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

// reader reads the keys of one JSON object. Its methods return defaults for absent and invalid
// values, and record each fault in the document with the full name of the key. The reader of an
// absent object (v is nil) returns defaults only.
type reader struct {
	v    *fastjson.Value
	path string // full name of the object; empty for the file itself
	doc  *document
	keys map[string]bool // the keys that were read or tested for
}

// document is the state shared by the readers of one file.
type document struct {
	faults  []error
	objects map[string]reader // by path
	order   []string          // the paths of objects, in the order in which they were read
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

// reader returns the reader of an object. Repeated calls return the same reader, so that it knows
// all keys that were read.
func (d *document) reader(v *fastjson.Value, path string) reader {
	if r, ok := d.objects[path]; ok && r.v == v {
		return r
	}
	r := reader{v: v, path: path, doc: d, keys: map[string]bool{}}
	d.objects[path], d.order = r, append(d.order, path)
	return r
}

// err returns all faults joined, or nil if there are none.
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

// fault records a fault of a key. Duplicates are ignored.
func (r reader) fault(key, format string, args ...any) {
	fault := fmt.Errorf("%s: %s", r.name(key), fmt.Sprintf(format, args...))
	if !slices.ContainsFunc(r.doc.faults, func(o error) bool { return o.Error() == fault.Error() }) {
		r.doc.faults = append(r.doc.faults, fault)
	}
}

// checkKeys reports unknown keys, that is, keys that were never read, and duplicate keys in all
// objects that were read.
func (r reader) checkKeys() {
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
				if similar := closestKey(key, o.keys); similar != "" {
					o.fault(key, "unknown key; is it %q?", similar)
				} else {
					o.fault(key, "unknown key")
				}
			}
			seen[key] = true
		})
	}
}

// closestKey returns the known key with the smallest edit distance to an unknown one, or the empty
// string if none is similar enough.
func closestKey(key string, known map[string]bool) string {
	best, minDistance := "", max(2, len(key)/3)+1
	for _, k := range slices.Sorted(maps.Keys(known)) {
		if d := editDistance(key, k); d < minDistance {
			best, minDistance = k, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// get returns the value of a key. It returns nil if the key is absent or null, and also if the
// value is of another type, which it reports.
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

// has reports whether a key is present and not null.
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

// object returns the reader of a nested object.
func (r reader) object(key string) reader {
	return r.doc.reader(r.get(key, fastjson.TypeObject), r.name(key))
}

// array returns the readers of the elements of an array of objects.
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

func (r reader) str(key, def string) string {
	if v := r.get(key, fastjson.TypeString); v != nil {
		return string(v.GetStringBytes())
	}
	return def
}

func (r reader) float(key string, def float64) float64 {
	if v := r.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return def
}

// integer returns an integer, which may also be written in another form such as 1e3 or 2.0.
func (r reader) integer(key string, def int64) int64 {
	v := r.get(key, fastjson.TypeNumber)
	if v == nil {
		return def
	}
	if n, err := v.Int64(); err == nil {
		return n
	}
	f := v.GetFloat64()
	if f != math.Trunc(f) || math.Abs(f) > 1<<53 {
		r.fault(key, "want an integer, not %s", v)
		return def
	}
	return int64(f)
}

func (r reader) count(key string, def int) int { return int(r.integer(key, int64(def))) }

// boolean returns the value of a key, or false if the key is absent.
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

// floats returns a list of exactly n numbers, one for each class. A list of another length is reported.
func (r reader) floats(key string, n int) []float64 {
	out := make([]float64, n)
	v := r.get(key, fastjson.TypeArray)
	if items := v.GetArray(); len(items) != n {
		r.fault(key, "want one number for each of the %d classes, not %d", n, len(items))
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

// strs returns a list of strings, nil if the key is absent.
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

// addrPort parses an IPv4 address and port. key is named in the fault.
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

// seed returns the value of the key seed, a hexadecimal string; 0 if it is absent.
func (r reader) seed() uint64 {
	seed, err := strconv.ParseUint(r.str("seed", "0"), 16, 64)
	if err != nil {
		r.fault("seed", "want hex digits, not %q", r.str("seed", ""))
	}
	return seed
}
