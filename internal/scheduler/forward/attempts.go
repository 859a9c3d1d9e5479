package forward

import "saffronquay/internal/scheduler/outcome"

// maxRejections bounds the attempts of a request that no worker has run: rejections, and workers that could not be reached.
const maxRejections = 4

// Attempts decides whether another attempt of one request is allowed. It has no clock and no lock: one goroutine uses it.
type Attempts struct {
	idempotent bool
	maxRuns    int // attempts that may have run
	runs       int
	rejections int
}

// NewAttempts returns the attempts of a request that has had none. An idempotent request may run max(maxRuns, 1) times, any other one time only.
func NewAttempts(idempotent bool, maxRuns int) *Attempts {
	return &Attempts{idempotent: idempotent, maxRuns: max(maxRuns, 1)}
}

// IsLast reports whether no other attempt is allowed after the next one that may have run.
func (a *Attempts) IsLast() bool { return !a.idempotent || a.runs+1 >= a.maxRuns }

// Record counts an attempt that brought no answer to pass on, and reports whether another one is allowed. An attempt that has not run allows one
// for every request, up to maxRejections. An attempt that has run or may have run, also one that timed out or was reset, allows one only for an
// idempotent request, and counts against its maximum.
func (a *Attempts) Record(o outcome.Outcome) (retry bool) {
	if o == outcome.NotRun {
		a.rejections++
		return a.rejections < maxRejections
	}
	retry = !a.IsLast()
	a.runs++
	return retry
}
