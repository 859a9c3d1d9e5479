package routing

// promptsKept is how many shared parts of prompts are remembered of a worker. Only what is counted follows from them, no decision.
const promptsKept = 16

// recentPrompts are the hashes of the shared parts that this gatherer has sent to a worker last, the oldest overwritten first.
type recentPrompts struct {
	hashes [promptsKept]uint64
	next   int
}

// meet tells whether a shared part was sent there lately, and remembers it.
func (r *recentPrompts) meet(prompt string) bool {
	sum := hash(prompt)
	for _, kept := range r.hashes {
		if kept == sum {
			return true
		}
	}
	r.hashes[r.next] = sum
	r.next = (r.next + 1) % promptsKept
	return false
}
