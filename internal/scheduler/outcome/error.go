package outcome

import (
	"errors"
	"fmt"
)

// Kind is the reason why an attempt failed. Its text is part of the error's text in log lines.
type Kind string

const (
	// Failed is the kind of failed connections and of answers that must not be passed on.
	Failed Kind = "try_failed"
	// TimedOut is the kind of attempts that were ended by their context: by the attempt's timeout,
	// the request's deadline, or a client that disconnected.
	TimedOut Kind = "timed_out"
)

// Error is the error of a request or of one of its attempts. It wraps its cause.
type Error struct {
	Kind    Kind
	Outcome Outcome

	message string
	cause   error // may be nil
}

// Errorf returns an *Error with a message formatted as by fmt.Sprintf. The cause may be nil.
func Errorf(kind Kind, o Outcome, cause error, format string, values ...any) error {
	return &Error{Kind: kind, Outcome: o, message: fmt.Sprintf(format, values...), cause: cause}
}

// Error returns the kind, the message and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("request.%s: %s", e.Kind, e.message)
	if e.cause != nil {
		text += ", cause: " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.cause }

// IsTimeout reports whether the outermost Error in the chain of err is of the kind TimedOut. The
// kinds of its causes are ignored.
func IsTimeout(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind == TimedOut
}
