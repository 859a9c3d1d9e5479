package core

import (
	"cmp"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Layout puts a layout in force. Parts whose shard is no longer in force are planned anew, each by itself: at once where
// nothing of them is out, else when that has ended. The cost is that of the open parts of the shards that changed.
func (c *Core) LayoutChanged(now int64, u layout.Update) {
	c.routes = u.Layout
	c.events = append(c.events, sq.HoldersChanged{Holders: u.Layout})
	var touched []*part
	if len(u.Changed) <= len(c.byShard) {
		for _, shard := range u.Changed {
			touched = c.byShard[shard].gather(touched)
		}
	} else {
		for _, p := range c.byShard {
			touched = p.gather(touched)
		}
	}
	slices.SortFunc(touched, func(a, b *part) int { return cmp.Compare(a.id, b.id) })
	for _, p := range touched {
		c.renew(now, p)
	}
}

// gather appends a part and those that hang on it.
func (p *part) gather(dst []*part) []*part {
	for ; p != nil; p = p.after {
		dst = append(dst, p)
	}
	return dst
}

// epoch is that of the layout in force; 0: there is none.
func (c *Core) epoch() int64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.Epoch()
}

// hand makes a part of a query.
func (c *Core) hand(q *openQuery, ap QueryPart) *part {
	p := &part{id: sq.ID(c.nextID()), q: q, ask: ap}
	c.parts[p.id] = p
	if c.routes != nil {
		if p.after = c.byShard[ap.Shard]; p.after != nil {
			p.after.before = p
		}
		c.byShard[ap.Shard] = p
	}
	return p
}

func (p *part) event() sq.Part {
	return sq.Part{ID: p.id, Group: p.q.group, Shard: p.ask.Shard, Weight: p.ask.Weight, Work: p.ask.Work, Key: p.ask.Key}
}

// forget drops a part of which nothing is out.
func (c *Core) forget(p *part) {
	if c.parts[p.id] != p {
		return
	}
	delete(c.parts, p.id)
	if p.after != nil {
		p.after.before = p.before
	}
	switch {
	case p.before != nil:
		p.before.after = p.after
	case c.byShard[p.ask.Shard] != p: // it came before there was a layout
	case p.after != nil:
		c.byShard[p.ask.Shard] = p.after
	default:
		delete(c.byShard, p.ask.Shard)
	}
	p.before, p.after = nil, nil
}

// placed tells that a part's span lies within its shard, in force.
func (c *Core) placed(p QueryPart) bool {
	span, ok := c.routes.InForce(p.Shard)
	return ok && p.Span.From >= span.From && p.Span.To <= span.To
}

// pieces is what a part comes to under the layout in force: exactly its span, less what its query does not ask for.
func (c *Core) pieces(p QueryPart, want []layout.Span) []QueryPart {
	cover := c.routes.Cover(nil, p.Span)
	if len(want) > 0 {
		cover = slices.DeleteFunc(cover, func(x layout.Piece) bool {
			return !slices.ContainsFunc(want, func(w layout.Span) bool { return !w.Meet(x.Span).Empty() })
		})
	}
	out := make([]QueryPart, 0, len(cover))
	for _, x := range cover {
		n := p
		n.Shard, n.Span = x.Shard, x.Span
		n.Weight, n.Work = p.Weight/float64(len(cover)), p.Work/int64(len(cover))
		out = append(out, n)
	}
	return out
}

// settle plans those parts of a new query anew that were planned under a layout which is no longer in force.
func (c *Core) settle(a Query) []QueryPart {
	if c.routes == nil || !slices.ContainsFunc(a.Parts, func(p QueryPart) bool { return !c.placed(p) }) {
		return a.Parts
	}
	var out []QueryPart
	for _, p := range a.Parts {
		if c.placed(p) {
			out = append(out, p)
		} else {
			out = append(out, c.pieces(p, a.RequestedSpans)...)
		}
	}
	return out
}

// renew plans a part anew where its shard is no longer in force. Guards three rules: what is in stays in; what may have run
// is never sent elsewhere for a class that must not run twice; and what is planned lies in force, so that only a later epoch,
// and no server's word, can have it planned anew.
func (c *Core) renew(now int64, p *part) {
	if c.routes == nil || p.in || p.q.over || c.parts[p.id] != p || c.placed(p.ask) {
		return
	}
	once := p.q.class.Effect == sq.AtMostOnce
	if len(p.out) > 0 {
		if once || c.routes.Of(p.ask.Shard) != nil {
			return // the old side may still answer, or nothing else may
		}
		for len(p.out) > 0 { // each end leads back here
			c.withdraw(now, p.out[0])
		}
		return
	}
	if once && p.mayRun {
		return
	}
	var into []*part
	var parts []sq.Part
	for _, ap := range c.pieces(p.ask, p.q.ask.RequestedSpans) {
		n := c.hand(p.q, ap)
		into, parts = append(into, n), append(parts, n.event())
	}
	at := slices.Index(p.q.parts, p)
	p.q.parts = slices.Replace(p.q.parts, at, at+1, into...)
	c.open += len(into) - 1
	c.forget(p)
	c.events = append(c.events, sq.Replanned{Part: p.id, Into: parts})
	c.replanned++
}

// withdraw gives an attempt up.
func (c *Core) withdraw(now int64, a *attempt) {
	c.giveUp(now, a, sq.Cancelled)
}

// credit judges an outcome by the layout in force: what a server gives for a span that it holds no longer is a failed attempt
// that may have run, and a server with a newer layout has this one asked for.
func (c *Core) credit(a *attempt, o sq.Outcome) sq.Outcome {
	if o == sq.Misplaced {
		c.misplaced++
	}
	switch {
	case c.routes == nil:
	case o == sq.Misplaced && a.epoch >= c.routes.Epoch():
		c.behind = true
	case o == sq.Served && !c.routes.Answers(a.server, a.p.ask.Shard, a.p.ask.Span):
		c.do(LogLine{Text: "an answer of " + string(a.server) + " for range " + a.p.ask.Span.String() + ", which it holds no longer"})
		return sq.Errored
	}
	return o
}

// Replanned is how many parts were planned anew, and how many attempts found their range gone, since the start.
func (c *Core) ReplanCounts() (parts, misplaced int64) { return c.replanned, c.misplaced }
