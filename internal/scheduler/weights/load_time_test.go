package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The estimate settles near the time that loads take, whatever that is, and a load is seldom queried twice.
func TestLoadTimeIsLearned(t *testing.T) {
	for _, real := range []time.Duration{150 * time.Millisecond, 350 * time.Millisecond, 900 * time.Millisecond} {
		is := is.New(t)
		var l loadTime
		total := 0
		const loads = 60
		for range loads {
			took, queries := l.estimate(), 1
			for ; took < real; queries++ {
				took += queryInterval
			}
			total += queries
			l.observe(took, queries)
		}
		is.True(l.estimate() >= real/2 && l.estimate() <= real+2*queryInterval)
		is.True(total < loads*3/2)
	}
}

// One load that takes very long, where requests had to end first, hardly delays the next ones.
func TestOneLongLoad(t *testing.T) {
	is := is.New(t)
	var l loadTime
	l.observe(initialLoadTime, 2)
	l.observe(maxLoadTime, 2)
	is.True(l.estimate() <= 2*initialLoadTime)
}
