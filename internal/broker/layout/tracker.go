package layout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	sq "saffronquay"
)

// Update is a layout that has come into force.
type Update struct {
	Layout  *Layout
	Changed []int // the shards of Diff with the layout before; nil for the first layout
}

// Stall is a change that has stayed in one state for longer than the limit.
type Stall struct {
	Change
	Since int64 // when the tracker first saw the change in its state, in microseconds
}

// Tracker owns the layout in force and validates each document and step, from whatever source, against it. The zero value has no
// layout and allows all servers as holders. It is not safe for concurrent use. Times are the caller's, in microseconds. A rejected
// document or step leaves the tracker as it was; the errors are those of ValidationError.
type Tracker struct {
	current  *Layout
	known    map[sq.ServerID]bool // servers that may hold ranges; nil: all
	states   map[string]observedState
	reported map[string]State // by change, the state in which Stalled returned it last time
}

// observedState is a change's state, and when the tracker first saw the change in it.
type observedState struct {
	state State
	at    int64
}

// Current returns the layout in force, or nil before the first.
func (t *Tracker) Current() *Layout { return t.current }

// SetServers sets the list of servers that may hold ranges. It fails, and changes nothing, if a range in force or a change under
// way names a server that is not in the list.
func (t *Tracker) SetServers(ids []sq.ServerID) error {
	known := make(map[sq.ServerID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	if t.current != nil {
		if _, err := New(t.current.doc, func(id sq.ServerID) bool { return known[id] }); err != nil {
			return err
		}
	}
	t.known = known
	return nil
}

func (t *Tracker) listed(id sq.ServerID) bool { return t.known == nil || t.known[id] }

// Replace puts a full layout in force. It returns nil and no error if the layout is in force already. Epochs may be skipped. It
// fails if the document is invalid, older than the layout in force, of another history, covers less than the domain in force, or
// uses a shard id again.
func (t *Tracker) Replace(d Doc, at int64) (*Update, error) {
	if t.current != nil {
		v := &validator{epoch: d.Epoch}
		switch now := t.current.doc; {
		case d.History != now.History:
			v.add(ErrHistory, "", "history %q, where %q is in force", d.History, now.History)
		case d.Epoch < now.Epoch:
			v.add(ErrEpoch, "", "it goes back: %d is in force", now.Epoch)
		case d.NextShard < now.NextShard && d.Epoch > now.Epoch:
			v.add(ErrInvalid, "", "next_shard goes back from %d to %d", now.NextShard, d.NextShard)
		}
		if err := v.err(); err != nil {
			return nil, err
		}
	}
	l, err := New(d, t.listed)
	if err != nil {
		return nil, err
	}
	if t.current != nil {
		if a, b := t.current.Domain(), l.Domain(); b.From > a.From || b.To < a.To {
			v := &validator{epoch: d.Epoch}
			v.add(ErrInvalid, b.String(), "it covers less than the %s in force", a)
			return nil, v.err()
		}
		if err := t.sameShards(l); err != nil {
			return nil, err
		}
	}
	if t.current != nil && l.doc.Epoch == t.current.doc.Epoch {
		if !equalDocs(l.doc, t.current.doc) {
			v := &validator{epoch: d.Epoch}
			v.add(ErrHistory, "", "it says something else than the one in force")
			return nil, v.err()
		}
		return nil, nil
	}
	if t.current != nil {
		l.setSince(t.current)
	}
	return t.adopt(l, at), nil
}

// sameShards rejects a layout that gives a known shard id another span: ids are never assigned again.
func (t *Tracker) sameShards(l *Layout) error {
	v := &validator{epoch: l.doc.Epoch}
	for _, r := range l.doc.Ranges {
		if span, ok := t.current.InForce(r.Shard); ok && span != r.Span {
			v.add(ErrHistory, r.Span.String(), "shard %d was %s", r.Shard, span)
		} else if !ok && r.Shard < t.current.doc.NextShard && !t.current.isInChange(r.Shard) {
			v.add(ErrHistory, r.Span.String(), "shard %d is handed out again", r.Shard)
		}
	}
	return v.err()
}

// isInChange reports whether a change under way has the shard on either side.
func (l *Layout) isInChange(shard int) bool {
	is := func(r Range) bool { return r.Shard == shard }
	return slices.ContainsFunc(l.doc.Changes, func(c Change) bool {
		return slices.ContainsFunc(c.From, is) || slices.ContainsFunc(c.To, is)
	})
}

// equalDocs reports whether two documents have the same ranges and changes.
func equalDocs(a, b Doc) bool {
	return slices.EqualFunc(a.Ranges, b.Ranges, Range.equal) && slices.EqualFunc(a.Changes, b.Changes, func(x, y Change) bool {
		return x.ID == y.ID && x.Kind == y.Kind && x.State == y.State &&
			slices.EqualFunc(x.From, y.From, Range.equal) && slices.EqualFunc(x.To, y.To, Range.equal)
	})
}

// Step puts the layout that follows by one step in force. It returns nil and no error if the step's epoch is in force already,
// which happens when a watch starts again. It fails with ErrEpoch if a step was missed: the caller then fetches the full layout.
func (t *Tracker) Step(s Step, at int64) (*Update, error) {
	if t.current == nil {
		v := &validator{epoch: s.Epoch}
		v.add(ErrEpoch, "", "there is no layout that it could follow")
		return nil, v.err()
	}
	if s.History == t.current.doc.History && s.Epoch <= t.current.doc.Epoch && s.Epoch > 0 {
		return nil, nil
	}
	l, err := t.current.Step(s, t.listed)
	if err != nil {
		return nil, err
	}
	return t.adopt(l, at), nil
}

// adopt puts a validated layout in force. A change that stays in its state keeps the time at which it was first seen there.
func (t *Tracker) adopt(l *Layout, at int64) *Update {
	u := &Update{Layout: l}
	if t.current != nil {
		u.Changed = Diff(t.current, l)
	}
	t.current = l
	states := map[string]observedState{}
	for _, c := range l.doc.Changes {
		h := t.states[c.ID]
		if h.state != c.State {
			h = observedState{c.State, at}
		}
		states[c.ID] = h
	}
	t.states = states
	return u
}

// Stalled returns all changes that have been in one state for longer than limit, and which of them the last call did not return in
// that state. Both arguments are in microseconds.
func (t *Tracker) Stalled(at, limit int64) (all []Stall, fresh []Stall) {
	if t.current == nil {
		return nil, nil
	}
	reported := map[string]State{}
	for _, c := range t.current.doc.Changes {
		h := t.states[c.ID]
		if at-h.at <= limit {
			continue
		}
		s := Stall{c, h.at}
		all = append(all, s)
		if t.reported[c.ID] != c.State {
			fresh = append(fresh, s)
		}
		reported[c.ID] = c.State
	}
	t.reported = reported
	return all, fresh
}

// ParseDoc decodes a full layout from JSON. Unknown keys are errors; every error wraps ErrInvalid. The document is not validated.
func ParseDoc(text []byte) (d Doc, err error) { return d, decodeStrict(text, &d) }

// ParseStep decodes a step from JSON. Unknown keys are errors; every error wraps ErrInvalid. The step is not validated.
func ParseStep(text []byte) (s Step, err error) { return s, decodeStrict(text, &s) }

// decodeStrict decodes exactly one JSON value and rejects unknown keys.
func decodeStrict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: something follows it", ErrInvalid)
	}
	return nil
}
