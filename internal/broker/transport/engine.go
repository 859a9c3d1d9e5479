package transport

import (
	"cmp"
	"log/slog"
	"maps"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/panicguard"
	"slices"
	"time"

	sq "saffronquay"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// Clock gives Unix microseconds: the wall clock at its creation plus the monotonic time elapsed
// since. It never runs backwards, yet can be compared with the start times of servers.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current wall-clock time.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the current time in Unix microseconds.
func (c Clock) Now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// Engine is the one goroutine that owns the core, the decision module and the pool. Other
// goroutines post functions to it; its methods are safe for concurrent use. It blocks on nothing
// but its inbox.
type Engine struct {
	clock        Clock
	core         *core.Core
	pool         *pool
	inbox        chan func(now int64)
	stop         chan struct{}
	stopped      chan struct{}
	waiting      map[sq.ID]func(core.Final)
	log          *slog.Logger
	sweepAt      int64
	metrics      *adminapi.Metrics
	gate         *admission.Gate        // nil: no contracts are configured
	queued       map[int64]*queuedQuery // queries that wait at the gate
	lastGateID   int64
	permit       *Permit          // nil: every query is admitted
	suspended    []suspendedQuery // queries that wait while a policy change is applied
	killDeadline int64            // time at which this process may be killed; queries end before it; 0: unknown
	// Watch and Fetch, if set, execute the module's requests to discovery. They must not block. Set
	// them before Run.
	Watch, Fetch func()
	// RefreshLayout, if set, starts a fetch of the full layout. It must not block. Set it before
	// Run.
	RefreshLayout func()
}

const (
	inboxSize  = 1024
	sweepEvery = 50_000 // microseconds
	// stateTimeout bounds the wait for the engine to report its state.
	stateTimeout = 500 * time.Millisecond
)

// NewEngine returns an engine; Run starts it.
func NewEngine(clock Clock, gatherer *core.Core, cfg PoolConfig, d core.Dialect, metrics *adminapi.Metrics,
	logger *slog.Logger,
) *Engine {
	e := &Engine{
		clock: clock, core: gatherer, inbox: make(chan func(int64), inboxSize), stop: make(chan struct{}),
		stopped: make(chan struct{}), waiting: map[sq.ID]func(core.Final){}, metrics: metrics, log: logger,
	}
	e.pool = newPool(cfg, d, e.post)
	e.pool.metrics = metrics
	e.pool.onReply, e.pool.stopped = gatherer.HandleReply, e.stopped
	e.pool.onPanic = func(p *panicguard.PanicError) { e.recordPanic("answer of a server", p) }
	e.queued = map[int64]*queuedQuery{}
	return e
}

// recordPanic counts and logs a panic that was contained in the goroutine of one request, answer or
// call. It is safe for concurrent use.
func (e *Engine) recordPanic(where string, p *panicguard.PanicError) {
	e.metrics.Panics.Add(1)
	logging.Error(e.log, logging.Panic, "where", where, "error", p.Error(), "stack", string(p.Stack))
}

// post passes a function to the engine's goroutine. It blocks while the inbox is full, and returns
// false if the engine has stopped.
func (e *Engine) post(f func(now int64)) bool {
	select {
	case e.inbox <- f:
		return true
	case <-e.stopped:
		return false
	}
}

// Run runs the engine until Stop is called.
func (e *Engine) Run() {
	defer close(e.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-e.inbox:
			f(e.clock.Now())
			e.runPosted()
		case <-timer.C:
		case <-e.stop:
			return
		}
		now := e.clock.Now()
		e.refuseExpired(now)
		e.admitSuspended(now)
		e.execute(now, e.core.Step(now))
		if now >= e.sweepAt {
			e.sweepAt = now + sweepEvery
			e.pool.sweep(now)
			e.publishMetrics()
		}
		timer.Reset(time.Duration(max(0, e.nextStep()-e.clock.Now())) * time.Microsecond)
	}
}

// runPosted runs the functions that were posted in the meantime, so that they belong to the same
// step of the core.
func (e *Engine) runPosted() {
	for {
		select {
		case f := <-e.inbox:
			f(e.clock.Now())
		default:
			return
		}
	}
}

// publishMetrics copies the core's state to the gauges.
func (e *Engine) publishMetrics() {
	listed, out := e.core.Rotation()
	e.metrics.KnownServers.Store(int64(listed))
	e.metrics.EjectedServers.Store(int64(out))
	if l := e.metrics.LayoutCounts; l != nil {
		replanned, misplaced := e.core.ReplanCounts()
		l.Replanned.Store(replanned)
		l.Misplaced.Store(misplaced)
	}
}

// nextStep returns when the engine has to run next even if nothing is posted, in Unix microseconds.
func (e *Engine) nextStep() int64 {
	at := e.sweepAt
	if next, ok := e.core.NextStep(); ok {
		at = min(at, next)
	}
	if e.gate != nil {
		if next, ok := e.gate.NextExpiry(); ok {
			at = min(at, next)
		}
	}
	if len(e.suspended) > 0 {
		at = min(at, e.permit.SuspendedUntil)
	}
	return at
}

// Stop ends Run and waits for it.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.stopped
}

// execute executes the core's effects in order.
func (e *Engine) execute(now int64, effects []core.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case core.Call:
			e.pool.call(now, x)
		case core.RecordIntents:
			e.recordIntents(now, x)
		case core.CancelAttempt:
			e.pool.cancelAttempt(now, x.Attempt)
		case core.CancelIfUnsent:
			e.pool.cancelIfUnsent(now, x.Attempt)
		case core.CloseIdle:
			e.pool.closeIdle(now, x.Server)
		case core.Final:
			if done := e.waiting[x.Query]; done != nil {
				delete(e.waiting, x.Query)
				done(x)
			}
		case core.Watch:
			if e.Watch != nil {
				e.Watch()
			}
		case core.Fetch:
			if e.Fetch != nil {
				e.Fetch()
			}
		case core.FetchLayout:
			if e.RefreshLayout != nil {
				e.RefreshLayout()
			}
		case core.LogLine:
			logging.Info(e.log, logging.Note, "text", x.Text)
		}
	}
}

// recordIntents passes intents to their log, which must not block, and reports the result to the
// core.
func (e *Engine) recordIntents(now int64, x core.RecordIntents) {
	done := func(err error) { e.post(func(now int64) { e.core.IntentsRecorded(now, x.Attempts, err) }) }
	if err := x.Log.Record(x.Intents, x.Deadline, done); err != nil {
		e.core.IntentsRecorded(now, x.Attempts, err)
	}
}

// Ticket represents a query that was handed to the engine. Callers wait on Final, Err and the end
// of the engine.
type Ticket struct {
	Final      chan core.Final // receives the one final answer
	Err        chan error      // receives an error instead if the query is invalid
	id         sq.ID
	gate       int64  // ID of the query at the gate; 0: none
	clientLeft bool   // the client has disconnected; owned by the engine's goroutine
	policy     uint64 // 1 + the policy version of the query's admission; 0: none; owned by the engine's goroutine
}

// Open hands a query to the engine. The ticket receives either a final answer or an error, unless
// ClientLeft is called or the engine stops before.
func (e *Engine) Open(a core.Query) *Ticket {
	t := &Ticket{Final: make(chan core.Final, 1), Err: make(chan error, 1)}
	e.post(func(now int64) { e.arrive(now, a, t) })
	return t
}

// SetKillDeadline sets the time, in Unix microseconds, at which this process may be killed. The
// deadlines of queries that arrive later are limited to it, whatever deadlines their clients
// request.
func (e *Engine) SetKillDeadline(at int64) {
	e.post(func(int64) { e.killDeadline = at })
}

// ClientLeft abandons a query whose client has disconnected. No further attempt of it is started.
func (e *Engine) ClientLeft(t *Ticket) {
	e.post(func(now int64) {
		t.clientLeft = true
		if e.waiting[t.id] != nil {
			delete(e.waiting, t.id)
			e.core.ClientLeft(t.id)
		}
		e.releaseGate(now, t)
	})
}

// UpdateFleet passes a change of the list of servers to the pool and to the core.
func (e *Engine) UpdateFleet(f sq.FleetChanged, addresses map[sq.ServerID]string) {
	e.post(func(now int64) {
		// The pool comes first: the attempts that end with a replaced process must not count
		// against its replacement.
		e.pool.updateFleet(now, f, addresses)
		e.core.FleetChanged(f)
	})
}

// UpdateLayout applies a layout. Callers must pass layouts in the order of their epochs.
func (e *Engine) UpdateLayout(u layout.Update) {
	e.post(func(now int64) { e.core.LayoutChanged(now, u) })
}

// Reconfigure applies new settings to the core, the module and the pool, in one step of the engine.
func (e *Engine) Reconfigure(terms core.Config, settings sq.Settings, cfg PoolConfig, d core.Dialect) {
	e.post(func(int64) {
		e.core.Reconfigure(terms, settings)
		e.pool.cfg, e.pool.dialect = cfg, d
	})
}

// HandoverState returns this process's state for the process that replaces it. ok is false if the
// engine has stopped or does not respond within stateTimeout.
func (e *Engine) HandoverState() (s handover.State, ok bool) {
	got := make(chan handover.State, 1)
	go e.post(func(int64) {
		occupancy, learned := e.core.Occupancy(), e.core.Snapshot()
		got <- handover.State{
			Sockets: e.pool.conns, Open: occupancy.Open, Labels: occupancy.Labels, Admission: learned.Admission,
			Suspects: learned.Suspects,
		}
	})
	t := time.NewTimer(stateTimeout)
	defer t.Stop()
	select {
	case s = <-got:
		return s, true
	case <-t.C:
	case <-e.stopped:
	}
	return s, false
}

// SetPeers passes the states of this gatherer's other processes to the core, and limits this
// process to conns connections to servers.
func (e *Engine) SetPeers(others []handover.State, conns int) {
	occupancy := core.Occupancy{Labels: map[string]int64{}}
	for _, o := range others {
		occupancy.Open += o.Open
		maps.Copy(occupancy.Labels, o.Labels)
	}
	e.post(func(int64) {
		e.core.SetPeer(occupancy)
		e.pool.cfg.MaxConns = conns
	})
}

// InitFromPredecessor initializes the module from what the previous process has learned.
func (e *Engine) InitFromPredecessor(from handover.State) {
	e.post(func(now int64) {
		e.core.TakeOver(now, sq.Snapshot{Admission: from.Admission, Suspects: from.Suspects})
	})
}

// PersistentState is the state that a process keeps across a restart. Times are Unix microseconds.
type PersistentState struct {
	Learned sq.Snapshot
	Spent   map[string]core.Spent
}

// ExportState returns the state to keep across a restart. ok is false if the engine has stopped or
// does not respond within stateTimeout.
func (e *Engine) ExportState() (m PersistentState, ok bool) {
	got := make(chan PersistentState, 1)
	go e.post(func(now int64) { got <- PersistentState{e.core.Snapshot(), e.core.Spent(now)} })
	t := time.NewTimer(stateTimeout)
	defer t.Stop()
	select {
	case m = <-got:
		return m, true
	case <-t.C:
	case <-e.stopped:
	}
	return m, false
}

// RestoreState initializes the core from the state of a process that has ended.
func (e *Engine) RestoreState(m PersistentState) {
	e.post(func(now int64) { e.core.Restore(now, m.Learned, m.Spent) })
}

// OpenQueries returns the number of queries without a final answer; 0 once the engine has stopped.
func (e *Engine) OpenQueries() int {
	n := make(chan int, 1)
	e.post(func(int64) { n <- e.core.OpenQueries() })
	select {
	case open := <-n:
		return open
	case <-e.stopped:
		return 0
	}
}
