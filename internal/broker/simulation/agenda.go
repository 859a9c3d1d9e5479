package simulation

// event is a function that is scheduled at a time. Events of the same time run in the order in
// which they were scheduled.
type event struct {
	at       int64
	sequence int
	do       func()
}

// before reports whether an event runs before another one. No two events are equal.
func (e event) before(o event) bool {
	return e.at < o.at || e.at == o.at && e.sequence < o.sequence
}

// eventQueue is a binary heap of events; the first one is next.
type eventQueue []event

// push adds an event.
func (a *eventQueue) push(e event) {
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

// pop removes and returns the next event. The queue must not be empty.
func (a *eventQueue) pop() event {
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
