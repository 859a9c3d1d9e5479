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

// Kind is the type of a sort value.
type Kind uint8

// The kinds of sort values.
const (
	Missing Kind = iota // the document has none
	Number              // whole or not; dates are numbers too
	Text
	Flag
)

func (k Kind) String() string { return [...]string{"nothing", "number", "keyword", "boolean"}[k] }

// Value is one sort value. Whole numbers are exact over the whole of int64.
type Value struct {
	Kind  Kind
	whole bool
	i     int64
	f     float64
	s     string
}

// Int, Float and String make values.
func Int(i int64) Value { return Value{Kind: Number, whole: true, i: i} }

// Float makes a number; -0 is 0.
func Float(f float64) Value {
	if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return Int(int64(f))
	}
	return Value{Kind: Number, f: f}
}

// String makes a keyword.
func String(s string) Value { return Value{Kind: Text, s: s} }

var errValue = errors.New("want a number, a string, true, false or null")

// parseValue reads a sort value. Numbers that no float64 holds as they stand, and are not whole, are rounded as JSON's readers do.
func parseValue(v *fastjson.Value) (Value, error) { return readValue(v, nil) }

// readValue is parseValue with a place for keywords; nil: each has its own.
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
		return Value{Kind: Flag, i: 1}, nil
	case fastjson.TypeFalse:
		return Value{Kind: Flag}, nil
	case fastjson.TypeNumber:
		return readNumber(v)
	}
	return Value{}, fmt.Errorf("%w, not %s", errValue, v.Type())
}

// parseFloat reads a number to the nearest float64, which fastjson's own reading misses by a bit now and then.
func parseFloat(v *fastjson.Value) (float64, error) {
	if v == nil || v.Type() != fastjson.TypeNumber {
		return 0, errValue
	}
	var buf [40]byte
	return floatOf(v.MarshalTo(buf[:0]))
}

func floatOf(text []byte) (float64, error) {
	f, err := strconv.ParseFloat(unsafe.String(unsafe.SliceData(text), len(text)), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) { // fastjson lets NaN and Inf pass for numbers
		return 0, fmt.Errorf("%w, not %.40s", errValue, bytes.Clone(text))
	}
	return f, nil
}

// readNumber keeps whole numbers exact.
func readNumber(v *fastjson.Value) (Value, error) {
	var buf [40]byte
	text := v.MarshalTo(buf[:0])
	if bytes.IndexAny(text, ".eE") < 0 {
		if i, err := strconv.ParseInt(unsafe.String(unsafe.SliceData(text), len(text)), 10, 64); err == nil {
			return Int(i), nil
		}
	}
	f, err := floatOf(text)
	return Float(f), err
}

// compare orders two values of one kind, neither of them missing.
func (a Value) compare(b Value) int {
	switch {
	case a.Kind == Text:
		return cmp.Compare(a.s, b.s)
	case a.Kind == Flag, a.whole && b.whole:
		return cmp.Compare(a.i, b.i)
	case !a.whole && !b.whole:
		return cmp.Compare(a.f, b.f)
	case a.whole:
		return -compareMixed(b.f, a.i)
	}
	return compareMixed(a.f, b.i)
}

// compareMixed is exact where a float64 can't hold the whole number.
func compareMixed(f float64, i int64) int {
	if math.Abs(f) >= 1<<63 {
		return cmp.Compare(f, 0)
	}
	return new(big.Float).SetFloat64(f).Cmp(new(big.Float).SetInt64(i))
}

func (a Value) float() float64 {
	if a.whole {
		return float64(a.i)
	}
	return a.f
}

// append writes a value as JSON.
func (a Value) append(dst []byte) []byte {
	switch {
	case a.Kind == Missing:
		return append(dst, "null"...)
	case a.Kind == Text:
		return appendString(dst, a.s)
	case a.Kind == Flag:
		return strconv.AppendBool(dst, a.i == 1)
	case a.whole:
		return strconv.AppendInt(dst, a.i, 10)
	}
	return strconv.AppendFloat(dst, a.f, 'g', -1, 64)
}

func appendString(dst []byte, s string) []byte {
	var a fastjson.Arena
	return a.NewString(s).MarshalTo(dst)
}

// ParseValues reads a list of sort values.
func ParseValues(v *fastjson.Value) ([]Value, error) {
	if v.Type() != fastjson.TypeArray || len(v.GetArray()) == 0 {
		return nil, errors.New("want a list of values")
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

// AppendValues writes a list of sort values.
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
