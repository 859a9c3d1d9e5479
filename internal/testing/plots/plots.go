// Package plots draws what runs of models came to as files. It owns no figure and decides nothing.
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

// Line is one line of a drawing: values at times.
type Line struct {
	Name string
	X, Y []float64
}

// Draw writes lines over seconds into a file, as SVG or PNG by its ending.
func Draw(file, title, unit string, lines ...Line) error {
	if !slices.Contains([]string{".svg", ".png"}, filepath.Ext(file)) {
		return fmt.Errorf("%s: want a name that ends in .svg or .png", file)
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
			return fmt.Errorf("%s: %w", l.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	if err := p.Save(20*vg.Centimeter, 10*vg.Centimeter, file); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
