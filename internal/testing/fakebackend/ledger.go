package fakebackend

import (
	"saffronquay/internal/broker/layout"
	"sync"
)

// Ledger records every part that runs, independently of the broker's own accounting. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	ran       map[string][]layout.Span // spans that ran of each at-most-once query, by X-Opaque-Id
	runs      int
	twice     int
	notHeld   int
	withoutID int // at-most-once runs without an X-Opaque-Id: duplicates among them cannot be detected
}

// record records a run of span. once says that the index allows each part to run at most once; held
// says whether, by the cluster's ground truth, the server holds the span. Two runs belong to the same
// query if they have the same X-Opaque-Id; runs without one are never counted as duplicates of each
// other.
func (l *Ledger) record(query string, once bool, span layout.Span, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	if !held {
		l.notHeld++
	}
	if !once {
		return
	}
	if query == "" {
		l.withoutID++
		return
	}
	if l.ran == nil {
		l.ran = map[string][]layout.Span{}
	}
	for _, other := range l.ran[query] {
		if !other.Intersect(span).Empty() {
			l.twice++
		}
	}
	l.ran[query] = append(l.ran[query], span)
}

// Counts returns the number of parts that ran, of parts of at-most-once queries that ran again, and
// of parts that ran on a server that did not hold them.
func (l *Ledger) Counts() (runs, twice, astray int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs, l.twice, l.notHeld
}

// RunsWithoutID returns the number of at-most-once parts that ran without an X-Opaque-Id. Duplicates
// among them cannot be detected.
func (l *Ledger) RunsWithoutID() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.withoutID
}

// Ran reports whether any part of the at-most-once query with this X-Opaque-Id has run.
func (l *Ledger) Ran(query string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ran[query]) > 0
}
