package feed

import "time"

const (
	// failureDelay is how long a client waits between a source that failed and the next one.
	failureDelay = 50 * time.Millisecond
	// allFailedDelay is how long a client waits after all sources have failed in turn: they may all be waiting for the same leader. It doubles with
	// each further round, up to maxRoundDelay: where one of them is cut off with hundreds of clients, it would be called by all of them in each round.
	allFailedDelay = 150 * time.Millisecond
	maxRoundDelay  = 500 * time.Millisecond
	// jitter is the part of a delay by which it is made longer or shorter at random, so that clients that failed together don't return together.
	jitter = 0.5
	// returnToFirstAfter is the number of successes in a row after which a client returns to the first source.
	returnToFirstAfter = 32
)

// Rotation chooses the source to watch: the same one as long as it succeeds, after a failure the next in the list. The first source is the best
// and is tried again after some successes of another one. The zero value begins with the first source, and has no jitter. A Rotation is for one
// goroutine.
type Rotation struct {
	Random func() float64 // draws the jitter, from 0 up to 1; nil: there is none

	position             int // in the list of sources; may exceed its length
	consecutiveFailures  int
	failedRounds         int // rounds in a row in which all sources have failed
	consecutiveSuccesses int // of all sources since the last failure, or since the last return to the first source
	sourceCount          int // at the last call of Next
}

// Next returns the source to watch, the empty string if the list is empty. The list may change between calls.
func (r *Rotation) Next(sources []string) string {
	r.sourceCount = len(sources)
	if r.sourceCount == 0 {
		return ""
	}
	return sources[r.position%r.sourceCount]
}

// Succeeded records that the source which Next returned answered and is fresh, so that it is kept.
func (r *Rotation) Succeeded() {
	r.consecutiveFailures, r.failedRounds = 0, 0
	r.consecutiveSuccesses++
	if r.consecutiveSuccesses >= returnToFirstAfter {
		r.position, r.consecutiveSuccesses = 0, 0
	}
}

// Failed records that the source which Next returned failed, moves on to the next one, and returns how long to wait before the next attempt.
func (r *Rotation) Failed() time.Duration {
	r.position++
	r.consecutiveSuccesses = 0
	r.consecutiveFailures++
	if r.consecutiveFailures%max(r.sourceCount, 1) != 0 {
		return r.withJitter(failureDelay)
	}
	r.failedRounds++
	return r.withJitter(roundDelay(r.failedRounds))
}

// roundDelay returns how long a client waits after so many rounds in a row in which all sources have failed.
func roundDelay(rounds int) time.Duration {
	delay := allFailedDelay
	for range rounds - 1 {
		if delay *= 2; delay >= maxRoundDelay {
			return maxRoundDelay
		}
	}
	return delay
}

// withJitter makes a delay longer or shorter at random.
func (r *Rotation) withJitter(delay time.Duration) time.Duration {
	if r.Random == nil {
		return delay
	}
	return time.Duration(float64(delay) * (1 - jitter + 2*jitter*r.Random()))
}
