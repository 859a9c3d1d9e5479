package admission

import "cmp"

// query is a query that is queued or in flight.
type query struct {
	id         int64
	team       *node
	parts      int
	hintedWork float64 // work predicted by the request, in microseconds
	work       float64 // hintedWork corrected by the team's ratio
	deadline   int64
	expiresAt  int64 // time at which the query is removed from the queue
	arrival    int64 // sequence number
	started    bool
}

// compareQueries orders the queue of a team: by deadline, then by arrival.
func compareQueries(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.arrival, b.arrival))
}

// expiryHeap is a heap (container/heap) of queued queries by the end of their wait. Started queries
// are dropped when they reach the top.
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
