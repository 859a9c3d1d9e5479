package dayreport

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Write writes a day's breakdown as a table: the losses, the greatest first, then classes, time windows, services and roles. tolerance is that
// of Losses.
func (r *Report) Write(out io.Writer, title string, tolerance int) error {
	const minWidth, tabWidth, padding = 0, 0, 2
	table := tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)
	fmt.Fprintf(table, "%s: worth %.3f\nlost\tamount\tworth\tbound\n", title, r.Value)
	for _, l := range r.Losses(tolerance) {
		l.write(table)
	}
	for _, c := range r.Classes {
		if c.unserved() > 0 {
			c.write(table, "class")
		}
	}
	for _, w := range r.Windows {
		if w.unserved() > 1 { // a single request is no sign of a bad window
			w.write(table, "second")
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

// write writes a row; an unknown bound is a question mark.
func (l Loss) write(table io.Writer) {
	bound := "?"
	if !math.IsNaN(l.Bound) {
		bound = fmt.Sprintf("%.4f", l.Bound)
	}
	fmt.Fprintf(table, "%s\t%.4g\t%.4f\t%s\n", l.Name, l.Amount, l.Cost, bound)
}

// unserved returns the requests that were not served in time.
func (c RequestCounts) unserved() int { return c.Late + c.Refused + c.Failed }

// write writes a row that begins with a kind of row and the name.
func (c RequestCounts) write(table io.Writer, kind string) {
	fmt.Fprintf(table, "%s %s\t%d late, %d refused, %d failed of %d\t%.3f\t\n", kind, c.Name, c.Late, c.Refused, c.Failed, c.Requests, c.Value)
}
