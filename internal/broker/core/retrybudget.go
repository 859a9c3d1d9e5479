package core

import "slices"

// Budget limits the retries of one tenant: within any Window (microseconds) at most Free plus Ratio times the parts of its queries.
type Budget struct {
	Free, Ratio float64
	Window      int64
}

// spentBuckets is into how many equal buckets Spent divides a window.
const spentBuckets = 10

// maxRestoredPerBucket limits what restore accepts of one bucket, since a damaged record may have any number.
const maxRestoredPerBucket = 100_000

// Spent is what a tenant has used of its budget within the window before At, by tenths of the window, the latest first.
type Spent struct {
	At            int64
	Taken, Extras [spentBuckets]uint32 // parts of queries, and retries
}

// retryBudget counts the parts and retries of one tenant within the window.
type retryBudget struct {
	Budget
	parts, retries []int64 // their times
	freeFrom       int64   // when Free may be spent
}

func (b *retryBudget) addParts(now int64, count int) {
	for range count {
		b.parts = append(b.parts, now)
	}
}

// trySpend counts a retry and reports whether the budget allows it.
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

// spent returns what was used within the window. ok is false where that is nothing. It costs O(parts and retries kept).
func (b *retryBudget) spent(now int64) (s Spent, ok bool) {
	s.At = now
	parts := b.countBuckets(now, b.parts, &s.Taken)
	retries := b.countBuckets(now, b.retries, &s.Extras)
	return s, parts || retries
}

// countBuckets counts times by their age. It reports whether any lies within the window.
func (b *retryBudget) countBuckets(now int64, times []int64, buckets *[spentBuckets]uint32) (found bool) {
	for _, at := range times {
		if age := now - at; age >= 0 && age < b.Window {
			buckets[age*spentBuckets/b.Window]++
			found = true
		}
	}
	return found
}

// restore counts what was spent before a crash. It never allows more than the budget: what was left at that time counts as spent, and of each bucket the parts
// count as its oldest and the retries as its latest.
func (b *retryBudget) restore(now int64, s Spent) {
	at := min(s.At, now)
	width := b.Window / spentBuckets
	for i := spentBuckets - 1; i >= 0; i-- {
		for range min(s.Taken[i], maxRestoredPerBucket) {
			b.parts = append(b.parts, at-int64(i+1)*width+1)
		}
		for range min(s.Extras[i], maxRestoredPerBucket) {
			b.retries = append(b.retries, at-int64(i)*width)
		}
	}
	left := b.Free + b.Ratio*float64(len(b.parts)) - float64(len(b.retries))
	for range int(min(max(left, 0), maxRestoredPerBucket)) {
		b.retries = append(b.retries, at)
	}
}

// Spent returns what each tenant has spent of its budget within the window. Tenants that have spent nothing are missing.
func (c *Core) Spent(now int64) map[string]Spent {
	out := map[string]Spent{}
	for name, b := range c.budgets {
		if s, ok := b.spent(now); ok {
			out[name] = s
		}
	}
	return out
}
