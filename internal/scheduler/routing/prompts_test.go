package routing

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// A shared prompt is remembered until maxRecentPrompts others have been added after it.
func TestRecentPrompts(t *testing.T) {
	is := is.New(t)
	var r recentPrompts
	is.True(!r.add("a"))
	is.True(r.add("a"))
	for i := range maxRecentPrompts - 1 {
		is.True(!r.add(fmt.Sprint("other", i)))
	}
	is.True(r.add("a"))
	is.True(!r.add("one more"))
	is.True(!r.add("a"))
}
