package layout

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	sq "saffronquay"
)

// Update is a layout that has come in force, and the shards that it changes.
type Update struct {
	Layout  *Layout
	Changed []int
}

// Stall is a change that has stood in one state for longer than it should.
type Stall struct {
	Change
	Since int64 // when it was heard to be in its state; microseconds
}

// Keeper judges what comes in, from whatever source, against what is in force. The zero value holds nothing yet. It belongs to
// one owner; its times are the caller's.
type Keeper struct {
	now      *Layout
	known    map[sq.ServerID]bool
	since    map[string]heard
	reported map[string]State
}

type heard struct {
	state State
	at    int64
}

// Current is the layout in force; nil before the first.
func (k *Keeper) Current() *Layout { return k.now }

// Servers sets the list of those who may hold ranges, or says which range in force it would leave with a holder that is not
// listed; then nothing changes.
func (k *Keeper) Servers(ids []sq.ServerID) error {
	known := make(map[sq.ServerID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
	}
	if k.now != nil {
		if _, err := Make(k.now.doc, func(id sq.ServerID) bool { return known[id] }); err != nil {
			return err
		}
	}
	k.known = known
	return nil
}

func (k *Keeper) listed(id sq.ServerID) bool { return k.known == nil || k.known[id] }

// Whole takes a whole layout in, or says why not; what is in force then stays. One that is in force already is no error and
// no update. Epochs may be skipped: what lies between is not needed.
func (k *Keeper) Whole(d Doc, at int64) (*Update, error) {
	if k.now != nil {
		j := &judge{epoch: d.Epoch}
		switch now := k.now.doc; {
		case d.History != now.History:
			j.fault(ErrHistory, "", "history %q, where %q is in force", d.History, now.History)
		case d.Epoch < now.Epoch:
			j.fault(ErrEpoch, "", "it goes back: %d is in force", now.Epoch)
		case d.NextShard < now.NextShard && d.Epoch > now.Epoch:
			j.fault(ErrInvalid, "", "next_shard goes back from %d to %d", now.NextShard, d.NextShard)
		}
		if err := j.err(); err != nil {
			return nil, err
		}
	}
	l, err := Make(d, k.listed)
	if err != nil {
		return nil, err
	}
	if k.now != nil {
		if a, b := k.now.Domain(), l.Domain(); b.From > a.From || b.To < a.To {
			j := &judge{epoch: d.Epoch}
			j.fault(ErrInvalid, b.String(), "it covers less than the %s in force", a)
			return nil, j.err()
		}
		if err := k.sameShards(l); err != nil {
			return nil, err
		}
	}
	if k.now != nil && l.doc.Epoch == k.now.doc.Epoch {
		if !same(l.doc, k.now.doc) {
			j := &judge{epoch: d.Epoch}
			j.fault(ErrHistory, "", "it says something else than the one in force")
			return nil, j.err()
		}
		return nil, nil
	}
	if k.now != nil {
		l.date(k.now)
	}
	return k.take(l, at), nil
}

// sameShards turns down a layout that gives a shard another span: ids are never handed out again.
func (k *Keeper) sameShards(l *Layout) error {
	j := &judge{epoch: l.doc.Epoch}
	for _, r := range l.doc.Ranges {
		if span, ok := k.now.InForce(r.Shard); ok && span != r.Span {
			j.fault(ErrHistory, r.Span.String(), "shard %d was %s", r.Shard, span)
		} else if !ok && r.Shard < k.now.doc.NextShard && !k.now.names(r.Shard) {
			j.fault(ErrHistory, r.Span.String(), "shard %d is handed out again", r.Shard)
		}
	}
	return j.err()
}

// names tells that a change under way has a shard on either side.
func (l *Layout) names(shard int) bool {
	is := func(r Range) bool { return r.Shard == shard }
	return slices.ContainsFunc(l.doc.Changes, func(c Change) bool {
		return slices.ContainsFunc(c.From, is) || slices.ContainsFunc(c.To, is)
	})
}

func same(a, b Doc) bool {
	return slices.EqualFunc(a.Ranges, b.Ranges, Range.equal) && slices.EqualFunc(a.Changes, b.Changes, func(x, y Change) bool {
		return x.ID == y.ID && x.Kind == y.Kind && x.State == y.State &&
			slices.EqualFunc(x.From, y.From, Range.equal) && slices.EqualFunc(x.To, y.To, Range.equal)
	})
}

// Step takes one step in. One that is in force already (a watch that began anew) is no error and no update.
func (k *Keeper) Step(s Step, at int64) (*Update, error) {
	if k.now == nil {
		j := &judge{epoch: s.Epoch}
		j.fault(ErrEpoch, "", "there is no layout that it could follow")
		return nil, j.err()
	}
	if s.History == k.now.doc.History && s.Epoch <= k.now.doc.Epoch && s.Epoch > 0 {
		return nil, nil
	}
	l, err := k.now.Step(s, k.listed)
	if err != nil {
		return nil, err
	}
	return k.take(l, at), nil
}

func (k *Keeper) take(l *Layout, at int64) *Update {
	u := &Update{Layout: l}
	if k.now != nil {
		u.Changed = Diff(k.now, l)
	}
	k.now = l
	since := map[string]heard{}
	for _, c := range l.doc.Changes {
		h := k.since[c.ID]
		if h.state != c.State {
			h = heard{c.State, at}
		}
		since[c.ID] = h
	}
	k.since = since
	return u
}

// Stalled lists the changes that have been in one state for longer than limit, and tells which of them were not listed before.
func (k *Keeper) Stalled(at, limit int64) (all []Stall, fresh []Stall) {
	if k.now == nil {
		return nil, nil
	}
	reported := map[string]State{}
	for _, c := range k.now.doc.Changes {
		h := k.since[c.ID]
		if at-h.at <= limit {
			continue
		}
		s := Stall{c, h.at}
		all = append(all, s)
		if k.reported[c.ID] != c.State {
			fresh = append(fresh, s)
		}
		reported[c.ID] = c.State
	}
	k.reported = reported
	return all, fresh
}

// ParseDoc reads a whole layout; unknown keys are faults.
func ParseDoc(text []byte) (d Doc, err error) { return d, strict(text, &d) }

// ParseStep reads a step; unknown keys are faults.
func ParseStep(text []byte) (s Step, err error) { return s, strict(text, &s) }

func strict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return fmt.Errorf("%w: something follows it", ErrInvalid)
	}
	return nil
}
