package feed

import (
	"testing"

	"github.com/matryer/is"
)

// Sources are used in turn while they fail, with a longer delay after all have failed; one that succeeds is used restarted.
func TestRotation(t *testing.T) {
	is := is.New(t)
	var r Rotation
	is.Equal(r.Next(nil), "")
	sources := []string{"a", "b"}
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	is.Equal(r.Next(sources), "b")
	is.Equal(r.Failed(), allFailedDelay)
	is.Equal(r.Next(sources), "a")
	r.Succeeded()
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	for range returnToFirstAfter {
		is.Equal(r.Next(sources), "b")
		r.Succeeded()
	}
	is.Equal(r.Next(sources), "a") // back to the first
}
