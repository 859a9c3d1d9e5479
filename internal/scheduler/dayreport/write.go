package dayreport

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Write writes the breakdown of a day as a table: the losses by descending cost, then classes, time
// windows, services and roles. See Losses for tolerance.
func (r *Report) Write(out io.Writer, title string, tolerance int) error {
	const minWidth, tabWidth, padding = 0, 0, 2
	table := tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintf(table, "%s: worth %.3f\nloss\tamount\tworth\tbound\n", title, r.Worth)
	for _, l := range r.Losses(tolerance) {
		l.write(table)
	}
	for _, c := range r.Classes {
		if c.unserved() > 0 {
			c.write(table, "class")
		}
	}
	for _, w := range r.Windows {
		if w.unserved() > 1 { // a single request does not make a window notable
			w.write(table, "second")
		}
	}
	for _, s := range r.Services {
		fmt.Fprintf(table, "workers %s\t%d of %d arrivals rejected, busiest worker %.2f times the mean\t\t\n", s.Name, s.Rejected, s.Arrivals, s.BusiestToMean)
	}
	for _, role := range r.Roles {
		fmt.Fprintf(table, "%s\t%d machines, %.4f cores, %.1f MB\t\t\n", role.Name, role.Machines, role.Cores, role.MemoryMB)
	}
	return table.Flush()
}

// write writes the row of a loss. An unknown bound is written as a question mark.
func (l Loss) write(table io.Writer) {
	bound := "?"
	if !math.IsNaN(l.Bound) {
		bound = fmt.Sprintf("%.4f", l.Bound)
	}
	fmt.Fprintf(table, "%s\t%.4g\t%.4f\t%s\n", l.Name, l.Amount, l.Cost, bound)
}

// unserved returns the number of requests that were not served in time.
func (c RequestCounts) unserved() int { return c.Late + c.Refused + c.Failed }

// write writes the row of a class or time window, which begins with kind and the name.
func (c RequestCounts) write(table io.Writer, kind string) {
	fmt.Fprintf(table, "%s %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", kind, c.Name, c.Late, c.Refused, c.Failed, c.Requests, c.Value)
}
