package core

import (
	"errors"
	"fmt"
	"math"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// ErrMalformed marks a Query that no module could decide on.
var ErrMalformed = errors.New("malformed query")

// ErrDuplicateLabel marks a Query with Unique set whose label an open query has.
var ErrDuplicateLabel = errors.New("an open query has this id")

const (
	weightTolerance = 0.01           // by which the sum of rounded weights may miss 1
	maxPartWork     = 86_400_000_000 // microseconds: a day
)

// Query is a query as a client's protocol hands it in. Its weights add up to 1.
type Query struct {
	Label              string // the query's name at the servers
	Unique             bool   // no other open query may have the label
	Class, Tenant, Key string
	Deadline           int64
	Parts              []QueryPart
	Text               []byte        // the request, the same for every part
	Plan               any           // by which the dialect's session reads answers; the core only passes it on
	RequestedSpans     []layout.Span // where parts have spans: the keys that are asked for; empty: all
	IntentLog          IntentLog     // keeps the intents to send parts of an at-most-once query; nil: none are kept
}

// QueryPart is one part of a Query.
type QueryPart struct {
	Shard  int
	Weight float64 // of the query's answer, 0 to 1
	Work   int64   // predicted, microseconds
	Key    string
	Span   layout.Span // of the shard, under a layout; else empty
}

// openQuery is a query from Open until it has ended and no attempt of it runs.
type openQuery struct {
	id            sq.ID
	spec          Query
	class         *sq.Class // the class as it was when the query came
	group         int64
	parts         []*part
	ended         bool  // its Final is given or its client has left
	attemptTime   int64 // of its attempts that have ended and may have run
	endedAttempts int   // that were sent
}

// part is one part of an openQuery. It stays in Core.parts until its query has ended and none of its attempts runs.
type part struct {
	id             sq.ID
	query          *openQuery
	spec           QueryPart
	attemptCount   int
	running        []*attempt
	mayRun         bool // an attempt that has ended may have run
	hasIntent      bool // the intent to send it is durable
	received       bool
	value          []byte // the answer, once it is received
	decoded        any    // the same, as the session has read it
	size           int64  // that it adds to Core.valueBytes
	previous, next *part  // in the list of the same shard's parts, under a layout
}

// Open takes a query. Its Final comes as an effect of a later Step. Two cases end here, and the module never sees the query: an error, where the query is malformed
// or its label is not unique, and a returned Final, where Config.MaxOpen is reached.
func (c *Core) Open(now int64, spec Query) (sq.ID, *Final, error) {
	spec.Parts = c.planParts(spec)
	if err := c.validate(now, spec); err != nil {
		return 0, nil, err
	}
	if c.config.MaxOpen > 0 && c.open+c.peer.Open >= c.config.MaxOpen {
		return 0, &Final{Outcome: Refused, RetryAfter: c.RetryAdvice(0), Shards: len(spec.Parts)}, nil
	}
	q := &openQuery{id: sq.ID(c.nextID()), spec: spec, class: c.classes[spec.Class], group: c.nextID()}
	var work int64
	for _, p := range spec.Parts {
		work += p.Work
	}
	c.events = append(c.events, sq.Query{
		ID: q.id, Group: q.group, Class: spec.Class, Tenant: spec.Tenant,
		Deadline: spec.Deadline, Work: work, Key: spec.Key,
	})
	for _, partSpec := range spec.Parts {
		p := c.addPart(q, partSpec)
		q.parts = append(q.parts, p)
		c.events = append(c.events, p.event())
	}
	c.queries[q.id] = q
	c.deadlines.add(spec.Deadline+c.config.AnswerGrace, int64(q.id), q, len(c.queries))
	if spec.Unique {
		c.labels[spec.Label] = spec.Deadline
	}
	c.open += 1 + len(q.parts)
	if b := c.budgets[spec.Tenant]; b != nil {
		b.addParts(now, len(q.parts))
	}
	return q.id, nil, nil
}

// validate returns what is wrong with a query, as an error that wraps ErrMalformed or ErrDuplicateLabel.
func (c *Core) validate(now int64, spec Query) error {
	if c.classes[spec.Class] == nil {
		return fmt.Errorf("%w: unknown class %q", ErrMalformed, spec.Class)
	}
	if len(spec.Parts) == 0 {
		return fmt.Errorf("%w: it has no parts", ErrMalformed)
	}
	if err := c.validateParts(spec.Parts); err != nil {
		return err
	}
	// What servers answer for one of two open queries with the same label would otherwise count for the other.
	if _, taken := c.labels[spec.Label]; spec.Unique && (taken || c.peer.Labels[spec.Label] > now) {
		return fmt.Errorf("%w: %q", ErrDuplicateLabel, spec.Label)
	}
	return nil
}

func (c *Core) validateParts(parts []QueryPart) error {
	type position struct {
		shard int
		from  int64
	}
	seen, sum := make(map[position]bool, len(parts)), 0.0
	for _, p := range parts {
		at := position{p.Shard, p.Span.From}
		switch {
		case c.routes == nil && (p.Shard < 0 || p.Shard >= c.config.Shards):
			return fmt.Errorf("%w: there is no shard %d", ErrMalformed, p.Shard)
		case seen[at]:
			return fmt.Errorf("%w: shard %d is named twice", ErrMalformed, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1): // also refuses NaN
			return fmt.Errorf("%w: shard %d has a weight out of range", ErrMalformed, p.Shard)
		case p.Work < 0 || p.Work > maxPartWork:
			return fmt.Errorf("%w: shard %d has work out of range", ErrMalformed, p.Shard)
		}
		seen[at] = true
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("%w: its weights add up to %g", ErrMalformed, sum)
	}
	return nil
}

// ClientLeft reports that the client no longer waits for a query. The query ends without a Final. Nothing happens if it has ended before.
func (c *Core) ClientLeft(id sq.ID) {
	if q := c.queries[id]; q != nil {
		c.close(q)
		c.events = append(c.events, sq.ClientLeft{Query: id})
	}
}

// addPart makes a part of a query and puts it at the head of its shard's list.
func (c *Core) addPart(q *openQuery, spec QueryPart) *part {
	p := &part{id: sq.ID(c.nextID()), query: q, spec: spec}
	c.parts[p.id] = p
	if c.routes != nil {
		if p.next = c.byShard[spec.Shard]; p.next != nil {
			p.next.previous = p
		}
		c.byShard[spec.Shard] = p
	}
	return p
}

// removePart forgets a part that has no running attempt.
func (c *Core) removePart(p *part) {
	if c.parts[p.id] != p {
		return
	}
	delete(c.parts, p.id)
	if p.next != nil {
		p.next.previous = p.previous
	}
	switch {
	case p.previous != nil:
		p.previous.next = p.next
	case c.byShard[p.spec.Shard] != p: // it came before there was a layout
	case p.next != nil:
		c.byShard[p.spec.Shard] = p.next
	default:
		delete(c.byShard, p.spec.Shard)
	}
	p.previous, p.next = nil, nil
}

// event returns the part as the module sees it.
func (p *part) event() sq.Part {
	return sq.Part{ID: p.id, Group: p.query.group, Shard: p.spec.Shard, Weight: p.spec.Weight, Work: p.spec.Work, Key: p.spec.Key}
}

// hasSentAttempt reports whether an attempt that was sent still runs. One that waits for its intent was not sent.
func (p *part) hasSentAttempt() bool {
	return slices.ContainsFunc(p.running, func(a *attempt) bool { return a.pending == nil })
}
