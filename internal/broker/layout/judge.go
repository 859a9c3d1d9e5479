package layout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	sq "saffronquay"
)

// What is wrong with a layout or a step; each error that Make, Step and Keeper return wraps one.
var (
	ErrInvalid = errors.New("invalid layout")
	ErrEpoch   = errors.New("epoch out of order")
	ErrHistory = errors.New("another history")
	ErrState   = errors.New("not possible in this state")
)

// Fault names what is wrong, and where.
type Fault struct {
	Kind  error
	Epoch int64
	Range string // span of the range at fault; empty where it is none's
	Text  string
}

func (f *Fault) Error() string {
	if f.Range == "" {
		return fmt.Sprintf("epoch %d: %s", f.Epoch, f.Text)
	}
	return fmt.Sprintf("epoch %d: range %s: %s", f.Epoch, f.Range, f.Text)
}

func (f *Fault) Unwrap() error { return f.Kind }

// judge collects faults of one document or step.
type judge struct {
	epoch  int64
	known  func(sq.ServerID) bool
	faults []error
}

func (j *judge) fault(kind error, span string, format string, args ...any) {
	j.faults = append(j.faults, &Fault{kind, j.epoch, span, fmt.Sprintf(format, args...)})
}

func (j *judge) err() error { return errors.Join(j.faults...) }

// Make judges a document and makes a layout of it, or names all that is wrong. known tells which servers are in the list;
// nil: all are.
func Make(d Doc, known func(sq.ServerID) bool) (*Layout, error) {
	j := &judge{epoch: d.Epoch, known: known}
	if d.History == "" {
		j.fault(ErrInvalid, "", "history: missing")
	}
	if d.Epoch < 1 {
		j.fault(ErrInvalid, "", "epoch: want 1 or more")
	}
	d.Ranges = slices.Clone(d.Ranges)
	slices.SortStableFunc(d.Ranges, byKey)
	j.side("", d.Ranges)
	if len(d.Ranges) == 0 {
		j.fault(ErrInvalid, "", "ranges: want at least one")
	}
	d.Changes = slices.Clone(d.Changes)
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	j.changes(&d)
	for _, r := range d.Ranges {
		d.NextShard = max(d.NextShard, r.Shard+1)
	}
	if err := j.err(); err != nil {
		return nil, err
	}
	return build(d, nil), nil
}

func byKey(a, b Range) int { return cmp.Compare(a.From, b.From) }

// side judges ranges that are to follow one another without a gap, and that every one has holders in the list.
func (j *judge) side(of string, rs []Range) {
	seen := make(map[int]bool, len(rs))
	for i, r := range rs {
		at := r.Span.String()
		switch {
		case r.Empty():
			j.fault(ErrInvalid, at, "%snothing lies in it", of)
		case i > 0 && rs[i-1].To < r.From:
			j.fault(ErrInvalid, at, "%sgap before it, from %d", of, rs[i-1].To)
		case i > 0 && rs[i-1].To > r.From:
			j.fault(ErrInvalid, at, "%soverlaps %s", of, rs[i-1].Span)
		}
		if r.Shard < 0 || seen[r.Shard] {
			j.fault(ErrInvalid, at, "%sshard %d is below nought or named twice", of, r.Shard)
		}
		seen[r.Shard] = true
		j.holders(of, r)
	}
}

func (j *judge) holders(of string, r Range) {
	if len(r.Holders) == 0 {
		j.fault(ErrInvalid, r.Span.String(), "%sleft with no holder", of)
	}
	for i, h := range r.Holders {
		switch {
		case slices.Contains(r.Holders[:i], h):
			j.fault(ErrInvalid, r.Span.String(), "%sholder %q is named twice", of, h)
		case j.known != nil && !j.known(h):
			j.fault(ErrInvalid, r.Span.String(), "%sholder %q is not in the list of servers", of, h)
		}
	}
}

// changes judges the changes that a whole document names as under way.
func (j *judge) changes(d *Doc) {
	in := map[int]Range{}
	for _, r := range d.Ranges {
		in[r.Shard] = r
	}
	busy := map[int]string{} // shards in force with a change before its cut over
	for i := range d.Changes {
		c := &d.Changes[i]
		c.From, c.To = slices.Clone(c.From), slices.Clone(c.To)
		slices.SortStableFunc(c.From, byKey)
		slices.SortStableFunc(c.To, byKey)
		of := fmt.Sprintf("change %q: ", c.ID)
		if i > 0 && d.Changes[i-1].ID == c.ID || c.ID == "" {
			j.fault(ErrInvalid, "", "%snamed twice, or without a name", of)
		}
		j.shape(of, *c)
		switch c.State {
		case Announced, Copying, Ready:
			for _, r := range c.From {
				if now, ok := in[r.Shard]; !ok || now.Span != r.Span {
					j.fault(ErrInvalid, r.Span.String(), "%sshard %d is not in force there", of, r.Shard)
				}
				if other := busy[r.Shard]; other != "" {
					j.fault(ErrInvalid, r.Span.String(), "%schange %q is under way there", of, other)
				}
				busy[r.Shard] = c.ID
			}
		case CutOver:
			for _, r := range c.From {
				if _, ok := in[r.Shard]; ok && c.Kind != Move {
					j.fault(ErrInvalid, r.Span.String(), "%sshard %d is cut over and yet in force", of, r.Shard)
				}
			}
		default:
			j.fault(ErrInvalid, "", "%sunknown state %q", of, c.State)
		}
		for _, r := range append(slices.Clone(c.From), c.To...) {
			d.NextShard = max(d.NextShard, r.Shard+1)
		}
	}
}

// shape judges that a change's sides fit its kind and each other.
func (j *judge) shape(of string, c Change) {
	if len(c.From) == 0 || len(c.To) == 0 {
		j.fault(ErrInvalid, "", "%swants an old and a new side", of)
		return
	}
	j.side(of, c.From)
	j.side(of, c.To)
	a := Span{c.From[0].From, c.From[len(c.From)-1].To}
	b := Span{c.To[0].From, c.To[len(c.To)-1].To}
	if a != b {
		j.fault(ErrInvalid, a.String(), "%sits new side covers %s", of, b)
	}
	n, m := len(c.From), len(c.To)
	switch {
	case c.Kind == Split && n == 1 && m > 1, c.Kind == Merge && n > 1 && m == 1:
		for _, r := range c.To {
			if slices.ContainsFunc(c.From, func(o Range) bool { return o.Shard == r.Shard }) {
				j.fault(ErrInvalid, r.Span.String(), "%sshard %d is handed out again", of, r.Shard)
			}
		}
	case c.Kind == Move && n == 1 && m == 1:
		if c.From[0].Shard != c.To[0].Shard || slices.Equal(c.From[0].Holders, c.To[0].Holders) {
			j.fault(ErrInvalid, a.String(), "%sa move keeps the shard and changes its holders", of)
		}
	default:
		j.fault(ErrInvalid, a.String(), "%skind %q does not go from %d ranges to %d", of, c.Kind, n, m)
	}
}
