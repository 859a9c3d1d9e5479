package faults

import (
	"slices"
	"time"
)

// Link is the combination of the active faults from one member to another.
type Link struct {
	Cut          bool
	Loss, Repeat float64
	Delay        time.Duration // minimum; the maximum is twice this
}

// Links is the set of active link faults. The zero value has none.
type Links struct{ active []Step }

// Begin activates a step. Steps that affect members, not links, are ignored.
func (l *Links) Begin(x Step) {
	switch x.Do {
	case Loss, Cut, OneWayCut, Delay, Repeat:
		l.active = append(l.active, x)
	}
}

// Expire ends the steps that have ended by now, which is relative to the start of the script.
func (l *Links) Expire(now time.Duration) {
	l.active = slices.DeleteFunc(l.active, func(x Step) bool { return x.For > 0 && x.At+x.For <= now })
}

// Between returns the faults from one member to another. Its cost is linear in the number of active
// steps.
func (l *Links) Between(from, to int) (k Link) {
	for _, x := range l.active {
		either := x.A.Has(from) && x.B.Has(to) || x.A.Has(to) && x.B.Has(from)
		switch {
		case x.Do == Loss:
			k.Loss = 1 - (1-k.Loss)*(1-x.Fraction)
		case x.Do == Repeat:
			k.Repeat = max(k.Repeat, x.Fraction)
		case x.Do == Cut && either, x.Do == OneWayCut && x.A.Has(from) && x.B.Has(to):
			k.Cut = true
		case x.Do == Delay && either:
			k.Delay += x.Delay
		}
	}
	return k
}
