package swim

// Divisor turns the effective size into the number by which a shared budget is divided. It rises
// immediately, since that lowers the share of each process, and falls in bounded steps: when a view
// loses many members at once, the others gain their shares slowly, so that an error can still be
// noticed. The zero value starts with the first size. It is not safe for concurrent use.
type Divisor struct {
	divisor    int
	lastStepAt int64 // time of the last step down
}

// How fast a Divisor falls.
const (
	divisorStepEvery = 1_000_000 // microseconds between steps down
	divisorStepPart  = 10        // a step down is at most one tenth of the divisor, and at least 1
)

// Update returns the divisor for an effective size. next is the time to call Update again even if
// the size stays the same; 0 if that is not needed.
func (f *Divisor) Update(now int64, size int) (divisor int, next int64) {
	size = max(size, 1)
	switch {
	case size >= f.divisor || f.divisor == 0:
		f.divisor, f.lastStepAt = size, now
	case now-f.lastStepAt >= divisorStepEvery:
		f.divisor, f.lastStepAt = max(size, f.divisor-max(1, f.divisor/divisorStepPart)), now
	}
	if f.divisor > size {
		next = f.lastStepAt + divisorStepEvery
	}
	return f.divisor, next
}
