package soak

import (
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/plots"
	"time"
)

//go:embed report.html
var page string

var report = template.Must(template.New("report").Parse(page))

// Report writes the report of a campaign as one HTML file, and returns its path. smallest is the smallest script found that still breaks what
// is broken; nil: none was looked for.
func Report(cfg Config, r Result, smallest faults.Script) (string, error) {
	var drawings []template.HTML
	draw := func(title, unit string, lines ...plots.Line) error {
		file := filepath.Join(cfg.Dir, "drawing.svg")
		if err := plots.Draw(file, title, unit, lines...); err != nil {
			return err
		}
		defer os.Remove(file)
		svg, err := os.ReadFile(file)
		drawings = append(drawings, template.HTML(svg)) // our own drawing
		return err
	}
	if err := draw("queries", "a second", perSecond(r)...); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	limits, memory := levels(r)
	if err := draw("parts that all may have out together", "parts", limits...); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := draw("memory of each process", "MB", memory...); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	path := filepath.Join(cfg.Dir, fmt.Sprintf("report-%d.html", cfg.Seed))
	f, err := os.Create(path)
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	defer f.Close()
	return path, report.Execute(f, map[string]any{"Verdict": r.Verdict(cfg), "Broken": r.Broken, "Script": r.Script.String(), "Smallest": smallest.String(), "Found": smallest != nil, "Drawings": drawings})
}

// perSecond counts queries by what came of them.
func perSecond(r Result) []plots.Line {
	kinds := []string{"let in", "not let in", "no answer"}
	lines := make([]plots.Line, len(kinds))
	last := 0
	for _, q := range r.queries {
		last = max(last, int(q.Came/time.Second))
	}
	for k := range kinds {
		lines[k] = plots.Line{Name: kinds[k], X: make([]float64, last+1), Y: make([]float64, last+1)}
		for i := range lines[k].X {
			lines[k].X[i] = float64(i)
		}
	}
	for _, q := range r.queries {
		k := 0
		switch {
		case q.Status == 0:
			k = 2
		case q.Version < 0:
			k = 1
		}
		lines[k].Y[int(q.Came/time.Second)]++
	}
	return lines
}

// levels are the sums of limits by half seconds, and each process's memory.
func levels(r Result) (limits, memory []plots.Line) {
	sum := plots.Line{Name: "all together"}
	now := map[string]Reading{}
	next := time.Duration(0)
	for _, x := range r.readings {
		if now[x.At] = x; x.Came < next {
			continue
		}
		next = x.Came + time.Second/2
		n := 0
		for _, y := range now {
			if x.Came-y.Came < time.Second {
				n += y.Limit
			}
		}
		sum.X, sum.Y = append(sum.X, x.Came.Seconds()), append(sum.Y, float64(n))
	}
	whole := plots.Line{Name: "the contract", X: []float64{0, next.Seconds()}, Y: []float64{float64(r.Whole), float64(r.Whole)}}
	for name, all := range r.memory {
		l := plots.Line{Name: name}
		for _, s := range all {
			l.X, l.Y = append(l.X, s.at.Seconds()), append(l.Y, float64(s.mb))
		}
		memory = append(memory, l)
	}
	return []plots.Line{sum, whole}, memory
}
