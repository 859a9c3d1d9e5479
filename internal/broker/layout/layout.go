package layout

import (
	"cmp"
	"fmt"
	"slices"

	sq "saffronquay"
)

// Span is the half-open interval of keys [From, To).
type Span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

func (s Span) String() string { return fmt.Sprintf("%d-%d", s.From, s.To) }

// Empty reports whether the span contains no key.
func (s Span) Empty() bool { return s.From >= s.To }

// Intersect returns the intersection of two spans. Without a common key the result is Empty, and its
// To may be below its From.
func (s Span) Intersect(o Span) Span { return Span{max(s.From, o.From), min(s.To, o.To)} }

// Range is one shard: its span and the servers that hold a replica of it.
type Range struct {
	Span
	Shard   int           `json:"shard"`
	Holders []sq.ServerID `json:"holders"`
}

func (r Range) equal(o Range) bool {
	return r.Span == o.Span && r.Shard == o.Shard && slices.Equal(r.Holders, o.Holders)
}

// Kind is the kind of a change.
type Kind string

// The kinds of changes.
const (
	Split Kind = "split" // one range becomes several
	Merge Kind = "merge" // neighbouring ranges become one
	Move  Kind = "move"  // a range gets other holders
)

// State is the progress of a change.
type State string

// The states of a change, in order. A retired or aborted change is removed from the layout.
const (
	Announced State = "announced"
	Copying   State = "copying"
	Ready     State = "ready"   // both sides can answer; queries still go to the old side
	CutOver   State = "cutover" // the new side is in force; the old side may still answer parts in flight
)

// Change is a split, merge or move in progress.
type Change struct {
	ID    string  `json:"id"`
	Kind  Kind    `json:"kind"`
	State State   `json:"state"`
	From  []Range `json:"from"` // the old side, in key order
	To    []Range `json:"to"`   // the new side, in key order
}

// Doc is the serialized form of a complete layout. It may be invalid: New validates it.
type Doc struct {
	History   string   `json:"history"`
	Epoch     int64    `json:"epoch"`
	NextShard int      `json:"next_shard"` // all lower ids are or were in use
	Ranges    []Range  `json:"ranges"`
	Changes   []Change `json:"changes,omitempty"`
}

// Layout is a validated layout with its indexes. It is immutable and can be read concurrently
// without a lock.
type Layout struct {
	doc   Doc
	ends  []int64        // To of each range in force, for the binary search
	at    map[int]int    // index in doc.Ranges of each shard in force
	since map[int]int64  // see Since; a shard that is absent is unchanged since the first layout
	old   map[int]*Range // old sides of changes in state CutOver by shard; for a move, with the previous holders
}

// build returns the layout of a validated document with its indexes.
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

// Doc returns the layout's serialized form. It shares memory with the layout, so the caller must
// not change its slices.
func (l *Layout) Doc() Doc { return l.doc }

// Epoch returns the layout's epoch, 1 or more.
func (l *Layout) Epoch() int64 { return l.doc.Epoch }

// History returns the name of the history that the epoch belongs to. Epochs of different histories
// cannot be compared.
func (l *Layout) History() string { return l.doc.History }

// Len returns the number of ranges in force.
func (l *Layout) Len() int { return len(l.doc.Ranges) }

// Domain returns the span that the ranges in force cover together. There are no gaps in it.
func (l *Layout) Domain() Span {
	return Span{l.doc.Ranges[0].From, l.doc.Ranges[len(l.doc.Ranges)-1].To}
}

// InForce returns the span of a shard. It reports false if the shard is not in force.
func (l *Layout) InForce(shard int) (Span, bool) {
	i, ok := l.at[shard]
	if !ok {
		return Span{}, false
	}
	return l.doc.Ranges[i].Span, true
}

// Holders returns the servers that hold a shard: the holders in force or, if the shard is only on an
// old side that is not yet retired, the holders of that side. It returns nil for an unknown shard.
// The decision module calls it through the interface saffronquay.Holders. The caller must not change
// the list.
func (l *Layout) Holders(shard int) []sq.ServerID {
	if i, ok := l.at[shard]; ok {
		return l.doc.Ranges[i].Holders
	}
	if r := l.old[shard]; r != nil {
		return r.Holders
	}
	return nil
}

// Since returns the epoch in which a shard got its present span and holders, or 0 if they are those
// of the first layout received. If epochs were skipped, it is the first received epoch with that
// span and those holders.
func (l *Layout) Since(shard int) int64 { return l.since[shard] }

// IsValidAnswer reports whether an answer of a server for a span of a shard is valid: the server must
// be a holder of the shard, in force or on an old side that is not yet retired, and the span must be
// within the shard's. This protects against a server that is not yet aware that it has lost the
// shard.
func (l *Layout) IsValidAnswer(server sq.ServerID, shard int, span Span) bool {
	holds := func(r *Range) bool {
		return span.From >= r.From && span.To <= r.To && slices.Contains(r.Holders, server)
	}
	if i, ok := l.at[shard]; ok && holds(&l.doc.Ranges[i]) {
		return true
	}
	r := l.old[shard]
	return r != nil && holds(r)
}

// Part is the request of a plan to one shard, for a span within the shard's span.
type Part struct {
	Shard int
	Span
}

// searchRange returns the index, at or after from, of the first range that ends after a key. It is
// a galloping search, whose steps double, so that it finds a nearby range in few steps.
func (l *Layout) searchRange(key int64, from int) int {
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

// Plan appends one part for each range that intersects any of the wanted spans. A part has the full
// span of its range, and parts are in key order without duplicates. The wanted spans must be
// disjoint and in key order. It takes O(s log n + k) time for s spans, n ranges and k parts.
func (l *Layout) Plan(dst []Part, want []Span) []Part {
	next := 0 // all ranges before this one are planned or not wanted
	for _, w := range want {
		for i := l.searchRange(w.From, next); i < len(l.doc.Ranges) && l.doc.Ranges[i].From < w.To && !w.Empty(); i++ {
			r := &l.doc.Ranges[i]
			dst = append(dst, Part{r.Shard, r.Span})
			next = i + 1
		}
	}
	return dst
}

// Cover appends parts, in key order, whose spans together are exactly the intersection of the given
// span and the domain.
func (l *Layout) Cover(dst []Part, span Span) []Part {
	for i := l.searchRange(span.From, 0); i < len(l.doc.Ranges) && l.doc.Ranges[i].From < span.To && !span.Empty(); i++ {
		r := &l.doc.Ranges[i]
		dst = append(dst, Part{r.Shard, r.Span.Intersect(span)})
	}
	return dst
}

// Changes returns the changes in progress, sorted by id. The caller must not change the list.
func (l *Layout) Changes() []Change { return l.doc.Changes }

// change returns the index of a change in doc.Changes, or the index to insert it at and false.
func (l *Layout) change(id string) (int, bool) {
	return slices.BinarySearchFunc(l.doc.Changes, id, func(c Change, id string) int { return cmp.Compare(c.ID, id) })
}

// Diff returns, in ascending order, the shards whose span or holders differ between layouts a and
// b, and the shards of old sides that were retired between them.
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
	for shard := range a.old { // retired: answers still in flight are no longer valid
		if _, ok := b.old[shard]; !ok && b.Holders(shard) == nil {
			out = append(out, shard)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
