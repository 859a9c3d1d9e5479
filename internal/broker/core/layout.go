package core

import (
	"cmp"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// LayoutChanged puts a layout in force. Each part whose shard is no longer in force is replanned:
// immediately if no attempt of the part is in flight, else when the last one has ended. The cost is
// proportional to the number of open parts of the changed shards.
func (c *Core) LayoutChanged(now int64, u layout.Update) {
	c.routes = u.Layout
	c.events = append(c.events, sq.HoldersChanged{Holders: u.Layout})
	for _, p := range c.partsOf(u.Changed) {
		c.replanIfMoved(now, p)
	}
}

// partsOf returns the open parts of the given shards, ordered by ID. If more shards are given than
// have open parts, it returns all open parts: replanIfMoved ignores the others.
func (c *Core) partsOf(shards []int) []*part {
	var parts []*part
	if len(shards) <= len(c.byShard) {
		for _, shard := range shards {
			parts = c.byShard[shard].appendChain(parts)
		}
	} else {
		for _, p := range c.byShard {
			parts = p.appendChain(parts)
		}
	}
	slices.SortFunc(parts, func(a, b *part) int { return cmp.Compare(a.id, b.id) })
	return parts
}

// appendChain appends a part and its successors in its shard's list. The part may be nil.
func (p *part) appendChain(dst []*part) []*part {
	for ; p != nil; p = p.next {
		dst = append(dst, p)
	}
	return dst
}

// epoch returns the epoch of the layout in force; 0: no layout.
func (c *Core) epoch() int64 {
	if c.routes == nil {
		return 0
	}
	return c.routes.Epoch()
}

// isInForce reports whether a part's shard is in force and contains its span.
func (c *Core) isInForce(p QueryPart) bool {
	span, ok := c.routes.InForce(p.Shard)
	return ok && p.Span.From >= span.From && p.Span.To <= span.To
}

// splitPart returns the parts that cover a part's span under the layout in force, without those
// outside the requested spans.
func (c *Core) splitPart(p QueryPart, requested []layout.Span) []QueryPart {
	cover := c.routes.Cover(nil, p.Span)
	if len(requested) > 0 {
		cover = slices.DeleteFunc(cover, func(piece layout.Part) bool {
			return !slices.ContainsFunc(requested, func(r layout.Span) bool { return !r.Intersect(piece.Span).Empty() })
		})
	}
	parts := make([]QueryPart, 0, len(cover))
	for _, piece := range cover {
		split := p
		split.Shard, split.Span = piece.Shard, piece.Span
		split.Weight, split.Work = p.Weight/float64(len(cover)), p.Work/int64(len(cover))
		parts = append(parts, split)
	}
	return parts
}

// planParts returns the parts of a new query. Parts that were planned under a layout that is no
// longer in force are replanned.
func (c *Core) planParts(q Query) []QueryPart {
	if c.routes == nil || !slices.ContainsFunc(q.Parts, func(p QueryPart) bool { return !c.isInForce(p) }) {
		return q.Parts
	}
	var parts []QueryPart
	for _, p := range q.Parts {
		if c.isInForce(p) {
			parts = append(parts, p)
		} else {
			parts = append(parts, c.splitPart(p, q.RequestedSpans)...)
		}
	}
	return parts
}

// replanIfMoved replans a part whose shard is no longer in force. It maintains three invariants:
//
//   - A received part is not replanned.
//   - An at-most-once part that may have run is not sent elsewhere.
//   - The new parts are in force, so they are replanned only for a later epoch, never because of a
//     server's reply.
func (c *Core) replanIfMoved(now int64, p *part) {
	if c.routes == nil || p.received || p.query.ended || c.parts[p.id] != p || c.isInForce(p.spec) {
		return
	}
	atMostOnce := p.query.class.Effect == sq.AtMostOnce
	if len(p.running) > 0 {
		if atMostOnce || c.routes.Holders(p.spec.Shard) != nil {
			return // the old holders may still answer; an at-most-once part must not be sent elsewhere
		}
		for len(p.running) > 0 { // the end of the last attempt calls replanIfMoved again
			c.abandonAttempt(now, p.running[0], sq.Cancelled)
		}
		return
	}
	if atMostOnce && p.mayHaveRun {
		return
	}
	c.replan(p)
}

// replan replaces a part by the parts that cover its span under the layout in force.
func (c *Core) replan(p *part) {
	var into []*part
	var events []sq.Part
	for _, spec := range c.splitPart(p.spec, p.query.spec.RequestedSpans) {
		added := c.addPart(p.query, spec)
		into, events = append(into, added), append(events, added.event())
	}
	at := slices.Index(p.query.parts, p)
	p.query.parts = slices.Replace(p.query.parts, at, at+1, into...)
	c.open += len(into) - 1
	c.removePart(p)
	c.events = append(c.events, sq.Replanned{Part: p.id, Into: events})
	c.replanned++
}

// judgeOutcome returns the outcome of an attempt under the layout in force. An answer for a span
// that the server no longer holds counts as a failure that may have run. If a server has a newer
// layout, the core requests it.
func (c *Core) judgeOutcome(a *attempt, o sq.Outcome) sq.Outcome {
	if o == sq.Misplaced {
		c.misplaced++
	}
	switch {
	case c.routes == nil:
	case o == sq.Misplaced && a.epoch >= c.routes.Epoch():
		c.isLayoutStale = true
	case o == sq.Served && !c.routes.IsValidAnswer(a.server, a.part.spec.Shard, a.part.spec.Span):
		c.emit(LogLine{Text: "answer of server " + string(a.server) + " for range " + a.part.spec.Span.String() + " ignored: the server no longer holds the range"})
		return sq.Errored
	}
	return o
}

// ReplanCounts returns the number of replanned parts and of misplaced attempts, which reached a
// server that does not hold their range, since the start.
func (c *Core) ReplanCounts() (parts, misplaced int64) { return c.replanned, c.misplaced }
