package scale

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// row is one figure that is fitted against a variable.
type row struct {
	name string
	of   func(Size) float64
}

var rows = []row{
	{"hollow gatherer: words a second", func(s Size) float64 { return s.Rest.Hollow.Words() }},
	{"hollow gatherer: kB a second", func(s Size) float64 { return s.Rest.Hollow.Bytes() / 1000 }},
	{"hollow gatherer: of them for the view", func(s Size) float64 { return s.Rest.Hollow.ViewBytes / 1000 }},
	{"hollow gatherer: of them for shares", func(s Size) float64 { return s.Rest.Hollow.ShareBytes / 1000 }},
	{"hollow gatherer: % of a core", func(s Size) float64 { return s.Rest.Hollow.CPU }},
	{"hollow gatherer: MB, heap and stacks", func(s Size) float64 { return s.HeapMB }},
	{"hollow gatherer: MB resident", func(s Size) float64 { return s.Rest.Hollow.MB }},
	{"real follower, whole process: % of a core", func(s Size) float64 { return s.Rest.Follower.CPU }},
	{"real follower, whole process: MB resident", func(s Size) float64 { return s.Rest.Follower.MB }},
	{"voter: words a second", func(s Size) float64 { return s.Rest.Voter.Words() }},
	{"voter: kB a second", func(s Size) float64 { return s.Rest.Voter.Bytes() / 1000 }},
	{"voter, whole process: % of a core", func(s Size) float64 { return s.Rest.Voter.CPU }},
	{"voter, whole process: MB resident", func(s Size) float64 { return s.Rest.Voter.MB }},
	{"leader: words a second", func(s Size) float64 { return s.Rest.Leader.Words() }},
	{"leader: kB a second", func(s Size) float64 { return s.Rest.Leader.Bytes() / 1000 }},
	{"leader, whole process: % of a core", func(s Size) float64 { return s.Rest.Leader.CPU }},
	{"leader, whole process: MB resident", func(s Size) float64 { return s.Rest.Leader.MB }},
	{"a change: kB at a hollow gatherer", func(s Size) float64 { return s.PerChange.Bytes / 1000 }},
	{"a change: words at a hollow gatherer", func(s Size) float64 { return s.PerChange.Words }},
	{"a change: ms of a core at a hollow gatherer", func(s Size) float64 { return s.PerChange.CPU }},
	{"a change: kB at the leader", func(s Size) float64 { return s.PerChange.LeaderBytes / 1000 }},
	{"a change: words at the leader", func(s Size) float64 { return s.PerChange.LeaderWords }},
	{"a change: ms of a core at the leader", func(s Size) float64 { return s.PerChange.LeaderCPU }},
	{"in force everywhere, ms, median of changes", func(s Size) float64 { return s.InForce.Median }},
	{"in force everywhere, ms, most", func(s Size) float64 { return s.InForce.Most }},
	{"a crash is known to all, ms", func(s Size) float64 { return s.Crash.Median }},
}

// Markdown words the record as tables.
func (r Record) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Control at size, measured with hollow gatherers\n\n")
	for i, o := range r.Runs {
		fmt.Fprintf(&b, "- run %d: %s, %d cores, %d MB, %s, %s, seed %d, load average %s at its beginning\n", i+1, o.Date, o.Cores, o.MemoryMB, o.System, o.Build, o.Seed, o.Load)
	}
	sizes(&b, "gatherers", r.Sizes, func(s Size) int { return s.Gatherers }, 300)
	sizes(&b, "busy teams", r.Busy, func(s Size) int { return s.Busy }, math.MaxInt)
	sizes(&b, "bytes of a policy", r.Padding, func(s Size) int { return s.Policy }, math.MaxInt)
	tellEvents(&b, r.Events)
	if len(r.Faults) > 0 {
		fmt.Fprintf(&b, "\n## Not played to the end\n\n")
		for _, f := range r.Faults {
			fmt.Fprintf(&b, "- %s\n", f)
		}
	}
	return b.String()
}

// median of what several runs came to, with the least and the most.
func median(all []float64) (mid, least, most float64) {
	all = slices.Sorted(slices.Values(all))
	return all[len(all)/2], all[0], all[len(all)-1]
}

// sizes words one variable's table: medians over runs, the fit over what is at most upTo, and what it foretells of the greatest.
func sizes(b *strings.Builder, what string, all []Size, by func(Size) int, upTo int) {
	at := map[int][]Size{}
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
	fmt.Fprintf(b, " fit | off by | foretold of %d : measured |\n|---|%s\n", last, strings.Repeat("---|", len(xs)+3))
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
				fmt.Fprintf(b, " %s (%s to %s) |", figure(mid), figure(least), figure(most))
			} else {
				fmt.Fprintf(b, " %s |", figure(mid))
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
		fmt.Fprintf(b, " %s | %.0f%% | %.2f |\n", f, 100*f.Off, f.At(float64(last))/greatest)
	}
	fmt.Fprintf(b, "\n| hollow : real | view words | view bytes | policy words | policy bytes |\n|---|---|---|---|---|\n")
	for _, x := range xs {
		for _, s := range at[x] {
			if !s.Calm {
				fmt.Fprintf(b, "| %d, run %d: news were told in the span at rest | | | | |\n", x, s.Run)
			}
			fmt.Fprintf(b, "| %d, run %d | %.3f | %.3f | %.3f | %.3f |\n", x, s.Run, s.Alike.ViewWords, s.Alike.ViewBytes, s.Alike.PolicyWords, s.Alike.PolicyBytes)
		}
	}
	fmt.Fprintf(b, "\n| %s | run | started in s | changes | in force everywhere ms: p50, p99, most | without refused tries: p50, most | at each: p50, p99 | refused, and proposed again | crash known: first to last ms | queries let in |\n|---|---|---|---|---|---|---|---|---|---|\n", what)
	for _, x := range xs {
		for _, s := range at[x] {
			fmt.Fprintf(b, "| %d | %d | %.0f | %d | %.0f, %.0f, %.0f | %.0f, %.0f | %.0f, %.0f | %d | %.0f to %.0f | %d of %d |\n", x, s.Run, s.Started, s.InForce.N, s.InForce.Median, s.InForce.P99, s.InForce.Most, s.LastTry.Median, s.LastTry.Most,
				s.Each.Median, s.Each.P99, len(s.Refused), s.CrashAt.Median, s.Crash.Most, s.LetIn, s.Queries)
		}
	}
}

// String words a fit.
func (f Fit) String() string {
	if f.Power != 0 {
		return fmt.Sprintf("%s·x^%.2f", figure(f.B), f.Power)
	}
	return fmt.Sprintf("%s + %s·x", figure(f.A), figure(f.B))
}

// figure words a figure with three digits.
func figure(x float64) string {
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

func tellEvents(b *strings.Builder, all []Event) {
	if len(all) == 0 {
		return
	}
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.Name, b.Name) })
	fmt.Fprintf(b, "\n## Events: the peak second of each, after the mean before\n\n| event | gatherers | hollow kB/s | the busiest | words/s | %% of a core | leader kB/s | words/s | %% of a core | voter kB/s | real follower kB/s |\n|%s\n",
		strings.Repeat("---|", 11))
	for _, e := range all {
		p, q := e.Before, e.Peak
		fmt.Fprintf(b, "| %s, run %d | %d | %s, %s | %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s | %s, %s |\n", e.Name, e.Run, e.Gatherers,
			figure(p.Hollow.Bytes()/1000), figure(q.Hollow.Bytes()/1000), figure(q.Busiest.Bytes()/1000), figure(p.Hollow.Words()), figure(q.Hollow.Words()), figure(p.Hollow.CPU), figure(q.Hollow.CPU),
			figure(p.Leader.Bytes()/1000), figure(q.Leader.Bytes()/1000), figure(p.Leader.Words()), figure(q.Leader.Words()), figure(p.Leader.CPU), figure(q.Leader.CPU),
			figure(p.Voter.Bytes()/1000), figure(q.Voter.Bytes()/1000), figure(p.Follower.Bytes()/1000), figure(q.Follower.Bytes()/1000))
	}
	fmt.Fprintf(b, "\n| event | seconds over budget: bytes of the mean gatherer, of the busiest; core of the mean; leader's bytes, core | known to half, to all, ms | changes in force everywhere, ms (refused before) | whole again after s | queries let in |\n|---|---|---|---|---|---|\n")
	for _, e := range all {
		var changes []string
		for _, c := range e.Changes {
			changes = append(changes, fmt.Sprintf("%.0f at %.0f s (%d)", c.Took, c.At, len(c.Refused)))
		}
		o := e.Over
		fmt.Fprintf(b, "| %s, run %d | %d, %d; %d; %d, %d of %d | %.0f, %.0f | %s | %.0f | %d of %d |\n", e.Name, e.Run, o.HollowBytes, o.BusiestBytes, o.HollowCPU, o.LeaderBytes, o.LeaderCPU, len(e.Seconds),
			e.Known.Median, e.Known.Most, strings.Join(changes, ", "), e.Ended-e.Began, e.LetIn, e.Queries)
	}
	fmt.Fprintf(b, "\nScripts (numbers are gatherers; times from the event's beginning):\n\n")
	told := map[string]bool{}
	for _, e := range all {
		if !told[e.Name] {
			told[e.Name] = true
			fmt.Fprintf(b, "- %s: %s\n", e.Name, strings.ReplaceAll(e.Script, "\n", "; "))
		}
	}
}
