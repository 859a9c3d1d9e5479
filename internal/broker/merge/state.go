package merge

import (
	"container/heap"
	"errors"
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// State is the merge of one query. It is not safe for concurrent use.
type State struct {
	plan              *Plan
	parts             []*Part
	kinds             []Kind
	total             int64
	totalIsLowerBound bool
	totalOverflows    bool // the sum of totals does not fit an int64
	aggs              []*node
	bucketCount       int // buckets of all aggregations; a sketch counts as sketchWeight of them
	err               error
}

// NewState returns an empty merge for a plan.
func NewState(p *Plan) *State {
	return &State{plan: p, kinds: make([]Kind, len(p.Keys)), aggs: newNodes(p.Aggs)}
}

// Add merges a part. Parts may come in any order, but each span of the routing key only once. A part that does not go together with the
// others makes Page fail; the first such error is kept.
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
		default: // in the order of kinds, whichever part came first
			return &MixedError{s.plan.Keys[i].Field, min(k, s.kinds[i]), max(k, s.kinds[i])}
		}
	}
	return nil
}

// ErrDuplicateDocument says that a document came from two parts, which a correct layout of the data never gives.
var ErrDuplicateDocument = errors.New("a document stands in two parts")

// ErrTotalOverflow says that there are more hits than an int64 counts.
var ErrTotalOverflow = errors.New("the total is over 2^63-1")

// Page is one page of hits.
type Page struct {
	Hits              [][]byte // each as its server gave it, without sort values that the client did not request
	Total             int64
	TotalIsLowerBound bool // the total is at least Total
	HasTotal          bool // the query counts hits
	MaxScore          float64
	HasScore          bool
	Aggs              []byte // the merged aggregations as JSON, without the outer braces; nil: none
}

// cursor is the position of the merge in one part.
type cursor struct {
	part *Part
	next int
}

// hitHeap orders the next hits of the parts; the first hit of the page's order is on top.
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

// Push implements heap.Interface. Nothing pushes: the heap only shrinks.
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

// Page returns the page of the parts added so far. It takes O((from+size) log parts) comparisons, and reads again only the parts that
// have hits on the page. It fails if a part could not be merged (the first such error of Add), with ErrTotalOverflow, with
// ErrDuplicateDocument, or with ErrBuckets.
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

// selectHits merges the sorted hits of the parts and returns the places of those on the page, in order.
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

// readHits puts the text of the chosen hits on the page. It parses each part at most once.
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
		if err != nil { // Read parsed it before
			return malformedf("%v", err)
		}
		hits := v.GetArray("hits", "hits")
		for _, i := range places {
			if chosen[i].next >= len(hits) {
				return malformedf("hit %d is gone", chosen[i].next)
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

// hitText returns the text of a hit of the binary form, with its sort values if the client requested any.
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

// setSortValues adds the sort values to a hit whose server left them out.
func (s *State) setSortValues(x *fastjson.Value, values []Value) {
	x.Set("sort", fastjson.MustParseBytes(AppendValues(nil, values)))
}
