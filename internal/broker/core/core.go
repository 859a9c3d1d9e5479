package core

import (
	"maps"
	"math"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Module is the decision module as used by the core.
type Module interface {
	// Step reports events to the module and returns its actions, in the order in which they are to
	// be carried out.
	Step(now int64, events []sq.Event) []sq.Action
	// Rotation returns the number of servers in the list, and how many of them are avoided at
	// present.
	Rotation() (listed, out int)
	// Snapshot returns the state to hand over to a process that replaces this one.
	Snapshot() sq.Snapshot
}

// Config has the limits that the core itself enforces. Times are microseconds.
type Config struct {
	Period        int64 // minimum time between two steps of the module
	Shards        int
	MaxOpen       int   // maximum number of open queries and parts; 0: unlimited
	MaxValueBytes int64 // maximum bytes of received values of open queries; 0: unlimited
	PartsPerCall  int
	RetryAfter    bool // refusals may carry a Retry-After time
	MaxRetryAfter int64
	AnswerGrace   int64 // how long after its deadline a query may wait for the module's decision
	Classes       []sq.Class
	Tenants       map[string]Budget // retry budgets by tenant; a tenant without one is unlimited
}

// Core holds every open query, part and attempt of one gatherer. It is not safe for concurrent use.
type Core struct {
	config  Config
	module  Module
	classes map[string]*sq.Class
	lastID  int64 // IDs stay below 2^52, which one gatherer does not exhaust

	queries  map[sq.ID]*openQuery
	labels   map[string]int64 // deadlines of the open queries with Unique set, by label
	parts    map[sq.ID]*part
	attempts map[AttemptID]*attempt
	budgets  map[string]*retryBudget

	open       int       // open queries and parts
	valueBytes int64     // size of the received values of open queries
	peer       Occupancy // occupancy of the other process of this gatherer during a handover

	timeouts  schedule[*attempt]   // attempts by timeout
	deadlines schedule[*openQuery] // queries by deadline plus Config.AnswerGrace
	timers    []sq.SetTimer

	events     []sq.Event // not yet reported to the module
	lastStep   int64      // time of the module's latest step
	hasStepped bool

	effects     []Effect            // not yet returned by Step
	openCalls   map[sq.ServerID]int // index in effects of the call to a server that more parts may join
	openIntents map[sq.ID]int       // index in effects of the RecordIntents of a query

	routes               *layout.Layout // nil: shards are numbered by Config.Shards
	byShard              map[int]*part  // with a layout: the head of a shard's list of parts
	isLayoutStale        bool           // a server has reported a newer layout
	replanned, misplaced int64          // since the start
}

// New returns a Core without queries that is driven by a module.
func New(config Config, module Module) *Core {
	c := &Core{
		module:      module,
		queries:     map[sq.ID]*openQuery{},
		labels:      map[string]int64{},
		parts:       map[sq.ID]*part{},
		byShard:     map[int]*part{},
		attempts:    map[AttemptID]*attempt{},
		openCalls:   map[sq.ServerID]int{},
		openIntents: map[sq.ID]int{},
	}
	c.applyConfig(config)
	c.timeouts.isLive = func(a *attempt) bool { return c.attempts[a.id] == a }
	c.deadlines.isLive = func(q *openQuery) bool { return !q.ended }
	return c
}

// Reconfigure puts a configuration in force, together with the module's settings, at one point in
// the order of events. Open queries keep the class under which they arrived. Tenants that remain
// keep what they have spent of their budgets.
func (c *Core) Reconfigure(config Config, settings sq.Settings) {
	c.applyConfig(config)
	c.events = append(c.events, sq.SettingsChanged{Settings: settings})
}

// applyConfig puts a configuration in force. Open queries keep the class under which they arrived;
// tenants that remain keep what they have spent.
func (c *Core) applyConfig(config Config) {
	config.Classes = slices.Clone(config.Classes)
	c.config, c.classes = config, map[string]*sq.Class{}
	for i := range config.Classes {
		c.classes[config.Classes[i].Name] = &config.Classes[i]
	}
	known := c.budgets
	c.budgets = map[string]*retryBudget{}
	for name, limit := range config.Tenants {
		b := known[name]
		if b == nil {
			b = &retryBudget{}
		}
		b.Budget = limit
		c.budgets[name] = b
	}
}

func (c *Core) nextID() int64 {
	c.lastID++
	return c.lastID
}

// OpenQueries returns the number of queries without a Final.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Rotation returns the number of servers in the list, and how many of them the module avoids at
// present.
func (c *Core) Rotation() (listed, out int) { return c.module.Rotation() }

// Occupancy is the number and the labels of the queries that one process of a gatherer has open.
type Occupancy struct {
	Open   int              // open queries and parts
	Labels map[string]int64 // deadlines of the open queries with Unique set, by label
}

// Occupancy returns the occupancy of this process. The caller owns the result.
func (c *Core) Occupancy() Occupancy { return Occupancy{Open: c.open, Labels: maps.Clone(c.labels)} }

// SetPeer reports the occupancy of the other process of this gatherer during a handover. Unique
// labels and Config.MaxOpen apply to both processes together.
func (c *Core) SetPeer(other Occupancy) { c.peer = other }

// Snapshot returns the state to hand over to a process that replaces this one.
func (c *Core) Snapshot() sq.Snapshot { return c.module.Snapshot() }

// Restore starts from the learned state and the spent budgets of an earlier process that no longer
// runs.
func (c *Core) Restore(now int64, l sq.Snapshot, spent map[string]Spent) {
	for name, s := range spent {
		if b := c.budgets[name]; b != nil {
			b.restore(now, s)
		}
	}
	c.events = append(c.events, sq.SnapshotRestored{Snapshot: l})
}

// TakeOver starts from the learned state of the process that this one replaces. That process still
// runs and may spend its budgets: the free part of each budget counts as spent here for one window,
// so that both processes together stay within it.
func (c *Core) TakeOver(now int64, l sq.Snapshot) {
	for _, b := range c.budgets {
		b.freeFrom = now + b.Window
	}
	c.events = append(c.events, sq.SnapshotRestored{Snapshot: l})
}

// FleetChanged reports a change of the server list.
func (c *Core) FleetChanged(f sq.FleetChanged) { c.events = append(c.events, f) }

// NextStep returns the time at which Step is to be called next. ok is false while nothing is
// pending.
func (c *Core) NextStep() (at int64, ok bool) {
	at = math.MaxInt64
	if len(c.effects) > 0 {
		return c.lastStep, true
	}
	if len(c.events) > 0 {
		at = c.lastStep + c.config.Period
	}
	for _, a := range c.timers {
		at = min(at, max(a.At, c.lastStep+c.config.Period))
	}
	if due, ok := c.timeouts.next(); ok {
		at = min(at, due)
	}
	if due, ok := c.deadlines.next(); ok {
		at = min(at, due)
	}
	return at, at != math.MaxInt64 || !c.hasStepped
}

// Step advances the time and returns the effects to carry out, in order. It ends attempts that time
// out, steps the module if there are events and Config.Period permits it, and fails queries that
// are past their deadline plus AnswerGrace.
func (c *Core) Step(now int64) []Effect {
	c.timeOutAttempts(now)
	c.stepModule(now)
	c.failOverdueQueries(now)
	if c.isLayoutStale {
		c.isLayoutStale = false
		c.emit(FetchLayout{})
	}
	effects := c.effects
	c.effects = nil
	clear(c.openCalls)
	clear(c.openIntents)
	return effects
}

// stepModule reports the pending events and timers to the module and applies its actions, unless
// its last step was less than a period ago.
func (c *Core) stepModule(now int64) {
	if now < c.lastStep+c.config.Period {
		return
	}
	c.fireTimers(now)
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events, c.lastStep, c.hasStepped = nil, now, true
	for _, action := range c.module.Step(now, events) {
		c.apply(now, action)
	}
}

// fireTimers appends an event for each timer that is due.
func (c *Core) fireTimers(now int64) {
	pending := c.timers[:0]
	for _, a := range c.timers {
		if a.At <= now {
			c.events = append(c.events, sq.TimerFired{ID: a.ID})
		} else {
			pending = append(pending, a)
		}
	}
	c.timers = pending
}

// apply carries out one action of the module. An action for a query, part or attempt that has ended
// has no effect.
func (c *Core) apply(now int64, action sq.Action) {
	switch action := action.(type) {
	case sq.Send:
		c.send(now, action)
	case sq.Cancel:
		c.cancel(now, action)
	case sq.Answer:
		c.answer(action)
	case sq.Refuse:
		if q := c.queries[action.Query]; q != nil {
			c.refuse(q, now, action.RetryAfter)
		}
	case sq.Fail:
		if q := c.queries[action.Query]; q != nil {
			c.finish(q, Final{Outcome: Failed, Overdue: c.isOverdue(q, now)})
		}
	case sq.SetTimer:
		c.timers = append(c.timers, action)
	case sq.CloseIdle:
		c.emit(CloseIdle{Server: action.Server})
	case sq.Watch:
		c.emit(Watch{})
	case sq.Fetch:
		c.emit(Fetch{})
	case sq.Log:
		c.emit(LogLine{Text: action.Text})
	case sq.NotifyPeer: // ignored: the core has no connection to other gatherers
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
