package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Patience follows the longest silence seen lately, between its bounds, and forgets it slowly.
func TestPatienceIsLearned(t *testing.T) {
	is := is.New(t)
	p := UsualPatience(true)
	var first, events silences
	is.Equal(p.before(&first), p.First) // nothing is known yet
	first.note(300 * time.Millisecond)
	is.Equal(p.before(&first), 900*time.Millisecond)
	first.note(10 * time.Millisecond)
	is.True(p.before(&first) > 850*time.Millisecond)
	for range 500 {
		first.note(10 * time.Millisecond)
	}
	is.Equal(p.before(&first), patienceLeast)
	events.note(time.Minute)
	is.Equal(p.between(&events), p.Between)
	is.Equal(UsualPatience(false).before(&first), p.First)
}
