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
	Value      float64         `json:"G"`
	Components []Component     `json:"parts"`
	Charges    []Charge        `json:"prices"`
	Roles      []RoleUsage     `json:"nodes"`
	Classes    []RequestCounts `json:"classes"`
	Windows    []RequestCounts `json:"windows"`
	Services   []ServiceLoad   `json:"services"`
}

// Part is a part of the score: the share of the worth that was earned, and its weight.
type Component struct {
	Name           string
	Weight, Earned float64
}

// Price is something that is paid for.
type Charge struct {
	Name         string
	Amount, Cost float64
}

// Role tells of the machines that run a role.
type RoleUsage struct {
	Name     string  `json:"role"`
	Class    string  `json:"class"`
	Machines int     `json:"n"`
	Cores    float64 `json:"cpu_mean"`
	MemoryMB float64 `json:"mem_peak_mb"`
}

// Outcome is how the requests of a class, or of a time, ended.
type RequestCounts struct {
	Name     string  `json:"name"`
	Requests int     `json:"n"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Value    float64 `json:"worth"`
}

// Workers tells of the workers of a service.
type ServiceLoad struct {
	Name          string  `json:"name"`
	Arrivals      int     `json:"arrivals"`
	Rejected      int     `json:"not_run"`
	BusiestToMean float64 `json:"busiest_x"`
}

// triple reads a row of three, as reports have them.
func unmarshalTriple(text []byte, name *string, first, second *float64) error {
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
func (p *Component) UnmarshalJSON(text []byte) error {
	return unmarshalTriple(text, &p.Name, &p.Weight, &p.Earned)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Charge) UnmarshalJSON(text []byte) error {
	return unmarshalTriple(text, &p.Name, &p.Amount, &p.Cost)
}

// Read reads a report.
func Parse(text []byte) (*Report, error) {
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("account: %w", err)
	}
	if len(r.Components) == 0 {
		return nil, fmt.Errorf("account: no parts of a score in the report")
	}
	return r, nil
}

// Line is one thing that worth was lost by. Bound is what of it no decision can win; NaN where that isn't known.
type Loss struct {
	Name                string
	Amount, Cost, Bound float64
}

// least is the cost below which a line isn't told.
const minReportedCost = 0.0002

// The prices whose bounds follow from a report.
const (
	chargeMachineSeconds = "machine-seconds"
	chargeLoads          = "loads of weights"
	chargeOrders         = "orders"
)

// Lines are the losses of a day, the greatest first. tolerance is how many machines with a disk may be lost at once: groups of 2 x tolerance + 1
// can't be spared, nor can machines that carry traffic.
func (r *Report) Losses(tolerance int) []Loss {
	var lines []Loss
	for _, p := range r.Components {
		lines = append(lines, Loss{Name: p.Name, Amount: 1 - p.Earned, Cost: p.Weight * (1 - p.Earned), Bound: math.NaN()})
	}
	for _, p := range r.Charges {
		lines = append(lines, Loss{Name: p.Name, Amount: p.Amount, Cost: p.Cost, Bound: r.lowerBound(p, tolerance)})
	}
	lines = slices.DeleteFunc(lines, func(l Loss) bool { return l.Cost < minReportedCost })
	slices.SortStableFunc(lines, func(a, b Loss) int {
		if a.Cost > b.Cost {
			return -1
		}
		return 1
	})
	return lines
}

func (r *Report) lowerBound(p Charge, tolerance int) float64 {
	switch p.Name {
	case chargeMachineSeconds:
		used, needed := r.countMachines(tolerance)
		return p.Cost * float64(needed) / float64(max(used, 1))
	case chargeLoads:
		return 0 // each version may be loaded by a trainer's share of the workers for nothing
	case chargeOrders:
		return p.Cost * max(0, p.Amount-r.amount(chargeLoads)) / max(p.Amount, 1)
	}
	return math.NaN()
}

func (r *Report) amount(price string) float64 {
	for _, p := range r.Charges {
		if p.Name == price {
			return p.Amount
		}
	}
	return 0
}

// frontClass is the class of the machines that carry traffic.
const frontClass = "front"

// machines are those in use, and those that can't be spared.
func (r *Report) countMachines(tolerance int) (used, needed int) {
	byClass := map[string]int{}
	for _, role := range r.Roles {
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
	fmt.Fprintf(table, "%s: worth %.3f\nlost\tamount\tworth\tbound\n", title, r.Value)
	for _, l := range r.Losses(tolerance) {
		bound := "?"
		if !math.IsNaN(l.Bound) {
			bound = fmt.Sprintf("%.4f", l.Bound)
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4f\t%s\n", l.Name, l.Amount, l.Cost, bound)
	}
	for _, c := range r.Classes {
		if c.Late+c.Refused+c.Failed > 0 {
			fmt.Fprintf(table, "class %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", c.Name, c.Late, c.Refused, c.Failed, c.Requests, c.Value)
		}
	}
	for _, w := range r.Windows {
		if w.Late+w.Refused+w.Failed > 1 {
			fmt.Fprintf(table, "second %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", w.Name, w.Late, w.Refused, w.Failed, w.Requests, w.Value)
		}
	}
	for _, s := range r.Services {
		fmt.Fprintf(table, "workers %s\t%d of %d arrivals declined, busiest %.2f of the mean\t\t\n", s.Name, s.Rejected, s.Arrivals, s.BusiestToMean)
	}
	for _, role := range r.Roles {
		fmt.Fprintf(table, "%s\t%d machines, %.4f cores, %.1f MB\t\t\n", role.Name, role.Machines, role.Cores, role.MemoryMB)
	}
	return table.Flush()
}
