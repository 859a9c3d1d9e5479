package faults

import (
	"slices"
	"time"
)

// Kind is the kind of a fault; its value is the keyword in a script.
type Kind string

// The kinds of faults: those of links, then those of members. The package comment describes each.
const (
	Loss      Kind = "loss"
	Cut       Kind = "cut"
	OneWayCut Kind = "half"
	Delay     Kind = "delay"
	Repeat    Kind = "repeat"
	Kill      Kind = "kill"
	Start     Kind = "start"
	Move      Kind = "move"
	Stop      Kind = "stop"
	Slow      Kind = "slow"
	Leave     Kind = "leave"
	Twin      Kind = "twin"
)

// operands lists the operands of each kind: p is a fraction, d a duration, a and b are sets.
var operands = map[Kind]string{
	Loss: "p", Cut: "ab", OneWayCut: "ab", Delay: "dab", Repeat: "p", Kill: "a", Start: "a", Move: "a", Stop: "a",
	Slow: "da", Leave: "a", Twin: "a",
}

// Lasting reports whether a step of this kind may have a limited duration.
func (k Kind) Lasting() bool {
	switch k {
	case Loss, Cut, OneWayCut, Delay, Repeat, Stop, Slow:
		return true
	}
	return false
}

// Set is a set of member indexes; nil: all members.
type Set []int

// Has reports whether a member is in the set.
func (s Set) Has(i int) bool { return s == nil || slices.Contains(s, i) }

// Step is one line of a script.
type Step struct {
	At, For  time.Duration // start, relative to that of the script, and duration; For 0: until the end
	Do       Kind
	A, B     Set // nil: all members
	Fraction float64
	Delay    time.Duration
}

// Script is a list of steps, sorted by start time.
type Script []Step

// End returns when the last step ends. Steps that last until the end count by their start.
func (s Script) End() (end time.Duration) {
	for _, x := range s {
		end = max(end, x.At+x.For)
	}
	return end
}
