package scale

import "math"

// Fit is a fitted curve: A + B·x, or B·x^Power if Power is set.
type Fit struct {
	A            float64 `json:"a"`
	B            float64 `json:"b"`
	Power        float64 `json:"power,omitempty"`
	MaxDeviation float64 `json:"off"` // largest relative deviation of a measured point
}

// At returns the predicted value at x.
func (f Fit) At(x float64) float64 {
	if f.Power != 0 {
		return f.B * math.Pow(x, f.Power)
	}
	return f.A + f.B*x
}

// maxConstantDeviation is the largest relative deviation at which points may still be fitted by a
// constant.
const maxConstantDeviation = 0.3

// FitTo fits a constant, a line or a power law to the points. The line minimizes the relative
// squared error. A constant is preferred if no point deviates by more than maxConstantDeviation and
// the line does not fit more than twice as well. A power law is used only if it fits more than
// twice as well as that choice. So noise is not taken for growth. It needs at least two points with
// x > 0.
func FitTo(xs, ys []float64) Fit {
	fitLine := func(xs, ys, ws []float64) (a, b float64) {
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
	a, b := fitLine(xs, ys, line)
	linear := withDeviation(Fit{A: a, B: b}, xs, ys)
	var sum, weights float64
	for i := range ys {
		sum, weights = sum+line[i]*ys[i], weights+line[i]
	}
	if level := withDeviation(Fit{A: sum / weights}, xs, ys); level.MaxDeviation <= maxConstantDeviation && level.MaxDeviation <= 2*linear.MaxDeviation {
		linear = level
	}
	if !positive {
		return linear
	}
	c, p := fitLine(logX, logY, ones)
	if power := withDeviation(Fit{B: math.Exp(c), Power: p}, xs, ys); p != 0 && 2*power.MaxDeviation < linear.MaxDeviation {
		return power
	}
	return linear
}

func withDeviation(f Fit, xs, ys []float64) Fit {
	for i := range xs {
		f.MaxDeviation = max(f.MaxDeviation, math.Abs(f.At(xs[i])-ys[i])/max(math.Abs(ys[i]), 1e-18))
	}
	return f
}
