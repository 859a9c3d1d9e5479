package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

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
