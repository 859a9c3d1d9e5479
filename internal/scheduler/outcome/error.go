package outcome

import (
	"errors"
	"fmt"
)

// Kind says why an attempt has failed. Its text is part of the error's text in log lines.
type Kind string

const (
	// Failed is the kind of connections that fail and of answers that can't be passed on.
	Failed Kind = "try_failed"
	// TimedOut is the kind of attempts that are ended by their context: the attempt's timeout, the request's deadline, or a client that has
	// left.
	TimedOut Kind = "timed_out"
)

// Error is the error of a request or of one of its attempts. Errors.Is and errors.As see its cause.
type Error struct {
	Kind    Kind
	Outcome Outcome

	message string
	cause   error // nil: there is none
}

// Errorf returns an *Error with a message in the format of package fmt. The cause may be nil.
func Errorf(kind Kind, o Outcome, cause error, format string, values ...any) error {
	return &Error{Kind: kind, Outcome: o, message: fmt.Sprintf(format, values...), cause: cause}
}

// Error returns kind, message and cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("request.%s: %s", e.Kind, e.message)
	if e.cause != nil {
		text += ", cause: " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause; nil where there is none.
func (e *Error) Unwrap() error { return e.cause }

// IsTimeout reports whether the outermost Error in the chain of err is of the kind TimedOut. Causes behind it do not count.
func IsTimeout(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == TimedOut
}
