package adminapi

import (
	"bytes"
	"fmt"
	"strings"
)

// Program is what calls act on. Its methods are called from the connections' goroutines and answer immediately, under any load.
type Program interface {
	// Status reports whether this process accepts clients, and its state in one word.
	Status() (accepts bool, state string)
	// Standby drains the program; Active puts it back in service. An error says why that is not possible.
	Standby() error
	Active() error
	// Stats appends the metrics, a line each.
	Stats(dst []byte) []byte
	// Layout appends the state of the layout of ranges, a line each; nil where there is none.
	Layout(dst []byte) []byte
	// Contracts appends the state of each team, a line each; nil where there are no contracts, or no team has sent a query.
	Contracts(dst []byte) []byte
	// Fleet appends the view of the fleet, a line each; nil where there is none.
	Fleet(dst []byte) []byte
	// Forget treats a failed member of the fleet as one that has left.
	Forget(name string) error
	// LeaveFleet has this gatherer leave the fleet.
	LeaveFleet() error
	// Policy appends the state of the policy's versions, a line each; nil where no rollout is set up.
	Policy(dst []byte) []byte
	// PolicyText appends the document in force, or with previous the one before it; nil where no rollout is set up.
	PolicyText(dst []byte, previous bool) []byte
	// SetLogLevel sets the lowest level that is logged: debug, info, warn or error.
	SetLogLevel(level string) error
}

// MaxCall is the most bytes of a call's line, without its end.
const MaxCall = 128

// Call is the one call of one connection. The zero value is ready; it belongs to one goroutine.
type Call struct {
	line []byte
	done bool
}

// Feed takes bytes in as they arrive, executes the call when its line is complete, and returns the answer. done is true when the connection is finished,
// also for a line that is too long; bytes after the line are ignored.
func (c *Call) Feed(b []byte, p Program) (answer []byte, done bool) {
	if c.done {
		return nil, true
	}
	i := bytes.IndexByte(b, '\n')
	if i >= 0 {
		b = b[:i]
	}
	if len(c.line)+len(b) > MaxCall+1 { // one more for a carriage return
		c.done = true
		return refuse("a call has %d bytes at most", MaxCall), true
	}
	c.line = append(c.line, b...)
	if i < 0 {
		return nil, false
	}
	c.done = true
	return execute(string(bytes.TrimSuffix(c.line, []byte{'\r'})), p), true
}

// End reports that no more bytes come, and returns the answer where there was none. A line without its end is not executed: it may be half a call.
func (c *Call) End() []byte {
	if c.done {
		return nil
	}
	c.done = true
	return refuse("the call has no end")
}

// execute executes a complete line.
func execute(call string, p Program) []byte {
	switch call {
	case "status":
		accepts, state := p.Status()
		if !accepts {
			return refuse("%s", state)
		}
		return []byte("YES " + state + "\n")
	case "stats":
		return append(p.Stats(nil), end...)
	case "layout":
		return textOr(p.Layout(nil), "no layout is set up")
	case "contracts":
		return textOr(p.Contracts(nil), "no contracts are set up, or nobody has asked for anything")
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
		return refuse("empty call; there are %s", callNames)
	}
	if name, ok := strings.CutPrefix(call, "fleet forget "); ok {
		return acknowledge(p.Forget(name), call)
	}
	if level, ok := strings.CutPrefix(call, "log "); ok {
		return acknowledge(p.SetLogLevel(level), call)
	}
	return refuse("unknown call %q; there are %s", call, callNames)
}

const (
	callNames = "status, stats, layout, contracts, fleet, policy, standby, active and log LEVEL"
	noRollout = "no rollout is set up"
	end       = "END\n" // ends an answer of several lines
)

// textOr is the answer to a call for text: the text, or a refusal with the reason where there is none.
func textOr(text []byte, reason string) []byte {
	if text == nil {
		return refuse("%s", reason)
	}
	return append(text, end...)
}

// acknowledge is the answer to a call that changes something.
func acknowledge(err error, call string) []byte {
	if err != nil {
		return refuse("%v", err)
	}
	return []byte("YES " + call + "\n")
}

// refuse is the answer to a call that was not executed.
func refuse(format string, args ...any) []byte { return fmt.Appendf(nil, "NO "+format+"\n", args...) }
