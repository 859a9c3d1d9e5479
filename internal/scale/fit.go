package scale

import "math"

// Fit is a law by which something grows with its variable: At = A + B·x, or where Power is set B·x^Power.
type Fit struct {
	A     float64 `json:"a"`
	B     float64 `json:"b"`
	Power float64 `json:"power,omitempty"`
	Off   float64 `json:"off"` // the most that a measured point lies off, as a part of it
}

// At is what it foretells.
func (f Fit) At(x float64) float64 {
	if f.Power != 0 {
		return f.B * math.Pow(x, f.Power)
	}
	return f.A + f.B*x
}

// FitTo fits what does not grow at all, a line by least squares of what it is off in proportion where that fits more than twice as well, and
// a power of the variable where that does so once more: what scatters is not taken for growth. It needs two points with x above nought.
func FitTo(xs, ys []float64) Fit {
	weigh := func(xs, ys, ws []float64) (a, b float64) {
		var w, x, y, xx, xy float64
		for i := range xs {
			w, x, y, xx, xy = w+ws[i], x+ws[i]*xs[i], y+ws[i]*ys[i], xx+ws[i]*xs[i]*xs[i], xy+ws[i]*xs[i]*ys[i]
		}
		b = (w*xy - x*y) / (w*xx - x*x)
		return (y - b*x) / w, b
	}
	positive := true
	line, logX, logY, ones := make([]float64, len(xs)), make([]float64, len(xs)), make([]float64, len(xs)), make([]float64, len(xs))
	for i := range xs {
		positive = positive && ys[i] > 0
		line[i], ones[i] = 1/max(ys[i]*ys[i], 1e-18), 1
		logX[i], logY[i] = math.Log(xs[i]), math.Log(max(ys[i], 1e-18))
	}
	a, b := weigh(xs, ys, line)
	linear := off(Fit{A: a, B: b}, xs, ys)
	var sum, weights float64
	for i := range ys {
		sum, weights = sum+line[i]*ys[i], weights+line[i]
	}
	if level := off(Fit{A: sum / weights}, xs, ys); level.Off <= 2*linear.Off {
		linear = level
	}
	if !positive {
		return linear
	}
	c, p := weigh(logX, logY, ones)
	if power := off(Fit{B: math.Exp(c), Power: p}, xs, ys); p != 0 && 2*power.Off < linear.Off {
		return power
	}
	return linear
}

func off(f Fit, xs, ys []float64) Fit {
	for i := range xs {
		f.Off = max(f.Off, math.Abs(f.At(xs[i])-ys[i])/max(math.Abs(ys[i]), 1e-18))
	}
	return f
}
