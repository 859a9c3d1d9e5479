package fakebackend

import (
	"saffronquay/internal/broker/layout"
	"sync"
)

// Ledger writes down every part that runs, apart from what the gatherer believes.
type Ledger struct {
	mu     sync.Mutex
	ran    map[string][]layout.Span // by query: what ran of it, of indices that may run once
	runs   int
	twice  int
	astray int
	alone  int // runs that may happen once only, of queries that nobody named: nothing can be told of them
}

// note writes a run down. held says whether the cluster's own truth has the server hold the span. Two runs are of one query where both
// bear its name; guards against taking all queries without a name for the same one.
func (l *Ledger) note(query string, once bool, span layout.Span, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs++
	if !held {
		l.astray++
	}
	if !once {
		return
	}
	if query == "" {
		l.alone++
		return
	}
	if l.ran == nil {
		l.ran = map[string][]layout.Span{}
	}
	for _, other := range l.ran[query] {
		if !other.Meet(span).Empty() {
			l.twice++
		}
	}
	l.ran[query] = append(l.ran[query], span)
}

// Counts are the parts that ran, those that ran twice and must not, and those that ran where they were not held.
func (l *Ledger) Counts() (runs, twice, astray int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs, l.twice, l.astray
}

// Unjudged is how many parts ran that must not run twice and whose queries bore no name (X-Opaque-Id): whether one of them is the
// second run of another can't be told.
func (l *Ledger) Unjudged() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alone
}

// Ran tells whether any part of a query of an index that may run once has run.
func (l *Ledger) Ran(query string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ran[query]) > 0
}
