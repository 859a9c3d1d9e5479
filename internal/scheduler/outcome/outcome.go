package outcome

import "errors"

// Outcome says whether a worker may have run a request that has failed. The zero value is MayHaveRun, the cautious one.
type Outcome uint8

const (
	// MayHaveRun is the outcome of everything that does not prove another one: the request may have run, or may still run.
	MayHaveRun Outcome = iota
	// NotRun guarantees that no worker has run the request and none will. Sending it again is safe for every kind of request.
	NotRun
	// Ran says that a worker has run the request and answered with an error.
	Ran
)

// String returns the outcome as the label of the metric tries_total has it.
func (o Outcome) String() string {
	return [...]string{"may have run", "not run", "ran"}[o]
}

// Of returns the outcome of the outermost Error in the chain of err. It is MayHaveRun where there is none.
func Of(err error) Outcome {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return MayHaveRun
}
