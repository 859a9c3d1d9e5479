package outcome

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

type typed struct{ number int }

func (typed) Error() string { return "typed" }

// A cause of a type is found behind any number of wraps of either kind, as it was given.
func TestCauseIsFoundBehindWraps(t *testing.T) {
	is := is.New(t)
	cause := fmt.Errorf("with: %w", typed{7})
	once := Wrap(Failed, NotRun, cause, "worker %s", "w1")
	twice := fmt.Errorf("try: %w", Wrap(Failed, NotRun, once, "again"))
	for _, err := range []error{typed{7}, cause, once, twice} {
		var found typed
		is.True(As(err, &found))
		is.Equal(found.number, 7)
	}
	var found typed
	is.True(!As(nil, &found))
	is.True(!As(Wrap(Failed, NotRun, errors.New("other"), "worker"), &found))
	is.True(!As(Wrap(Failed, MayHaveRun, nil, "no cause"), &found))
	is.Equal(Of(twice), NotRun)
}
