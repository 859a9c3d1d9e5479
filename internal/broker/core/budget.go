package core

import "slices"

// Budget rations the further attempts of one tenant: within any Window at most Free plus Ratio times the
// parts taken for it.
type Budget struct {
	Free, Ratio float64
	Window      int64
}

// ration counts what one tenant's budget has left.
type ration struct {
	Budget
	taken, extras []int64
	freeFrom      int64 // when Free may be spent
}

func (r *ration) take(now int64, parts int) {
	for range parts {
		r.taken = append(r.taken, now)
	}
}

func (r *ration) spend(now int64) bool {
	old := func(at int64) bool { return at <= now-r.Window }
	r.taken = slices.DeleteFunc(r.taken, old)
	r.extras = slices.DeleteFunc(r.extras, old)
	free := r.Free
	if now < r.freeFrom {
		free = 0
	}
	if float64(len(r.extras)+1) > free+r.Ratio*float64(len(r.taken)) {
		return false
	}
	r.extras = append(r.extras, now)
	return true
}

// tenths is in how many pieces a window is told of.
const tenths = 10

// Spent is what a budget has spent, by tenths of its window, the latest first.
type Spent struct {
	At            int64 // when it was told
	Taken, Extras [tenths]uint32
}

// spent costs O(what lies in the window).
func (r *ration) spent(now int64) (s Spent, any bool) {
	s.At = now
	for _, c := range []struct {
		times []int64
		into  *[tenths]uint32
	}{{r.taken, &s.Taken}, {r.extras, &s.Extras}} {
		for _, at := range c.times {
			if age := now - at; age >= 0 && age < r.Window {
				c.into[age*tenths/r.Window]++
				any = true
			}
		}
	}
	return s, any
}

// mostRestored bounds what is taken back in of one tenth: a record may say anything.
const mostRestored = 100_000

// restore takes in what was spent before a crash. What was left at that time may have been spent since, and counts as if it were; of
// each tenth requests count as its oldest, further attempts as its latest. Guards the window against being exceeded.
func (r *ration) restore(now int64, s Spent) {
	at := min(s.At, now)
	tenth := r.Window / tenths
	for i := tenths - 1; i >= 0; i-- {
		for range min(s.Taken[i], mostRestored) {
			r.taken = append(r.taken, at-int64(i+1)*tenth+1)
		}
		for range min(s.Extras[i], mostRestored) {
			r.extras = append(r.extras, at-int64(i)*tenth)
		}
	}
	left := r.Free + r.Ratio*float64(len(r.taken)) - float64(len(r.extras))
	for range int(min(max(left, 0), mostRestored)) {
		r.extras = append(r.extras, at)
	}
}
