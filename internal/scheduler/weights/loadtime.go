package weights

import (
	"sync"
	"time"
)

// loadTime guesses how long workers take to load weights, so that they are asked when they have done so: an earlier question costs a report
// more, a later one leaves the new weights unused for that long. The zero value begins with firstLoad.
type loadTime struct {
	mu    sync.Mutex
	usual time.Duration
}

const (
	firstLoad = 400 * time.Millisecond
	leastLoad = 100 * time.Millisecond
	mostLoad  = 2 * time.Second
	// Each load that was over when the worker was first asked shortens the guess by so much; each that was not moves it towards what it took, by
	// the time between two reports at most, so that a single long load doesn't hold up the ones after it.
	shorten = 0.98
)

func (l *loadTime) guess() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usual == 0 {
		return firstLoad
	}
	return l.usual
}

// learn takes in how long a load took at most, and whether it was over when the worker was first asked.
func (l *loadTime) learn(first bool, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.usual == 0 {
		l.usual = firstLoad
	}
	if first {
		l.usual = time.Duration(shorten * float64(l.usual))
	} else {
		l.usual += min(took-l.usual, reportEach)
	}
	l.usual = min(max(l.usual, leastLoad), mostLoad)
}
