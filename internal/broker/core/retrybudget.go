package core

import "slices"

// Budget limits the retries of one tenant: within any Window (microseconds) to Free plus Ratio
// times the number of parts of its queries.
type Budget struct {
	Free, Ratio float64
	Window      int64
}

// spentBuckets is the number of equal buckets into which Spent divides a window.
const spentBuckets = 10

// maxRestoredPerBucket limits the count that restore accepts for one bucket, since a damaged record
// may contain any number.
const maxRestoredPerBucket = 100_000

// Spent is a tenant's use of its budget within the window before At, in buckets of a tenth of the
// window, the latest first.
type Spent struct {
	At             int64
	Parts, Retries [spentBuckets]uint32 // numbers of parts and of retries
}

// retryBudget counts the parts and retries of one tenant within the window.
type retryBudget struct {
	Budget
	parts, retries []int64 // times of parts and of retries
	freeFrom       int64   // time from which Free may be spent
}

func (b *retryBudget) addParts(now int64, count int) {
	for range count {
		b.parts = append(b.parts, now)
	}
}

// trySpend reports whether the budget permits a retry, and counts the retry if so.
func (b *retryBudget) trySpend(now int64) bool {
	isPast := func(at int64) bool { return at <= now-b.Window }
	b.parts = slices.DeleteFunc(b.parts, isPast)
	b.retries = slices.DeleteFunc(b.retries, isPast)
	free := b.Free
	if now < b.freeFrom {
		free = 0
	}
	if float64(len(b.retries)+1) > free+b.Ratio*float64(len(b.parts)) {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

// spent returns the use of the budget within the window. ok is false if there was none. It takes
// O(parts and retries recorded).
func (b *retryBudget) spent(now int64) (s Spent, ok bool) {
	s.At = now
	parts := b.countBuckets(now, b.parts, &s.Parts)
	retries := b.countBuckets(now, b.retries, &s.Retries)
	return s, parts || retries
}

// countBuckets counts times into buckets by age. It reports whether any of them is within the
// window.
func (b *retryBudget) countBuckets(now int64, times []int64, buckets *[spentBuckets]uint32) (found bool) {
	for _, at := range times {
		if age := now - at; age >= 0 && age < b.Window {
			buckets[age*spentBuckets/b.Window]++
			found = true
		}
	}
	return found
}

// restore counts the use of the budget before a crash. To keep within the budget, it counts the
// unspent rest at that time as spent, and places the parts of each bucket at the bucket's oldest
// time and the retries at its latest.
func (b *retryBudget) restore(now int64, s Spent) {
	at := min(s.At, now)
	width := b.Window / spentBuckets
	for i := spentBuckets - 1; i >= 0; i-- {
		for range min(s.Parts[i], maxRestoredPerBucket) {
			b.parts = append(b.parts, at-int64(i+1)*width+1)
		}
		for range min(s.Retries[i], maxRestoredPerBucket) {
			b.retries = append(b.retries, at-int64(i)*width)
		}
	}
	left := b.Free + b.Ratio*float64(len(b.parts)) - float64(len(b.retries))
	for range int(min(max(left, 0), maxRestoredPerBucket)) {
		b.retries = append(b.retries, at)
	}
}

// Spent returns each tenant's use of its budget within the window, without tenants that have used
// nothing.
func (c *Core) Spent(now int64) map[string]Spent {
	out := map[string]Spent{}
	for name, b := range c.budgets {
		if s, ok := b.spent(now); ok {
			out[name] = s
		}
	}
	return out
}
