package weights

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The estimate converges to about the actual load time, and few loads need more than one query.
func TestLoadTimeConvergence(t *testing.T) {
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

// A single very long load, such as one that waits for running requests, hardly increases the
// estimate.
func TestLoadTimeOutlier(t *testing.T) {
	is := is.New(t)
	var l loadTime
	l.observe(initialLoadTime, 2)
	l.observe(maxLoadTime, 2)
	is.True(l.estimate() <= 2*initialLoadTime)
}
