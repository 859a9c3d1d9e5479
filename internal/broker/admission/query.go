package admission

import "cmp"

// query is a query that is queued or out.
type query struct {
	id         int64
	team       *node
	parts      int
	hintedWork float64 // microseconds, as the request predicts it
	work       float64 // corrected by what the team's queries have taken
	deadline   int64
	expiresAt  int64 // when it has waited for its team's limit
	arrival    int64 // its number in the order of arrivals
	started    bool
}

// compareQueries orders the queue of a team: by deadline, then by arrival.
func compareQueries(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
}

// expiryHeap is a heap (container/heap) of queued queries by the end of their waits. Started queries are dropped as they come up.
type expiryHeap []*query

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt < h[j].expiresAt }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	if q, ok := x.(*query); ok {
		*h = append(*h, q)
	}
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
