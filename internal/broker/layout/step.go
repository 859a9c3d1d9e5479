package layout

import (
	"fmt"
	"slices"

	sq "saffronquay"
)

// Deed is what a step does with a change.
type Deed string

// The deeds, in the order that a change goes through them. Abort is possible after each but the last.
const (
	Announce Deed = "announce"
	Copy     Deed = "copy"
	BothUp   Deed = "ready"
	Cut      Deed = "cutover"
	Retire   Deed = "retire"
	Abort    Deed = "abort"
)

// Step is one epoch's news. Kind, From and To go with Announce only.
type Step struct {
	History string  `json:"history"`
	Epoch   int64   `json:"epoch"`
	Change  string  `json:"change"`
	Do      Deed    `json:"do"`
	Kind    Kind    `json:"kind,omitempty"`
	From    []int   `json:"from,omitempty"` // shards of the old side
	To      []Range `json:"to,omitempty"`   // the new side
}

// follows is the state that a change has to be in for a deed, and the one after it.
var follows = map[Deed][2]State{Copy: {Announced, Copying}, BothUp: {Copying, Ready}, Cut: {Ready, CutOver}}

// Step makes the layout that follows by one step, or says what is wrong with it; l stays as it is. It costs O(n) for n
// ranges where the step changes what is in force, else O(changes).
func (l *Layout) Step(s Step, known func(sq.ServerID) bool) (*Layout, error) {
	j := &judge{epoch: s.Epoch, known: known}
	switch {
	case s.History != l.doc.History:
		j.fault(ErrHistory, "", "history %q, where %q is in force", s.History, l.doc.History)
	case s.Epoch != l.doc.Epoch+1:
		j.fault(ErrEpoch, "", "%d is in force, so %d comes next", l.doc.Epoch, l.doc.Epoch+1)
	}
	if err := j.err(); err != nil {
		return nil, err
	}
	next := l.doc
	next.Epoch = s.Epoch
	next.Changes = slices.Clone(next.Changes)
	if s.Do == Announce {
		l.announce(j, &next, s)
	} else {
		l.advance(j, &next, s)
	}
	if err := j.err(); err != nil {
		return nil, err
	}
	if s.Do != Cut && s.Do != Abort { // what is in force stays: the index of shards can be shared
		n := build(Doc{Changes: next.Changes}, l.since)
		n.doc, n.at, n.ends = next, l.at, l.ends
		return n, nil
	}
	n := build(next, nil)
	n.date(l)
	return n, nil
}

// date finds since when each shard's holders are as they are, given the layout before. It costs O(n).
func (l *Layout) date(before *Layout) {
	l.since = make(map[int]int64, len(before.since)+2)
	for shard, i := range l.at {
		if j, ok := before.at[shard]; !ok || !before.doc.Ranges[j].equal(l.doc.Ranges[i]) {
			l.since[shard] = l.doc.Epoch
		} else if at, ok := before.since[shard]; ok {
			l.since[shard] = at
		}
	}
}

func (l *Layout) announce(j *judge, next *Doc, s Step) {
	of := fmt.Sprintf("change %q: ", s.Change)
	at, there := l.change(s.Change)
	if there || s.Change == "" {
		j.fault(ErrState, "", "%sis under way, or has no name", of)
		return
	}
	c := Change{ID: s.Change, Kind: s.Kind, State: Announced, To: slices.Clone(s.To)}
	slices.SortStableFunc(c.To, byKey)
	for _, shard := range s.From {
		i, ok := l.at[shard]
		if !ok {
			j.fault(ErrInvalid, "", "%sshard %d is not in force", of, shard)
			return
		}
		r := l.doc.Ranges[i]
		c.From = append(c.From, r)
		for _, other := range l.doc.Changes {
			if other.State != CutOver && slices.ContainsFunc(other.From, func(o Range) bool { return o.Shard == shard }) {
				j.fault(ErrState, r.Span.String(), "%schange %q is under way there", of, other.ID)
			}
			if other.State == CutOver && other.Kind == Move && other.From[0].Shard == shard {
				j.fault(ErrState, r.Span.String(), "%smove %q is not yet retired there", of, other.ID)
			}
		}
	}
	slices.SortStableFunc(c.From, byKey)
	j.shape(of, c)
	for _, r := range c.To {
		if c.Kind != Move && r.Shard < l.doc.NextShard {
			j.fault(ErrInvalid, r.Span.String(), "%sshard %d was handed out before: the next is %d", of, r.Shard, l.doc.NextShard)
		}
		next.NextShard = max(next.NextShard, r.Shard+1)
	}
	next.Changes = slices.Insert(next.Changes, at, c)
}

func (l *Layout) advance(j *judge, next *Doc, s Step) {
	of := fmt.Sprintf("change %q: ", s.Change)
	at, there := l.change(s.Change)
	if !there {
		j.fault(ErrState, "", "%sis not under way", of)
		return
	}
	c := &next.Changes[at]
	wants, known := follows[s.Do]
	switch {
	case known && c.State == wants[0]:
		c.State = wants[1]
		if s.Do == Cut {
			for _, r := range c.To {
				j.holders(of, r) // the list may have changed since the announcement
			}
			next.Ranges = replace(l.doc.Ranges, c.From, c.To)
		}
	case s.Do == Retire && c.State == CutOver:
		next.Changes = slices.Delete(next.Changes, at, at+1)
	case s.Do == Abort && c.State != CutOver:
		next.Changes = slices.Delete(next.Changes, at, at+1)
	case s.Do == Abort:
		for _, r := range c.To {
			i, ok := l.at[r.Shard]
			if !ok || !l.doc.Ranges[i].equal(r) || l.underWay(r.Shard, c.ID) {
				j.fault(ErrState, r.Span.String(), "%sa later change has built on it", of)
			}
		}
		for _, r := range c.From {
			j.holders(of, r)
		}
		if len(j.faults) == 0 {
			next.Ranges = replace(l.doc.Ranges, c.To, c.From)
			next.Changes = slices.Delete(next.Changes, at, at+1)
		}
	default:
		j.fault(ErrState, "", "%s%q does not follow %q", of, s.Do, c.State)
	}
}

// underWay tells that a change other than one has a shard for its old side.
func (l *Layout) underWay(shard int, but string) bool {
	return slices.ContainsFunc(l.doc.Changes, func(c Change) bool {
		return c.ID != but && slices.ContainsFunc(c.From, func(r Range) bool { return r.Shard == shard })
	})
}

// replace makes new ranges with one side of a change in the place of the other, which lies there in one run.
func replace(rs, out, in []Range) []Range {
	i, _ := slices.BinarySearchFunc(rs, out[0].From, func(r Range, from int64) int {
		if r.From < from {
			return -1
		} else if r.From > from {
			return 1
		}
		return 0
	})
	made := make([]Range, 0, len(rs)-len(out)+len(in))
	made = append(made, rs[:i]...)
	made = append(made, in...)
	return append(made, rs[i+len(out):]...)
}
