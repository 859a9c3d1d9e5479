// Package adminapi is the operators' door as a state machine that is fed bytes, how the program stands. It opens
// no socket.
package adminapi

import (
	"bytes"
	"fmt"
	"strings"
)

// Desk is what the door's calls reach. Its methods answer at once, under any load.
type Program interface {
	// Status tells whether this process takes clients, and in a word how it stands.
	Status() (takes bool, word string)
	// Standby drains the program, Active puts it back to work; an error says why not.
	Standby() error
	Active() error
	// Stats appends the figures, a line each.
	Stats(dst []byte) []byte
	// Layout appends how the layout of ranges stands, a line each; nil where there is none.
	Layout(dst []byte) []byte
	// Contracts appends how each team stands, a line each; nil where there are no contracts, or nobody has asked for anything.
	Contracts(dst []byte) []byte
	// Fleet appends the view of the fleet, a line each; nil where there is none.
	Fleet(dst []byte) []byte
	// Forget has a dead member of the fleet taken for one that has left, and LeaveFleet this gatherer leave it.
	Forget(name string) error
	LeaveFleet() error
	// Policy appends how the versions of the policy stand, a line each; PolicyText the document in force, or
	Policy(dst []byte) []byte
	// the one before it with previous.
	PolicyText(dst []byte, previous bool) []byte
	// Log changes what is logged: debug, info, warn or error, and what is above it.
	SetLogLevel(level string) error
}

// MaxCall bounds a call's line, without its end.
const MaxCall = 128

// Call is one connection's one call.
type Call struct {
	line []byte
	done bool
}

// Feed takes in bytes and returns the answer once the call is whole or can't become one; what follows the line
// is of no interest.
func (c *Call) Feed(b []byte, d Program) (answer []byte, done bool) {
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
	return execute(string(bytes.TrimSuffix(c.line, []byte{'\r'})), d), true
}

// Ended says that no more bytes come. A line without its end is not carried out: it may be half a call.
func (c *Call) End() []byte {
	if c.done {
		return nil
	}
	c.done = true
	return refuse("the call has no end")
}

func execute(call string, d Program) []byte {
	switch call {
	case "status":
		takes, word := d.Status()
		if !takes {
			return refuse("%s", word)
		}
		return []byte("YES " + word + "\n")
	case "stats":
		return append(d.Stats(nil), "END\n"...)
	case "layout":
		text := d.Layout(nil)
		if text == nil {
			return refuse("no layout is set up")
		}
		return append(text, "END\n"...)
	case "contracts":
		text := d.Contracts(nil)
		if text == nil {
			return refuse("no contracts are set up, or nobody has asked for anything")
		}
		return append(text, "END\n"...)
	case "fleet":
		text := d.Fleet(nil)
		if text == nil {
			return refuse("no view of a fleet is set up")
		}
		return append(text, "END\n"...)
	case "policy", "policy text", "policy previous":
		b := []byte(nil)
		if call == "policy" {
			b = d.Policy(nil)
		} else {
			b = d.PolicyText(nil, call == "policy previous")
		}
		if b != nil {
			return append(b, "END\n"...)
		}
		return refuse("no rollout is set up")
	case "fleet leave":
		return acknowledge(d.LeaveFleet(), call)
	case "standby":
		return acknowledge(d.Standby(), call)
	case "active":
		return acknowledge(d.Active(), call)
	case "":
		return refuse("empty call; there are status, stats, layout, contracts, fleet, policy, standby, active and log LEVEL")
	}
	if name, is := strings.CutPrefix(call, "fleet forget "); is {
		return acknowledge(d.Forget(name), call)
	}
	if level, is := strings.CutPrefix(call, "log "); is {
		return acknowledge(d.SetLogLevel(level), call)
	}
	return refuse("unknown call %q; there are status, stats, layout, contracts, fleet, policy, standby, active and log LEVEL", call)
}

func acknowledge(err error, call string) []byte {
	if err != nil {
		return refuse("%v", err)
	}
	return []byte("YES " + call + "\n")
}

func refuse(format string, args ...any) []byte { return fmt.Appendf(nil, "NO "+format+"\n", args...) }
