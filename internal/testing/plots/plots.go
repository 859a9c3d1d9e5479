// Package plots draws the results of simulations and soak tests as image files. It only draws: it
// computes no results.
package plots

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is one line of a plot: the values Y at the times X, in seconds.
type Line struct {
	Name string
	X, Y []float64
}

// Draw plots lines over time in seconds and writes the plot to file, as SVG or PNG by its extension.
// The y axis is labeled with unit and starts at 0.
func Draw(file, title, unit string, lines ...Line) error {
	if !slices.Contains([]string{".svg", ".png"}, filepath.Ext(file)) {
		return fmt.Errorf("plot file %s: want a name that ends in .svg or .png", file)
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		points := make(plotter.XYs, len(l.X))
		for j := range l.X {
			points[j].X, points[j].Y = l.X[j], l.Y[j]
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot line %s: %w", l.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	if err := p.Save(20*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
