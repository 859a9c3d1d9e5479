package batchrunner

import "time"

// Timeouts bound how long a worker may be silent. A worker that exceeds one counts as failed, and
// another worker continues the text.
type Timeouts struct {
	FirstEvent    time.Duration // from the start of the attempt to the first event
	BetweenEvents time.Duration // from one event to the next
}

// DefaultTimeouts exceed the time that a worker needs to load weights, during which it may be
// silent. The drawback is that items of an unreachable worker, whose connections are not closed,
// wait this long before another worker continues them.
var DefaultTimeouts = Timeouts{FirstEvent: 2500 * time.Millisecond, BetweenEvents: 1400 * time.Millisecond}
