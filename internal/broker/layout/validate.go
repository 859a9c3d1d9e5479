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
	ErrInvalid = errors.New("invalid layout")             // the document or step contradicts itself, or its holders are not listed
	ErrEpoch   = errors.New("epoch out of order")         // older than the layout in force, or a step was missed
	ErrHistory = errors.New("another history")            // it does not continue the history in force
	ErrState   = errors.New("not possible in this state") // the change's state does not allow the action
)

// ValidationError is one fault of a document or step. errors.Is finds its Kind. Functions that find several faults return them
// joined.
type ValidationError struct {
	Kind  error  // ErrInvalid, ErrEpoch, ErrHistory or ErrState
	Epoch int64  // of the document or step
	Range string // span of the faulty range; empty if the fault concerns none
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

// err joins the faults; nil if there are none.
func (v *validator) err() error { return errors.Join(v.faults...) }

// New validates a document and builds its layout, or returns all of its faults joined. isListed reports whether a server may hold
// ranges; nil allows all servers. The document's slices are not changed; the layout keeps references to their holders.
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
		v.add(ErrInvalid, "", "ranges: want at least one")
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

// validateRanges checks that ranges follow one another without gap or overlap, and that each has a shard of its own and listed
// holders. of is the prefix of the faults' texts.
func (v *validator) validateRanges(of string, rs []Range) {
	seen := make(map[int]bool, len(rs))
	for i, r := range rs {
		at := r.Span.String()
		switch {
		case r.Empty():
			v.add(ErrInvalid, at, "%snothing lies in it", of)
		case i > 0 && rs[i-1].To < r.From:
			v.add(ErrInvalid, at, "%sgap before it, from %d", of, rs[i-1].To)
		case i > 0 && rs[i-1].To > r.From:
			v.add(ErrInvalid, at, "%soverlaps %s", of, rs[i-1].Span)
		}
		if r.Shard < 0 || seen[r.Shard] {
			v.add(ErrInvalid, at, "%sshard %d is below nought or named twice", of, r.Shard)
		}
		seen[r.Shard] = true
		v.validateHolders(of, r)
	}
}

// validateHolders checks that a range has holders, each listed and named one time.
func (v *validator) validateHolders(of string, r Range) {
	if len(r.Holders) == 0 {
		v.add(ErrInvalid, r.Span.String(), "%sleft with no holder", of)
	}
	for i, h := range r.Holders {
		switch {
		case slices.Contains(r.Holders[:i], h):
			v.add(ErrInvalid, r.Span.String(), "%sholder %q is named twice", of, h)
		case v.isListed != nil && !v.isListed(h):
			v.add(ErrInvalid, r.Span.String(), "%sholder %q is not in the list of servers", of, h)
		}
	}
}

// validateChanges checks the changes that a full document lists as under way. It sorts their sides and raises d.NextShard above
// their shards.
func (v *validator) validateChanges(d *Doc) {
	inForce := map[int]Range{}
	for _, r := range d.Ranges {
		inForce[r.Shard] = r
	}
	busy := map[int]string{} // by shard in force, the id of its change that is not yet cut over
	for i := range d.Changes {
		c := &d.Changes[i]
		c.From, c.To = slices.Clone(c.From), slices.Clone(c.To)
		slices.SortStableFunc(c.From, byKey)
		slices.SortStableFunc(c.To, byKey)
		of := fmt.Sprintf("change %q: ", c.ID)
		if i > 0 && d.Changes[i-1].ID == c.ID || c.ID == "" {
			v.add(ErrInvalid, "", "%snamed twice, or without a name", of)
		}
		v.validateSides(of, *c)
		v.validateState(of, c, inForce, busy)
		for _, r := range append(slices.Clone(c.From), c.To...) {
			d.NextShard = max(d.NextShard, r.Shard+1)
		}
	}
}

// validateState checks that a change's old side agrees with the ranges in force, as its state requires. It records in busy the
// shards of a change that is not yet cut over: each may have only one.
func (v *validator) validateState(of string, c *Change, inForce map[int]Range, busy map[int]string) {
	switch c.State {
	case Announced, Copying, Ready:
		for _, r := range c.From {
			if now, ok := inForce[r.Shard]; !ok || now.Span != r.Span {
				v.add(ErrInvalid, r.Span.String(), "%sshard %d is not in force there", of, r.Shard)
			}
			if other := busy[r.Shard]; other != "" {
				v.add(ErrInvalid, r.Span.String(), "%schange %q is under way there", of, other)
			}
			busy[r.Shard] = c.ID
		}
	case CutOver:
		for _, r := range c.From {
			if _, ok := inForce[r.Shard]; ok && c.Kind != Move {
				v.add(ErrInvalid, r.Span.String(), "%sshard %d is cut over and yet in force", of, r.Shard)
			}
		}
	default:
		v.add(ErrInvalid, "", "%sunknown state %q", of, c.State)
	}
}

// validateSides checks that a change's sides fit its kind and cover the same span.
func (v *validator) validateSides(of string, c Change) {
	if len(c.From) == 0 || len(c.To) == 0 {
		v.add(ErrInvalid, "", "%swants an old and a new side", of)
		return
	}
	v.validateRanges(of, c.From)
	v.validateRanges(of, c.To)
	a := Span{c.From[0].From, c.From[len(c.From)-1].To}
	b := Span{c.To[0].From, c.To[len(c.To)-1].To}
	if a != b {
		v.add(ErrInvalid, a.String(), "%sits new side covers %s", of, b)
	}
	n, m := len(c.From), len(c.To)
	switch {
	case c.Kind == Split && n == 1 && m > 1, c.Kind == Merge && n > 1 && m == 1:
		for _, r := range c.To {
			if slices.ContainsFunc(c.From, func(o Range) bool { return o.Shard == r.Shard }) {
				v.add(ErrInvalid, r.Span.String(), "%sshard %d is handed out again", of, r.Shard)
			}
		}
	case c.Kind == Move && n == 1 && m == 1:
		if c.From[0].Shard != c.To[0].Shard || slices.Equal(c.From[0].Holders, c.To[0].Holders) {
			v.add(ErrInvalid, a.String(), "%sa move keeps the shard and changes its holders", of)
		}
	default:
		v.add(ErrInvalid, a.String(), "%skind %q does not go from %d ranges to %d", of, c.Kind, n, m)
	}
}
