package swim

// Follower turns members to reckon with into the number that a budget is divided by. It goes up at once, since that lowers what each
// may use, and down in bounded steps: a view that loses many at a time gives what they had to those that are left slowly, and a mistake
// can still be seen. The zero value takes the first number as it is.
type Divisor struct {
	divisor    int
	lastStepAt int64 // of the last step down
}

const (
	divisorStepEvery = 1_000_000 // microseconds between steps down
	divisorStepPart  = 10        // of which one takes at most this part, and at least one member
)

// Follow gives the number to divide by, for so many members to reckon with. next is when to ask again though nothing has changed; 0: not.
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
