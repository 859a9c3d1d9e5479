package replica

import (
	"bufio"
	"errors"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/consensus"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"
	"google.golang.org/protobuf/proto"
)

// StateMachine is what a group agrees on. Its methods are called by one goroutine, in the order of the log.
type StateMachine interface {
	// Apply carries a command out and returns what its proposer is told.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the state as it stands now, record after record, nil at its end. The records are asked for while further commands
	// are applied; these must not alter them.
	Snapshot() (next func() proto.Message)
	// Restore sets the state to a snapshot: its records, each behind its length (package protodelim).
	Restore(index uint64, state *bufio.Reader) error
}

// Identity is who a process's replicas are.
type Identity struct {
	ID      string // bound to the disk
	Address string // of the peer service
	Node    string
}

// Storage keeps what the replicas of a process have promised. It is a Store, or stands in for one.
type Storage interface {
	Groups() []string
	Load(group string) (consensus.Stored, error)
	Entry(group string, index uint64) (*rpc.Entry, error)
	Chunk(group string, number uint32) (*rpc.SnapshotPiece, error)
	SnapshotState(group string) *bufio.Reader
	Persist(saves []GroupWrite) error
	StageChunk(group string, chunk *rpc.SnapshotPiece) error
}

// Config is what an engine, and the host around it, is made of.
type Config struct {
	Identity Identity
	Store    Storage
	Machine  func(group string) StateMachine // nil for groups that this process doesn't hold
	Send     func(address string, messages []*rpc.Message)
	Log      *slog.Logger
	Random   *rand.Rand // nil: seeded by chance
	Options  Options
	// Changed is told that a group's status or state has changed; it must not block.
	Changed func(group string)
}

// Options are what an operator may set.
type Options struct {
	// SnapshotBytes and SnapshotEntries are the length from which on a group's log is replaced by a snapshot; 0: the usual. The log costs no
	// memory, so it should be as long as the disk allows.
	SnapshotBytes   int64
	SnapshotEntries int
	// BatchCalls has a host take in what comes within batchWindow of the first call or message at once, so that one sync and one message to each replica
	// serve it all.
	BatchCalls bool
}

const (
	electionTimeoutMS      = 550
	heartbeatIntervalMS    = 110
	defaultSnapshotBytes   = 16 << 20
	defaultSnapshotEntries = 20000
	maxTickIntervalMS      = 200
	cachedEntries          = 64 // whose data stays in memory after they are applied
	diskRetryIntervalMS    = 200
)

// Engine runs the replicas of one process: it tells the cores the time, persists, sends and applies. It is for one goroutine, never blocks but
// for the disk, and has no clock: times are milliseconds that the caller gives.
type Engine struct {
	cfg       Config
	groups    map[string]*group
	names     []string          // of the groups, in order
	addresses map[string]string // of replicas, by id
	creations []groupCreation
	pending   *readyBatch // what the disk has not taken yet
	err       error
	counts    Counts
	// statuses can be read by any goroutine.
	statuses *xsync.Map[string, *atomic.Pointer[Status]]
}

// Counts are what an engine has done.
type Counts struct {
	SnapshotsMade, SnapshotsReceived int
}

type group struct {
	name     string
	core     *consensus.Core
	machine  StateMachine
	waiters  map[uint64]waiter
	wanted   *rpc.Placement
	applied  uint64
	released uint64 // entries up to it have their data on disk only
	logBytes int64
	snapshot *snapshotWriter
	status   *atomic.Pointer[Status]
	dirty    bool
	joined   bool // it was in touch with its group once
}

type waiter struct {
	epoch uint64
	done  func(ProposalResult)
}

// ProposalResult is what became of a proposal.
type ProposalResult struct {
	Outcome rpc.Outcome
	Result  []byte
}

// foundation is a group that is to be founded.
type groupCreation struct {
	name     string
	founders []*rpc.Replica
}

// work is one round of what the cores want done.
type readyBatch struct {
	writes []GroupWrite
	tasks  []task
}

type task struct {
	group *group
	ready consensus.Ready
}

// NewEngine returns an engine that holds what its store holds.
func NewEngine(cfg Config, now int64) (*Engine, error) {
	if cfg.Random == nil {
		cfg.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	e := &Engine{cfg: cfg, groups: map[string]*group{}, addresses: map[string]string{}, statuses: xsync.NewMap[string, *atomic.Pointer[Status]]()}
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
		Group: name, ID: e.cfg.Identity.ID, Address: e.cfg.Identity.Address,
		ElectionTimeoutMS: electionTimeoutMS, HeartbeatIntervalMS: heartbeatIntervalMS, Random: e.cfg.Random,
	}, stored, now)
	g.dirty = true
	e.groups[name] = g
	e.names = append(e.names, name)
	slices.Sort(e.names)
	e.publish(g)
	return nil
}

// Counts are what it has done so far.
func (e *Engine) Counts() Counts { return e.counts }

// Failed is why the engine has ended; nil while it works. What it would say without its state would be wrong.
func (e *Engine) Err() error { return e.err }

// Stalled tells whether the disk has not taken what the cores have promised. Until it has, nothing else is done: messages that come are
// lost, and leases run out.
func (e *Engine) Stalled() bool { return e.pending != nil }

// CreateGroup starts a group with these founders, of whom this replica is one. Where the group exists already, nothing happens.
func (e *Engine) CreateGroup(name string, founders []*rpc.Replica) {
	e.creations = append(e.creations, groupCreation{name, founders})
}

func (e *Engine) createGroups(now int64) {
	for len(e.creations) > 0 {
		f := e.creations[0]
		machine := e.cfg.Machine(f.name)
		if e.groups[f.name] == nil && machine != nil {
			// The founders stand in a snapshot, so that whoever joins later is sent them.
			snapshot := &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: f.founders}}
			hard := &rpc.HardState{Epoch: 1}
			if !e.persist([]GroupWrite{{Group: f.name, Snapshot: snapshot, HardState: hard}}) {
				return
			}
			e.check(e.openGroup(now, f.name, machine, consensus.Stored{Snapshot: snapshot, HardState: hard}))
		}
		e.creations = e.creations[1:]
	}
}

// SetWanted says which voters a group should have. The group's leader brings it there, one replica at a time.
func (e *Engine) SetWanted(wanted *rpc.Placement) {
	if g := e.groups[wanted.Group]; g != nil && (g.wanted == nil || wanted.Revision >= g.wanted.Revision) {
		g.wanted = wanted
		g.dirty = true
	}
}

// Step takes messages of other replicas in.
func (e *Engine) Step(now int64, messages []*rpc.Message) {
	for _, m := range messages {
		if m.To != e.cfg.Identity.ID || e.Stalled() || e.err != nil {
			continue
		}
		e.addresses[m.From] = m.FromAddress
		g := e.groups[m.Group]
		if g == nil {
			if g = e.join(now, m); g == nil {
				continue
			}
		}
		g.core.Step(now, m)
		g.dirty = true
	}
}

// join starts an empty replica of a group whose leader addresses this process.
func (e *Engine) join(now int64, m *rpc.Message) *group {
	if m.Kind != rpc.MessageKind_APPEND && m.Kind != rpc.MessageKind_SNAPSHOT {
		return nil
	}
	machine := e.cfg.Machine(m.Group)
	if machine == nil {
		return nil
	}
	empty := consensus.Stored{Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}, HardState: &rpc.HardState{}}
	if !e.persist([]GroupWrite{{Group: m.Group, Snapshot: empty.Snapshot, HardState: empty.HardState}}) {
		return nil // the leader sends it again
	}
	e.check(e.openGroup(now, m.Group, machine, empty))
	return e.groups[m.Group]
}

// Propose has a command agreed on by a group that this replica leads. done is called once, from this call or a later one.
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

// Tick does what is due, and returns when it has to be called again if nothing happens before.
func (e *Engine) Tick(now int64) (next int64) {
	if e.err != nil {
		return now + maxTickIntervalMS
	}
	if !e.flush() {
		return now + diskRetryIntervalMS
	}
	e.createGroups(now)
	for _, name := range e.names {
		g := e.groups[name]
		if now >= g.core.NextTickAt() {
			g.core.Tick(now)
			g.dirty = true
		}
		if g.dirty && g.wanted != nil {
			e.changeMembership(g)
		}
	}
	for e.processReady() {
	}
	if e.Stalled() {
		return now + diskRetryIntervalMS
	}
	e.advanceSnapshots()
	next = now + maxTickIntervalMS
	for _, g := range e.groups {
		next = min(next, g.core.NextTickAt())
		if g.snapshot != nil {
			next = now + 1
		}
	}
	return max(next, now+1)
}

// steer makes the next change of membership that leads to the wanted one.
func (e *Engine) changeMembership(g *group) {
	next := g.core.NextMembership(g.wanted.Replicas, g.wanted.Revision)
	if next == nil {
		return
	}
	if err := g.core.ProposeMembership(next); err == nil {
		e.cfg.Log.Info("membership change", "group", g.name, "epoch", g.core.Epoch(), "voters", nodeNames(next.Voters), "learners", nodeNames(next.Learners))
	}
}

func nodeNames(replicas []*rpc.Replica) (list []string) {
	for _, replica := range replicas {
		list = append(list, replica.Node)
	}
	return list
}

// round does one round of what the cores want done; it tells whether there may be more.
func (e *Engine) processReady() bool {
	w := &readyBatch{}
	for _, name := range e.names {
		g := e.groups[name]
		if !g.dirty {
			continue
		}
		g.dirty = false
		r := g.core.Ready()
		if r.Empty() {
			e.publish(g)
			continue
		}
		w.tasks = append(w.tasks, task{g, r})
		if r.MustSync() {
			w.writes = append(w.writes, e.groupWrite(g, &r))
		}
	}
	if len(w.tasks) == 0 {
		return false
	}
	e.pending = w
	return e.flush()
}

// flush persists what waits for the disk, then sends and applies what depends on it. It returns false where the disk takes nothing.
func (e *Engine) flush() bool {
	w := e.pending
	if w == nil {
		return true
	}
	if len(w.writes) > 0 && !e.persist(w.writes) {
		return false
	}
	e.pending = nil
	e.send(w)
	for _, t := range w.tasks {
		e.apply(t.group, &t.ready)
		t.group.dirty = true
		e.publish(t.group)
	}
	return e.err == nil
}

// send passes the messages of a round on, in one batch for each address.
func (e *Engine) send(w *readyBatch) {
	outgoing := map[string][]*rpc.Message{}
	var addresses []string
	for _, t := range w.tasks {
		members := t.group.core.Membership()
		for _, replica := range slices.Concat(members.GetVoters(), members.GetLearners()) {
			e.addresses[replica.Id] = replica.Address
		}
		for _, m := range t.ready.Messages {
			address := e.addresses[m.To]
			if address == "" || !e.loadData(t.group, m) {
				continue
			}
			if outgoing[address] == nil {
				addresses = append(addresses, address)
			}
			outgoing[address] = append(outgoing[address], m)
		}
	}
	for _, address := range addresses {
		e.cfg.Send(address, outgoing[address])
	}
}

func (e *Engine) groupWrite(g *group, r *consensus.Ready) GroupWrite {
	if r.Snapshot != nil {
		g.logBytes = 0
		e.counts.SnapshotsReceived++
	}
	for _, entry := range r.Entries {
		g.logBytes += int64(len(entry.Data))
	}
	return GroupWrite{Group: g.name, HardState: r.HardState, Chunks: r.Chunks, Snapshot: r.Snapshot, Received: r.Snapshot != nil, Entries: r.Entries}
}

// persist stores what was promised. It returns false where the disk takes nothing: it has to be tried again.
func (e *Engine) persist(writes []GroupWrite) bool {
	err := e.cfg.Store.Persist(writes)
	if errors.Is(err, ErrCorrupt) {
		return e.check(err)
	}
	if err != nil {
		e.cfg.Log.Error("the disk takes nothing", "error", err)
	}
	return err == nil
}

// check ends the engine where its state can't be read.
func (e *Engine) check(err error) bool {
	if err != nil && e.err == nil {
		e.cfg.Log.Error("replica state can't be read", "error", err)
		e.err = err
	}
	return err == nil
}
