package core

import (
	"errors"
	"fmt"
	"math"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// ErrMalformed is wrapped by the error for a Query that is invalid under the configuration in
// force. Its text is part of replies to clients, so it has no package prefix.
var ErrMalformed = errors.New("malformed query")

// ErrDuplicateLabel is wrapped by the error for a Query with Unique set whose label belongs to an
// open query. Its text is part of replies to clients, so it has no package prefix.
var ErrDuplicateLabel = errors.New("an open query has this id")

const (
	weightTolerance = 0.01           // permitted rounding error of the sum of weights
	maxPartWork     = 86_400_000_000 // one day, in microseconds
)

// Query is a query as submitted by a client's protocol. The weights of its parts add up to 1.
type Query struct {
	Label              string // name of the query at the servers
	Unique             bool   // no other open query may have the same label
	Class, Tenant, Key string
	Deadline           int64
	Parts              []QueryPart
	Text               []byte        // the request, identical for every part
	Plan               any           // for decoding answers in the dialect's session; opaque to the core
	RequestedSpans     []layout.Span // with a layout: the requested keys; empty: all
	IntentLog          IntentLog     // log of the intents of an at-most-once query; nil: intents are not recorded
}

// QueryPart is one part of a Query.
type QueryPart struct {
	Shard  int
	Weight float64 // fraction of the query's answer, 0 to 1
	Work   int64   // predicted work, in microseconds
	Key    string
	Span   layout.Span // requested keys of the shard, with a layout; else empty
}

// openQuery is a query from Open until it has ended and none of its attempts is in flight.
type openQuery struct {
	id            sq.ID
	spec          Query
	class         *sq.Class // the class definition when the query arrived
	group         int64
	parts         []*part
	ended         bool  // its Final has been emitted or its client has left
	attemptTime   int64 // total duration of its ended attempts that may have run
	endedAttempts int   // number of sent attempts that have ended
}

// part is one part of an openQuery. It stays in Core.parts until its query has ended and none of
// its attempts is in flight.
type part struct {
	id             sq.ID
	query          *openQuery
	spec           QueryPart
	attemptCount   int
	running        []*attempt
	mayHaveRun     bool // an ended attempt may have run
	hasIntent      bool // the intent to send it is durable
	received       bool
	value          []byte // the answer, once received
	decoded        any    // the answer as decoded by the session
	size           int64  // contribution to Core.valueBytes
	previous, next *part  // list of the parts of the same shard, with a layout
}

// Open accepts a query. Its Final is an effect of a later Step. In two cases the query is not
// accepted and the module does not see it: Open returns an error if the query is malformed or its
// label is not unique, and a Final if Config.MaxOpen is reached.
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

// validate returns an error that wraps ErrMalformed or ErrDuplicateLabel if a query is not
// acceptable.
func (c *Core) validate(now int64, spec Query) error {
	if c.classes[spec.Class] == nil {
		return fmt.Errorf("%w: unknown class %q", ErrMalformed, spec.Class)
	}
	if len(spec.Parts) == 0 {
		return fmt.Errorf("%w: no parts", ErrMalformed)
	}
	if err := c.validateParts(spec.Parts); err != nil {
		return err
	}
	// With equal labels, a server's answer to one open query would be taken for the other's.
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
			return fmt.Errorf("%w: shard %d does not exist", ErrMalformed, p.Shard)
		case seen[at]:
			return fmt.Errorf("%w: shard %d is named twice", ErrMalformed, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1): // also refuses NaN
			return fmt.Errorf("%w: shard %d: weight is not between 0 and 1", ErrMalformed, p.Shard)
		case p.Work < 0 || p.Work > maxPartWork:
			return fmt.Errorf("%w: shard %d: work is negative or exceeds one day", ErrMalformed, p.Shard)
		}
		seen[at] = true
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightTolerance {
		return fmt.Errorf("%w: weights of parts add up to %g, want 1", ErrMalformed, sum)
	}
	return nil
}

// ClientLeft reports that the client no longer waits for a query. The query ends without a Final.
// It has no effect if the query has already ended.
func (c *Core) ClientLeft(id sq.ID) {
	if q := c.queries[id]; q != nil {
		c.close(q)
		c.events = append(c.events, sq.ClientLeft{Query: id})
	}
}

// addPart creates a part of a query and inserts it at the head of its shard's list.
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

// removePart removes a part that has no attempt in flight.
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
	case c.byShard[p.spec.Shard] != p: // the part was added before there was a layout
	case p.next != nil:
		c.byShard[p.spec.Shard] = p.next
	default:
		delete(c.byShard, p.spec.Shard)
	}
	p.previous, p.next = nil, nil
}

// event returns the part as reported to the module.
func (p *part) event() sq.Part {
	return sq.Part{ID: p.id, Group: p.query.group, Shard: p.spec.Shard, Weight: p.spec.Weight, Work: p.spec.Work, Key: p.spec.Key}
}

// hasSentAttempt reports whether a sent attempt is in flight. An attempt that waits for its intent
// has not been sent.
func (p *part) hasSentAttempt() bool {
	return slices.ContainsFunc(p.running, func(a *attempt) bool { return a.pending == nil })
}
