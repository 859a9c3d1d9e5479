package faults

import (
	"slices"
	"time"
)

// Link is the faults in force from one member to another.
type Link struct {
	Cut          bool
	Loss, Repeat float64
	Delay        time.Duration // at least; up to twice that
}

// Links is the faults of links that are in force. The zero value has none.
type Links struct{ active []Step }

// Begin puts a step in force; steps that concern members, not links, have no effect.
func (l *Links) Begin(x Step) {
	switch x.Do {
	case Loss, Cut, Half, Delay, Repeat:
		l.active = append(l.active, x)
	}
}

// Expire ends the steps that are over at a time of the script.
func (l *Links) Expire(now time.Duration) {
	l.active = slices.DeleteFunc(l.active, func(x Step) bool { return x.For > 0 && x.At+x.For <= now })
}

// Between returns the faults from one member to another. It takes time in proportion to the steps in force.
func (l *Links) Between(from, to int) (k Link) {
	for _, x := range l.active {
		either := x.A.Has(from) && x.B.Has(to) || x.A.Has(to) && x.B.Has(from)
		switch {
		case x.Do == Loss:
			k.Loss = 1 - (1-k.Loss)*(1-x.Fraction)
		case x.Do == Repeat:
			k.Repeat = max(k.Repeat, x.Fraction)
		case x.Do == Cut && either, x.Do == Half && x.A.Has(from) && x.B.Has(to):
			k.Cut = true
		case x.Do == Delay && either:
			k.Delay += x.Delay
		}
	}
	return k
}
