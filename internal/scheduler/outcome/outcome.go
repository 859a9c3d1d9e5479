package outcome

import "errors"

// Outcome is whether a worker may have run a failed request. The zero value is MayHaveRun, the
// conservative choice.
type Outcome uint8

const (
	// MayHaveRun is the outcome if no other one is proven: the request may have run, or may still
	// run.
	MayHaveRun Outcome = iota
	// NotRun guarantees that no worker has run the request and none will. Every kind of request may
	// safely be sent again.
	NotRun
	// Ran means that a worker has run the request and answered with an error.
	Ran
)

// String returns the outcome as the value of the label "verdict" of the metric tries_total.
func (o Outcome) String() string {
	return [...]string{"may have run", "not run", "ran"}[o]
}

// Of returns the outcome of the outermost Error in the chain of err, or MayHaveRun if there is
// none.
func Of(err error) Outcome {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Outcome
	}
	return MayHaveRun
}
