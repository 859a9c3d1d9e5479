package core

import (
	"maps"
	"math"
	"saffronquay/internal/broker/layout"
	"slices"

	sq "saffronquay"
)

// Module is the decision module, as the core drives it.
type Module interface {
	// Step reports events to the module and returns its actions, in the order in which they are to be carried out.
	Step(now int64, events []sq.Event) []sq.Action
	// Rotation counts the servers in the list, and those of them that are avoided now.
	Rotation() (listed, out int)
	// Learned returns what a process that replaces this one should know.
	Learned() sq.Learned
}

// Config has the limits that the core itself enforces. Times are microseconds.
type Config struct {
	Period        int64 // the least time between two steps of the module
	Shards        int
	MaxOpen       int   // queries and parts that are open at a time; 0: no limit
	MaxValueBytes int64 // bytes of received values of open queries; 0: no limit
	PartsPerCall  int
	RetryAfter    bool // refusals may tell the client when to come back
	MaxRetryAfter int64
	AnswerGrace   int64 // how long past its deadline a query may wait for the module's decision
	Classes       []sq.Class
	Tenants       map[string]Budget // retry budgets by tenant; a tenant without one is not limited
}

// Core has every open query, part and attempt of one gatherer. It is not safe for concurrent use.
type Core struct {
	config  Config
	module  Module
	classes map[string]*sq.Class
	lastID  int64 // ids stay below 2^52, which one gatherer can't use up

	queries  map[sq.ID]*openQuery
	labels   map[string]int64 // labels of the open queries with Unique set, with their deadlines
	parts    map[sq.ID]*part
	attempts map[AttemptID]*attempt
	budgets  map[string]*retryBudget

	open       int       // queries and parts that are open
	valueBytes int64     // of received values, of open queries
	peer       Occupancy // of the other process of this gatherer, while there is one

	timeouts  schedule[*attempt]   // attempts by the time at which they time out
	deadlines schedule[*openQuery] // queries by their deadline plus Config.AnswerGrace
	alarms    []sq.SetAlarm

	events     []sq.Event // not yet reported to the module
	lastStep   int64      // when the module was last stepped
	hasStepped bool

	effects     []Effect            // not yet returned by Step
	openCalls   map[sq.ServerID]int // index, among the effects, of the call that still takes parts
	openIntents map[sq.ID]int       // index, among the effects, of the RecordIntents of a query

	routes               *layout.Layout // nil: Config.Shards says which shards there are
	byShard              map[int]*part  // under a layout: the head of the list of a shard's parts
	isLayoutStale        bool           // a server has a newer layout
	replanned, misplaced int64          // since the start
}

// New returns a Core that is driven by a module, without queries.
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

// Reconfigure puts a configuration in force, and the settings that belong to it at the module, at one point in the order of events. Open queries keep the class
// that they came with. Tenants that stay keep what they have spent of their budgets.
func (c *Core) Reconfigure(config Config, settings sq.Settings) {
	c.applyConfig(config)
	c.events = append(c.events, sq.SettingsChanged{Settings: settings})
}

// applyConfig puts a configuration in force. Open queries keep the class that they came with; tenants that stay keep what they have spent.
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

// OpenQueries returns the number of queries that still wait for their Final.
func (c *Core) OpenQueries() int { return len(c.queries) }

// Rotation counts the servers in the list, and those of them that the module avoids now.
func (c *Core) Rotation() (listed, out int) { return c.module.Rotation() }

// Occupancy is how much one process of a gatherer has open.
type Occupancy struct {
	Open   int              // queries and parts
	Labels map[string]int64 // labels of the open queries with Unique set, with their deadlines
}

// Occupancy returns how much this process has open. The caller owns the result.
func (c *Core) Occupancy() Occupancy { return Occupancy{Open: c.open, Labels: maps.Clone(c.labels)} }

// SetPeer reports how much the other process of this gatherer has open, during a handover. Unique labels and Config.MaxOpen count both processes.
func (c *Core) SetPeer(other Occupancy) { c.peer = other }

// Learned returns what a process that replaces this one should know.
func (c *Core) Learned() sq.Learned { return c.module.Learned() }

// Restore starts from what an earlier process, which no longer runs, had learned, and from what its budgets had spent.
func (c *Core) Restore(now int64, l sq.Learned, spent map[string]Spent) {
	for name, s := range spent {
		if b := c.budgets[name]; b != nil {
			b.restore(now, s)
		}
	}
	c.events = append(c.events, sq.Recalled{Learned: l})
}

// TakeOver starts from what the process that this one replaces has learned. That process still runs and may spend its budgets: the free part of each budget
// counts as spent here for one window, so that both together stay within it.
func (c *Core) TakeOver(now int64, l sq.Learned) {
	for _, b := range c.budgets {
		b.freeFrom = now + b.Window
	}
	c.events = append(c.events, sq.Recalled{Learned: l})
}

// FleetChanged reports a change of the list of servers.
func (c *Core) FleetChanged(f sq.FleetChanged) { c.events = append(c.events, f) }

// NextStep returns when Step is to be called next. ok is false while nothing is awaited.
func (c *Core) NextStep() (at int64, ok bool) {
	at = math.MaxInt64
	if len(c.effects) > 0 {
		return c.lastStep, true
	}
	if len(c.events) > 0 {
		at = c.lastStep + c.config.Period
	}
	for _, a := range c.alarms {
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

// Step lets time pass and returns what is to be done, in order. It times attempts out, steps the module where there are events and Config.Period allows it, and
// fails queries that are past their deadline and AnswerGrace.
func (c *Core) Step(now int64) []Effect {
	c.timeOutAttempts(now)
	c.stepModule(now)
	c.failOverdueQueries(now)
	if c.isLayoutStale {
		c.isLayoutStale = false
		c.emit(Refresh{})
	}
	effects := c.effects
	c.effects = nil
	clear(c.openCalls)
	clear(c.openIntents)
	return effects
}

// stepModule reports the pending events and alarms to the module and carries out its actions, unless its last step is less than a period ago.
func (c *Core) stepModule(now int64) {
	if now < c.lastStep+c.config.Period {
		return
	}
	c.fireAlarms(now)
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events, c.lastStep, c.hasStepped = nil, now, true
	for _, action := range c.module.Step(now, events) {
		c.apply(now, action)
	}
}

// fireAlarms turns the alarms that are due into events.
func (c *Core) fireAlarms(now int64) {
	pending := c.alarms[:0]
	for _, a := range c.alarms {
		if a.At <= now {
			c.events = append(c.events, sq.AlarmRang{ID: a.ID})
		} else {
			pending = append(pending, a)
		}
	}
	c.alarms = pending
}

// apply carries out one action of the module. An action for a query, part or attempt that has ended does nothing.
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
	case sq.SetAlarm:
		c.alarms = append(c.alarms, action)
	case sq.CloseIdle:
		c.emit(CloseIdle{Server: action.Server})
	case sq.Watch:
		c.emit(Watch{})
	case sq.Fetch:
		c.emit(Fetch{})
	case sq.Log:
		c.emit(LogLine{Text: action.Text})
	case sq.NotifyPeer: // this core has no link to other gatherers
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
