package faults

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Random generates a script of at most the given number of faults, all of which have ended by over.
// Members that were killed are restarted. The same arguments give the same script, so the order of the
// random draws must not change.
func Random(seed uint64, members, faults int, over time.Duration) Script {
	g := generator{rng: rand.New(rand.NewPCG(seed, 0xfa17)), members: members, faultEnd: make([]time.Duration, members)}
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
	rng      *rand.Rand
	members  int
	faultEnd []time.Duration // by member: the end of its fault; 0: no fault yet
}

// randomMembers draws a set of one to most members.
func (g *generator) randomMembers(most int) Set {
	n := 1 + g.rng.IntN(max(1, most))
	s := Set(g.rng.Perm(g.members)[:min(n, g.members)])
	slices.Sort(s)
	return s
}

// fault draws one fault of links or of members. It returns no step if every drawn member already has a
// fault.
func (g *generator) fault(at, last time.Duration) []Step {
	x := Step{At: at, For: last}
	switch g.rng.IntN(9) {
	case 0:
		x.Do, x.Fraction = Loss, 0.05+0.25*g.rng.Float64()
	case 1:
		x.Do, x.A = Cut, g.randomMembers(g.members/2)
		x.B = Set{}
		for i := range g.members {
			if !x.A.Has(i) {
				x.B = append(x.B, i)
			}
		}
	case 2:
		x.Do, x.A, x.B = Cut, g.randomMembers(1), g.randomMembers(1)
	case 3:
		x.Do, x.A, x.B = OneWayCut, g.randomMembers(2), g.randomMembers(g.members)
	case 4:
		x.Do, x.Delay, x.A = Delay, time.Duration(1+g.rng.Int64N(150))*time.Millisecond, g.randomMembers(g.members/3)
	case 5:
		x.Do, x.Fraction = Repeat, 0.5*g.rng.Float64()
	default:
		return g.memberFault(x)
	}
	return []Step{x}
}

// memberFault draws a fault for members that have none yet: a suspension, or an end with a later
// restart. The restart is the first step of the result.
func (g *generator) memberFault(x Step) []Step {
	who := g.randomMembers(max(1, g.members/4))
	who = slices.DeleteFunc(who, func(i int) bool { return g.faultEnd[i] > 0 })
	if len(who) == 0 {
		return nil
	}
	over := x.At + x.For
	for _, i := range who {
		g.faultEnd[i] = over
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
