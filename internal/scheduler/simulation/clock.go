package simulation

import "container/heap"

// event is a function that runs at a virtual time.
type event struct {
	at       int64 // virtual milliseconds
	sequence int64 // order of events of the same time
	run      func()
}

// eventQueue is a heap of events (container/heap), ordered by time and then by the order in which they
// were scheduled.
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

// Pop removes the last event, as heap.Interface requires.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// schedule schedules a function to run after a delay in virtual milliseconds; a negative delay
// counts as
// 0. Functions run one at a time, between the ticks of the machines.
func (w *world) schedule(delay int64, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{w.now + max(delay, 0), w.lastSequence, run})
}

// runDueEvents runs the events that are due, including those that are added meanwhile. It stops at the
// first violation.
func (w *world) runDueEvents() {
	for w.queue.Len() > 0 && w.queue.events[0].at <= w.now && w.violation == nil {
		run := w.queue.events[0].run
		heap.Pop(&w.queue)
		run()
	}
}

// oneIn returns true with probability 1/n.
func (w *world) oneIn(n int) bool { return w.random.IntN(n) == 0 }

// randomBetween returns a random number in [low, high).
func (w *world) randomBetween(low, high int64) int64 { return low + w.random.Int64N(high-low) }
