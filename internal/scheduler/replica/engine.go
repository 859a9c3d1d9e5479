package replica

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"
)

// Engine runs the replicas of one process. It passes time and messages to the cores and processes
// the results: it persists, sends and applies. It blocks on nothing but the disk, and has no clock:
// the caller passes times in milliseconds of a monotonic clock. It is not safe for concurrent use,
// except for Status and Groups.
type Engine struct {
	cfg       Config
	groups    map[string]*group
	names     []string                  // of the groups, sorted: the iteration order, so that simulations are deterministic
	addresses map[string]string         // of replicas by id
	contacts  map[string]bool           // bootstrap members whose first contact is recorded
	creations []groupCreation           // requested by CreateGroup, in order
	wanted    map[string]*rpc.Placement // the latest placement of each group, including groups without a replica here
	pending   *readyBatch               // not persisted yet, so neither sent nor applied; nil: none
	err       error
	counts    Counts
	// statuses may be read from any goroutine.
	statuses *xsync.Map[string, *atomic.Pointer[Status]]
}

// Counts are the numbers of snapshots that an Engine has created, and received from leaders, since
// it was started.
type Counts struct {
	SnapshotsCreated, SnapshotsReceived int
}

// group is this process's replica of one group.
type group struct {
	name            string
	core            *consensus.Core
	machine         StateMachine
	waiters         map[uint64]waiter // by proposal index
	applied         uint64            // last index applied to the state machine
	released        uint64            // last index whose entry data is on disk only
	logBytes        int64             // size of the log's data after the latest snapshot
	pendingSnapshot *snapshotWriter   // nil: none
	status          *atomic.Pointer[Status]
	dirty           bool // the core may have a non-empty Ready, or the status may have changed
	joined          bool // it has had contact with its group since the process started
}

// waiter waits for the result of a proposal made in an epoch.
type waiter struct {
	epoch uint64
	done  func(ProposalResult)
}

// ProposalResult is the outcome of a proposal. Result is the value returned by the state machine,
// set if Outcome is DONE.
type ProposalResult struct {
	Outcome rpc.Outcome
	Result  []byte
}

// NewEngine returns an engine with the groups in its store, their state machines restored from
// their snapshots. It returns an error if stored state cannot be read.
func NewEngine(cfg Config, now int64) (*Engine, error) {
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &Engine{
		cfg:       cfg,
		groups:    map[string]*group{},
		addresses: map[string]string{},
		contacts:  map[string]bool{},
		wanted:    map[string]*rpc.Placement{},
		statuses:  xsync.NewMap[string, *atomic.Pointer[Status]](),
	}
	for _, name := range cfg.Store.Groups() {
		stored, err := cfg.Store.Load(name)
		if err != nil {
			return nil, err
		}
		if machine := cfg.Machine(name); machine != nil {
			if err := e.openGroup(now, name, machine, stored); err != nil {
				return nil, err
			}
		}
	}
	return e, nil
}

// openGroup starts the replica of a group from its stored state.
func (e *Engine) openGroup(now int64, name string, machine StateMachine, stored consensus.Stored) error {
	g := &group{name: name, machine: machine, waiters: map[uint64]waiter{}, status: &atomic.Pointer[Status]{}}
	if stored.Snapshot != nil {
		if stored.Snapshot.Pieces > 0 {
			if err := machine.Restore(stored.Snapshot.Index, e.cfg.Store.SnapshotState(name)); err != nil {
				return err
			}
		}
		g.applied = stored.Snapshot.Index
	}
	for _, entry := range stored.Entries {
		g.logBytes += int64(len(entry.Data)) + int64(entry.Stored)
	}
	g.core = consensus.New(consensus.Config{
		Group:               name,
		ID:                  e.cfg.Identity.ID,
		Address:             e.cfg.Identity.Address,
		ElectionTimeoutMS:   electionTimeoutMS,
		HeartbeatIntervalMS: heartbeatIntervalMS,
		Random:              e.cfg.Random,
	}, stored, now)
	g.dirty = true
	e.groups[name] = g
	e.names = append(e.names, name)
	slices.Sort(e.names)
	e.publishStatus(g)
	return nil
}

// Counts returns how many snapshots have been created and received so far.
func (e *Engine) Counts() Counts { return e.counts }

// Err returns the error that stopped the engine; nil while it runs. A stopped engine does nothing:
// without its state it would break the promises made to other replicas.
func (e *Engine) Err() error { return e.err }

// Stalled reports whether a write of core state to the disk is pending after a failure. Until it
// succeeds, incoming messages are dropped, proposals are UNAVAILABLE, and leases expire.
func (e *Engine) Stalled() bool { return e.pending != nil }

// Step passes messages of other replicas to the cores. It drops those that are not for this
// replica.
func (e *Engine) Step(now int64, messages []*rpc.Message) {
	for _, m := range messages {
		if m.To != e.cfg.Identity.ID || e.Stalled() || e.err != nil {
			continue
		}
		if !e.recordContact(m.From) {
			continue
		}
		e.addresses[m.From] = m.FromAddress
		g := e.groups[m.Group]
		if g == nil {
			g = e.joinGroup(now, m)
		}
		if g == nil {
			continue
		}
		g.core.Step(now, m)
		g.dirty = true
	}
}

// recordContact records the first contact with a bootstrap member before any of its votes and
// acknowledgements takes effect here. It returns false if that failed: the message counts as lost.
func (e *Engine) recordContact(from string) bool {
	if e.cfg.FirstContact == nil || !IsBootstrapMember(from) || e.contacts[from] {
		return true
	}
	if err := e.cfg.FirstContact(from); err != nil {
		e.cfg.Log.Error("failed to record first contact with bootstrap member", "error", err)
		return false
	}
	e.contacts[from] = true
	return true
}

// Propose makes a group that this replica leads commit and apply a command. It calls done exactly
// once, from this call or from a later call of Tick; never, if the engine stops before.
func (e *Engine) Propose(name string, command []byte, done func(ProposalResult)) {
	g := e.groups[name]
	if g == nil || e.Stalled() || e.err != nil {
		done(ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE})
		return
	}
	index, epoch, err := g.core.Propose(command)
	if err != nil {
		done(ProposalResult{Outcome: rpc.Outcome_NOT_LEADER})
		return
	}
	g.waiters[index] = waiter{epoch, done}
	g.dirty = true
}

// Tick performs all due work: it retries a failed write, creates groups, passes the time to the
// cores, and processes their results. It returns when it is due again. The caller should call it
// earlier after calls of Step, Propose, CreateGroup or SetPlacement.
func (e *Engine) Tick(now int64) (next int64) {
	if e.err != nil {
		return now + maxTickIntervalMS
	}
	if !e.flush() {
		return now + diskRetryIntervalMS
	}
	e.createGroups(now)
	e.tickCores(now)
	for e.processReady() {
	}
	if e.Stalled() {
		return now + diskRetryIntervalMS
	}
	e.advanceSnapshots()
	return e.nextTick(now)
}

// tickCores passes the time to the cores with due work, and makes leaders change the membership of
// their groups.
func (e *Engine) tickCores(now int64) {
	for _, name := range e.names {
		g := e.groups[name]
		if now >= g.core.NextTickAt() {
			g.core.Tick(now)
			g.dirty = true
		}
		if g.dirty && (e.wanted[name] != nil || len(g.core.Membership().Outgoing) > 0) {
			e.changeMembership(g)
		}
	}
}

// nextTick returns when Tick is due again.
func (e *Engine) nextTick(now int64) int64 {
	next := now + maxTickIntervalMS
	for _, g := range e.groups {
		next = min(next, g.core.NextTickAt())
		if g.pendingSnapshot != nil {
			next = now + 1
		}
	}
	return max(next, now+1)
}

// stopOnError stops the engine if err is not nil, because state cannot be read. It reports whether
// err is nil.
func (e *Engine) stopOnError(err error) bool {
	if err != nil && e.err == nil {
		e.cfg.Log.Error("replica state can't be read", "error", err)
		e.err = err
	}
	return err == nil
}
