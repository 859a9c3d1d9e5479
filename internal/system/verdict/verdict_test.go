package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

type typed struct{ number int }

func (typed) Error() string { return "typed" }

// A cause of a type is found as it was given.
func TestTypedCauseIsFoundBehindWraps(t *testing.T) {
	is := is.New(t)
	var found typed
	is.True(As(Wrap(Failed, NotRun, fmt.Errorf("with: %w", typed{7}), "worker"), &found))
	is.Equal(found.number, 7)
	is.True(!As(Wrap(Failed, NotRun, errors.New("other"), "worker"), &found))
}

// The cause of an error is found behind any number of wraps of either kind.
func TestCauseIsFoundBehindWraps(t *testing.T) {
	is := is.New(t)
	cause, other := errors.New("declined"), errors.New("other")
	once := Wrap(Failed, NotRun, cause, "worker %s", "w1")
	twice := fmt.Errorf("try: %w", Wrap(Failed, NotRun, once, "again"))
	for _, err := range []error{cause, once, twice} {
		is.True(Is(err, cause))
		is.True(!Is(err, other))
	}
	is.True(!Is(nil, cause))
	is.True(!Is(Wrap(Failed, MayHaveRun, nil, "no cause"), cause))
	is.Equal(Of(twice), NotRun)
}
