package routing

// maxRecentPrompts is how many shared prompts are remembered for each worker. They are only counted; no decision depends on them.
const maxRecentPrompts = 16

// recentPrompts is a ring of the hashes of the shared prompts that this gatherer has sent to a worker last.
type recentPrompts struct {
	hashes [maxRecentPrompts]uint64
	next   int // the oldest one, which is overwritten next
}

// add remembers a shared prompt, and reports whether it was remembered before. One that was keeps its age.
func (r *recentPrompts) add(prompt string) (known bool) {
	sum := hash(prompt)
	for _, kept := range r.hashes {
		if kept == sum {
			return true
		}
	}
	r.hashes[r.next] = sum
	r.next = (r.next + 1) % maxRecentPrompts
	return false
}
