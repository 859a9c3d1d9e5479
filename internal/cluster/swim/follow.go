package swim

// Follower turns members to reckon with into the number that a budget is divided by. It goes up at once, since that lowers what each
// may use, and down in bounded steps: a view that loses many at a time gives what they had to those that are left slowly, and a mistake
// can still be seen. The zero value takes the first number as it is.
type Divisor struct {
	n  int
	at int64 // of the last step down
}

const (
	stepEvery = 1_000_000 // microseconds between steps down
	stepShare = 10        // of which one takes at most this part, and at least one member
)

// Follow gives the number to divide by, for so many members to reckon with. next is when to ask again though nothing has changed; 0: not.
func (f *Divisor) Update(now int64, size int) (divisor int, next int64) {
	size = max(size, 1)
	switch {
	case size >= f.n || f.n == 0:
		f.n, f.at = size, now
	case now-f.at >= stepEvery:
		f.n, f.at = max(size, f.n-max(1, f.n/stepShare)), now
	}
	if f.n > size {
		next = f.at + stepEvery
	}
	return f.n, next
}
