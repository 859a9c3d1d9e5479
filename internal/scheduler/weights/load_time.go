package weights

import (
	"sync"
	"time"
)

// loadTime estimates how long workers take to load weights, so that a worker is queried right after
// the load: an earlier query has to be repeated, and a later one leaves the new weights unused in
// the meantime. The estimate of the zero value is initialLoadTime. A loadTime is safe for
// concurrent use.
type loadTime struct {
	mu       sync.Mutex
	duration time.Duration // 0 until the first observation
}

const (
	initialLoadTime = 400 * time.Millisecond
	minLoadTime     = 100 * time.Millisecond
	maxLoadTime     = 2 * time.Second
	// decayFactor is the factor applied to the estimate after each load that was complete at the
	// first query. Any other load moves the estimate towards its duration, by at most
	// queryInterval, so that a single long load doesn't delay the following ones.
	decayFactor = 0.98
)

func (l *loadTime) estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duration == 0 {
		return initialLoadTime
	}
	return l.duration
}

// observe updates the estimate after a load. took is an upper bound of its duration, and queries
// the number of queries until the load was found complete.
func (l *loadTime) observe(took time.Duration, queries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duration == 0 {
		l.duration = initialLoadTime
	}
	if queries == 1 {
		l.duration = time.Duration(decayFactor * float64(l.duration))
	} else {
		l.duration += min(took-l.duration, queryInterval)
	}
	l.duration = min(max(l.duration, minLoadTime), maxLoadTime)
}
