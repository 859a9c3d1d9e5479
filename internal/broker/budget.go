package broker

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
