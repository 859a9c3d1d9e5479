package simulation

import "container/heap"

// event is something that happens at a time.
type event struct {
	at, sequence int64
	run          func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}

func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *eventQueue) Push(k any) { *e = append(*e, k.(event)) }

func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after has something happen later.
func (w *world) schedule(delay int64, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.lastSequence, do})
}

// chance is true once in so many times.
func (w *world) oneIn(in int) bool { return w.random.IntN(in) == 0 }

// between returns a number from low to below high.
func (w *world) randomBetween(low, high int64) int64 { return low + w.random.Int64N(high-low) }
