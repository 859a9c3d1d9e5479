package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// row is one figure of the report, which is fitted against a variable.
type row struct {
	name string
	of   func(FleetResult) float64
}

var rows = []row{
	{"simulated gatherer: messages per second", func(s FleetResult) float64 { return s.Rest.Simulated.Messages() }},
	{"simulated gatherer: kB per second", func(s FleetResult) float64 { return s.Rest.Simulated.Bytes() / 1000 }},
	{"simulated gatherer: kB per second for the view", func(s FleetResult) float64 { return s.Rest.Simulated.ViewBytes / 1000 }},
	{"simulated gatherer: kB per second for quotas", func(s FleetResult) float64 { return s.Rest.Simulated.QuotaBytes / 1000 }},
	{"simulated gatherer: % of a core", func(s FleetResult) float64 { return s.Rest.Simulated.CPU }},
	{"simulated gatherer: MB of heap and stacks", func(s FleetResult) float64 { return s.HeapMB }},
	{"simulated gatherer: MB resident", func(s FleetResult) float64 { return s.Rest.Simulated.MB }},
	{"real follower, whole process: % of a core", func(s FleetResult) float64 { return s.Rest.Follower.CPU }},
	{"real follower, whole process: MB resident", func(s FleetResult) float64 { return s.Rest.Follower.MB }},
	{"voter: messages per second", func(s FleetResult) float64 { return s.Rest.Voter.Messages() }},
	{"voter: kB per second", func(s FleetResult) float64 { return s.Rest.Voter.Bytes() / 1000 }},
	{"voter, whole process: % of a core", func(s FleetResult) float64 { return s.Rest.Voter.CPU }},
	{"voter, whole process: MB resident", func(s FleetResult) float64 { return s.Rest.Voter.MB }},
	{"leader: messages per second", func(s FleetResult) float64 { return s.Rest.Leader.Messages() }},
	{"leader: kB per second", func(s FleetResult) float64 { return s.Rest.Leader.Bytes() / 1000 }},
	{"leader, whole process: % of a core", func(s FleetResult) float64 { return s.Rest.Leader.CPU }},
	{"leader, whole process: MB resident", func(s FleetResult) float64 { return s.Rest.Leader.MB }},
	{"per change: kB at a simulated gatherer", func(s FleetResult) float64 { return s.PerChange.Bytes / 1000 }},
	{"per change: messages at a simulated gatherer", func(s FleetResult) float64 { return s.PerChange.Messages }},
	{"per change: ms of CPU time at a simulated gatherer", func(s FleetResult) float64 { return s.PerChange.CPU }},
	{"per change: kB at the leader", func(s FleetResult) float64 { return s.PerChange.LeaderBytes / 1000 }},
	{"per change: messages at the leader", func(s FleetResult) float64 { return s.PerChange.LeaderMessages }},
	{"per change: ms of CPU time at the leader", func(s FleetResult) float64 { return s.PerChange.LeaderCPU }},
	{"change in force everywhere: ms, median", func(s FleetResult) float64 { return s.InForce.Median }},
	{"change in force everywhere: ms, maximum", func(s FleetResult) float64 { return s.InForce.Most }},
	{"crash known to all: ms", func(s FleetResult) float64 { return s.Crash.Median }},
	{"all processes together: peak MB", func(s FleetResult) float64 { return float64(s.PeakMB) }},
}

// Markdown formats the record as tables.
func (r Record) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Control traffic by fleet size, measured with simulated gatherers\n\n")
	for i, o := range r.Runs {
		fmt.Fprintf(&b, "- run %d: %s, %d cores, %d MB, %s, %s, seed %d, load average %s at the start\n", i+1, o.Date, o.Cores, o.MemoryMB, o.System, o.Build, o.Seed, o.Load)
	}
	writeTable(&b, "gatherers", r.Sizes, func(s FleetResult) int { return s.Gatherers }, 300)
	writeTable(&b, "busy teams", r.Busy, func(s FleetResult) int { return s.Busy }, math.MaxInt)
	writeTable(&b, "bytes of a policy", r.Padding, func(s FleetResult) int { return s.Policy }, math.MaxInt)
	writeEvents(&b, r.Events)
	if len(r.Faults) > 0 {
		fmt.Fprintf(&b, "\n## Not completed\n\n")
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "- %s\n", f)
		}
	}
	return b.String()
}

// median returns the median, minimum and maximum.
func median(all []float64) (mid, least, most float64) {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2], all[0], all[len(all)-1]
}

// writeTable writes the table of one variable: medians over runs, the curve fitted to values up to
// upTo, and its prediction for the greatest value.
func writeTable(b *strings.Builder, what string, all []FleetResult, by func(FleetResult) int, upTo int) {
	at := map[int][]FleetResult{}
	for _, s := range all {
		if s.Gatherers > 0 {
			at[by(s)] = append(at[by(s)], s)
		}
	}
	if len(at) == 0 {
		return
	}
	var xs []int
	for x := range at {
		xs = append(xs, x)
	}
	slices.Sort(xs)
	last := xs[len(xs)-1]
	fmt.Fprintf(b, "\n## By %s\n\n| |", what)
	for _, x := range xs {
		fmt.Fprintf(b, " %d |", x)
	}
	fmt.Fprintf(b, " fit | largest deviation | predicted for %d : measured |\n|---|%s\n", last, strings.Repeat("---|", len(xs)+3))
	for _, row := range rows {
		fmt.Fprintf(b, "| %s |", row.name)
		var fx, fy []float64
		var greatest float64
		for _, x := range xs {
			var values []float64
			for _, s := range at[x] {
				values = append(values, row.of(s))
			}
			mid, least, most := median(values)
			if greatest = mid; len(values) > 1 {
				fmt.Fprintf(b, " %s (%s to %s) |", formatFigure(mid), formatFigure(least), formatFigure(most))
			} else {
				fmt.Fprintf(b, " %s |", formatFigure(mid))
			}
			if x <= upTo && (x < last || upTo == math.MaxInt) && x > 0 && mid != 0 {
				fx, fy = append(fx, float64(x)), append(fy, mid)
			}
		}
		if len(fx) < 3 {
			fmt.Fprintf(b, " | | |\n")
			continue
		}
		f := FitTo(fx, fy)
		fmt.Fprintf(b, " %s | %.0f%% | %.2f |\n", f, 100*f.MaxDeviation, f.At(float64(last))/greatest)
	}
	fmt.Fprintf(b, "\n| simulated : real | view messages | view bytes | policy messages | policy bytes |\n|---|---|---|---|---|\n")
	for _, x := range xs {
		for _, s := range at[x] {
			if !s.Quiet {
				fmt.Fprintf(b, "| %d, run %d: membership updates were gossiped in the idle span | | | | |\n", x, s.Run)
			}
			fmt.Fprintf(b, "| %d, run %d | %.3f | %.3f | %.3f | %.3f |\n", x, s.Run, s.CostRatios.ViewMessages, s.CostRatios.ViewBytes, s.CostRatios.PolicyMessages, s.CostRatios.PolicyBytes)
		}
	}
	fmt.Fprintf(b, "\n| %s | run | started in s | changes | in force everywhere ms: p50, p99, max | without refused proposals: p50, max | at each: p50, p99 | refused proposals | crash known ms: median to max | queries admitted |\n|---|---|---|---|---|---|---|---|---|---|\n", what)
	for _, x := range xs {
		for _, s := range at[x] {
			fmt.Fprintf(b, "| %d | %d | %.0f | %d | %.0f, %.0f, %.0f | %.0f, %.0f | %.0f, %.0f | %d | %.0f to %.0f | %d of %d |\n", x, s.Run, s.Started, s.InForce.N, s.InForce.Median, s.InForce.P99, s.InForce.Most, s.LastTry.Median, s.LastTry.Most,
				s.Each.Median, s.Each.P99, len(s.Refused), s.CrashAt.Median, s.Crash.Most, s.Admitted, s.Queries)
		}
	}
}

// String formats the fitted formula.
func (f Fit) String() string {
	if f.Power != 0 {
		return fmt.Sprintf("%s·x^%.2f", formatFigure(f.B), f.Power)
	}
	return fmt.Sprintf("%s + %s·x", formatFigure(f.A), formatFigure(f.B))
}

// formatFigure formats a number with three significant digits.
func formatFigure(x float64) string {
	switch a := math.Abs(x); {
	case a >= 100 || a == 0:
		return fmt.Sprintf("%.0f", x)
	case a >= 10:
		return fmt.Sprintf("%.1f", x)
	case a >= 1:
		return fmt.Sprintf("%.2f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

func writeEvents(b *strings.Builder, all []Event) {
	if len(all) == 0 {
		return
	}
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.Name, b.Name) })
	fmt.Fprintf(b, "\n## Events: mean before, peak second\n\n| event | gatherers | simulated kB/s | the busiest | messages/s | %% of a core | leader kB/s | messages/s | %% of a core | voter kB/s | real follower kB/s |\n|%s\n",
		strings.Repeat("---|", 11))
	for _, e := range all {
		p, q := e.Before, e.Peak
		fmt.Fprintf(b, "| %s, run %d | %d | %s, %s | %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s |\n", e.Name, e.Run, e.Gatherers,
			formatFigure(p.Simulated.Bytes()/1000), formatFigure(q.Simulated.Bytes()/1000), formatFigure(q.Busiest.Bytes()/1000), formatFigure(p.Simulated.Messages()), formatFigure(q.Simulated.Messages()), formatFigure(p.Simulated.CPU), formatFigure(q.Simulated.CPU),
			formatFigure(p.Leader.Bytes()/1000), formatFigure(q.Leader.Bytes()/1000), formatFigure(p.Leader.Messages()), formatFigure(q.Leader.Messages()), formatFigure(p.Leader.CPU), formatFigure(q.Leader.CPU),
			formatFigure(p.Voter.Bytes()/1000), formatFigure(q.Voter.Bytes()/1000), formatFigure(p.Follower.Bytes()/1000), formatFigure(q.Follower.Bytes()/1000))
	}
	fmt.Fprintf(b, "\n| event | seconds over budget: mean gatherer's bytes, busiest's bytes; mean CPU; leader's bytes, CPU | known to half, to all, ms | changes in force everywhere, ms (refused proposals) | converged after s | queries admitted |\n|---|---|---|---|---|---|\n")
	for _, e := range all {
		var changes []string
		for _, c := range e.Changes {
			changes = append(changes, fmt.Sprintf("%.0f at %.0f s (%d)", c.Took, c.At, len(c.Refused)))
		}
		o := e.OverBudget
		fmt.Fprintf(b, "| %s, run %d | %d, %d; %d; %d, %d of %d | %.0f, %.0f | %s | %.0f | %d of %d |\n", e.Name, e.Run, o.SimulatedBytes, o.BusiestBytes, o.SimulatedCPU, o.LeaderBytes, o.LeaderCPU, len(e.Seconds),
			e.Known.Median, e.Known.Most, strings.Join(changes, ", "), e.Ended-e.Began, e.Admitted, e.Queries)
	}
	fmt.Fprintf(b, "\nScripts (numbers are gatherers; times are from the start of the event):\n\n")
	seen := map[string]bool{}
	for _, e := range all {
		if !seen[e.Name] {
			seen[e.Name] = true
			fmt.Fprintf(b, "- %s: %s\n", e.Name, strings.ReplaceAll(e.Script, "\n", "; "))
		}
	}
}
