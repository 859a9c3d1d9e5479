package faults

import (
	"fmt"
	"strconv"
	"strings"
)

// String returns the text form of the set that Parse accepts.
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

// String returns the script line that Parse accepts for this step.
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

// String returns the text form of the script that Parse accepts.
func (s Script) String() string {
	var b strings.Builder
	for _, x := range s {
		fmt.Fprintln(&b, x)
	}
	return b.String()
}
