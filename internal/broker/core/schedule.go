package core

import "container/heap"

// maxDeadEntries is the number of dead entries that a schedule always tolerates.
const maxDeadEntries = 64

// schedule orders values by due time. A value that is no longer live stays in the schedule until it
// reaches the top or less than half of the entries are live, so that adding and taking cost O(log
// n) and ending a value costs nothing. The zero value needs isLive.
type schedule[T any] struct {
	isLive  func(T) bool
	entries entryHeap[T]
}

// entry is ordered by time, then by ID, so that the order is deterministic.
type entry[T any] struct {
	at, id int64
	value  T
}

// entryHeap implements heap.Interface.
type entryHeap[T any] []entry[T]

func (h entryHeap[T]) Len() int { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].id < h[j].id
}
func (h entryHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *entryHeap[T]) Push(x any) {
	if e, ok := x.(entry[T]); ok {
		*h = append(*h, e)
	}
}

func (h *entryHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = entry[T]{}
	*h = old[:len(old)-1]
	return last
}

// add inserts a value that is due at a time. live is the number of live values, including this one.
func (s *schedule[T]) add(at, id int64, value T, live int) {
	if len(s.entries) > 2*live+maxDeadEntries {
		s.removeDead()
	}
	heap.Push(&s.entries, entry[T]{at, id, value})
}

func (s *schedule[T]) removeDead() {
	kept := s.entries[:0]
	for _, e := range s.entries {
		if s.isLive(e.value) {
			kept = append(kept, e)
		}
	}
	clear(s.entries[len(kept):])
	s.entries = kept
	heap.Init(&s.entries)
}

// next returns the due time of the first live value. ok is false if there is none.
func (s *schedule[T]) next() (at int64, ok bool) {
	for len(s.entries) > 0 && !s.isLive(s.entries[0].value) {
		heap.Pop(&s.entries)
	}
	if len(s.entries) == 0 {
		return 0, false
	}
	return s.entries[0].at, true
}

// takeDue removes the live values that are due by now and returns them in order.
func (s *schedule[T]) takeDue(now int64) (due []T) {
	for at, ok := s.next(); ok && at <= now; at, ok = s.next() {
		due = append(due, s.entries[0].value)
		heap.Pop(&s.entries)
	}
	return due
}
