package fit

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(a), math.Abs(b)) }

func TestLine(t *testing.T) {
	for _, c := range []struct {
		name                    string
		xs, ys                  []float64
		intercept, slope, worst float64
	}{
		{"exact", []float64{50, 100, 200, 400}, []float64{120, 220, 420, 820}, 20, 2, 0},
		{"flat", []float64{1, 2, 8}, []float64{700, 700, 700}, 700, 0, 0},
		{"two points", []float64{0, 10}, []float64{1, 2}, 1, 0.1, 0},
		{"one off", []float64{0, 1, 2}, []float64{1, 1, 4}, 0.5, 1.5, 1}, // fitted 0.5, 2 and 3.5: the second has a relative error of 1
		{"measured zero", []float64{0, 1, 2}, []float64{0, 3, 3}, 0.5, 1.5, 0.5},
	} {
		if a, b, w := Line(c.xs, c.ys); !near(a, c.intercept) || !near(b, c.slope) || !near(w, c.worst) {
			t.Errorf("%s: got %g + %g x with error %g", c.name, a, b, w)
		}
	}
	for _, c := range [][2][]float64{{{1}, {1}}, {{1, 2}, {1}}, {{3, 3}, {1, 2}}, {nil, nil}} {
		if a, b, w := Line(c[0], c[1]); !math.IsNaN(a) || !math.IsNaN(b) || !math.IsNaN(w) {
			t.Errorf("%v: got %g %g %g, want NaN", c, a, b, w)
		}
	}
}

// Points on a line give that line, and small changes of the fitted line do not reduce the sum of
// squares.
func TestLine_MinimizesSquares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyY := rapid.Float64Range(-1000, 1000)
		var xs, ys []float64
		for i := range rapid.IntRange(3, 12).Draw(t, "n") {
			xs, ys = append(xs, float64(i)*10), append(ys, anyY.Draw(t, "y"))
		}
		a, b, _ := Line(xs, ys)
		sum := func(a, b float64) (s float64) {
			for i := range xs {
				d := a + b*xs[i] - ys[i]
				s += d * d
			}
			return s
		}
		least := sum(a, b)
		for _, by := range []float64{-0.1, 0.1} {
			if sum(a+by, b) < least || sum(a, b+by) < least {
				t.Fatalf("%g + %g x does not minimize the sum of squares", a, b)
			}
		}
		for i := range xs {
			ys[i] = 3 + 2*xs[i]
		}
		if a, b, w := Line(xs, ys); !near(a, 3) || !near(b, 2) || w > 1e-9 {
			t.Fatalf("got %g + %g x with error %g, want 3 + 2 x", a, b, w)
		}
	})
}

func ExampleLine() {
	intercept, slope, worst := Line([]float64{75, 150, 300, 600}, []float64{1075, 1150, 1300, 1600})
	fmt.Printf("%.0f + %.1f per gatherer, error %.0f%%\n", intercept, slope, 100*worst)
	// Output: 1000 + 1.0 per gatherer, error 0%
}
