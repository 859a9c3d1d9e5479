package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A shared part is met again until so many others have followed it as are remembered.
func TestRecentPrompts(t *testing.T) {
	is := is.New(t)
	var r recentPrompts
	is.True(!r.meet("a"))
	is.True(r.meet("a"))
	for i := range promptsKept - 1 {
		is.True(!r.meet(fmt.Sprint("other", i)))
	}
	is.True(r.meet("a"))
	is.True(!r.meet("one more"))
	is.True(!r.meet("a"))
}
