package handover

import (
	"cmp"
	"slices"
)

// State is what one process writes for the other. Times are Unix microseconds.
type State struct {
	Name       string // of the gatherer
	Since      int64  // when the process began
	At         int64  // when the state was written
	Standby    bool
	Sockets    int              // open descriptors
	Open       int              // open queries and parts
	Labels     map[string]int64 // unique labels of open queries, with their deadlines
	Admission  float64          // fraction of load that is admitted, 0 to 1
	Suspects   map[string]int64 // keys that bring down servers, and when that was found
	Discovery  string           // the source of List
	Generation int64            // of List
	List       []byte           // of servers, in discovery's form, as JSON; nil: none
}

const (
	// MaxSize is the limit of a state's text in bytes, and so of what is read of a file that another program may have written.
	MaxSize = 256 << 10
	// StaleAfter is the age in microseconds from which a state's process counts as gone or stuck.
	StaleAfter = 1_000_000
)

// IsFresh reports whether a state was written so recently that its process counts as running. A state from further in the future than StaleAfter is not fresh.
func (s State) IsFresh(now int64) bool { return s.At > now-StaleAfter && s.At < now+StaleAfter }

// Newest returns the state of the process that began last: where several run, the older ones are shutting down already. It returns false where there is no state.
func Newest(states []State) (State, bool) {
	if len(states) == 0 {
		return State{}, false
	}
	return slices.MaxFunc(states, func(a, b State) int { return cmp.Compare(a.Since, b.Since) }), true
}
