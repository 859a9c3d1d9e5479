package layout

import (
	"cmp"
	"fmt"
	"slices"

	sq "saffronquay"
)

// Span is a run of keys, From up to but without To.
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

func (s Span) String() string { return fmt.Sprintf("%d-%d", s.From, s.To) }

// Empty tells that no key lies in the span.
func (s Span) Empty() bool { return s.From >= s.To }

// Meet is what two spans share; it may be empty.
func (s Span) Meet(o Span) Span { return Span{max(s.From, o.From), min(s.To, o.To)} }

// Range is one shard: its span and who holds it.
type Range struct {
	Span
	Shard   int           `json:"shard"`
	Holders []sq.ServerID `json:"holders"`
}

func (r Range) equal(o Range) bool {
	return r.Span == o.Span && r.Shard == o.Shard && slices.Equal(r.Holders, o.Holders)
}

// Kind is what a change does.
type Kind string

// The kinds of changes.
const (
	Split Kind = "split" // one range becomes several
	Merge Kind = "merge" // neighbouring ranges become one
	Move  Kind = "move"  // one range gets other holders
)

// State is how far a change is.
type State string

// The states of a change. One that is retired or aborted is no longer in the layout.
const (
	Announced State = "announced"
	Copying   State = "copying"
	Ready     State = "ready"   // both sides can answer; queries still go to the old one
	CutOver   State = "cutover" // the new side is in force; the old one may still answer what it was sent
)

// Change is a split, merge or move under way.
type Change struct {
	ID    string  `json:"id"`
	Kind  Kind    `json:"kind"`
	State State   `json:"state"`
	From  []Range `json:"from"` // the old side, in order of the key
	To    []Range `json:"to"`   // the new side, in order of the key
}

// Doc is a whole layout as it is written down.
type Doc struct {
	History   string   `json:"history"`
	Epoch     int64    `json:"epoch"`
	NextShard int      `json:"next_shard"` // ids below are or were in use
	Ranges    []Range  `json:"ranges"`
	Changes   []Change `json:"changes,omitempty"`
}

// Layout is a judged layout. It never changes.
type Layout struct {
	doc   Doc
	ends  []int64        // of the ranges in force, for searching
	at    map[int]int    // place of a shard in force among the ranges
	since map[int]int64  // the epoch from which a shard's holders are as they are; absent: since before the first layout
	old   map[int]*Range // old sides that are not yet retired, by shard; a move's is the set of servers it leaves
}

// build indexes a document that has been judged.
func build(d Doc, since map[int]int64) *Layout {
	l := &Layout{doc: d, since: since, at: make(map[int]int, len(d.Ranges)), old: map[int]*Range{}}
	l.ends = make([]int64, len(d.Ranges))
	for i := range d.Ranges {
		l.at[d.Ranges[i].Shard], l.ends[i] = i, d.Ranges[i].To
	}
	for i := range d.Changes {
		if c := &d.Changes[i]; c.State == CutOver {
			for j := range c.From {
				l.old[c.From[j].Shard] = &c.From[j]
			}
		}
	}
	return l
}

// Doc is the layout written down. The caller must not change what it holds.
func (l *Layout) Doc() Doc { return l.doc }

// Epoch is the layout's epoch.
func (l *Layout) Epoch() int64 { return l.doc.Epoch }

// History names the line of epochs.
func (l *Layout) History() string { return l.doc.History }

// Len is the number of ranges in force.
func (l *Layout) Len() int { return len(l.doc.Ranges) }

// Domain is the span that the ranges cover.
func (l *Layout) Domain() Span {
	return Span{l.doc.Ranges[0].From, l.doc.Ranges[len(l.doc.Ranges)-1].To}
}

// InForce is the span of a shard; ok is false where the shard is not in force.
func (l *Layout) InForce(shard int) (Span, bool) {
	i, ok := l.at[shard]
	if !ok {
		return Span{}, false
	}
	return l.doc.Ranges[i].Span, true
}

// Of lists the servers that hold a shard: those in force, or those of an old side that is not yet retired. It is what the
// decision module asks. The caller must not change the list.
func (l *Layout) Of(shard int) []sq.ServerID {
	if i, ok := l.at[shard]; ok {
		return l.doc.Ranges[i].Holders
	}
	if r := l.old[shard]; r != nil {
		return r.Holders
	}
	return nil
}

// Since is the epoch from which a shard's holders are as they are, as far as it was heard.
func (l *Layout) Since(shard int) int64 { return l.since[shard] }

// Answers tells whether what a server gives for a span of a shard counts now: it holds it, or it is an old side that is
// not yet retired. Guards against a holder that has missed its own loss.
func (l *Layout) Answers(server sq.ServerID, shard int, span Span) bool {
	holds := func(r *Range) bool {
		return span.From >= r.From && span.To <= r.To && slices.Contains(r.Holders, server)
	}
	if i, ok := l.at[shard]; ok && holds(&l.doc.Ranges[i]) {
		return true
	}
	r := l.old[shard]
	return r != nil && holds(r)
}

// Piece is one part of a plan: a span within one shard's.
type Piece struct {
	Shard int
	Span
}

// first is the place of the first range, from a place on, that ends behind a key. It looks in steps that double, so what lies near
// is found soon.
func (l *Layout) first(key int64, from int) int {
	lo, hi := from, from
	for n := 1; hi < len(l.ends) && l.ends[hi] <= key; n *= 2 {
		lo, hi = hi+1, min(hi+n, len(l.ends))
	}
	for lo < hi {
		if mid := (lo + hi) / 2; l.ends[mid] <= key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// Plan appends one piece, its whole span, for each range that holds some of a set, once each and in order of the key. The
// set's spans are disjoint and in order. It costs O(s log n + k) for s spans and k pieces.
func (l *Layout) Plan(dst []Piece, want []Span) []Piece {
	next := 0 // ranges before this one are in the plan already
	for _, w := range want {
		for i := l.first(w.From, next); i < len(l.doc.Ranges) && l.doc.Ranges[i].From < w.To && !w.Empty(); i++ {
			r := &l.doc.Ranges[i]
			dst = append(dst, Piece{r.Shard, r.Span})
			next = i + 1
		}
	}
	return dst
}

// Cover appends the pieces whose spans make up a span exactly, as far as it lies in the domain.
func (l *Layout) Cover(dst []Piece, span Span) []Piece {
	for i := l.first(span.From, 0); i < len(l.doc.Ranges) && l.doc.Ranges[i].From < span.To && !span.Empty(); i++ {
		r := &l.doc.Ranges[i]
		dst = append(dst, Piece{r.Shard, r.Span.Meet(span)})
	}
	return dst
}

// Changes lists the changes under way, in order of their ids. The caller must not change the list.
func (l *Layout) Changes() []Change { return l.doc.Changes }

func (l *Layout) change(id string) (int, bool) {
	return slices.BinarySearchFunc(l.doc.Changes, id, func(c Change, id string) int { return cmp.Compare(c.ID, id) })
}

// Diff lists the shards whose span or holders are not the same in two layouts, in order.
func Diff(a, b *Layout) []int {
	var out []int
	for shard, i := range b.at {
		if j, ok := a.at[shard]; !ok || !a.doc.Ranges[j].equal(b.doc.Ranges[i]) {
			out = append(out, shard)
		}
	}
	for shard := range a.at {
		if _, ok := b.at[shard]; !ok {
			out = append(out, shard)
		}
	}
	for shard := range a.old { // retired: what it still has out counts no more
		if _, ok := b.old[shard]; !ok && b.Of(shard) == nil {
			out = append(out, shard)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
