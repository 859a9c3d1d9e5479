package layout

import (
	"fmt"
	"slices"

	sq "saffronquay"
)

// Action is what a step does with a change.
type Action string

// The actions, in the order that a change goes through them. Abort is possible until the change is retired.
const (
	Announce  Action = "announce"
	Copy      Action = "copy"
	MarkReady Action = "ready"
	Cut       Action = "cutover"
	Retire    Action = "retire"
	Abort     Action = "abort"
)

// Step is the transition to the next epoch: one action on one change. Only Announce has Kind, From and To.
type Step struct {
	History string  `json:"history"`
	Epoch   int64   `json:"epoch"`
	Change  string  `json:"change"`
	Do      Action  `json:"do"`
	Kind    Kind    `json:"kind,omitempty"`
	From    []int   `json:"from,omitempty"` // shards of the old side
	To      []Range `json:"to,omitempty"`   // the new side
}

// transitions has, for each action, the state that a change must be in and the state after it.
var transitions = map[Action][2]State{Copy: {Announced, Copying}, MarkReady: {Copying, Ready}, Cut: {Ready, CutOver}}

// Step returns the layout of the next epoch, or the faults of the step joined; l does not change. isListed reports whether a server
// may hold ranges; nil allows all. It costs O(n) for n ranges if the step changes the ranges in force, else O(changes).
func (l *Layout) Step(s Step, isListed func(sq.ServerID) bool) (*Layout, error) {
	v := &validator{epoch: s.Epoch, isListed: isListed}
	switch {
	case s.History != l.doc.History:
		v.add(ErrHistory, "", "history %q, where %q is in force", s.History, l.doc.History)
	case s.Epoch != l.doc.Epoch+1:
		v.add(ErrEpoch, "", "%d is in force, so %d comes next", l.doc.Epoch, l.doc.Epoch+1)
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	next := l.doc
	next.Epoch = s.Epoch
	next.Changes = slices.Clone(next.Changes)
	if s.Do == Announce {
		l.announce(v, &next, s)
	} else {
		l.advance(v, &next, s)
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	if s.Do != Cut && s.Do != Abort { // the ranges in force stay, so their index is shared
		n := build(Doc{Changes: next.Changes}, l.since)
		n.doc, n.at, n.ends = next, l.at, l.ends
		return n, nil
	}
	n := build(next, nil)
	n.setSince(l)
	return n, nil
}

// setSince computes Since of each shard from the layout before. It costs O(n).
func (l *Layout) setSince(before *Layout) {
	l.since = make(map[int]int64, len(before.since)+2)
	for shard, i := range l.at {
		if v, ok := before.at[shard]; !ok || !before.doc.Ranges[v].equal(l.doc.Ranges[i]) {
			l.since[shard] = l.doc.Epoch
		} else if at, ok := before.since[shard]; ok {
			l.since[shard] = at
		}
	}
}

// announce adds a new change to next. Each range of its old side must be in force and have no other change under way.
func (l *Layout) announce(v *validator, next *Doc, s Step) {
	of := fmt.Sprintf("change %q: ", s.Change)
	at, there := l.change(s.Change)
	if there || s.Change == "" {
		v.add(ErrState, "", "%sis under way, or has no name", of)
		return
	}
	c := Change{ID: s.Change, Kind: s.Kind, State: Announced, To: slices.Clone(s.To)}
	slices.SortStableFunc(c.To, byKey)
	for _, shard := range s.From {
		i, ok := l.at[shard]
		if !ok {
			v.add(ErrInvalid, "", "%sshard %d is not in force", of, shard)
			return
		}
		r := l.doc.Ranges[i]
		c.From = append(c.From, r)
		for _, other := range l.doc.Changes {
			if other.State != CutOver && slices.ContainsFunc(other.From, func(o Range) bool { return o.Shard == shard }) {
				v.add(ErrState, r.Span.String(), "%schange %q is under way there", of, other.ID)
			}
			if other.State == CutOver && other.Kind == Move && other.From[0].Shard == shard {
				v.add(ErrState, r.Span.String(), "%smove %q is not yet retired there", of, other.ID)
			}
		}
	}
	slices.SortStableFunc(c.From, byKey)
	v.validateSides(of, c)
	for _, r := range c.To {
		if c.Kind != Move && r.Shard < l.doc.NextShard {
			v.add(ErrInvalid, r.Span.String(), "%sshard %d was handed out before: the next is %d", of, r.Shard, l.doc.NextShard)
		}
		next.NextShard = max(next.NextShard, r.Shard+1)
	}
	next.Changes = slices.Insert(next.Changes, at, c)
}

// advance moves an existing change of next to its next state, or removes it. A cut over, and an abort after one, also replace the
// ranges in force.
func (l *Layout) advance(v *validator, next *Doc, s Step) {
	of := fmt.Sprintf("change %q: ", s.Change)
	at, there := l.change(s.Change)
	if !there {
		v.add(ErrState, "", "%sis not under way", of)
		return
	}
	c := &next.Changes[at]
	wants, known := transitions[s.Do]
	switch {
	case known && c.State == wants[0]:
		c.State = wants[1]
		if s.Do == Cut {
			for _, r := range c.To {
				v.validateHolders(of, r) // the list may have changed since the announcement
			}
			next.Ranges = replaceRun(l.doc.Ranges, c.From, c.To)
		}
	case s.Do == Retire && c.State == CutOver:
		next.Changes = slices.Delete(next.Changes, at, at+1)
	case s.Do == Abort && c.State != CutOver:
		next.Changes = slices.Delete(next.Changes, at, at+1)
	case s.Do == Abort:
		for _, r := range c.To {
			i, ok := l.at[r.Shard]
			if !ok || !l.doc.Ranges[i].equal(r) || l.underWay(r.Shard, c.ID) {
				v.add(ErrState, r.Span.String(), "%sa later change has built on it", of)
			}
		}
		for _, r := range c.From {
			v.validateHolders(of, r)
		}
		if len(v.faults) == 0 {
			next.Ranges = replaceRun(l.doc.Ranges, c.To, c.From)
			next.Changes = slices.Delete(next.Changes, at, at+1)
		}
	default:
		v.add(ErrState, "", "%s%q does not follow %q", of, s.Do, c.State)
	}
}

// underWay reports whether a change other than the named one has the shard on its old side.
func (l *Layout) underWay(shard int, but string) bool {
	return slices.ContainsFunc(l.doc.Changes, func(c Change) bool {
		return c.ID != but && slices.ContainsFunc(c.From, func(r Range) bool { return r.Shard == shard })
	})
}

// replaceRun returns a copy of rs in which the ranges in replace the ranges out, which are consecutive in rs.
func replaceRun(rs, out, in []Range) []Range {
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
