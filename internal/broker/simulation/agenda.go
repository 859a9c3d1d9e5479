package simulation

// event is something that happens at a time. Events of the same time happen in the order they were scheduled.
type event struct {
	at       int64
	sequence int
	do       func()
}

// before reports whether an event happens before another. No two events are equal.
func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// agenda is a binary heap of events, the next one first.
type agenda []event

// push adds an event.
func (a *agenda) push(e event) {
	*a = append(*a, e)
	h := *a
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// pop removes the next event. The agenda must not be empty.
func (a *agenda) pop() event {
	h := *a
	next, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	*a = h
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return next
		}
		if child+1 < last && h[child+1].before(h[child]) {
			child++
		}
		if !h[child].before(h[i]) {
			return next
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
