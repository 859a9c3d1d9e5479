package layout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	sq "saffronquay"
)

// The kinds of a ValidationError, for errors.Is.
var (
	// ErrInvalid means that the document or step is inconsistent, or names a holder that is not in the
	// list of servers.
	ErrInvalid = errors.New("layout: invalid document or step")
	// ErrEpoch means that the document is older than the layout in force, or a step was missed.
	ErrEpoch = errors.New("layout: epoch out of order")
	// ErrHistory means that the document or step is in conflict with the history in force.
	ErrHistory = errors.New("layout: does not continue the history in force")
	// ErrState means that the state of the change does not allow the action.
	ErrState = errors.New("layout: action not possible in the state of the change")
)

// ValidationError is one fault of a document or step. errors.Is matches its Kind. Functions that
// find several faults return them joined.
type ValidationError struct {
	Kind  error  // ErrInvalid, ErrEpoch, ErrHistory or ErrState
	Epoch int64  // of the document or step
	Range string // span of the faulty range; empty if the fault does not concern a range
	Text  string
}

func (e *ValidationError) Error() string {
	if e.Range == "" {
		return fmt.Sprintf("epoch %d: %s", e.Epoch, e.Text)
	}
	return fmt.Sprintf("epoch %d: range %s: %s", e.Epoch, e.Range, e.Text)
}

// Unwrap returns the Kind, for errors.Is.
func (e *ValidationError) Unwrap() error { return e.Kind }

// validator collects the faults of one document or step.
type validator struct {
	epoch    int64
	isListed func(sq.ServerID) bool
	faults   []error
}

func (v *validator) add(kind error, span string, format string, args ...any) {
	v.faults = append(v.faults, &ValidationError{kind, v.epoch, span, fmt.Sprintf(format, args...)})
}

// err returns all faults joined, or nil if there are none.
func (v *validator) err() error { return errors.Join(v.faults...) }

// New validates a document and returns its layout. The error joins all faults of the document.
// isListed reports whether a server may hold ranges; nil allows all servers. New does not change
// the document's slices, but the layout keeps references to the lists of holders.
func New(d Doc, isListed func(sq.ServerID) bool) (*Layout, error) {
	v := &validator{epoch: d.Epoch, isListed: isListed}
	if d.History == "" {
		v.add(ErrInvalid, "", "history: missing")
	}
	if d.Epoch < 1 {
		v.add(ErrInvalid, "", "epoch: want 1 or more")
	}
	d.Ranges = slices.Clone(d.Ranges)
	slices.SortStableFunc(d.Ranges, byKey)
	v.validateRanges("", d.Ranges)
	if len(d.Ranges) == 0 {
		v.add(ErrInvalid, "", "ranges: want at least one range")
	}
	d.Changes = slices.Clone(d.Changes)
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	v.validateChanges(&d)
	for _, r := range d.Ranges {
		d.NextShard = max(d.NextShard, r.Shard+1)
	}
	if err := v.err(); err != nil {
		return nil, err
	}
	return build(d, nil), nil
}

func byKey(a, b Range) int { return cmp.Compare(a.From, b.From) }

// validateRanges checks that sorted ranges have no gap or overlap between them, and that each has a
// unique shard id and valid holders. prefix precedes the texts of the faults.
func (v *validator) validateRanges(prefix string, rs []Range) {
	seen := make(map[int]bool, len(rs))
	for i, r := range rs {
		at := r.Span.String()
		switch {
		case r.Empty():
			v.add(ErrInvalid, at, "%sempty range", prefix)
		case i > 0 && rs[i-1].To < r.From:
			v.add(ErrInvalid, at, "%sgap before the range, from %d", prefix, rs[i-1].To)
		case i > 0 && rs[i-1].To > r.From:
			v.add(ErrInvalid, at, "%soverlaps %s", prefix, rs[i-1].Span)
		}
		if r.Shard < 0 || seen[r.Shard] {
			v.add(ErrInvalid, at, "%sshard %d is negative or a duplicate", prefix, r.Shard)
		}
		seen[r.Shard] = true
		v.validateHolders(prefix, r)
	}
}

// validateHolders checks that a range has holders, without duplicates and all in the list of servers.
func (v *validator) validateHolders(prefix string, r Range) {
	if len(r.Holders) == 0 {
		v.add(ErrInvalid, r.Span.String(), "%sno holder", prefix)
	}
	for i, h := range r.Holders {
		switch {
		case slices.Contains(r.Holders[:i], h):
			v.add(ErrInvalid, r.Span.String(), "%sduplicate holder %q", prefix, h)
		case v.isListed != nil && !v.isListed(h):
			v.add(ErrInvalid, r.Span.String(), "%sholder %q is not in the list of servers", prefix, h)
		}
	}
}

// validateChanges checks the changes in progress of a full document. It sorts their sides and
// raises d.NextShard above their shard ids.
func (v *validator) validateChanges(d *Doc) {
	inForce := map[int]Range{}
	for _, r := range d.Ranges {
		inForce[r.Shard] = r
	}
	busy := map[int]string{} // by shard in force, the id of its change before the cut over
	for i := range d.Changes {
		c := &d.Changes[i]
		c.From, c.To = slices.Clone(c.From), slices.Clone(c.To)
		slices.SortStableFunc(c.From, byKey)
		slices.SortStableFunc(c.To, byKey)
		prefix := fmt.Sprintf("change %q: ", c.ID)
		if i > 0 && d.Changes[i-1].ID == c.ID || c.ID == "" {
			v.add(ErrInvalid, "", "%sempty or duplicate id", prefix)
		}
		v.validateSides(prefix, *c)
		v.validateState(prefix, c, inForce, busy)
		for _, r := range append(slices.Clone(c.From), c.To...) {
			d.NextShard = max(d.NextShard, r.Shard+1)
		}
	}
}

// validateState checks that the old side of a change is consistent with the ranges in force, as the
// state of the change requires. A shard may be in at most one change before the cut over; busy
// records these shards.
func (v *validator) validateState(prefix string, c *Change, inForce map[int]Range, busy map[int]string) {
	switch c.State {
	case Announced, Copying, Ready:
		for _, r := range c.From {
			if now, ok := inForce[r.Shard]; !ok || now.Span != r.Span {
				v.add(ErrInvalid, r.Span.String(), "%sshard %d is not in force with this span", prefix, r.Shard)
			}
			if other := busy[r.Shard]; other != "" {
				v.add(ErrInvalid, r.Span.String(), "%srange is already part of change %q", prefix, other)
			}
			busy[r.Shard] = c.ID
		}
	case CutOver:
		for _, r := range c.From {
			if _, ok := inForce[r.Shard]; ok && c.Kind != Move {
				v.add(ErrInvalid, r.Span.String(), "%sshard %d of the old side is still in force after the cut over", prefix, r.Shard)
			}
		}
	default:
		v.add(ErrInvalid, "", "%sunknown state %q", prefix, c.State)
	}
}

// validateSides checks that the two sides of a change match its kind and cover the same span.
func (v *validator) validateSides(prefix string, c Change) {
	if len(c.From) == 0 || len(c.To) == 0 {
		v.add(ErrInvalid, "", "%swant at least one range on the old and on the new side", prefix)
		return
	}
	v.validateRanges(prefix, c.From)
	v.validateRanges(prefix, c.To)
	a := Span{c.From[0].From, c.From[len(c.From)-1].To}
	b := Span{c.To[0].From, c.To[len(c.To)-1].To}
	if a != b {
		v.add(ErrInvalid, a.String(), "%sold side covers this span, but new side covers %s", prefix, b)
	}
	n, m := len(c.From), len(c.To)
	switch {
	case c.Kind == Split && n == 1 && m > 1, c.Kind == Merge && n > 1 && m == 1:
		for _, r := range c.To {
			if slices.ContainsFunc(c.From, func(o Range) bool { return o.Shard == r.Shard }) {
				v.add(ErrInvalid, r.Span.String(), "%sshard id %d must not be reused", prefix, r.Shard)
			}
		}
	case c.Kind == Move && n == 1 && m == 1:
		if c.From[0].Shard != c.To[0].Shard || slices.Equal(c.From[0].Holders, c.To[0].Holders) {
			v.add(ErrInvalid, a.String(), "%sa move must keep the shard id and change the holders", prefix)
		}
	default:
		v.add(ErrInvalid, a.String(), "%sinvalid change of kind %q from %d ranges to %d", prefix, c.Kind, n, m)
	}
}
