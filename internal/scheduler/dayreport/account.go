// Package dayreport reads reports of played days and tells where their worth went: what was lost by requests, what was paid, and beside it the
// bound below which no decision can bring it. It is for whoever tunes the system on a new deployment.
package dayreport

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Report is what a report says that matters here.
type Report struct {
	Worth   float64   `json:"G"`
	Parts   []Part    `json:"parts"`
	Prices  []Price   `json:"prices"`
	Nodes   []Role    `json:"nodes"`
	Classes []Outcome `json:"classes"`
	Windows []Outcome `json:"windows"`
	Workers []Workers `json:"services"`
}

// Part is a part of the score: the share of the worth that was earned, and its weight.
type Part struct {
	Name          string
	Weight, Share float64
}

// Price is something that is paid for.
type Price struct {
	Name         string
	Amount, Cost float64
}

// Role tells of the machines that run a role.
type Role struct {
	Name     string  `json:"role"`
	Class    string  `json:"class"`
	Machines int     `json:"n"`
	Cores    float64 `json:"cpu_mean"`
	MemoryMB float64 `json:"mem_peak_mb"`
}

// Outcome is how the requests of a class, or of a time, ended.
type Outcome struct {
	Name    string  `json:"name"`
	Asked   int     `json:"n"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Worth   float64 `json:"worth"`
}

// Workers tells of the workers of a service.
type Workers struct {
	Name     string  `json:"name"`
	Arrivals int     `json:"arrivals"`
	NotRun   int     `json:"not_run"`
	Busiest  float64 `json:"busiest_x"`
}

// triple reads a row of three, as reports have them.
func triple(text []byte, name *string, first, second *float64) error {
	var row []json.RawMessage
	if err := json.Unmarshal(text, &row); err != nil {
		return err
	}
	if len(row) != 3 {
		return fmt.Errorf("want 3 values, not %d", len(row))
	}
	for i, to := range []any{name, first, second} {
		if err := json.Unmarshal(row[i], to); err != nil {
			return err
		}
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Part) UnmarshalJSON(text []byte) error { return triple(text, &p.Name, &p.Weight, &p.Share) }

// UnmarshalJSON implements json.Unmarshaler.
func (p *Price) UnmarshalJSON(text []byte) error { return triple(text, &p.Name, &p.Amount, &p.Cost) }

// Read reads a report.
func Read(text []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("account: %w", err)
	}
	if len(r.Parts) == 0 {
		return nil, fmt.Errorf("account: no parts of a score in the report")
	}
	return r, nil
}

// Line is one thing that worth was lost by. Bound is what of it no decision can win; NaN where that isn't known.
type Line struct {
	What                string
	Amount, Cost, Bound float64
}

// least is the cost below which a line isn't told.
const least = 0.0002

// The prices whose bounds follow from a report.
const (
	machineSeconds = "machine-seconds"
	loads          = "loads of weights"
	orders         = "orders"
)

// Lines are the losses of a day, the greatest first. tolerance is how many machines with a disk may be lost at once: groups of 2 x tolerance + 1
// can't be spared, nor can machines that carry traffic.
func (r *Report) Lines(tolerance int) []Line {
	var lines []Line
	for _, p := range r.Parts {
		lines = append(lines, Line{What: p.Name, Amount: 1 - p.Share, Cost: p.Weight * (1 - p.Share), Bound: math.NaN()})
	}
	for _, p := range r.Prices {
		lines = append(lines, Line{What: p.Name, Amount: p.Amount, Cost: p.Cost, Bound: r.bound(p, tolerance)})
	}
	lines = slices.DeleteFunc(lines, func(l Line) bool { return l.Cost < least })
	slices.SortStableFunc(lines, func(a, b Line) int {
		if a.Cost > b.Cost {
			return -1
		}
		return 1
	})
	return lines
}

func (r *Report) bound(p Price, tolerance int) float64 {
	switch p.Name {
	case machineSeconds:
		used, needed := r.machines(tolerance)
		return p.Cost * float64(needed) / float64(max(used, 1))
	case loads:
		return 0 // each version may be loaded by a trainer's share of the workers for nothing
	case orders:
		return p.Cost * max(0, p.Amount-r.amount(loads)) / max(p.Amount, 1)
	}
	return math.NaN()
}

func (r *Report) amount(price string) float64 {
	for _, p := range r.Prices {
		if p.Name == price {
			return p.Amount
		}
	}
	return 0
}

// frontClass is the class of the machines that carry traffic.
const frontClass = "front"

// machines are those in use, and those that can't be spared.
func (r *Report) machines(tolerance int) (used, needed int) {
	byClass := map[string]int{}
	for _, role := range r.Nodes {
		byClass[role.Class] = max(byClass[role.Class], role.Machines)
	}
	for class, n := range byClass {
		used += n
		if class == frontClass {
			needed += n
		} else {
			needed += min(n, 2*tolerance+1)
		}
	}
	return used, needed
}

// Write tells where a day's worth went.
func (r *Report) Write(out io.Writer, title string, tolerance int) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s: worth %.3f\nlost\tamount\tworth\tbound\n", title, r.Worth)
	for _, l := range r.Lines(tolerance) {
		bound := "?"
		if !math.IsNaN(l.Bound) {
			bound = fmt.Sprintf("%.4f", l.Bound)
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4f\t%s\n", l.What, l.Amount, l.Cost, bound)
	}
	for _, c := range r.Classes {
		if c.Late+c.Refused+c.Failed > 0 {
			fmt.Fprintf(table, "class %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", c.Name, c.Late, c.Refused, c.Failed, c.Asked, c.Worth)
		}
	}
	for _, w := range r.Windows {
		if w.Late+w.Refused+w.Failed > 1 {
			fmt.Fprintf(table, "second %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", w.Name, w.Late, w.Refused, w.Failed, w.Asked, w.Worth)
		}
	}
	for _, s := range r.Workers {
		fmt.Fprintf(table, "workers %s\t%d of %d arrivals declined, busiest %.2f of the mean\t\t\n", s.Name, s.NotRun, s.Arrivals, s.Busiest)
	}
	for _, role := range r.Nodes {
		fmt.Fprintf(table, "%s\t%d machines, %.4f cores, %.1f MB\t\t\n", role.Name, role.Machines, role.Cores, role.MemoryMB)
	}
	return table.Flush()
}
