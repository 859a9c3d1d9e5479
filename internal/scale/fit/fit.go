package fit

import "math"

// Line fits a straight line to points by least squares: y = intercept + slope·x. worst is the
// largest relative error |measured - fitted| / |measured| over the points. A point with a measured
// value of zero counts with |fitted| itself. Fewer than two points, lists of different length, or
// points that all have the same x give NaN for all three.
func Line(xs, ys []float64) (intercept, slope, worst float64) {
	if len(xs) != len(ys) || len(xs) < 2 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	n, mx, my := float64(len(xs)), 0.0, 0.0
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	sxx, sxy := 0.0, 0.0
	for i := range xs {
		sxx, sxy = sxx+(xs[i]-mx)*(xs[i]-mx), sxy+(xs[i]-mx)*(ys[i]-my)
	}
	if sxx == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	slope = sxy / sxx
	intercept = my - slope*mx
	for i := range xs {
		worst = max(worst, Miss(intercept+slope*xs[i], ys[i]))
	}
	return intercept, slope, worst
}

// Miss returns the relative error of a predicted value, or the absolute error if the measured value
// is zero.
func Miss(predicted, measured float64) float64 {
	if measured == 0 {
		return math.Abs(predicted)
	}
	return math.Abs(predicted-measured) / math.Abs(measured)
}
