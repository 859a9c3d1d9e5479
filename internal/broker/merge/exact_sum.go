package merge

import "math"

// exactSum is a sum of float64s without rounding error: non-overlapping terms in order of
// increasing magnitude (Shewchuk, "Adaptive Precision Floating-Point Arithmetic", 1997). Its value
// is the exact sum rounded once, so it depends neither on the order of the addends nor on how they
// were divided among parts. The zero value is 0.
type exactSum []float64

func (e *exactSum) add(x float64) {
	parts, n := *e, 0
	for _, y := range parts {
		if math.Abs(x) < math.Abs(y) {
			x, y = y, x
		}
		hi := x + y
		if lo := y - (hi - x); lo != 0 {
			parts[n] = lo
			n++
		}
		x = hi
	}
	*e = append(parts[:n], x)
}

// value returns the sum rounded to the nearest float64, ties to even.
func (e exactSum) value() float64 {
	n := len(e)
	if n == 0 {
		return 0
	}
	n--
	hi, lo := e[n], 0.0
	for n > 0 {
		n--
		x, y := hi, e[n]
		hi = x + y
		if lo = y - (hi - x); lo != 0 {
			break
		}
	}
	// The remaining terms may decide a tie.
	if n > 0 && (lo < 0 && e[n-1] < 0 || lo > 0 && e[n-1] > 0) {
		if y := lo * 2; y == hi+y-hi {
			hi += y
		}
	}
	return hi
}
