package adminapi

import (
	"bytes"
	"fmt"
	"strings"
)

// Program is the running program that calls act on. Its methods are called from the goroutines of the
// connections, concurrently, and must return promptly under any load.
type Program interface {
	// Status reports whether this process accepts clients, and its state in one word.
	Status() (accepts bool, state string)
	// Standby drains the program; Active puts it back into service. The error says why that is not
	// possible.
	Standby() error
	Active() error
	// Stats appends one line for each metric.
	Stats(dst []byte) []byte
	// Layout appends the state of the layout, one line for the layout and one for each change in
	// progress. It returns nil without a layout.
	Layout(dst []byte) []byte
	// Contracts appends one line for each team. It returns nil without contracts, and before any team has
	// sent a query.
	Contracts(dst []byte) []byte
	// Fleet appends the view of the fleet, one line for the totals and one for each member. It returns nil
	// without a view.
	Fleet(dst []byte) []byte
	// Forget marks a failed member of the fleet as having left it.
	Forget(name string) error
	// LeaveFleet makes this gatherer leave the fleet.
	LeaveFleet() error
	// Policy appends the state of the policy rollout in several lines. It returns nil without a rollout.
	Policy(dst []byte) []byte
	// PolicyText appends the policy in force or, with previous, the version before it. It returns nil
	// without a rollout.
	PolicyText(dst []byte, previous bool) []byte
	// SetLogLevel sets the minimum level of log lines: debug, info, warn or error.
	SetLogLevel(level string) error
}

// MaxCall is the maximum length of a call in bytes, without the end of the line.
const MaxCall = 128

// Call parses and executes the call of one connection. The zero value is ready to use. It must be
// used by one goroutine only.
type Call struct {
	line []byte
	done bool
}

// Feed processes the next bytes from the connection. When the line is complete it executes the call and
// returns the answer. done is true when the answer, which may be the rejection of a line that is too
// long, is the last one. Bytes after the first line are ignored.
func (c *Call) Feed(b []byte, p Program) (answer []byte, done bool) {
	if c.done {
		return nil, true
	}
	i := bytes.IndexByte(b, '\n')
	if i >= 0 {
		b = b[:i]
	}
	if len(c.line)+len(b) > MaxCall+1 { // one more byte for a carriage return
		c.done = true
		return reject("a call has %d bytes at most", MaxCall), true
	}
	c.line = append(c.line, b...)
	if i < 0 {
		return nil, false
	}
	c.done = true
	return execute(string(bytes.TrimSuffix(c.line, []byte{'\r'})), p), true
}

// End must be called at the end of the input. It returns a rejection if there was no answer yet. A line
// without an end of line is not executed, since it may be truncated.
func (c *Call) End() []byte {
	if c.done {
		return nil
	}
	c.done = true
	return reject("incomplete call: no end of line")
}

// execute executes a complete call and returns the answer.
func execute(call string, p Program) []byte {
	switch call {
	case "status":
		accepts, state := p.Status()
		if !accepts {
			return reject("%s", state)
		}
		return []byte("YES " + state + "\n")
	case "stats":
		return append(p.Stats(nil), end...)
	case "layout":
		return textOr(p.Layout(nil), "no layout is set up")
	case "contracts":
		return textOr(p.Contracts(nil), "no contracts are set up, or no team has sent a query")
	case "fleet":
		return textOr(p.Fleet(nil), "no view of a fleet is set up")
	case "policy":
		return textOr(p.Policy(nil), noRollout)
	case "policy text":
		return textOr(p.PolicyText(nil, false), noRollout)
	case "policy previous":
		return textOr(p.PolicyText(nil, true), noRollout)
	case "fleet leave":
		return acknowledge(p.LeaveFleet(), call)
	case "standby":
		return acknowledge(p.Standby(), call)
	case "active":
		return acknowledge(p.Active(), call)
	case "":
		return reject("empty call; there are %s", callNames)
	}
	if name, ok := strings.CutPrefix(call, "fleet forget "); ok {
		return acknowledge(p.Forget(name), call)
	}
	if level, ok := strings.CutPrefix(call, "log "); ok {
		return acknowledge(p.SetLogLevel(level), call)
	}
	return reject("unknown call %q; there are %s", call, callNames)
}

const (
	callNames = "status, stats, layout, contracts, fleet, policy, standby, active and log LEVEL"
	noRollout = "no rollout is set up"
	end       = "END\n" // last line of an answer of several lines
)

// textOr returns the answer to a call for text, which is a rejection with the given reason if text
// is nil.
func textOr(text []byte, reason string) []byte {
	if text == nil {
		return reject("%s", reason)
	}
	return append(text, end...)
}

// acknowledge returns the answer to a call that changes something.
func acknowledge(err error, call string) []byte {
	if err != nil {
		return reject("%v", err)
	}
	return []byte("YES " + call + "\n")
}

// reject returns the answer to a call that was not executed or failed.
func reject(format string, args ...any) []byte { return fmt.Appendf(nil, "NO "+format+"\n", args...) }
