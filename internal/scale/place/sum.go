package place

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// Sum is the evaluation of a placement.
type Sum struct {
	Placing Placing
	Worst   map[Kind]Outcome // worst outcome of each kind: most refused, then fewest regions with changes
	// The number of pairs of losses, and how many of them stop changes in some region, in both, or
	// stop queries.
	Pairs, Somewhere, Everywhere, Queries int
	// Minutes per year without changes in some region, and in both, over all states with at most
	// two losses.
	NoChange, NoChangeAtAll float64
	// Fraction of service times minutes per year: Refused is lost to the rule, Lost with the
	// machines themselves.
	Refused, Lost float64
	Beyond        float64 // minutes per year with three or more losses
}

// unavailability returns the fraction of time for which a loss lasts.
func (f Fleet) unavailability(p Placing, l Loss) float64 {
	o := f.Often[l.Kind]
	share := min(1, o.PerYear*o.Minutes/minutesPerYear)
	if l.Kind == Gatherer { // any one of them
		return 1 - math.Pow(1-share, float64(f.Gatherers))
	}
	return share
}

// Weigh evaluates all single and double losses of a placement.
func (f Fleet) Weigh(p Placing) Sum {
	s := Sum{Placing: p, Worst: map[Kind]Outcome{}}
	losses := f.Losses(p)
	none, seen := 1.0, 0.0
	for _, l := range losses {
		none *= 1 - f.unavailability(p, l)
	}
	odds := func(l Loss) float64 { x := f.unavailability(p, l); return x / (1 - x) }
	add := func(prob float64, o Outcome) {
		m := prob * minutesPerYear
		seen += prob
		if !o.Changes[0] || !o.Changes[1] {
			s.NoChange += m
		}
		if !o.Changes[0] && !o.Changes[1] {
			s.NoChangeAtAll += m
		}
		s.Refused, s.Lost = s.Refused+m*o.Refused, s.Lost+m*o.Lost
	}
	add(none, f.After(p))
	for i, a := range losses {
		o := f.After(p, a)
		add(none*odds(a), o)
		if was, known := s.Worst[a.Kind]; !known || worse(o, was) {
			s.Worst[a.Kind] = o
		}
		for _, b := range losses[i+1:] {
			o := f.After(p, a, b)
			add(none*odds(a)*odds(b), o)
			s.Pairs++
			if !o.Changes[0] || !o.Changes[1] {
				s.Somewhere++
			}
			if !o.Changes[0] && !o.Changes[1] {
				s.Everywhere++
			}
			if o.Refused > 0 {
				s.Queries++
			}
		}
	}
	s.Beyond = max(0, 1-seen) * minutesPerYear
	return s
}

// worse orders outcomes by refused queries, then by the number of regions with changes.
func worse(a, b Outcome) bool {
	can := func(o Outcome) (n int) {
		for _, c := range o.Changes {
			if c {
				n++
			}
		}
		return n
	}
	if a.Refused != b.Refused {
		return a.Refused > b.Refused
	}
	return can(a) < can(b)
}

// Table writes one row per placement, as Markdown.
func Table(w io.Writer, f Fleet, all []Placing) {
	rows := []string{
		"| placement | machine | rack | zone | region | link | pairs of losses that stop changes somewhere / everywhere / queries, of | minutes per year without changes, somewhere / everywhere | refused, minutes of full service per year |",
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
	}
	for _, p := range all {
		s := f.Weigh(p)
		row := "| " + p.Name
		for k := Machine; k <= Link; k++ {
			row += " | " + s.Worst[k].Stops()
		}
		rows = append(rows, fmt.Sprintf("%s | %d / %d / %d, of %d | %.1f / %.1f | %.1f |", row, s.Somewhere, s.Everywhere, s.Queries, s.Pairs, s.NoChange, s.NoChangeAtAll, s.Refused))
	}
	fmt.Fprintln(w, strings.Join(rows, "\n"))
}

// Detail writes every single loss of a placement, and the pairs that stop more than the two losses
// alone, as Markdown.
func Detail(w io.Writer, f Fleet, p Placing) {
	rows := []string{"| lost | minutes per year | stops |", "| --- | --- | --- |"}
	losses := f.Losses(p)
	for i, a := range losses {
		rows = append(rows, fmt.Sprintf("| %s | %.2f | %s |", f.Name(a), f.unavailability(p, a)*minutesPerYear, f.After(p, a).Stops()))
		for _, b := range losses[i+1:] {
			both, x, y := f.After(p, a, b), f.After(p, a), f.After(p, b)
			more := both.Refused > x.Refused+y.Refused+1e-9
			for r := range 2 {
				more = more || x.Changes[r] && y.Changes[r] && !both.Changes[r]
			}
			if more {
				rows = append(rows, fmt.Sprintf("| %s and %s | %.4f | %s |", f.Name(a), f.Name(b), f.unavailability(p, a)*f.unavailability(p, b)*minutesPerYear, both.Stops()))
			}
		}
	}
	fmt.Fprintln(w, strings.Join(rows, "\n"))
}
