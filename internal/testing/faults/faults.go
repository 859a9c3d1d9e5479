// Package faults is the script of what befalls a group of processes and the links between them. The model of the fleet reads it in
// virtual time, the harness with started processes in real time; it is the same text for both.
//
// A script has one step a line, in any order; times count from its beginning:
//
//	at 2s loss 0.1                      every link loses so much, both ways, for good
//	at 5s for 12s cut 0-5 6-11          no word passes between the two sets
//	at 5s for 4s half 3 0-11            nothing passes from the first set to the second; the other way it does
//	at 5s for 4s delay 50ms 3 *         so long later, both ways, and as much again by chance, so that order is lost
//	at 5s repeat 0.3                    so much arrives twice
//	at 4s kill 7,9                      they end without a word
//	at 6s start 7                       they are started again under their names
//	at 6s move 7                        as start, at another address
//	at 4s for 10s stop 2                they stand still, and go on
//	at 4s for 10s slow 300ms 2          what comes to them is taken in so much later
//	at 4s leave 3                       they end as SIGTERM asks
//	at 4s twin 3                        a second process under the same name
//
// A set is numbers and spans with commas between, or * for all. The package is pure: it owns the reading of scripts, their making by
// seed, and what holds between two members at a time. It moves no byte.
package faults

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind is what a step does.
type Kind string

// The kinds.
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

// shape is what follows a kind's name: p a share, d a time, a and b sets.
var operands = map[Kind]string{
	Loss: "p", Cut: "ab", Half: "ab", Delay: "dab", Repeat: "p", Kill: "a", Start: "a", Move: "a", Stop: "a",
	Slow: "da", Leave: "a", Twin: "a",
}

// Lasting tells whether a step holds for a time, and is over after it.
func (k Kind) Lasting() bool {
	switch k {
	case Loss, Cut, Half, Delay, Repeat, Stop, Slow:
		return true
	}
	return false
}

// Set is members by number; nil: all.
type Set []int

// Has tells whether a member is in it.
func (s Set) Has(i int) bool { return s == nil || slices.Contains(s, i) }

// Step is one line.
type Step struct {
	At, For  time.Duration // For 0: for good
	Do       Kind
	A, B     Set // nil: all
	Fraction float64
	Delay    time.Duration
}

// Script is steps in the order of their times.
type Script []Step

// Parse reads a script for so many members.
func Parse(text string, members int) (Script, error) {
	var s Script
	n := 0
	for lines := bufio.NewScanner(strings.NewReader(text)); lines.Scan(); {
		n++
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		step, err := parseStep(words, members)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		s = append(s, step)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s, nil
}

func parseStep(words []string, members int) (x Step, err error) {
	take := func() string {
		if len(words) == 0 {
			return ""
		}
		w := words[0]
		words = words[1:]
		return w
	}
	if take() != "at" {
		return x, fmt.Errorf("want 'at TIME'")
	}
	if x.At, err = parseDuration(take()); err != nil {
		return x, err
	}
	word := take()
	if word == "for" {
		if x.For, err = parseDuration(take()); err != nil {
			return x, err
		}
		word = take()
	}
	x.Do = Kind(word)
	form, ok := operands[x.Do]
	if !ok {
		return x, fmt.Errorf("there is no fault %q", word)
	}
	if x.For != 0 && !x.Do.Lasting() {
		return x, fmt.Errorf("%s holds for no time", x.Do)
	}
	if x.For == 0 && x.Do == Stop {
		return x, fmt.Errorf("stop wants 'for TIME'")
	}
	for _, c := range form {
		w := take()
		switch c {
		case 'p':
			if x.Fraction, err = strconv.ParseFloat(w, 64); err == nil && !(x.Fraction >= 0 && x.Fraction <= 1) {
				err = fmt.Errorf("want a share of 0 to 1, not %s", w)
			}
		case 'd':
			x.Delay, err = parseDuration(w)
		case 'a':
			x.A, err = parseSet(w, members)
		case 'b':
			x.B, err = parseSet(w, members)
		}
		if err != nil {
			return x, err
		}
	}
	if len(words) > 0 {
		return x, fmt.Errorf("%q is too much", strings.Join(words, " "))
	}
	return x, nil
}

func parseDuration(w string) (time.Duration, error) {
	d, err := time.ParseDuration(w)
	if err != nil || d < 0 || d > 24*time.Hour {
		return 0, fmt.Errorf("want a time such as 500ms, not %q", w)
	}
	return d, nil
}

func parseSet(w string, members int) (Set, error) {
	if w == "*" {
		return nil, nil
	}
	s := Set{}
	for _, part := range strings.Split(w, ",") {
		from, to, span := strings.Cut(part, "-")
		if !span {
			to = from
		}
		a, err := strconv.Atoi(from)
		b, err2 := strconv.Atoi(to)
		if err != nil || err2 != nil || a < 0 || b < a || b >= members {
			return nil, fmt.Errorf("want members of 0 to %d such as 0-3,7 or *, not %q", members-1, w)
		}
		for i := a; i <= b; i++ {
			s = append(s, i)
		}
	}
	return s, nil
}

// String words a set so that Parse reads it.
func (s Set) String() string {
	if s == nil {
		return "*"
	}
	var parts []string
	for i := 0; i < len(s); {
		j := i
		for j+1 < len(s) && s[j+1] == s[j]+1 {
			j++
		}
		if parts = append(parts, strconv.Itoa(s[i])); j > i {
			parts[len(parts)-1] += "-" + strconv.Itoa(s[j])
		}
		i = j + 1
	}
	return strings.Join(parts, ",")
}

// String words a step so that Parse reads it.
func (x Step) String() string {
	text := "at " + x.At.String()
	if x.For != 0 {
		text += " for " + x.For.String()
	}
	text += " " + string(x.Do)
	for _, c := range operands[x.Do] {
		switch c {
		case 'p':
			text += " " + strconv.FormatFloat(x.Fraction, 'g', -1, 64)
		case 'd':
			text += " " + x.Delay.String()
		case 'a':
			text += " " + x.A.String()
		case 'b':
			text += " " + x.B.String()
		}
	}
	return text
}

// String is the script's text.
func (s Script) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintln(&b, x)
	}
	return b.String()
}

// End is when the last step is over. Steps that hold for good count by their beginning.
func (s Script) End() (end time.Duration) {
	for _, x := range s {
		end = max(end, x.At+x.For)
	}
	return end
}

// Random makes a script of so many faults for a group, all over by a time; what was killed is started again. The same seed gives the
// same script.
func Random(seed uint64, members, faults int, over time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	some := func(most int) Set {
		n := 1 + rng.IntN(max(1, most))
		s := Set(rng.Perm(members)[:min(n, members)])
		slices.Sort(s)
		return s
	}
	var s Script
	free := make([]time.Duration, members) // when a member is no longer dead or stopped
	for range faults {
		at := time.Duration(rng.Int64N(int64(over*6/10))) / time.Millisecond * time.Millisecond
		last := time.Duration(1+rng.Int64N(int64(over*3/10)/int64(time.Millisecond))) * time.Millisecond
		x := Step{At: at, For: last}
		switch rng.IntN(9) {
		case 0:
			x.Do, x.Fraction = Loss, 0.05+0.25*rng.Float64()
		case 1:
			x.Do, x.A = Cut, some(members/2)
			x.B = Set{}
			for i := range members {
				if !x.A.Has(i) {
					x.B = append(x.B, i)
				}
			}
		case 2:
			x.Do, x.A, x.B = Cut, some(1), some(1)
		case 3:
			x.Do, x.A, x.B = Half, some(2), some(members)
		case 4:
			x.Do, x.Delay, x.A = Delay, time.Duration(1+rng.Int64N(150))*time.Millisecond, some(members/3)
		case 5:
			x.Do, x.Fraction = Repeat, 0.5*rng.Float64()
		default:
			who := some(max(1, members/4))
			who = slices.DeleteFunc(who, func(i int) bool { return free[i] > 0 })
			if len(who) == 0 {
				continue
			}
			for _, i := range who {
				free[i] = at + last
			}
			if x.A = who; rng.IntN(3) == 0 {
				x.Do = Stop
				break
			}
			x.Do, x.For = Kill, 0
			if rng.IntN(4) == 0 {
				x.Do = Leave
			}
			back := Step{At: at + last, Do: Start, A: who}
			if rng.IntN(2) == 0 {
				back.Do = Move
			}
			s = append(s, back)
		}
		s = append(s, x)
	}
	slices.SortStableFunc(s, func(a, b Step) int { return int(a.At - b.At) })
	return s
}

// Link is what holds from one member to another.
type Link struct {
	Cut          bool
	Loss, Repeat float64
	Delay        time.Duration // at least; up to twice that
}

// Links is what holds between members at a time. It costs O(faults that hold) to ask.
type Links struct{ active []Step }

// Begin has a step hold from now on; those that befall members are no concern of links.
func (l *Links) Begin(x Step) {
	switch x.Do {
	case Loss, Cut, Half, Delay, Repeat:
		l.active = append(l.active, x)
	}
}

// Expire ends what is over at a time.
func (l *Links) Expire(now time.Duration) {
	l.active = slices.DeleteFunc(l.active, func(x Step) bool { return x.For > 0 && x.At+x.For <= now })
}

// Between tells what holds from one to another.
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
