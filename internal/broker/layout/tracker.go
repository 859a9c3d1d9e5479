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
	Changed []int // Diff between the previous layout and this one; nil for the first layout
}

// Stall is a change that has been in one state for longer than the limit.
type Stall struct {
	Change
	Since int64 // when the tracker first observed the change in its state, in microseconds
}

// Tracker owns the layout in force. It validates each document and step against it, regardless of
// the source. The zero value has no layout and allows all servers as holders. It is not safe for
// concurrent use. Times are in microseconds and come from the caller. A rejected document or step
// leaves the tracker unchanged, and the error joins ValidationErrors.
type Tracker struct {
	current  *Layout
	known    map[sq.ServerID]bool // servers that may hold ranges; nil: all
	states   map[string]observedState
	reported map[string]State // by change, the state in which the last call of Stalled returned it
}

// observedState is the state of a change, and the time at which the tracker first observed it.
type observedState struct {
	state State
	at    int64
}

// Current returns the layout in force, or nil if there is none yet.
func (t *Tracker) Current() *Layout { return t.current }

// SetServers sets the list of servers that may hold ranges. It fails and changes nothing if a range
// in force or a change in progress names a server that is not in the list.
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

// Replace puts a full layout in force. It returns nil without an error if the layout is in force
// already. Epochs may be skipped. Replace fails if the document is invalid, older than the layout
// in force or of another history, if it covers less than the domain in force, or if it reuses a
// shard id.
func (t *Tracker) Replace(d Doc, at int64) (*Update, error) {
	if t.current != nil {
		v := &validator{epoch: d.Epoch}
		switch now := t.current.doc; {
		case d.History != now.History:
			v.add(ErrHistory, "", "layout is of history %q, but %q is in force", d.History, now.History)
		case d.Epoch < now.Epoch:
			v.add(ErrEpoch, "", "layout is outdated: epoch %d is in force", now.Epoch)
		case d.NextShard < now.NextShard && d.Epoch > now.Epoch:
			v.add(ErrInvalid, "", "next_shard must not decrease: %d is in force, got %d", now.NextShard, d.NextShard)
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
			v.add(ErrInvalid, b.String(), "layout covers less than the domain in force, %s", a)
			return nil, v.err()
		}
		if err := t.checkShardIDs(l); err != nil {
			return nil, err
		}
	}
	if t.current != nil && l.doc.Epoch == t.current.doc.Epoch {
		if !equalDocs(l.doc, t.current.doc) {
			v := &validator{epoch: d.Epoch}
			v.add(ErrHistory, "", "layout differs from the one in force with the same epoch")
			return nil, v.err()
		}
		return nil, nil
	}
	if t.current != nil {
		l.setSince(t.current)
	}
	return t.adopt(l, at), nil
}

// checkShardIDs rejects a layout that gives a known shard id another span, since ids are never reused.
func (t *Tracker) checkShardIDs(l *Layout) error {
	v := &validator{epoch: l.doc.Epoch}
	for _, r := range l.doc.Ranges {
		if span, ok := t.current.InForce(r.Shard); ok && span != r.Span {
			v.add(ErrHistory, r.Span.String(), "shard %d has span %s in force, and the span of a shard must not change", r.Shard, span)
		} else if !ok && r.Shard < t.current.doc.NextShard && !t.current.isInChange(r.Shard) {
			v.add(ErrHistory, r.Span.String(), "shard id %d must not be reused", r.Shard)
		}
	}
	return v.err()
}

// isInChange reports whether a change in progress has the shard on either side.
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

// Step applies a step to the layout in force. It returns nil without an error if the step was
// applied already, which happens when a watch is restarted. It fails with ErrEpoch if a step was
// missed or there is no layout yet; the caller must then fetch the full layout.
func (t *Tracker) Step(s Step, at int64) (*Update, error) {
	if t.current == nil {
		v := &validator{epoch: s.Epoch}
		v.add(ErrEpoch, "", "step received before the first layout")
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

// adopt puts a validated layout in force. A change whose state is unchanged keeps the time at which
// that state was first observed.
func (t *Tracker) adopt(l *Layout, at int64) *Update {
	u := &Update{Layout: l}
	if t.current != nil {
		u.Changed = Diff(t.current, l)
	}
	t.current = l
	states := map[string]observedState{}
	for _, c := range l.doc.Changes {
		o := t.states[c.ID]
		if o.state != c.State {
			o = observedState{c.State, at}
		}
		states[c.ID] = o
	}
	t.states = states
	return u
}

// Stalled returns all changes that have been in one state for longer than limit, and those of them
// that the previous call did not return in that state. Both arguments are in microseconds.
func (t *Tracker) Stalled(at, limit int64) (all []Stall, fresh []Stall) {
	if t.current == nil {
		return nil, nil
	}
	reported := map[string]State{}
	for _, c := range t.current.doc.Changes {
		o := t.states[c.ID]
		if at-o.at <= limit {
			continue
		}
		s := Stall{c, o.at}
		all = append(all, s)
		if t.reported[c.ID] != c.State {
			fresh = append(fresh, s)
		}
		reported[c.ID] = c.State
	}
	t.reported = reported
	return all, fresh
}

// ParseDoc decodes a full layout from JSON. Unknown keys are errors; every error wraps ErrInvalid.
// The document is not validated.
func ParseDoc(text []byte) (d Doc, err error) { return d, decodeStrict(text, &d) }

// ParseStep decodes a step from JSON. Unknown keys are errors; every error wraps ErrInvalid. The
// step is not validated.
func ParseStep(text []byte) (s Step, err error) { return s, decodeStrict(text, &s) }

// decodeStrict decodes exactly one JSON value and rejects unknown keys.
func decodeStrict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: unexpected data after the JSON value", ErrInvalid)
	}
	return nil
}
