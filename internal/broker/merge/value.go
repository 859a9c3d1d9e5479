package merge

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/big"
	"strconv"
	"unsafe"

	"github.com/valyala/fastjson"
)

// Kind is the type of a sort value or of a bucket key.
type Kind uint8

// The kinds of sort values.
const (
	Missing Kind = iota // the document has no value
	Number              // an integer or a float64; dates are numbers too
	Text
	Bool
)

func (k Kind) String() string { return [...]string{"nothing", "number", "keyword", "boolean"}[k] }

// Value is one sort value. Integers are exact over the complete range of int64.
type Value struct {
	Kind      Kind
	isInteger bool
	integer   int64
	real      float64
	text      string
}

// Int returns an integer as a Value.
func Int(i int64) Value { return Value{Kind: Number, isInteger: true, integer: i} }

// Float returns a float64 as a Value. -0 becomes 0, and integers of magnitude below 2^53 equal
// those that Int returns.
func Float(f float64) Value {
	if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return Int(int64(f))
	}
	return Value{Kind: Number, real: f}
}

// String returns a keyword as a Value.
func String(s string) Value { return Value{Kind: Text, text: s} }

var errInvalidValue = errors.New("want a number, a string, true, false or null")

// parseValue parses a sort value. Numbers other than int64 are rounded to the nearest float64.
func parseValue(v *fastjson.Value) (Value, error) { return readValue(v, nil) }

// readValue is parseValue with an arena for keywords. With a nil arena each keyword is allocated
// separately.
func readValue(v *fastjson.Value, a *arena) (Value, error) {
	switch v.Type() {
	case fastjson.TypeNull:
		return Value{}, nil
	case fastjson.TypeString:
		if a != nil {
			return String(a.string(v.GetStringBytes())), nil
		}
		return String(string(v.GetStringBytes())), nil
	case fastjson.TypeTrue:
		return Value{Kind: Bool, integer: 1}, nil
	case fastjson.TypeFalse:
		return Value{Kind: Bool}, nil
	case fastjson.TypeNumber:
		return readNumber(v)
	}
	return Value{}, fmt.Errorf("%w, got %s", errInvalidValue, v.Type())
}

// parseFloat returns the float64 nearest to a JSON number. It does not use fastjson's own
// conversion, which is sometimes off by one bit.
func parseFloat(v *fastjson.Value) (float64, error) {
	if v == nil || v.Type() != fastjson.TypeNumber {
		return 0, errInvalidValue
	}
	var buf [40]byte
	return parseFloatText(v.MarshalTo(buf[:0]))
}

func parseFloatText(text []byte) (float64, error) {
	f, err := strconv.ParseFloat(unsafe.String(unsafe.SliceData(text), len(text)), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) { // fastjson accepts NaN and Inf as numbers
		return 0, fmt.Errorf("%w, got %.40s", errInvalidValue, bytes.Clone(text))
	}
	return f, nil
}

// readNumber parses a JSON number. Integers are exact.
func readNumber(v *fastjson.Value) (Value, error) {
	var buf [40]byte
	text := v.MarshalTo(buf[:0])
	if !bytes.ContainsAny(text, ".eE") {
		if i, err := strconv.ParseInt(unsafe.String(unsafe.SliceData(text), len(text)), 10, 64); err == nil {
			return Int(i), nil
		}
	}
	f, err := parseFloatText(text)
	return Float(f), err
}

// compare orders two values of the same kind. Neither may be missing.
func (a Value) compare(b Value) int {
	switch {
	case a.Kind == Text:
		return cmp.Compare(a.text, b.text)
	case a.Kind == Bool, a.isInteger && b.isInteger:
		return cmp.Compare(a.integer, b.integer)
	case !a.isInteger && !b.isInteger:
		return cmp.Compare(a.real, b.real)
	case a.isInteger:
		return -compareMixed(b.real, a.integer)
	}
	return compareMixed(a.real, b.integer)
}

// compareMixed compares a float64 with an integer exactly, even if no float64 equals the integer.
func compareMixed(f float64, i int64) int {
	if math.Abs(f) >= 1<<63 {
		return cmp.Compare(f, 0)
	}
	return new(big.Float).SetFloat64(f).Cmp(new(big.Float).SetInt64(i))
}

func (a Value) float() float64 {
	if a.isInteger {
		return float64(a.integer)
	}
	return a.real
}

// append appends the value as JSON.
func (a Value) append(dst []byte) []byte {
	switch {
	case a.Kind == Missing:
		return append(dst, "null"...)
	case a.Kind == Text:
		return appendString(dst, a.text)
	case a.Kind == Bool:
		return strconv.AppendBool(dst, a.integer == 1)
	case a.isInteger:
		return strconv.AppendInt(dst, a.integer, 10)
	}
	return strconv.AppendFloat(dst, a.real, 'g', -1, 64)
}

func appendString(dst []byte, s string) []byte {
	var a fastjson.Arena
	return a.NewString(s).MarshalTo(dst)
}

// ParseValues parses a non-empty JSON array of sort values.
func ParseValues(v *fastjson.Value) ([]Value, error) {
	if v.Type() != fastjson.TypeArray || len(v.GetArray()) == 0 {
		return nil, errors.New("want a non-empty list of values")
	}
	var out []Value
	for i, x := range v.GetArray() {
		s, err := parseValue(x)
		if err != nil {
			return nil, fmt.Errorf("value %d: %w", i, err)
		}
		out = append(out, s)
	}
	return out, nil
}

// AppendValues appends a JSON array of sort values.
func AppendValues(dst []byte, values []Value) []byte {
	dst = append(dst, '[')
	for i, v := range values {
		if i > 0 {
			dst = append(dst, ',')
		}
		dst = v.append(dst)
	}
	return append(dst, ']')
}
