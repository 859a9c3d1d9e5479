package handover

import (
	"cmp"
	"slices"
)

// State is the state that one process writes for the other. Times are Unix microseconds.
type State struct {
	Name       string // name of the gatherer
	Since      int64  // start time of the process
	At         int64  // when the state was written
	Standby    bool
	Sockets    int              // open descriptors
	Open       int              // open queries and parts
	Labels     map[string]int64 // deadlines of open queries, by unique label
	Admission  float64          // fraction of the load that is admitted, 0 to 1
	Suspects   map[string]int64 // keys that are suspected of crashing servers, and when that was detected
	Discovery  string           // source of List
	Generation int64            // version of List
	List       []byte           // servers as JSON in discovery's format; nil: none
}

const (
	// MaxSize is the maximum size of an encoded state in bytes, and so of what is read from a file
	// that another program may have written.
	MaxSize = 256 << 10
	// StaleAfter is the age in microseconds from which the process of a state is considered dead or
	// stuck.
	StaleAfter = 1_000_000
)

// IsFresh reports whether a state is recent enough for its process to be considered running. A
// state from further in the future than StaleAfter is not fresh.
func (s State) IsFresh(now int64) bool { return s.At > now-StaleAfter && s.At < now+StaleAfter }

// Newest returns the state of the process that started last: if several run, the older ones are
// already shutting down. It returns false if there is no state.
func Newest(states []State) (State, bool) {
	if len(states) == 0 {
		return State{}, false
	}
	return slices.MaxFunc(states, func(a, b State) int { return cmp.Compare(a.Since, b.Since) }), true
}
