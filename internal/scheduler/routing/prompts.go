package routing

// maxRecentPrompts is the number of shared prompts remembered per worker. They only feed a metric;
// no decision depends on them.
const maxRecentPrompts = 16

// recentPrompts is a ring buffer of the hashes of the shared prompts that this gatherer has sent to
// a worker most recently.
type recentPrompts struct {
	hashes [maxRecentPrompts]uint64
	next   int // index of the oldest hash, which is overwritten next
}

// add records a shared prompt and reports whether it was already recorded. A prompt that is
// recorded again keeps its position in the ring.
func (r *recentPrompts) add(prompt string) (known bool) {
	sum := hash(prompt)
	for _, recent := range r.hashes {
		if recent == sum {
			return true
		}
	}
	r.hashes[r.next] = sum
	r.next = (r.next + 1) % maxRecentPrompts
	return false
}
