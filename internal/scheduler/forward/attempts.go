package forward

import "saffronquay/internal/scheduler/outcome"

// declinesMost bounds the workers that may decline a request before it is given up.
const maxRejections = 4

// Tries decides whether a request may be sent once more. It is pure.
type Attempts struct {
	repeatable     bool
	most           int // workers that may run it
	runs, declines int
}

// NewTries returns the tries of a request that may run at so many workers, at one at most where it isn't repeatable.
func NewAttempts(repeatable bool, most int) *Attempts {
	return &Attempts{repeatable: repeatable, most: max(most, 1)}
}

// Last tells whether no other worker may be asked after one that may have run the request.
func (t *Attempts) IsLast() bool { return !t.repeatable || t.runs+1 >= t.most }

// After takes in what became of a try, and tells whether another worker may be asked. What no worker has run can be sent again by anybody; what
// may have run, after silence or a reset too, only where it may be repeated.
func (t *Attempts) Record(v outcome.Outcome) (again bool) {
	if v == outcome.NotRun {
		t.declines++
		return t.declines < maxRejections
	}
	again = !t.IsLast()
	t.runs++
	return again
}
