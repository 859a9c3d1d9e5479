package merge

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/valyala/fastjson"
)

// State is the merge of one query. It belongs to one owner.
type State struct {
	plan  *Plan
	parts []*Part
	kinds []Kind
	total int64
	gte   bool
	over  bool // the total has no form
	aggs  []*node
	held  int // buckets
	err   error
}

// NewState begins a merge.
func NewState(p *Plan) *State {
	return &State{plan: p, kinds: make([]Kind, len(p.Keys)), aggs: blank(p.Aggs)}
}

// Add takes a part in. Parts may come in any order; each span of the key comes once.
func (s *State) Add(part *Part) {
	s.parts = append(s.parts, part)
	if err := s.mix(part.kinds); err != nil && s.err == nil {
		s.err = err
	}
	if err := mergeAll(s.plan.Aggs, s.aggs, part.aggs, &s.held); err != nil && s.err == nil {
		s.err = err
	}
	s.gte = s.gte || part.gte
	if part.total > math.MaxInt64-s.total {
		s.over = true
		return
	}
	s.total += part.total
}

func (s *State) mix(kinds []Kind) error {
	for i, k := range kinds {
		switch {
		case k == Missing || k == s.kinds[i]:
		case s.kinds[i] == Missing:
			s.kinds[i] = k
		default: // named in one order, whichever came first
			return &MixedError{s.plan.Keys[i].Field, min(k, s.kinds[i]), max(k, s.kinds[i])}
		}
	}
	return nil
}

// ErrTwice says that a document came from two parts, which no sound layout of data can give.
var ErrTwice = errors.New("a document stands in two parts")

// ErrTotal says that there are more hits than an int64 counts.
var ErrTotal = errors.New("the total is over 2^63-1")

// Page is one page of hits.
type Page struct {
	Hits   [][]byte // each as its server gave it, without sort values that the client did not ask for
	Total  int64
	Gte    bool // the total is that much or more
	Known  bool // there is a total
	Top    float64
	Scored bool
	Aggs   []byte // the aggregations' ends, without their braces; nil: there are none
}

// cursor is how far the merge is in one part.
type cursor struct {
	part *Part
	at   int
}

// front is the parts' next hits, the first of them on top.
type front struct {
	plan *Plan
	c    []cursor
}

func (f *front) Len() int      { return len(f.c) }
func (f *front) Swap(i, j int) { f.c[i], f.c[j] = f.c[j], f.c[i] }
func (f *front) Less(i, j int) bool {
	n := len(f.plan.Keys)
	return f.plan.compare(f.c[i].part.at(f.c[i].at, n), f.c[j].part.at(f.c[j].at, n)) < 0
}
func (f *front) Push(x any) { f.c = append(f.c, x.(cursor)) }
func (f *front) Pop() any {
	last := f.c[len(f.c)-1]
	f.c = f.c[:len(f.c)-1]
	return last
}

// Page merges what is in: O((from+size) log parts) comparisons, and only the parts that have hits on the page are read again.
func (s *State) Page() (Page, error) {
	if s.err != nil {
		return Page{}, s.err
	}
	if s.over && s.plan.Limit == Exact {
		return Page{}, ErrTotal
	}
	page := Page{Known: s.plan.Limit != Uncounted, Total: s.total, Gte: s.gte, Top: math.Inf(-1)}
	if l := s.plan.Limit; l > 0 && (s.over || s.total > l) {
		page.Total, page.Gte = l, true
	}
	f := &front{plan: s.plan}
	for _, p := range s.parts {
		if p.scored {
			page.Top, page.Scored = max(page.Top, p.top), true
		}
		if p.hits > 0 {
			f.c = append(f.c, cursor{p, 0})
		}
	}
	heap.Init(f)
	var chosen []cursor
	var last []Value
	for n := 0; n < s.plan.Window() && len(f.c) > 0; n++ {
		top := f.c[0]
		now := top.part.at(top.at, len(s.plan.Keys))
		if last != nil && s.plan.compare(last, now) == 0 {
			return Page{}, fmt.Errorf("%w: %s", ErrTwice, now[len(now)-1].append(nil))
		}
		if last = now; n >= s.plan.From {
			chosen = append(chosen, top)
		}
		if top.at++; top.at < top.part.hits {
			f.c[0] = top
			heap.Fix(f, 0)
		} else {
			heap.Pop(f)
		}
	}
	if len(s.plan.Aggs) > 0 {
		w := &writer{left: MaxBuckets}
		if w.all(s.plan.Aggs, s.aggs); w.first != nil {
			return Page{}, w.first
		}
		page.Aggs = w.b
	}
	return page, s.texts(&page, chosen)
}

// texts writes the chosen hits out, each part read once.
func (s *State) texts(page *Page, chosen []cursor) error {
	page.Hits = make([][]byte, len(chosen))
	byPart := map[*Part][]int{}
	for i, c := range chosen {
		byPart[c.part] = append(byPart[c.part], i)
	}
	var parser fastjson.Parser
	for part, places := range byPart {
		if part.texts != nil {
			for _, i := range places {
				page.Hits[i] = s.sorted(part, chosen[i].at)
			}
			continue
		}
		v, err := parser.ParseBytes(part.body)
		if err != nil { // it was read once
			return wrong("%v", err)
		}
		hits := v.GetArray("hits", "hits")
		for _, i := range places {
			if chosen[i].at >= len(hits) {
				return wrong("hit %d is gone", chosen[i].at)
			}
			x := hits[chosen[i].at]
			if s.plan.Asked == 0 {
				x.Del("sort")
			} else if !x.Exists("sort") {
				s.show(x, part.at(chosen[i].at, len(s.plan.Keys)))
			}
			page.Hits[i] = x.MarshalTo(nil)
		}
	}
	return nil
}

// sorted is a hit's text from the binary form, with its sort values where the client asked for them.
func (s *State) sorted(part *Part, i int) []byte {
	text := part.texts[i]
	if s.plan.Asked == 0 {
		return text
	}
	b := append(make([]byte, 0, len(text)+64), text[:len(text)-1]...)
	if len(text) > 2 {
		b = append(b, ',')
	}
	return append(AppendValues(append(b, `"sort":`...), part.at(i, len(s.plan.Keys))), '}')
}

// show gives a hit the sort values that its server left to be read off it.
func (s *State) show(x *fastjson.Value, values []Value) {
	x.Set("sort", fastjson.MustParseBytes(AppendValues(nil, values)))
}

// Completeness is what of a query is in. Weights add up to 1.
type Completeness struct {
	Need, Floor float64 // of the class: what makes a whole answer, and the least that may be given
}

// Piece is one part's share, and where it lies.
type Piece struct {
	Weight   float64
	Shard    int
	From, To int64 // of the range; both 0 where shards have none
	In       bool
}

// Extent says what of a query is in.
type Extent struct {
	Share   float64 // 0 to 1; exactly 1 where nothing is missing
	Missing []Piece
	Give    bool // an answer may be given
	Whole   bool // it may be marked whole
}

const rounding = 0.0001 // by which weights may be off

// Judge tells whether an answer may be given from what is in, and whether it may be marked whole. Nothing is whole without a part.
func (c Completeness) Judge(pieces []Piece) Extent {
	var e Extent
	some := false
	for _, p := range pieces {
		if p.In {
			e.Share += p.Weight
			some = true
		} else {
			e.Missing = append(e.Missing, p)
		}
	}
	if len(e.Missing) == 0 {
		e.Share = 1
	}
	e.Give = some && (len(e.Missing) == 0 || e.Share >= c.Floor-rounding)
	e.Whole = e.Give && (len(e.Missing) == 0 || e.Share >= c.Need-rounding)
	slices.SortFunc(e.Missing, func(a, b Piece) int { return a.Shard - b.Shard })
	return e
}
