package work

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"saffronquay/internal/scale/fit"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// SlopeConfig configures the measurement of a slope.
type SlopeConfig struct {
	Program        Program
	For            time.Duration
	Cores          int
	Workers, Parts int
	Delay          time.Duration
	Logf           func(format string, args ...any)
}

// Table is the result for one slope: figures against a variable, and the line through each.
type Table struct {
	Slope, Variable string
	Figures         []string
	Rows            []Row
	Lines           []Line
}

// Row contains the figures at one size.
type Row struct {
	X      float64
	Values []float64
}

// Line is a figure's least-squares line. Misses is the largest relative error over the measured
// values.
type Line struct {
	Figure                   string
	Intercept, Slope, Misses float64
}

// slope defines a measurement over several sizes.
type slope struct {
	variable string
	sizes    []float64
	figures  []string
	one      func(*measurement, float64) []float64
}

// measurement is what the sizes of a slope share.
type measurement struct {
	SlopeConfig
	ctx context.Context
	t   harness.T
}

var slopes = map[string]slope{
	"rest": {
		"servers",
		[]float64{325, 650, 1300, 2600},
		[]string{"core_pct", "core_pct_connected", "MB", "MB_connected", "kB_connection", "connections", "ms_change", "stats_B", "us_stats"},
		(*measurement).measureRest,
	},
	"walk": {"servers", []float64{325, 650, 1300, 2600}, []string{"core_pct", "core_us_query", "queries"}, (*measurement).measureWalk},
	"parts": {
		"parts",
		[]float64{100, 187, 375, 750, 1500},
		[]string{"ms_query", "us_part", "system_us_part", "worker_us_part", "out_B_part", "in_B_part", "MB", "p50_ms", "p99_ms", "answered"},
		(*measurement).measureParts,
	},
	"opening": {"parts", []float64{187, 375, 750, 1500}, []string{"ms_query", "ms_query_kept", "opened_query", "us_opening"}, (*measurement).measureOpening},
	"calls":   {"parts_a_call", []float64{1, 2, 4, 8}, []string{"us_part", "system_us_part", "worker_us_part", "parts_call", "out_B_part", "answered"}, (*measurement).measureCalls},
	"rates": {
		"queries_s",
		[]float64{1, 2, 4, 8, 16, 32},
		[]string{"core_pct", "ms_query", "whole", "partial", "refused", "failed", "lost_or_held", "copies_1000", "p50_ms", "p99_ms", "MB"},
		(*measurement).measureRates,
	},
	"connections": {"connections", []float64{75, 150, 300, 600}, []string{"MB", "kB", "kernel_kB", "us_part"}, (*measurement).measureConnections},
	"watchers":    {"watchers", []float64{75, 150, 300, 600}, []string{"list_kB", "kB_change", "B_s_rest", "calls", "ms_list", "us_change"}, (*measurement).measureWatchers},
}

// Slopes returns the names of all slopes.
func Slopes() []string { return slices.Sorted(maps.Keys(slopes)) }

// Measure measures one slope. On an error the table is incomplete.
func Measure(ctx context.Context, name string, cfg SlopeConfig) (table Table, err error) {
	s, ok := slopes[name]
	if !ok {
		return table, fmt.Errorf("work: unknown slope %q", name)
	}
	table = Table{Slope: name, Variable: s.variable, Figures: s.figures}
	for _, x := range s.sizes {
		if err := ctx.Err(); err != nil {
			return table, err
		}
		values, err := measureSize(ctx, cfg, x, s.one)
		if err != nil {
			return table, fmt.Errorf("work: measure at %s=%g: %w", s.variable, x, err)
		}
		table.Rows = append(table.Rows, Row{x, values})
		cfg.Logf("%s=%g %s", s.variable, x, formatValues(s.figures, values))
	}
	for i, figure := range s.figures {
		var ys []float64
		for _, r := range table.Rows {
			ys = append(ys, r.Values[i])
		}
		a, b, misses := fit.Line(s.sizes, ys)
		table.Lines = append(table.Lines, Line{figure, a, b, misses})
	}
	return table, nil
}

func formatValues(figures []string, values []float64) string {
	var b strings.Builder
	for i, f := range figures {
		fmt.Fprintf(&b, "%s=%.4g ", f, values[i])
	}
	return strings.TrimSpace(b.String())
}

// measureSize measures one size and ends everything that it started.
func measureSize(ctx context.Context, cfg SlopeConfig, x float64, one func(*measurement, float64) []float64) (values []float64, err error) {
	r, err := harness.NewRunner("", cfg.Logf)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	defer func() {
		if reason := harness.FatalReason(recover()); reason != "" {
			err = errors.New(reason)
		} else if all := r.Errors(); len(all) > 0 {
			err = errors.New(strings.Join(all, "; "))
		}
	}()
	return one(&measurement{cfg, ctx, r}, x), nil
}

// Write writes a table as text.
func (t Table) Write(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\t%s\t\n", t.Variable, strings.Join(t.Figures, "\t"))
	for _, r := range t.Rows {
		fmt.Fprintf(w, "%g\t", r.X)
		for _, v := range r.Values {
			fmt.Fprintf(w, "%.4g\t", v)
		}
		fmt.Fprintln(w)
	}
	for _, part := range []struct {
		name string
		of   func(Line) float64
	}{{"intercept", func(l Line) float64 { return l.Intercept }}, {"slope", func(l Line) float64 { return l.Slope }}, {"misses", func(l Line) float64 { return l.Misses }}} {
		fmt.Fprintf(w, "%s\t", part.name)
		for _, l := range t.Lines {
			fmt.Fprintf(w, "%.4g\t", part.of(l))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}
