// Package outcome says, for a try of a request that did not end well, whether a worker may have run it. Whether it may be sent once
// more, and which status its client may get, follows from that alone.
package outcome

import (
	"errors"

	"github.com/joomcode/errorx"
)

// Verdict says whether a request may have run.
type Outcome uint8

const (
	// MayHaveRun is the verdict where nothing says otherwise.
	MayHaveRun Outcome = iota
	// NotRun says that no worker has run the request, nor will.
	NotRun
	// Ran says that a worker has run it.
	Ran
)

func (v Outcome) String() string {
	return [...]string{"may have run", "not run", "ran"}[v]
}

var (
	namespace = errorx.NewNamespace("request")
	// Failed is the type of errors of one try.
	Failed = namespace.NewType("try_failed")
	// Cancelled is the type of errors of tries that this side gave up.
	Cancelled = namespace.NewType("cancelled")
	// TimedOut is the type of errors of tries whose time ran out.
	TimedOut = namespace.NewType("timed_out", errorx.Timeout())

	outcomeProperty = errorx.RegisterProperty("verdict")
)

// Of returns the verdict that an error carries: MayHaveRun where it carries none.
func Of(err error) Outcome {
	var x *errorx.Error
	if errors.As(err, &x) {
		if value, ok := x.Property(outcomeProperty); ok {
			return value.(Outcome)
		}
	}
	return MayHaveRun
}

// Wrap gives an error a type and a verdict.
func Wrap(kind *errorx.Type, v Outcome, err error, message string, values ...any) error {
	if err == nil {
		return kind.New(message, values...).WithProperty(outcomeProperty, v)
	}
	return kind.Wrap(err, message, values...).WithProperty(outcomeProperty, v)
}

// As is errors.As that also looks behind Wrap: errors of this version of errorx have no Unwrap.
func As(err error, target any) bool {
	for err != nil {
		if errors.As(err, target) {
			return true
		}
		var wrap *errorx.Error
		if !errors.As(err, &wrap) {
			return false
		}
		err = wrap.Cause()
	}
	return false
}

// IsTimeout tells whether an error says that time ran out.
func IsTimeout(err error) bool { return errorx.IsTimeout(err) }
