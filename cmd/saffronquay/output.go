package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"golang.org/x/term"
)

const (
	// minWidth is the least width that lines are wrapped to.
	minWidth = 20
	// continuationIndent precedes each continuation of a wrapped line.
	continuationIndent = "    "
)

// print writes the result of a command: v as JSON with -o json, else the output of text, wrapped to
// the width of the terminal.
func (c *cli) print(v any, text func(io.Writer)) error {
	if c.output == "json" {
		b, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(c.out, string(b))
		return err
	}
	var b strings.Builder
	text(&b)
	_, err := io.WriteString(c.out, wrap(b.String(), c.width()))
	return err
}

// plainText returns a function for print that writes text unchanged.
func plainText(text string) func(io.Writer) {
	return func(w io.Writer) { fmt.Fprint(w, text) }
}

// width returns the maximum width of a line: that of the terminal, or the value of COLUMNS if the
// output is not a terminal. 0 means unlimited.
func (c *cli) width() int {
	f, ok := c.out.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		n, err := strconv.Atoi(os.Getenv("COLUMNS"))
		if err != nil || n < minWidth {
			return 0
		}
		return n
	}
	n, _, err := term.GetSize(int(f.Fd()))
	if err != nil {
		return 0
	}
	return max(n, minWidth)
}

// wrap breaks lines that are wider than width, at spaces where possible, and indents the
// continuations. With a width of 0 it returns text unchanged.
func wrap(text string, width int) string {
	if width <= 0 {
		return text
	}
	var out strings.Builder
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		indent := ""
		for len(indent)+len(line) > width {
			available := width - len(indent)
			end := strings.LastIndexByte(line[:available+1], ' ')
			if end <= 0 {
				end = available
			}
			out.WriteString(indent + strings.TrimRight(line[:end], " ") + "\n")
			line, indent = strings.TrimLeft(line[end:], " "), continuationIndent
		}
		out.WriteString(indent + line + "\n")
	}
	return out.String()
}

// progress replaces the last line of the terminal with the state of a long operation. It writes
// nothing if the error output is not a terminal.
func (c *cli) progress(format string, args ...any) {
	if f, ok := c.errs.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		fmt.Fprintf(f, "\r\x1b[K"+format, args...)
	}
}
