package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The guess settles near the time that loads take, whatever that is, and asks twice now and then only.
func TestLoadTimeIsLearned(t *testing.T) {
	for _, real := range []time.Duration{150 * time.Millisecond, 350 * time.Millisecond, 900 * time.Millisecond} {
		is := is.New(t)
		var l loadTime
		asked := 0
		const loads = 60
		for range loads {
			took := l.guess()
			first := took >= real
			for asked++; took < real; asked++ {
				took += reportEach
			}
			l.learn(first, took)
		}
		is.True(l.guess() >= real/2 && l.guess() <= real+2*reportEach)
		is.True(asked < loads*3/2)
	}
}

// One load that takes very long, where runs had to end first, hardly delays what is known of the next ones.
func TestOneLongLoad(t *testing.T) {
	is := is.New(t)
	var l loadTime
	l.learn(false, firstLoad)
	l.learn(false, mostLoad)
	is.True(l.guess() <= 2*firstLoad)
}
