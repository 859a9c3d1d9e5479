package faults

import (
	"slices"
	"time"
)

// Kind is what a step does; its value is the word in a script.
type Kind string

// The kinds: faults of links, then those of members. The package comment describes each.
const (
	Loss   Kind = "loss"
	Cut    Kind = "cut"
	Half   Kind = "half"
	Delay  Kind = "delay"
	Repeat Kind = "repeat"
	Kill   Kind = "kill"
	Start  Kind = "start"
	Move   Kind = "move"
	Stop   Kind = "stop"
	Slow   Kind = "slow"
	Leave  Kind = "leave"
	Twin   Kind = "twin"
)

// operands lists what follows a kind's name: p a fraction, d a duration, a and b sets.
var operands = map[Kind]string{
	Loss: "p", Cut: "ab", Half: "ab", Delay: "dab", Repeat: "p", Kill: "a", Start: "a", Move: "a", Stop: "a",
	Slow: "da", Leave: "a", Twin: "a",
}

// Lasting returns whether a step of this kind may be in force for a limited time.
func (k Kind) Lasting() bool {
	switch k {
	case Loss, Cut, Half, Delay, Repeat, Stop, Slow:
		return true
	}
	return false
}

// Set is members by index; nil: all.
type Set []int

// Has returns whether a member is in the set.
func (s Set) Has(i int) bool { return s == nil || slices.Contains(s, i) }

// Step is one line of a script.
type Step struct {
	At, For  time.Duration // beginning, from that of the script, and length; For 0: to the end
	Do       Kind
	A, B     Set // nil: all
	Fraction float64
	Delay    time.Duration
}

// Script is steps in the order of their times.
type Script []Step

// End returns when the last step is over. Steps that last to the end count by their beginning.
func (s Script) End() (end time.Duration) {
	for _, x := range s {
		end = max(end, x.At+x.For)
	}
	return end
}
