package forward

import "saffronquay/internal/scheduler/outcome"

// maxRejections bounds the attempts of a request that ended without a run: rejections, and workers
// that could not be reached.
const maxRejections = 4

// Attempts decides whether another attempt of one request is allowed. It reads no clock and is not
// safe for concurrent use.
type Attempts struct {
	idempotent bool
	maxRuns    int // limit of runs
	runs       int // attempts that have run or may have run
	rejections int // attempts that have not run
}

// NewAttempts returns the state of a request without attempts. An idempotent request may run
// max(maxRuns, 1) times, any other only once.
func NewAttempts(idempotent bool, maxRuns int) *Attempts {
	return &Attempts{idempotent: idempotent, maxRuns: max(maxRuns, 1)}
}

// Runs returns the number of recorded attempts that have run or may have run.
func (a *Attempts) Runs() int { return a.runs }

// IsLast reports whether the next attempt that may have run is the last one allowed.
func (a *Attempts) IsLast() bool { return !a.idempotent || a.runs+1 >= a.maxRuns }

// Record counts an attempt without an answer to pass on, and reports whether another one is
// allowed. After an attempt that has not run, every request may be retried until maxRejections such
// attempts. After an attempt that has run or may have run, including one that timed out or was
// reset, only an idempotent request may be retried, up to its maximum of runs.
func (a *Attempts) Record(o outcome.Outcome) (retry bool) {
	if o == outcome.NotRun {
		a.rejections++
		return a.rejections < maxRejections
	}
	retry = !a.IsLast()
	a.runs++
	return retry
}
