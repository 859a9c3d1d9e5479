package outcome

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

type typed struct{ number int }

func (typed) Error() string { return "typed" }

// errors.As finds a typed cause, with its value, through any nesting of Error and of fmt.Errorf.
func TestErrorUnwrap(t *testing.T) {
	is := is.New(t)
	cause := fmt.Errorf("with: %w", typed{7})
	wrapped := Errorf(Failed, NotRun, cause, "worker %s", "w1")
	wrappedTwice := fmt.Errorf("attempt: %w", Errorf(Failed, NotRun, wrapped, "again"))
	for _, err := range []error{typed{7}, cause, wrapped, wrappedTwice} {
		var found typed
		is.True(errors.As(err, &found))
		is.Equal(found.number, 7)
	}
	var found typed
	is.True(!errors.As(nil, &found))
	is.True(!errors.As(Errorf(Failed, NotRun, errors.New("other"), "worker"), &found))
	is.True(!errors.As(Errorf(Failed, MayHaveRun, nil, "no cause"), &found))
	is.Equal(Of(wrappedTwice), NotRun)
}

// The texts must stay stable because they appear in log lines. The outermost Error determines the
// outcome and whether it is a timeout.
func TestErrorText(t *testing.T) {
	timedOut := Errorf(TimedOut, MayHaveRun, errors.New("deadline"), "read from %s", "w1")
	for _, c := range []struct {
		name    string
		err     error
		text    string
		outcome Outcome
		timeout bool
	}{
		{"without a cause", Errorf(Failed, Ran, nil, "worker %s answered %d", "w1", 500), "request.try_failed: worker w1 answered 500", Ran, false},
		{"timed out", timedOut, "request.timed_out: read from w1, cause: deadline", MayHaveRun, true},
		{
			"a timeout as cause", Errorf(Failed, NotRun, timedOut, "given up"),
			"request.try_failed: given up, cause: request.timed_out: read from w1, cause: deadline", NotRun, false,
		},
		{"of another package", errors.New("other"), "other", MayHaveRun, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.err.Error(), c.text)
			is.Equal(Of(c.err), c.outcome)
			is.Equal(IsTimeout(c.err), c.timeout)
		})
	}
}
