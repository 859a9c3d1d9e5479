package faults

import (
	"bufio"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxDuration is the maximum of every time in a script.
const maxDuration = 24 * time.Hour

// Parse parses a script for a group with the given number of members. It sorts the steps by start time;
// steps with the same start time keep their order.
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

// parseStep parses the words of one line.
func parseStep(words []string, members int) (x Step, err error) {
	next := func() string {
		if len(words) == 0 {
			return ""
		}
		w := words[0]
		words = words[1:]
		return w
	}
	if next() != "at" {
		return x, fmt.Errorf("step does not start with 'at TIME'")
	}
	if x.At, err = parseDuration(next()); err != nil {
		return x, err
	}
	word := next()
	if word == "for" {
		if x.For, err = parseDuration(next()); err != nil {
			return x, err
		}
		word = next()
	}
	x.Do = Kind(word)
	form, ok := operands[x.Do]
	if !ok {
		return x, fmt.Errorf("unknown fault %q", word)
	}
	if x.For != 0 && !x.Do.Lasting() {
		return x, fmt.Errorf("fault %s is instantaneous: 'for TIME' is not allowed", x.Do)
	}
	if x.For == 0 && x.Do == Stop {
		return x, fmt.Errorf("fault stop requires 'for TIME'")
	}
	for _, c := range form {
		if err = x.parseOperand(c, next(), members); err != nil {
			return x, err
		}
	}
	if len(words) > 0 {
		return x, fmt.Errorf("unexpected %q after the last operand", strings.Join(words, " "))
	}
	return x, nil
}

// parseOperand parses the word w as an operand of the given kind, a letter of operands, and sets the
// step's field.
func (x *Step) parseOperand(operand rune, w string, members int) (err error) {
	switch operand {
	case 'p':
		if x.Fraction, err = strconv.ParseFloat(w, 64); err == nil && !(x.Fraction >= 0 && x.Fraction <= 1) {
			err = fmt.Errorf("want a fraction from 0 to 1, got %s", w)
		}
	case 'd':
		x.Delay, err = parseDuration(w)
	case 'a':
		x.A, err = parseSet(w, members)
	case 'b':
		x.B, err = parseSet(w, members)
	}
	return err
}

// parseDuration parses a duration from 0 to maxDuration.
func parseDuration(w string) (time.Duration, error) {
	d, err := time.ParseDuration(w)
	if err != nil || d < 0 || d > maxDuration {
		return 0, fmt.Errorf("want a duration from 0 to 24h such as 500ms, got %q", w)
	}
	return d, nil
}

// parseSet parses a set of members.
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
			return nil, fmt.Errorf("want members from 0 to %d such as 0-3,7, or *, got %q", members-1, w)
		}
		for i := a; i <= b; i++ {
			s = append(s, i)
		}
	}
	return s, nil
}
