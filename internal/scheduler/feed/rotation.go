package feed

import "time"

const (
	// failureDelay is the delay between a failed source and the next one.
	failureDelay = 50 * time.Millisecond
	// allFailedDelay is the delay after all sources have failed in turn: they may all be waiting
	// for the same leader. It doubles with each further round, up to maxRoundDelay: a source that
	// is partitioned from the others together with hundreds of clients would be called by all of
	// them in each round.
	allFailedDelay = 150 * time.Millisecond
	maxRoundDelay  = 500 * time.Millisecond
	// jitter is the fraction by which a delay is randomly extended or shortened, so that clients
	// that failed together do not retry together.
	jitter = 0.5
	// returnToFirstAfter is the number of consecutive successes after which a client returns to the
	// first source.
	returnToFirstAfter = 32
)

// Rotation selects the source to watch: the same one as long as it succeeds, and the next one in
// the list after a failure. The first source is the preferred one and is retried after some
// successes of another one. The zero value starts with the first source, and has no jitter. A
// Rotation is not safe for concurrent use.
type Rotation struct {
	Random func() float64 // returns a random number in [0, 1) for the jitter; nil: no jitter

	position             int // in the list of sources, modulo its length
	consecutiveFailures  int
	failedRounds         int // consecutive rounds in which all sources have failed
	consecutiveSuccesses int // since the last failure or the last return to the first source
	sourceCount          int // at the last call of Next
}

// Next returns the source to watch, or the empty string if the list is empty. The list may change
// between calls.
func (r *Rotation) Next(sources []string) string {
	r.sourceCount = len(sources)
	if r.sourceCount == 0 {
		return ""
	}
	return sources[r.position%r.sourceCount]
}

// Succeeded records that the source returned by Next replied and is fresh, so that it is used
// again.
func (r *Rotation) Succeeded() {
	r.consecutiveFailures, r.failedRounds = 0, 0
	r.consecutiveSuccesses++
	if r.consecutiveSuccesses >= returnToFirstAfter {
		r.position, r.consecutiveSuccesses = 0, 0
	}
}

// Failed records that the source returned by Next failed, advances to the next one, and returns the
// delay before the next attempt.
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

// roundDelay returns the delay after the given number of consecutive rounds in which all sources
// have failed.
func roundDelay(rounds int) time.Duration {
	delay := allFailedDelay
	for range rounds - 1 {
		if delay *= 2; delay >= maxRoundDelay {
			return maxRoundDelay
		}
	}
	return delay
}

// withJitter randomly extends or shortens a delay.
func (r *Rotation) withJitter(delay time.Duration) time.Duration {
	if r.Random == nil {
		return delay
	}
	return time.Duration(float64(delay) * (1 - jitter + 2*jitter*r.Random()))
}
