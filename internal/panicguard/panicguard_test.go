package panicguard

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A panic reaches onPanic with its value and stack, and the caller continues.
func TestContain(t *testing.T) {
	is := is.New(t)
	run := func(work func()) (contained *PanicError) {
		defer Contain(func(p *PanicError) { contained = p })
		work()
		return nil
	}
	is.Equal(run(func() {}), nil)
	contained := run(func() {
		var empty []byte
		_ = empty[len(empty)]
	})
	is.True(strings.HasPrefix(contained.Error(), "panic: runtime error: index out of range"))
	is.True(strings.Contains(string(contained.Stack), "TestContain"))
	is.Equal(run(func() { panic("a client's data") }).Error(), "panic with a string")
}
