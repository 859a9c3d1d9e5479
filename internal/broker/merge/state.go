package merge

import (
	"container/heap"
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// State is the state of the merge of one query. It is not safe for concurrent use.
type State struct {
	plan              *Plan
	parts             []*Part
	kinds             []Kind
	total             int64
	totalIsLowerBound bool
	totalOverflows    bool // the sum of the totals overflows an int64
	aggs              []*node
	bucketCount       int // buckets of all aggregations; a sketch counts as sketchWeight buckets
	err               error
}

// NewState returns an empty merge for a plan.
func NewState(p *Plan) *State {
	return &State{plan: p, kinds: make([]Kind, len(p.Keys)), aggs: newNodes(p.Aggs)}
}

// Add merges a part. Parts may be added in any order, but each span of the routing key only once. A
// part that is inconsistent with the others makes Page fail with the first such error.
func (s *State) Add(part *Part) {
	s.parts = append(s.parts, part)
	if err := s.mergeKinds(part.kinds); err != nil && s.err == nil {
		s.err = err
	}
	if err := mergeNodes(s.plan.Aggs, s.aggs, part.aggs, &s.bucketCount); err != nil && s.err == nil {
		s.err = err
	}
	s.totalIsLowerBound = s.totalIsLowerBound || part.totalIsLowerBound
	if part.total > math.MaxInt64-s.total {
		s.totalOverflows = true
		return
	}
	s.total += part.total
}

func (s *State) mergeKinds(kinds []Kind) error {
	for i, k := range kinds {
		switch {
		case k == Missing || k == s.kinds[i]:
		case s.kinds[i] == Missing:
			s.kinds[i] = k
		default: // the lower kind first, so that the error does not depend on the order of arrival
			return &MixedError{s.plan.Keys[i].Field, min(k, s.kinds[i]), max(k, s.kinds[i])}
		}
	}
	return nil
}

// ErrDuplicateDocument is returned if two parts contain the same document, which does not happen
// with a consistent layout of the data.
var ErrDuplicateDocument = errors.New("duplicate document in two partial answers")

// ErrTotalOverflow is returned if the total number of hits overflows an int64.
var ErrTotalOverflow = errors.New("total number of hits exceeds 2^63-1")

// Page is one page of hits.
type Page struct {
	Hits              [][]byte // as received, without sort values that the client did not request
	Total             int64
	TotalIsLowerBound bool // there may be more than Total hits
	HasTotal          bool // false if the query does not count hits
	MaxScore          float64
	HasScore          bool
	Aggs              []byte // merged aggregations as JSON, without the outer braces; nil if none
}

// cursor is the position of the merge in one part.
type cursor struct {
	part *Part
	next int
}

// hitHeap is a min-heap of the parts, ordered by their next hit.
type hitHeap struct {
	plan    *Plan
	cursors []cursor
}

func (f *hitHeap) Len() int      { return len(f.cursors) }
func (f *hitHeap) Swap(i, j int) { f.cursors[i], f.cursors[j] = f.cursors[j], f.cursors[i] }
func (f *hitHeap) Less(i, j int) bool {
	n := len(f.plan.Keys)
	return f.plan.compare(f.cursors[i].part.sortValuesAt(f.cursors[i].next, n), f.cursors[j].part.sortValuesAt(f.cursors[j].next, n)) < 0
}

// Push implements heap.Interface. It is not called, because the heap only shrinks.
func (f *hitHeap) Push(x any) {
	if c, ok := x.(cursor); ok {
		f.cursors = append(f.cursors, c)
	}
}

// Pop implements heap.Interface.
func (f *hitHeap) Pop() any {
	last := f.cursors[len(f.cursors)-1]
	f.cursors = f.cursors[:len(f.cursors)-1]
	return last
}

// Page returns the page of the parts added so far. It needs O((from+size) log parts) comparisons,
// and parses only those parts again that have hits on the page. It returns the first error of a
// part that could not be merged, ErrTotalOverflow, ErrDuplicateDocument, or ErrBuckets.
func (s *State) Page() (Page, error) {
	if s.err != nil {
		return Page{}, s.err
	}
	if s.totalOverflows && s.plan.Limit == Exact {
		return Page{}, ErrTotalOverflow
	}
	page := Page{HasTotal: s.plan.Limit != Uncounted, Total: s.total, TotalIsLowerBound: s.totalIsLowerBound, MaxScore: math.Inf(-1)}
	if l := s.plan.Limit; l > 0 && (s.totalOverflows || s.total > l) {
		page.Total, page.TotalIsLowerBound = l, true
	}
	for _, p := range s.parts {
		if p.hasScore {
			page.MaxScore, page.HasScore = max(page.MaxScore, p.maxScore), true
		}
	}
	chosen, err := s.selectHits()
	if err != nil {
		return Page{}, err
	}
	if len(s.plan.Aggs) > 0 {
		w := &writer{remaining: MaxBuckets}
		w.writeAll(s.plan.Aggs, s.aggs)
		if w.err != nil {
			return Page{}, w.err
		}
		page.Aggs = w.out
	}
	return page, s.readHits(&page, chosen)
}

// selectHits merges the sorted hits of the parts and returns the positions of those on the page, in
// order.
func (s *State) selectHits() ([]cursor, error) {
	f := &hitHeap{plan: s.plan}
	for _, p := range s.parts {
		if p.hits > 0 {
			f.cursors = append(f.cursors, cursor{p, 0})
		}
	}
	heap.Init(f)
	var chosen []cursor
	var last []Value
	for n := 0; n < s.plan.Window() && len(f.cursors) > 0; n++ {
		top := f.cursors[0]
		now := top.part.sortValuesAt(top.next, len(s.plan.Keys))
		if last != nil && s.plan.compare(last, now) == 0 {
			return nil, fmt.Errorf("%w: %s", ErrDuplicateDocument, now[len(now)-1].append(nil))
		}
		last = now
		if n >= s.plan.From {
			chosen = append(chosen, top)
		}
		top.next++
		if top.next < top.part.hits {
			f.cursors[0] = top
			heap.Fix(f, 0)
		} else {
			heap.Pop(f)
		}
	}
	return chosen, nil
}

// readHits sets the hits of the page to the text of the chosen ones. It parses each part at most
// once.
func (s *State) readHits(page *Page, chosen []cursor) error {
	page.Hits = make([][]byte, len(chosen))
	byPart := map[*Part][]int{}
	for i, c := range chosen {
		byPart[c.part] = append(byPart[c.part], i)
	}
	var parser fastjson.Parser
	for part, places := range byPart {
		if part.texts != nil {
			for _, i := range places {
				page.Hits[i] = s.hitText(part, chosen[i].next)
			}
			continue
		}
		v, err := parser.ParseBytes(part.body)
		if err != nil { // does not happen: the body was valid in Read
			return malformedf("parse body again: %v", err)
		}
		hits := v.GetArray("hits", "hits")
		for _, i := range places {
			if chosen[i].next >= len(hits) {
				return malformedf("hit %d is missing from the body", chosen[i].next)
			}
			x := hits[chosen[i].next]
			if s.plan.ClientKeys == 0 {
				x.Del("sort")
			} else if !x.Exists("sort") {
				s.setSortValues(x, part.sortValuesAt(chosen[i].next, len(s.plan.Keys)))
			}
			page.Hits[i] = x.MarshalTo(nil)
		}
	}
	return nil
}

// hitText returns the JSON of a hit of the binary form, with its sort values if the client
// requested them.
func (s *State) hitText(part *Part, i int) []byte {
	text := part.texts[i]
	if s.plan.ClientKeys == 0 {
		return text
	}
	b := append(make([]byte, 0, len(text)+64), text[:len(text)-1]...)
	if len(text) > 2 {
		b = append(b, ',')
	}
	return append(AppendValues(append(b, `"sort":`...), part.sortValuesAt(i, len(s.plan.Keys))), '}')
}

// setSortValues adds the sort values to a hit whose server omitted them.
func (s *State) setSortValues(x *fastjson.Value, values []Value) {
	x.Set("sort", fastjson.MustParseBytes(AppendValues(nil, values)))
}
