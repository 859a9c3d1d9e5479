package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Random makes a script of at most so many faults for a group, all over by a time; members that were killed are started again. The same
// arguments give the same script: the order of random draws must not change.
func Random(seed uint64, members, faults int, over time.Duration) Script {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xfa17)), members: members, free: make([]time.Duration, members)}
	var s Script
	for range faults {
		at := time.Duration(g.rng.Int64N(int64(over*6/10))) / time.Millisecond * time.Millisecond
		last := time.Duration(1+g.rng.Int64N(int64(over*3/10)/int64(time.Millisecond))) * time.Millisecond
		s = append(s, g.fault(at, last)...)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// generator draws the faults of a random script.
type generator struct {
	rng     *rand.Rand
	members int
	free    []time.Duration // by member: the end of its fault; 0: it has had none
}

// some draws a set of at least one and at most so many members.
func (g *generator) some(most int) Set {
	n := 1 + g.rng.IntN(max(1, most))
	s := Set(g.rng.Perm(g.members)[:min(n, g.members)])
	slices.Sort(s)
	return s
}

// fault draws one fault of a link or of members. It returns no step where all members drawn have had a fault already.
func (g *generator) fault(at, last time.Duration) []Step {
	x := Step{At: at, For: last}
	switch g.rng.IntN(9) {
	case 0:
		x.Do, x.Fraction = Loss, 0.05+0.25*g.rng.Float64()
	case 1:
		x.Do, x.A = Cut, g.some(g.members/2)
		x.B = Set{}
		for i := range g.members {
			if !x.A.Has(i) {
				x.B = append(x.B, i)
			}
		}
	case 2:
		x.Do, x.A, x.B = Cut, g.some(1), g.some(1)
	case 3:
		x.Do, x.A, x.B = Half, g.some(2), g.some(g.members)
	case 4:
		x.Do, x.Delay, x.A = Delay, time.Duration(1+g.rng.Int64N(150))*time.Millisecond, g.some(g.members/3)
	case 5:
		x.Do, x.Fraction = Repeat, 0.5*g.rng.Float64()
	default:
		return g.memberFault(x)
	}
	return []Step{x}
}

// memberFault draws a fault of members that have had none: a suspension, or an end and a later start, which comes first in the result.
func (g *generator) memberFault(x Step) []Step {
	who := g.some(max(1, g.members/4))
	who = slices.DeleteFunc(who, func(i int) bool { return g.free[i] > 0 })
	if len(who) == 0 {
		return nil
	}
	over := x.At + x.For
	for _, i := range who {
		g.free[i] = over
	}
	if x.A = who; g.rng.IntN(3) == 0 {
		x.Do = Stop
		return []Step{x}
	}
	x.Do, x.For = Kill, 0
	if g.rng.IntN(4) == 0 {
		x.Do = Leave
	}
	back := Step{At: over, Do: Start, A: who}
	if g.rng.IntN(2) == 0 {
		back.Do = Move
	}
	return []Step{back, x}
}
