package simulation

import "container/heap"

// event is a function that runs at a virtual time.
type event struct {
	at       int64 // virtual milliseconds
	sequence int64 // order of events of the same time
	run      func()
}

// eventQueue is a heap of events (container/heap): the earliest is first, of those of one time the one that was scheduled first.
type eventQueue struct{ events []event }

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push adds an event; values of other types are ignored.
func (q *eventQueue) Push(value any) {
	if added, ok := value.(event); ok {
		q.events = append(q.events, added)
	}
}

// Pop removes the last event, which package heap has put there.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// schedule has a function run after a delay in virtual milliseconds, a negative one counting as 0. Functions run between the ticks of the
// machines, one at a time.
func (w *world) schedule(delay int64, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{w.now + max(delay, 0), w.lastSequence, run})
}

// runDueEvents runs the events up to the present time, also those that are added meanwhile. It ends at the first violation.
func (w *world) runDueEvents() {
	for w.queue.Len() > 0 && w.queue.events[0].at <= w.now && w.violation == nil {
		run := w.queue.events[0].run
		heap.Pop(&w.queue)
		run()
	}
}

// oneIn draws a random number; it is true with a chance of 1 to n.
func (w *world) oneIn(n int) bool { return w.random.IntN(n) == 0 }

// randomBetween draws a random number from low up to, but not including, high.
func (w *world) randomBetween(low, high int64) int64 { return low + w.random.Int64N(high-low) }
