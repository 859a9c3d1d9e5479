package fit

import "math"

// Line puts a straight line through points by least squares: y = intercept + slope·x. worst is what it misses: the largest of
// |measured - fitted| / |measured| over the points, 0 where it goes through all of them. A point whose measured value is nought counts
// by |fitted| itself. Fewer than two points, lists of different length, or points of one x give NaN for all three.
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

// Miss is by how much of the measured value a foretold one is off; by how much at all where the measured one is nought.
func Miss(foretold, measured float64) float64 {
	if measured == 0 {
		return math.Abs(foretold)
	}
	return math.Abs(foretold-measured) / math.Abs(measured)
}
