package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
)

// Config is the contracts of one gatherer. Times are microseconds.
type Config struct {
	Cores     float64 // of the servers together
	Gatherers int     // that share them: each holds its part of everything
	Over      float64 // parts out for each core; above 1, so that none waits for the next
	Teams     []Team

	// Part, where set, is what this gatherer may use of a team's budget, 0 to 1, in the place of an equal part: a team's budget is its share
	// of all parts out, at all gatherers together. It is asked when the contracts are put in force, of teams that have no children.
	Part func(team string) float64
}

// Team is one contract. Those with children are no team that asks, but what their children share.
type Team struct {
	Name    string
	Parent  string  // empty: the company
	Weight  float64 // its share among its siblings that have work
	Ceiling float64 // the most of all parts out that it may have, 0 to 1; 0: all
	Keeps   bool    // its share is not lent while it is idle
	Classes []string
	Longest int64 // the longest deadline it may ask for; 0: its class's
	Wait    int64 // the longest that a query of it waits here
}

// Check tells what makes no sense.
func (c Config) Check() []string {
	var out []string
	if !(c.Cores > 0) || c.Gatherers < 1 || !(c.Over >= 1) {
		out = append(out, "want cores above nought, at least one gatherer, and over of at least 1")
	}
	at := map[string]int{}
	for i, t := range c.Teams {
		if _, twice := at[t.Name]; twice || t.Name == "" {
			out = append(out, fmt.Sprintf("teams[%d].name: %q is missing, or there twice", i, t.Name))
		}
		at[t.Name] = i
		if !(t.Weight > 0) || t.Weight > 1e6 || !(t.Ceiling >= 0 && t.Ceiling <= 1) || t.Longest < 0 || t.Wait < 0 {
			out = append(out, fmt.Sprintf("teams[%d]: want a weight above nought, a ceiling of 0 to 1 and times of nought or more", i))
		}
	}
	for i, t := range c.Teams {
		up, known := t.Parent, true
		for n := 0; up != "" && known; n++ {
			var j int
			if j, known = at[up]; known {
				up = c.Teams[j].Parent
			}
			if n > mostDepth {
				out = append(out, fmt.Sprintf("teams[%d].parent: %q is over %d deep, or its own ancestor", i, t.Parent, mostDepth))
				break
			}
		}
		if !known {
			out = append(out, fmt.Sprintf("teams[%d].parent: there is no %q", i, up))
		}
	}
	return out
}

// Shares is what of everything each team without children has by its contract, at all gatherers together.
func (c Config) Shares() map[string]float64 {
	at, sums := map[string]Team{}, map[string]float64{}
	for _, t := range c.Teams {
		at[t.Name] = t
		sums[t.Parent] += t.Weight
	}
	shares := map[string]float64{}
	for _, t := range c.Teams {
		if sums[t.Name] > 0 {
			continue // it has children
		}
		s := 1.0
		for up := t; ; up = at[up.Parent] {
			if s *= up.Weight / sums[up.Parent]; up.Parent == "" {
				break
			}
		}
		shares[t.Name] = s
	}
	return shares
}

const mostDepth = 8

// node is one team, or the company.
type node struct {
	Team
	parent     *node
	kids       children
	sum        float64 // weights of all children
	active     float64 // weights of those that have work
	v          float64 // virtual time: the start tag of what was started last among the children
	tag        float64 // this one's start tag among its siblings
	at         int     // its place in the parent's heap; -1: it has nothing to start, or is at its ceiling
	working    bool    // it counts among its parent's active ones
	queue      []*query
	queued     int     // queries, its own and its descendants'
	out        int     // parts, the same
	most       int     // parts that it may have out; 0: no bound of its own
	reserve    int     // parts that are kept for it
	ratio      float64 // what its queries took, over what was predicted of them
	gone       bool    // its contract has ended
	contracted float64 // its share by the contract, at all gatherers together
	accounts   Accounts
}

// Accounts are what a team has asked for and got, since the start. Work is in microseconds.
type Accounts struct {
	Asked, Started, Waited      int64
	Ahead, Full, Class, Expired int64   // refused: more is queued than its share does in time; queue full; class; waited for too long
	Predicted, Took, Lent       float64 // Lent: of what was started beyond its share
	Attempts                    int64
}

// query is one that waits or is out.
type query struct {
	id       int64
	n        *node
	parts    int
	hint     float64 // work as the query says it
	work     float64 // corrected by what its team's queries took
	deadline int64
	until    int64 // when it has waited for long enough
	order    int64
	started  bool
}

// children is a heap of those with something to start, by their tags.
type children []*node

func (c children) Len() int { return len(c) }
func (c children) Less(i, j int) bool {
	return c[i].tag < c[j].tag || c[i].tag == c[j].tag && c[i].Name < c[j].Name
}

func (c children) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].at, c[j].at = i, j
}
func (c *children) Push(x any) { n := x.(*node); n.at = len(*c); *c = append(*c, n) }
func (c *children) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	last.at = -1
	return last
}

// before tells which of a team's queries goes first: the one whose time ends first, not the one that came first.
func before(a, b *query) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.order, b.order))
}

func (n *node) insert(q *query) {
	i, _ := slices.BinarySearchFunc(n.queue, q, before)
	n.queue = slices.Insert(n.queue, i, q)
}

// ahead is the work of a team that goes before a query: O(its queue, which is bounded).
func (n *node) ahead(q *query) (work float64) {
	for _, o := range n.queue {
		if before(o, q) >= 0 {
			break
		}
		work += o.work
	}
	return work
}

// settle brings a node and its ancestors in line with what they have queued and out: who stands in the heaps, and who counts as
// active. It costs O(depth log siblings).
func (n *node) settle() {
	for ; n.parent != nil; n = n.parent {
		starts := n.queued > 0 && (n.most == 0 || n.out < n.most)
		switch {
		case starts && n.at < 0:
			n.tag = max(n.tag, n.parent.v)
			heap.Push(&n.parent.kids, n)
		case !starts && n.at >= 0:
			heap.Remove(&n.parent.kids, n.at)
		}
		if works := n.queued > 0 || n.out > 0; works != n.working {
			n.working = works
			if works {
				n.parent.active += n.Weight
			} else if n.parent.active -= n.Weight; n.parent.active < 1e-9 {
				n.parent.active = 0
			}
		}
	}
}

// charge books work at a node and its ancestors: started work moves the virtual time on, a correction does not.
func (n *node) charge(work float64, started bool) {
	for ; n.parent != nil; n = n.parent {
		if started {
			n.parent.v = max(n.parent.v, n.tag)
		}
		n.tag = max(n.tag+work/n.Weight, n.parent.v)
		if n.at >= 0 {
			heap.Fix(&n.parent.kids, n.at)
		}
	}
}

// share is the part of everything that a node has by its contract; with idle, what it has while others are idle and lend theirs.
func (n *node) share(idle bool) float64 {
	s := 1.0
	for ; n.parent != nil; n = n.parent {
		sum := n.parent.sum
		if idle {
			if sum = n.parent.active; !n.working {
				sum += n.Weight
			}
		}
		s *= n.Weight / max(sum, n.Weight)
	}
	return s
}
