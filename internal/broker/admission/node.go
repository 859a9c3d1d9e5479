package admission

import (
	"container/heap"
	"slices"
)

// epsilonWeight is the sum of weights below which a sum counts as zero, because of rounding errors.
const epsilonWeight = 1e-9

// node is a team in the tree of contracts, or the root.
//
// Each inner node schedules its children by start-time fair queueing: a child's start tag is the
// virtual time at which its next query may start.
type node struct {
	Team
	parent           *node
	children         startHeap
	childWeights     float64 // sum over all children
	activeWeights    float64 // sum over children with queries that are queued or in flight
	virtualTime      float64 // start tag of the child that started last
	startTag         float64 // in the virtual time of the parent
	heapIndex        int     // in the parent's heap; -1: nothing to start, or at its limit
	active           bool    // counted in the parent's activeWeights
	queue            []*query
	queued           int     // number of queued queries, including those of descendants
	inFlight         int     // number of parts in flight, including those of descendants
	maxParts         int     // maximum number of parts in flight; 0: no limit of its own
	reservedParts    int     // portion of the gate's limit that is reserved for the team
	ratio            float64 // moving average of actual work divided by predicted work
	removed          bool    // the contract is no longer in force
	contractFraction float64 // contractual fraction at all gatherers together
	usage            Usage
}

// startHeap is a heap (container/heap) of the children that may start a query, by start tag and
// name.
type startHeap []*node

func (h startHeap) Len() int { return len(h) }
func (h startHeap) Less(i, j int) bool {
	return h[i].startTag < h[j].startTag || h[i].startTag == h[j].startTag && h[i].Name < h[j].Name
}

func (h startHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *startHeap) Push(x any) {
	if n, ok := x.(*node); ok {
		n.heapIndex = len(*h)
		*h = append(*h, n)
	}
}

// Pop implements heap.Interface.
func (h *startHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.heapIndex = -1
	return last
}

func (n *node) insert(q *query) {
	i, _ := slices.BinarySearchFunc(n.queue, q, compareQueries)
	n.queue = slices.Insert(n.queue, i, q)
}

// workAhead returns the work of the team's queries that are queued before q. It takes O(length of
// the queue), which is bounded.
func (n *node) workAhead(q *query) (work float64) {
	for _, other := range n.queue {
		if compareQueries(other, q) >= 0 {
			break
		}
		work += other.work
	}
	return work
}

// updateTree updates the heaps and active weights of a node and its ancestors after a change of
// their queued queries or parts in flight. It takes O(depth log siblings).
func (n *node) updateTree() {
	for ; n.parent != nil; n = n.parent {
		n.updateHeap()
		n.updateActive()
	}
}

func (n *node) updateHeap() {
	canStart := n.queued > 0 && (n.maxParts == 0 || n.inFlight < n.maxParts)
	switch {
	case canStart && n.heapIndex < 0:
		n.startTag = max(n.startTag, n.parent.virtualTime)
		heap.Push(&n.parent.children, n)
	case !canStart && n.heapIndex >= 0:
		heap.Remove(&n.parent.children, n.heapIndex)
	}
}

func (n *node) updateActive() {
	active := n.queued > 0 || n.inFlight > 0
	if active == n.active {
		return
	}
	n.active = active
	if active {
		n.parent.activeWeights += n.Weight
		return
	}
	n.parent.activeWeights -= n.Weight
	if n.parent.activeWeights < epsilonWeight {
		n.parent.activeWeights = 0
	}
}

// charge adds work to the start tags of a node and its ancestors. Work that starts advances the
// virtual time, a later correction does not.
func (n *node) charge(work float64, started bool) {
	for ; n.parent != nil; n = n.parent {
		if started {
			n.parent.virtualTime = max(n.parent.virtualTime, n.startTag)
		}
		n.startTag = max(n.startTag+work/n.Weight, n.parent.virtualTime)
		if n.heapIndex >= 0 {
			heap.Fix(&n.parent.children, n.heapIndex)
		}
	}
}

// fraction returns the node's fraction of all work by its contract; with borrowing, the fraction
// including what idle teams lend.
func (n *node) fraction(borrowing bool) float64 {
	fraction := 1.0
	for ; n.parent != nil; n = n.parent {
		weights := n.parent.childWeights
		if borrowing {
			weights = n.parent.activeWeights
			if !n.active {
				weights += n.Weight
			}
		}
		fraction *= n.Weight / max(weights, n.Weight)
	}
	return fraction
}
