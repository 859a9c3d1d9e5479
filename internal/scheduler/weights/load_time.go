package weights

import (
	"sync"
	"time"
)

// loadTime estimates how long workers take to load weights, so that a worker is queried when it has just done so: an earlier query costs one
// more, a later one leaves the new weights unused for that long. The zero value begins with initialLoadTime and may be used by any goroutine.
type loadTime struct {
	mu       sync.Mutex
	duration time.Duration // 0 while nothing was observed
}

const (
	initialLoadTime = 400 * time.Millisecond
	minLoadTime     = 100 * time.Millisecond
	maxLoadTime     = 2 * time.Second
	// shortening is the factor on the estimate for each load that was over at the first query. Each load that was not moves the estimate towards
	// what it took, by the interval of queries at most, so that a single long load doesn't delay the ones after it.
	shortening = 0.98
)

func (l *loadTime) estimate() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duration == 0 {
		return initialLoadTime
	}
	return l.duration
}

// observe learns from a load that took at most so long, and was found to be over at the query of this number, from 1.
func (l *loadTime) observe(took time.Duration, queries int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.duration == 0 {
		l.duration = initialLoadTime
	}
	if queries == 1 {
		l.duration = time.Duration(shortening * float64(l.duration))
	} else {
		l.duration += min(took-l.duration, queryInterval)
	}
	l.duration = min(max(l.duration, minLoadTime), maxLoadTime)
}
