package core

import "container/heap"

// agenda gives what is due first. What has ended stays in it until it comes to the top or the dead are more than half, so
// adding and taking cost O(log n) and ending costs nothing. The zero value is empty but for alive.
type agenda[T any] struct {
	alive func(T) bool
	items items[T]
}

type item[T any] struct {
	at, id int64 // by time, then by id: equal events give equal orders
	v      T
}

type items[T any] []item[T]

func (s items[T]) Len() int { return len(s) }
func (s items[T]) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].id < s[j].id
}
func (s items[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *items[T]) Push(x any)   { *s = append(*s, x.(item[T])) }
func (s *items[T]) Pop() any {
	old := *s
	x := old[len(old)-1]
	old[len(old)-1] = item[T]{}
	*s = old[:len(old)-1]
	return x
}

const agendaSlack = 64 // dead ones that never call for a tidying

// add puts in what is due at a time; live is how many are alive, with this one.
func (a *agenda[T]) add(at, id int64, v T, live int) {
	if len(a.items) > 2*live+agendaSlack {
		kept := a.items[:0]
		for _, x := range a.items {
			if a.alive(x.v) {
				kept = append(kept, x)
			}
		}
		clear(a.items[len(kept):])
		a.items = kept
		heap.Init(&a.items)
	}
	heap.Push(&a.items, item[T]{at, id, v})
}

// next is when the first living one is due.
func (a *agenda[T]) next() (at int64, ok bool) {
	for len(a.items) > 0 && !a.alive(a.items[0].v) {
		heap.Pop(&a.items)
	}
	if len(a.items) == 0 {
		return 0, false
	}
	return a.items[0].at, true
}

// take takes the living ones out that are due.
func (a *agenda[T]) take(now int64) (due []T) {
	for at, ok := a.next(); ok && at <= now; at, ok = a.next() {
		due = append(due, heap.Pop(&a.items).(item[T]).v)
	}
	return due
}
