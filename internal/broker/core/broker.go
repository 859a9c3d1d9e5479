// Package core is the core of the gatherer: it stands between the fronts, the servers and the decision
// module, and knows no wire. It does no input or output and reads no clock: whoever owns a Core tells it what
// was seen and when, and carries out what comes back. A Core is not safe for concurrent use.
package core

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge"
	"slices"

	sq "saffronquay"
)

// Module is the decision module, as the core drives it.
type Module interface {
	Step(now int64, events []sq.Event) []sq.Action
	// Rotation counts the servers in the list, and those of them that are avoided now.
	Rotation() (listed, out int)
	// Learned is what a process in this one's place should know.
	Learned() sq.Learned
}

// Terms are what the core itself holds to. Times are microseconds, as everywhere.
type Config struct {
	Period        int64 // the least time between two steps of the module
	Shards        int
	MaxOpen       int   // queries and parts held at a time; 0: no bound
	MaxHeld       int64 // bytes of parts held for open queries; 0: no bound
	PartsPerCall  int
	RetryAfter    bool // refusals may tell when to come back
	MaxRetryAfter int64
	AnswerGrace   int64 // how long past its deadline a query may wait for the module's word
	Classes       []sq.Class
	Tenants       map[string]Budget // by tenant; those that are absent are not rationed
}

// Ask is a query as a front hands it in.
type Query struct {
	Label              string // what servers are told as the query's name
	Unique             bool   // no other open query may bear the label
	Class, Tenant, Key string
	Deadline           int64
	Parts              []QueryPart
	Text               []byte        // what every part carries
	Plan               any           // what the dialect's session reads answers by; the core only hands it on
	RequestedSpans     []layout.Span // where parts have spans: what is asked for of them; empty: all
	IntentLog          IntentLog     // of a query that must not run twice, where its parts' intents are kept; nil: they are not
}

// Ledger keeps what of one query is about to leave. Its methods may be called from any goroutine.
type IntentLog interface {
	// Intend makes it durable that parts are about to leave, and says by done, from another goroutine, when that is so or why it is
	// not known to be. An error says at once that it is not; done is not called then.
	Record(parts []Intent, deadline int64, done func(error)) error
	// Keeps tells that the query's end is wanted although its client has left.
	WantsResult() bool
	// Release says that nothing of the query has run, nor will.
	Release()
	// Abandon says that nobody will know its end.
	Abandon()
}

// Intended is a part that is about to leave.
type Intent struct {
	Shard  int
	Span   layout.Span
	Server sq.ServerID
}

// AskPart is one part of an Ask.
type QueryPart struct {
	Shard  int
	Weight float64
	Work   int64
	Key    string
	Span   layout.Span // of the shard, under a layout; else empty
}

// AttemptID names one attempt between the core and the drivers.
type AttemptID int64

// Effect is something that the owner of a Core has to do, in the order given.
type Effect interface{ isEffect() }

// Call carries parts to a server, as one call.
type Call struct {
	Server   sq.ServerID
	Attempts []Attempt
}

// Attempt is one part of a call.
type Attempt struct {
	ID    AttemptID
	Label string
	Shard int
	Epoch int64       // of the layout by which the server was chosen; 0: there is none
	Span  layout.Span // exactly what is asked for of the shard, under a layout
	Due   int64       // when the gatherer stops waiting
	Text  []byte
	Plan  any
}

// Intend asks for the intents of some parts of one query to be made durable. Intended says how that came out; until then they wait.
type RecordIntents struct {
	Log      IntentLog
	Deadline int64
	Intents  []Intent
	Attempts []AttemptID
}

// Drop gives up an attempt; what still comes back for it is nobody's.
type CancelAttempt struct{ Attempt AttemptID }

// Recall takes an attempt back where none of it has begun to leave; it then ends as not sent. One that has begun is left alone.
type RecallUnsent struct{ Attempt AttemptID }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server sq.ServerID }

// Watch asks for changes of the list of servers.
type Watch struct{}

// Fetch asks for the whole list once.
type Fetch struct{}

// Refresh asks for the whole layout: a server has one that is newer.
type Refresh struct{}

// Note is a line for the log.
type LogLine struct{ Text string }

// Verdict is how a query ended.
type QueryOutcome int

// The verdicts.
const (
	Answered QueryOutcome = iota
	Refused               // repeating the query does no harm
	Failed
)

// Final is the one final answer of a query.
type Final struct {
	Query       sq.ID
	Outcome     QueryOutcome
	Complete    bool
	RetryAfter  int64 // with Refused; 0: no advice
	Overdue     bool  // ended by the deadline guard, or with its time up
	Values      []Value
	Fraction    float64       // of the parts asked for, by weight, that is in; 1 where nothing is missing
	Missing     []merge.Piece // what is not in, where an answer is given in part
	Shards      int           // parts asked for
	AttemptTime int64         // what its attempts took, those that have ended
	Attempts    int           // that ended and had left
	Policy      uint64        // the version of the policy that it was let in under, and one; 0: there are no versions
}

// Value is what a server gave for one part.
type Value struct {
	Shard int
	Data  []byte
	Part  any
}

func (Call) isEffect()          {}
func (RecordIntents) isEffect() {}
func (CancelAttempt) isEffect() {}
func (RecallUnsent) isEffect()  {}
func (CloseIdle) isEffect()     {}
func (Refresh) isEffect()       {}
func (Watch) isEffect()         {}
func (Fetch) isEffect()         {}
func (LogLine) isEffect()       {}
func (Final) isEffect()         {}

type openQuery struct {
	id    sq.ID
	ask   Query
	class *sq.Class
	group int64
	parts []*part
	over  bool
	took  int64 // of its attempts that have ended
	ends  int
}

type part struct {
	id            sq.ID
	q             *openQuery
	ask           QueryPart
	tries         int
	out           []*attempt
	mayRun        bool // some attempt may have run
	intended      bool // that it is about to leave is durable
	value         []byte
	part          any // the same, read
	size          int64
	in            bool
	before, after *part // of the same shard, under a layout
}

type attempt struct {
	id     AttemptID
	p      *part
	n      int
	server sq.ServerID
	epoch  int64 // of the layout at its send
	sent   int64
	due    int64
	waits  *Attempt // what leaves once its intent is durable; nil: it has left
}

// Core holds every open query and attempt of one gatherer.
type Core struct {
	terms                Config
	module               Module
	classes              map[string]*sq.Class
	lastID               int64 // ids stay below 2^52, which one gatherer can't use up
	queries              map[sq.ID]*openQuery
	labels               map[string]int64 // of the open queries whose label must be theirs alone, with their deadlines
	beside               Occupancy        // of the other process of this gatherer, while there is one
	parts                map[sq.ID]*part
	attempts             map[AttemptID]*attempt
	due                  agenda[*attempt]   // by their ends
	late                 agenda[*openQuery] // by their deadlines and the grace
	open                 int                // queries and parts held
	held                 int64              // bytes of parts that are in, of open queries
	alarms               []sq.SetAlarm
	events               []sq.Event
	effects              []Effect
	calls                map[sq.ServerID]int // index of the call that still takes parts, among the effects
	intents              map[sq.ID]int       // the same, of what is to be made durable, by query
	budgets              map[string]*ration
	stepped              int64
	began                bool
	routes               *layout.Layout // nil: the settings' formula says where shards are
	byShard              map[int]*part  // the first of a shard's parts, under a layout; the others hang on it
	behind               bool           // a server has a newer layout
	replanned, misplaced int64          // since the start
}

// New makes a core round a module.
func New(terms Config, module Module) *Core {
	c := &Core{
		module: module, queries: map[sq.ID]*openQuery{},
		labels: map[string]int64{}, parts: map[sq.ID]*part{}, byShard: map[int]*part{}, attempts: map[AttemptID]*attempt{}, calls: map[sq.ServerID]int{}, intents: map[sq.ID]int{},
	}
	c.hold(terms)
	c.due.alive = func(a *attempt) bool { return c.attempts[a.id] == a }
	c.late.alive = func(q *openQuery) bool { return !q.over }
	return c
}

// hold makes terms those that are held to. Open queries keep the class they came with; tenants that stay keep what
// their budgets have left.
func (c *Core) hold(terms Config) {
	terms.Classes = slices.Clone(terms.Classes)
	c.terms, c.classes = terms, map[string]*sq.Class{}
	for i := range terms.Classes {
		c.classes[terms.Classes[i].Name] = &terms.Classes[i]
	}
	known := c.budgets
	c.budgets = map[string]*ration{}
	for name, b := range terms.Tenants {
		r := known[name]
		if r == nil {
			r = &ration{}
		}
		r.Budget = b
		c.budgets[name] = r
	}
}

// Reconfigure puts other terms in force, and the settings that go with them at the module, at one point in the order
// of events.
func (c *Core) Reconfigure(terms Config, settings sq.Settings) {
	c.hold(terms)
	c.events = append(c.events, sq.SettingsChanged{Settings: settings})
}

func (c *Core) nextID() int64 {
	c.lastID++
	return c.lastID
}

// Held is the number of queries that still wait for their final answer.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Rotation counts the servers in the list, and those of them that the module avoids now.
func (c *Core) Rotation() (listed, out int) { return c.module.Rotation() }

// Standing is how much a process of a gatherer holds.
type Occupancy struct {
	Open   int              // queries and parts
	Labels map[string]int64 // of open queries whose label must be theirs alone, with their deadlines
}

// Standing is how much this process holds.
func (c *Core) Occupancy() Occupancy { return Occupancy{Open: c.open, Labels: maps.Clone(c.labels)} }

// Beside says how much the other process of this gatherer holds: rules and limits count both.
func (c *Core) SetPeer(other Occupancy) { c.beside = other }

// Learned is what a process in this one's place should know.
func (c *Core) Learned() sq.Learned { return c.module.Learned() }

// Recall begins with what a process had learnt that is gone, and with what its budgets had spent.
func (c *Core) Restore(now int64, l sq.Learned, spent map[string]Spent) {
	for name, s := range spent {
		if r := c.budgets[name]; r != nil {
			r.restore(now, s)
		}
	}
	c.events = append(c.events, sq.Recalled{Learned: l})
}

// Spent is what each tenant's budget has spent within its window; those that have spent nothing are missing.
func (c *Core) Spent(now int64) map[string]Spent {
	out := map[string]Spent{}
	for name, r := range c.budgets {
		if s, any := r.spent(now); any {
			out[name] = s
		}
	}
	return out
}

// Succeed begins with what the process before this one had learnt. It may still spend its budgets: both keep to them if
// the free part counts as spent here for one window.
func (c *Core) TakeOver(now int64, l sq.Learned) {
	for _, r := range c.budgets {
		r.freeFrom = now + r.Window
	}
	c.events = append(c.events, sq.Recalled{Learned: l})
}

// ErrMalformed marks an Ask that no module could decide on.
var ErrMalformed = errors.New("malformed query")

// ErrTaken marks an Ask whose label an open query bears.
var ErrDuplicateLabel = errors.New("an open query has this id")

const (
	weightSlack = 0.01           // by which rounded weights may miss 1
	mostWork    = 86_400_000_000 // microseconds of one part: a day
)

func (c *Core) check(now int64, a Query) error {
	if c.classes[a.Class] == nil {
		return fmt.Errorf("%w: unknown class %q", ErrMalformed, a.Class)
	}
	if len(a.Parts) == 0 {
		return fmt.Errorf("%w: it has no parts", ErrMalformed)
	}
	type place struct {
		shard int
		from  int64
	}
	seen, sum := make(map[place]bool, len(a.Parts)), 0.0
	for _, p := range a.Parts {
		at := place{p.Shard, p.Span.From}
		switch {
		case c.routes == nil && (p.Shard < 0 || p.Shard >= c.terms.Shards):
			return fmt.Errorf("%w: there is no shard %d", ErrMalformed, p.Shard)
		case seen[at]:
			return fmt.Errorf("%w: shard %d is named twice", ErrMalformed, p.Shard)
		case !(p.Weight >= 0 && p.Weight <= 1):
			return fmt.Errorf("%w: shard %d has a weight out of range", ErrMalformed, p.Shard)
		case p.Work < 0 || p.Work > mostWork:
			return fmt.Errorf("%w: shard %d has work out of range", ErrMalformed, p.Shard)
		}
		seen[at] = true
		sum += p.Weight
	}
	if math.Abs(sum-1) > weightSlack {
		return fmt.Errorf("%w: its weights add up to %g", ErrMalformed, sum)
	}
	// Guards the first query: what servers answer for one would otherwise count for the other.
	if _, taken := c.labels[a.Label]; a.Unique && (taken || c.beside.Labels[a.Label] > now) {
		return fmt.Errorf("%w: %q", ErrDuplicateLabel, a.Label)
	}
	return nil
}

// Open takes a query. Its final answer comes as an effect, unless it is malformed or, with as much open as
// may be, ended on the spot: then the Final is returned and the module never hears of it.
func (c *Core) Open(now int64, a Query) (sq.ID, *Final, error) {
	a.Parts = c.settle(a)
	if err := c.check(now, a); err != nil {
		return 0, nil, err
	}
	if c.terms.MaxOpen > 0 && c.open+c.beside.Open >= c.terms.MaxOpen {
		return 0, &Final{Outcome: Refused, RetryAfter: c.advice(0), Shards: len(a.Parts)}, nil
	}
	q := &openQuery{id: sq.ID(c.nextID()), ask: a, class: c.classes[a.Class], group: c.nextID()}
	var work int64
	for _, p := range a.Parts {
		work += p.Work
	}
	c.events = append(c.events, sq.Query{
		ID: q.id, Group: q.group, Class: a.Class, Tenant: a.Tenant,
		Deadline: a.Deadline, Work: work, Key: a.Key,
	})
	for _, ap := range a.Parts {
		p := c.hand(q, ap)
		q.parts = append(q.parts, p)
		c.events = append(c.events, p.event())
	}
	c.queries[q.id] = q
	c.late.add(a.Deadline+c.terms.AnswerGrace, int64(q.id), q, len(c.queries))
	if a.Unique {
		c.labels[a.Label] = a.Deadline
	}
	c.open += 1 + len(q.parts)
	if r := c.budgets[a.Tenant]; r != nil {
		r.take(now, len(q.parts))
	}
	return q.id, nil, nil
}

// Left says that nobody waits for a query any more.
func (c *Core) ClientLeft(id sq.ID) {
	if q := c.queries[id]; q != nil {
		c.close(q)
		c.events = append(c.events, sq.ClientLeft{Query: id})
	}
}

// Fleet brings news of the list of servers.
func (c *Core) FleetChanged(f sq.FleetChanged) { c.events = append(c.events, f) }

// Ended reports how an attempt ended. What is reported for one that has ended before, such as an answer that
// came after its time-out, is dropped: each attempt has one outcome.
func (c *Core) AttemptEnded(now int64, id AttemptID, o sq.Outcome, value []byte, report *sq.LoadReport) {
	c.HandleReply(now, Reply{Attempt: id, Outcome: o, Value: value, Report: report})
}

// Came is Ended with all that a session has read.
func (c *Core) HandleReply(now int64, r Reply) {
	id, o := r.Attempt, r.Outcome
	a := c.attempts[id]
	if a == nil {
		return
	}
	delete(c.attempts, id)
	p := a.p
	p.out = slices.DeleteFunc(p.out, func(o *attempt) bool { return o == a })
	o = c.credit(a, o)
	if o != sq.Rejected && o != sq.Unreachable && o != sq.NotSent && o != sq.Misplaced {
		p.mayRun = true
		p.q.took += now - a.sent
	}
	if o != sq.NotSent {
		p.q.ends++
	}
	full := false
	if o == sq.Served && !p.in && !p.q.over {
		if full = c.terms.MaxHeld > 0 && c.held+int64(r.Size) > c.terms.MaxHeld; !full {
			p.in, p.value, p.part, p.size = true, r.Value, r.Part, int64(r.Size)
			c.held += p.size
			c.recall(p)
		}
	}
	if len(p.out) == 0 && p.q.over {
		c.forget(p)
	}
	c.events = append(c.events, sq.AttemptEnded{
		Part: p.id, Attempt: a.n, Server: a.server, Outcome: o,
		Latency: now - a.sent, Report: r.Report,
	})
	if full { // guards the memory against answers that nobody bounded together
		c.do(LogLine{Text: "a query fails: its parts and those of others are more than may be held"})
		c.finish(p.q, Final{Outcome: Failed})
		c.events = append(c.events, sq.ClientLeft{Query: p.q.id})
		return
	}
	c.renew(now, p)
}

// Next is when Step wants to be called next; ok is false while nothing is awaited.
func (c *Core) NextStep() (at int64, ok bool) {
	at = math.MaxInt64
	if len(c.effects) > 0 {
		return c.stepped, true
	}
	if len(c.events) > 0 {
		at = c.stepped + c.terms.Period
	}
	for _, a := range c.alarms {
		at = min(at, max(a.At, c.stepped+c.terms.Period))
	}
	if due, ok := c.due.next(); ok {
		at = min(at, due)
	}
	if late, ok := c.late.next(); ok {
		at = min(at, late)
	}
	return at, at != math.MaxInt64 || !c.began
}

// Step lets time pass: overdue attempts time out, the deadline guard looks after queries that the module has
// forgotten, and the module is stepped where there is an event and its period allows.
func (c *Core) Step(now int64) []Effect {
	c.expire(now)
	if now >= c.stepped+c.terms.Period {
		c.ring(now)
		if len(c.events) > 0 {
			events := c.events
			c.events, c.stepped, c.began = nil, now, true
			for _, a := range c.module.Step(now, events) {
				c.carryOut(now, a)
			}
		}
	}
	c.guard(now)
	if c.behind {
		c.behind = false
		c.do(Refresh{})
	}
	effects := c.effects
	c.effects = nil
	clear(c.calls)
	clear(c.intents)
	return effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) expire(now int64) {
	for _, a := range c.due.take(now) {
		c.giveUp(now, a, sq.TimedOut)
	}
}

// giveUp ends an attempt that nobody waits for any more. One that still waits for its intent never left.
func (c *Core) giveUp(now int64, a *attempt, o sq.Outcome) {
	if a.waits != nil {
		o = sq.NotSent
	} else {
		c.do(CancelAttempt{Attempt: a.id})
	}
	c.AttemptEnded(now, a.id, o, nil, nil)
}

func (c *Core) ring(now int64) {
	kept := c.alarms[:0]
	for _, a := range c.alarms {
		if a.At <= now {
			c.events = append(c.events, sq.AlarmRang{ID: a.ID})
		} else {
			kept = append(kept, a)
		}
	}
	c.alarms = kept
}

// guard fails the queries whose time ran out without the module's word. Guards the rule that no query is
// lost against a module that loses sight of one; the module always comes first, by AnswerGrace.
func (c *Core) guard(now int64) {
	for _, q := range c.late.take(now) {
		c.do(LogLine{Text: "deadline guard: the module left a query unanswered"})
		c.finish(q, Final{Outcome: Failed, Overdue: true})
		c.events = append(c.events, sq.ClientLeft{Query: q.id})
	}
}

func (c *Core) carryOut(now int64, a sq.Action) {
	switch a := a.(type) {
	case sq.Send:
		c.send(now, a)
	case sq.Cancel:
		if p := c.parts[a.Part]; p != nil {
			if i := slices.IndexFunc(p.out, func(t *attempt) bool { return t.n == a.Attempt }); i >= 0 {
				c.withdraw(now, p.out[i])
			}
		}
	case sq.Answer:
		c.answer(now, a)
	case sq.Refuse:
		if q := c.queries[a.Query]; q != nil {
			c.refuse(q, now, a.RetryAfter)
		}
	case sq.Fail:
		if q := c.queries[a.Query]; q != nil {
			c.finish(q, Final{Outcome: Failed, Overdue: now >= q.ask.Deadline-2*c.terms.Period})
		}
	case sq.SetAlarm:
		c.alarms = append(c.alarms, a)
	case sq.CloseIdle:
		c.do(CloseIdle{Server: a.Server})
	case sq.Watch:
		c.do(Watch{})
	case sq.Fetch:
		c.do(Fetch{})
	case sq.Log:
		c.do(LogLine{Text: a.Text})
	case sq.NotifyPeer: // gatherers share nothing
	}
}

func (c *Core) send(now int64, s sq.Send) {
	p := c.parts[s.Part]
	if p == nil {
		c.do(LogLine{Text: fmt.Sprintf("the module sent part %d, which is not held", s.Part)})
		return
	}
	due := p.q.ask.Deadline
	if s.Timeout != 0 {
		due = min(due, now+s.Timeout)
	}
	a := &attempt{id: AttemptID(c.nextID()), p: p, n: p.tries, server: s.Server, epoch: c.epoch(), sent: now, due: due}
	p.tries++
	p.out = append(p.out, a)
	c.attempts[a.id] = a
	c.due.add(due, int64(a.id), a, len(c.attempts))
	// A part that is in, or whose query is over, must not leave again; nor may one whose tenant's budget is
	// spent. Not sent proves that it never ran.
	if r := c.budgets[p.q.ask.Tenant]; p.in || p.q.over || due <= now || a.n > 0 && r != nil && !r.spend(now) {
		c.AttemptEnded(now, a.id, sq.NotSent, nil, nil)
		return
	}
	out := Attempt{
		ID: a.id, Label: p.q.ask.Label, Shard: p.ask.Shard, Epoch: a.epoch, Span: p.ask.Span, Due: due,
		Text: p.q.ask.Text, Plan: p.q.ask.Plan,
	}
	if p.q.ask.IntentLog != nil && !p.intended {
		c.intend(a, out)
		return
	}
	c.call(s.Server, out)
}

// call has an attempt leave, with others to the same server as far as a call takes them.
func (c *Core) call(server sq.ServerID, out Attempt) {
	if i, ok := c.calls[server]; ok {
		call := c.effects[i].(Call)
		if len(call.Attempts) < c.terms.PartsPerCall {
			call.Attempts = append(call.Attempts, out)
			c.effects[i] = call
			return
		}
	}
	c.calls[server] = len(c.effects)
	c.do(Call{Server: server, Attempts: []Attempt{out}})
}

// answer gives what is in. Guards the rule of honest answers a second time: less than the class's least
// share is never given, nor marked whole where it is not.
func (c *Core) answer(now int64, a sq.Answer) {
	q := c.queries[a.Query]
	if q == nil {
		return
	}
	f := Final{Outcome: Answered}
	pieces := make([]merge.Piece, 0, len(q.parts))
	for _, p := range q.parts {
		if p.in {
			f.Values = append(f.Values, Value{Shard: p.ask.Shard, Data: p.value, Part: p.part})
		}
		pieces = append(pieces, merge.Piece{Weight: p.ask.Weight, Shard: p.ask.Shard, From: p.ask.Span.From, To: p.ask.Span.To, In: p.in})
	}
	extent := merge.Completeness{Need: q.class.CompleteWeight, Floor: q.class.MinWeight}.Judge(pieces)
	if !extent.Give {
		c.finish(q, Final{Outcome: Failed})
		return
	}
	f.Complete, f.Fraction, f.Missing = a.Complete && extent.Whole, extent.Share, extent.Missing
	c.finish(q, f)
}

// refuse tells the client that repeating is harmless, which for a class that must not run twice holds only
// while no part can have run.
func (c *Core) refuse(q *openQuery, now, after int64) {
	overdue := now >= q.ask.Deadline-2*c.terms.Period
	if q.class.Effect == sq.AtMostOnce {
		for _, p := range q.parts {
			if p.mayRun || slices.ContainsFunc(p.out, func(a *attempt) bool { return a.waits == nil }) {
				c.finish(q, Final{Outcome: Failed, Overdue: overdue})
				return
			}
		}
	}
	c.finish(q, Final{Outcome: Refused, RetryAfter: c.advice(after), Overdue: overdue})
}

// Advice is when a client that is refused before its query was opened should come back, as far as the settings permit to say.
func (c *Core) RetryAdvice(after int64) int64 { return c.advice(after) }

// advice is when a refused client should come back, as far as the settings permit to say.
func (c *Core) advice(after int64) int64 {
	if !c.terms.RetryAfter {
		return 0
	}
	if after <= 0 {
		return c.terms.MaxRetryAfter
	}
	return min(after, c.terms.MaxRetryAfter)
}

func (c *Core) finish(q *openQuery, f Final) {
	f.Query, f.Shards, f.AttemptTime, f.Attempts = q.id, len(q.parts), q.took, q.ends
	c.close(q)
	c.do(f)
}

func (c *Core) close(q *openQuery) {
	q.over = true
	delete(c.queries, q.id)
	if q.ask.Unique {
		delete(c.labels, q.ask.Label)
	}
	c.open -= 1 + len(q.parts)
	for _, p := range q.parts {
		c.held -= p.size
		p.size = 0
		c.recall(p)
		if len(p.out) == 0 {
			c.forget(p)
		}
	}
}

// recall takes back what of a part has not begun to leave: nobody waits for it any more. Guards servers, above all where giving up
// is not permitted or stops nothing, against work that waited for a connection while its query ended or its client left.
func (c *Core) recall(p *part) {
	for _, a := range p.out {
		if a.waits == nil { // else it ends once its intent is kept
			c.do(RecallUnsent{Attempt: a.id})
		}
	}
}
