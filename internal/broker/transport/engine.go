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

// Clock gives Unix microseconds: the time at its making plus what has passed since by the monotonic clock,
// so that it never runs backwards and yet compares with the times at which servers started.
type Clock struct{ start time.Time }

// NewClock makes a clock.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the present time.
func (c Clock) Now() int64 { return c.start.UnixMicro() + time.Since(c.start).Microseconds() }

// Engine is the one goroutine that owns the core, the module behind it and the pool. Others post functions to it; its methods may be
// called from any goroutine. It blocks on nothing but its inbox.
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
	gate         *admission.Gate        // nil: there are no contracts
	queued       map[int64]*queuedQuery // queries that wait at the gate
	lastGateID   int64
	permit       *Permit          // nil: every query is admitted
	suspended    []suspendedQuery // queries that wait while a change is put in force
	killDeadline int64            // when this process may be killed: queries end before; 0: not known
	// Watch and Fetch, where set, execute the module's requests to discovery. They must not block. Set them before Run.
	Watch, Fetch func()
	// RefreshLayout, where set, has the full layout fetched. It must not block. Set it before Run.
	RefreshLayout func()
}

const (
	inboxSize  = 1024
	sweepEvery = 50_000 // microseconds
	// stateTimeout bounds the wait for the engine's state.
	stateTimeout = 500 * time.Millisecond
)

// NewEngine makes an engine; Run starts it.
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

// recordPanic counts and logs a panic that was contained in the goroutine of one request, answer or call. It may be called from any goroutine.
func (e *Engine) recordPanic(where string, p *panicguard.PanicError) {
	e.metrics.Panics.Add(1)
	logging.Error(e.log, logging.Panic, "where", where, "error", p.Error(), "stack", string(p.Stack))
}

// post hands a function to the engine's goroutine. It waits while the inbox is full, and returns false where the engine has ended.
func (e *Engine) post(f func(now int64)) bool {
	select {
	case e.inbox <- f:
		return true
	case <-e.stopped:
		return false
	}
}

// Run owns the core until Stop.
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
		e.carryOut(now, e.core.Step(now))
		if now >= e.sweepAt {
			e.sweepAt = now + sweepEvery
			e.pool.sweep(now)
			e.publishMetrics()
		}
		timer.Reset(time.Duration(max(0, e.nextStep()-e.clock.Now())) * time.Microsecond)
	}
}

// runPosted runs what was posted meanwhile: it belongs to the same step of the core.
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

// publishMetrics copies the core's state into the gauges.
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

// nextStep is when the engine has to run again although nothing is posted, in Unix microseconds.
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

// Stop ends Run.
func (e *Engine) Stop() {
	close(e.stop)
	<-e.stopped
}

// carryOut executes the core's effects in their order.
func (e *Engine) carryOut(now int64, effects []core.Effect) {
	for _, x := range effects {
		switch x := x.(type) {
		case core.Call:
			e.pool.call(now, x)
		case core.RecordIntents:
			e.recordIntents(now, x)
		case core.CancelAttempt:
			e.pool.drop(now, x.Attempt)
		case core.RecallUnsent:
			e.pool.recall(now, x.Attempt)
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
		case core.Refresh:
			if e.RefreshLayout != nil {
				e.RefreshLayout()
			}
		case core.LogLine:
			logging.Info(e.log, logging.Note, "text", x.Text)
		}
	}
}

// recordIntents passes intents to their ledger, which must not block, and its result to the core.
func (e *Engine) recordIntents(now int64, x core.RecordIntents) {
	done := func(err error) { e.post(func(now int64) { e.core.IntentsRecorded(now, x.Attempts, err) }) }
	if err := x.Log.Record(x.Intents, x.Deadline, done); err != nil {
		e.core.IntentsRecorded(now, x.Attempts, err)
	}
}

// Ticket is a query that was handed to the engine. Callers wait on Final, Err and the end of the engine.
type Ticket struct {
	Final  chan core.Final // gets the one final answer
	Err    chan error      // gets an error instead where the query is malformed
	id     sq.ID
	gate   int64  // of the query at the gate; 0: it has none
	left   bool   // its client is gone; the engine's
	policy uint64 // the version that it was let in under, and one; 0: there are none. The engine's
}

// Open hands over a query. The ticket gets either a final answer or an error, unless ClientLeft is called or the engine ends before.
func (e *Engine) Open(a core.Query) *Ticket {
	t := &Ticket{Final: make(chan core.Final, 1), Err: make(chan error, 1)}
	e.post(func(now int64) { e.arrive(now, a, t) })
	return t
}

// SetKillDeadline sets the time, in Unix microseconds, at which this process may be killed. Queries that arrive from now on get no
// later deadline, whatever time their clients give.
func (e *Engine) SetKillDeadline(at int64) {
	e.post(func(int64) { e.killDeadline = at })
}

// ClientLeft gives a query up whose client is gone. No attempt of it begins afterwards.
func (e *Engine) ClientLeft(t *Ticket) {
	e.post(func(now int64) {
		t.left = true
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
		// What ends at a process that is gone comes first: it says nothing of the one in its place.
		e.pool.updateFleet(now, f, addresses)
		e.core.FleetChanged(f)
	})
}

// UpdateLayout puts a layout in force. Callers pass layouts in the order of their epochs.
func (e *Engine) UpdateLayout(u layout.Update) {
	e.post(func(now int64) { e.core.LayoutChanged(now, u) })
}

// Reconfigure puts other settings in force in core, module and pool, in one step of the engine.
func (e *Engine) Reconfigure(terms core.Config, settings sq.Settings, cfg PoolConfig, d core.Dialect) {
	e.post(func(int64) {
		e.core.Reconfigure(terms, settings)
		e.pool.cfg, e.pool.dialect = cfg, d
	})
}

// HandoverState returns the state of this process for the one that takes its place. ok is false where the engine has ended or does not
// answer within stateTimeout.
func (e *Engine) HandoverState() (s handover.State, ok bool) {
	got := make(chan handover.State, 1)
	go e.post(func(int64) {
		held, learned := e.core.Occupancy(), e.core.Learned()
		got <- handover.State{
			Sockets: e.pool.conns, Open: held.Open, Labels: held.Labels, Admission: learned.Admission,
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

// SetPeers passes the states of the other processes of this gatherer to the core, and limits this process's connections to servers to
// conns.
func (e *Engine) SetPeers(others []handover.State, conns int) {
	held := core.Occupancy{Labels: map[string]int64{}}
	for _, o := range others {
		held.Open += o.Open
		maps.Copy(held.Labels, o.Labels)
	}
	e.post(func(int64) {
		e.core.SetPeer(held)
		e.pool.cfg.MaxConns = conns
	})
}

// InheritLearned starts from what the process before this one has learned.
func (e *Engine) InheritLearned(from handover.State) {
	e.post(func(now int64) {
		e.core.TakeOver(now, sq.Learned{Admission: from.Admission, Suspects: from.Suspects})
	})
}

// Memory is what a process that comes after this one's end should know. Times are Unix microseconds.
type Memory struct {
	Learned sq.Learned
	Spent   map[string]core.Spent
}

// ExportMemory returns what a later process should know. ok is false where the engine has ended or does not answer within
// stateTimeout.
func (e *Engine) ExportMemory() (m Memory, ok bool) {
	got := make(chan Memory, 1)
	go e.post(func(now int64) { got <- Memory{e.core.Learned(), e.core.Spent(now)} })
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

// RestoreMemory starts from the memory of a process that has ended.
func (e *Engine) RestoreMemory(m Memory) {
	e.post(func(now int64) { e.core.Restore(now, m.Learned, m.Spent) })
}

// OpenQueries returns the number of queries without a final answer; 0 once the engine has ended.
func (e *Engine) OpenQueries() int {
	n := make(chan int, 1)
	e.post(func(int64) { n <- e.core.OpenQueries() })
	select {
	case held := <-n:
		return held
	case <-e.stopped:
		return 0
	}
}
