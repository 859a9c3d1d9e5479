package layout

import (
	"fmt"
	"slices"

	sq "saffronquay"
)

// Action is the action of a step on a change.
type Action string

// The actions, in the order in which they apply to a change. Abort is possible until the change is
// retired.
const (
	Announce  Action = "announce"
	Copy      Action = "copy"
	MarkReady Action = "ready"
	Cut       Action = "cutover"
	Retire    Action = "retire"
	Abort     Action = "abort"
)

// Step is the transition to the next epoch: one action on one change. Only Announce has Kind, From
// and To.
type Step struct {
	History string  `json:"history"`
	Epoch   int64   `json:"epoch"`
	Change  string  `json:"change"`
	Do      Action  `json:"do"`
	Kind    Kind    `json:"kind,omitempty"`
	From    []int   `json:"from,omitempty"` // shards of the old side
	To      []Range `json:"to,omitempty"`   // the new side
}

// transitions has, for each action, the required state of the change and the state after it.
var transitions = map[Action][2]State{Copy: {Announced, Copying}, MarkReady: {Copying, Ready}, Cut: {Ready, CutOver}}

// Step returns the layout of the next epoch. The error joins all faults of the step. l does not
// change. isListed reports whether a server may hold ranges; nil allows all servers. Step takes
// O(n) time for n ranges if it changes the ranges in force, otherwise O(changes).
func (l *Layout) Step(s Step, isListed func(sq.ServerID) bool) (*Layout, error) {
	v := &validator{epoch: s.Epoch, isListed: isListed}
	switch {
	case s.History != l.doc.History:
		v.add(ErrHistory, "", "step is of history %q, but %q is in force", s.History, l.doc.History)
	case s.Epoch != l.doc.Epoch+1:
		v.add(ErrEpoch, "", "step is out of order: epoch %d is in force, want epoch %d", l.doc.Epoch, l.doc.Epoch+1)
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
	if s.Do != Cut && s.Do != Abort { // the ranges in force are unchanged, so their index is shared
		n := build(Doc{Changes: next.Changes}, l.since)
		n.doc, n.at, n.ends = next, l.at, l.ends
		return n, nil
	}
	n := build(next, nil)
	n.setSince(l)
	return n, nil
}

// setSince computes Since of each shard from the previous layout. It takes O(n) time for n ranges.
func (l *Layout) setSince(previous *Layout) {
	l.since = make(map[int]int64, len(previous.since)+2)
	for shard, i := range l.at {
		if j, ok := previous.at[shard]; !ok || !previous.doc.Ranges[j].equal(l.doc.Ranges[i]) {
			l.since[shard] = l.doc.Epoch
		} else if epoch, ok := previous.since[shard]; ok {
			l.since[shard] = epoch
		}
	}
}

// announce adds a new change to next. Each range of its old side must be in force and not be part
// of another change in progress.
func (l *Layout) announce(v *validator, next *Doc, s Step) {
	prefix := fmt.Sprintf("change %q: ", s.Change)
	at, exists := l.change(s.Change)
	if exists || s.Change == "" {
		v.add(ErrState, "", "%sid is empty or already in use", prefix)
		return
	}
	c := Change{ID: s.Change, Kind: s.Kind, State: Announced, To: slices.Clone(s.To)}
	slices.SortStableFunc(c.To, byKey)
	for _, shard := range s.From {
		i, ok := l.at[shard]
		if !ok {
			v.add(ErrInvalid, "", "%sshard %d is not in force", prefix, shard)
			return
		}
		r := l.doc.Ranges[i]
		c.From = append(c.From, r)
		for _, other := range l.doc.Changes {
			if other.State != CutOver && slices.ContainsFunc(other.From, func(o Range) bool { return o.Shard == shard }) {
				v.add(ErrState, r.Span.String(), "%srange is already part of change %q", prefix, other.ID)
			}
			if other.State == CutOver && other.Kind == Move && other.From[0].Shard == shard {
				v.add(ErrState, r.Span.String(), "%smove %q of the range is not yet retired", prefix, other.ID)
			}
		}
	}
	slices.SortStableFunc(c.From, byKey)
	v.validateSides(prefix, c)
	for _, r := range c.To {
		if c.Kind != Move && r.Shard < l.doc.NextShard {
			v.add(ErrInvalid, r.Span.String(), "%sshard id %d was already assigned: want %d or more", prefix, r.Shard, l.doc.NextShard)
		}
		next.NextShard = max(next.NextShard, r.Shard+1)
	}
	next.Changes = slices.Insert(next.Changes, at, c)
}

// advance moves an existing change of next to its next state, or removes it. A cut over, and an
// abort after a cut over, also replace the ranges in force.
func (l *Layout) advance(v *validator, next *Doc, s Step) {
	prefix := fmt.Sprintf("change %q: ", s.Change)
	at, exists := l.change(s.Change)
	if !exists {
		v.add(ErrState, "", "%snot in progress", prefix)
		return
	}
	c := &next.Changes[at]
	transition, ok := transitions[s.Do]
	switch {
	case ok && c.State == transition[0]:
		c.State = transition[1]
		if s.Do == Cut {
			for _, r := range c.To {
				v.validateHolders(prefix, r) // the list of servers may have changed since the announcement
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
			if !ok || !l.doc.Ranges[i].equal(r) || l.hasOtherChange(r.Shard, c.ID) {
				v.add(ErrState, r.Span.String(), "%scannot be aborted: a later change depends on it", prefix)
			}
		}
		for _, r := range c.From {
			v.validateHolders(prefix, r)
		}
		if len(v.faults) == 0 {
			next.Ranges = replaceRun(l.doc.Ranges, c.To, c.From)
			next.Changes = slices.Delete(next.Changes, at, at+1)
		}
	default:
		v.add(ErrState, "", "%saction %q is not possible in state %q", prefix, s.Do, c.State)
	}
}

// hasOtherChange reports whether a change other than the one with the given id has the shard on its
// old side.
func (l *Layout) hasOtherChange(shard int, id string) bool {
	return slices.ContainsFunc(l.doc.Changes, func(c Change) bool {
		return c.ID != id && slices.ContainsFunc(c.From, func(r Range) bool { return r.Shard == shard })
	})
}

// replaceRun returns a copy of rs in which the ranges in replace the ranges out. The latter must be
// consecutive in rs.
func replaceRun(rs, out, in []Range) []Range {
	i, _ := slices.BinarySearchFunc(rs, out[0].From, func(r Range, from int64) int {
		if r.From < from {
			return -1
		} else if r.From > from {
			return 1
		}
		return 0
	})
	replaced := make([]Range, 0, len(rs)-len(out)+len(in))
	replaced = append(replaced, rs[:i]...)
	replaced = append(replaced, in...)
	return append(replaced, rs[i+len(out):]...)
}
