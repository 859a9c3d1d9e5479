package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
	"google.golang.org/protobuf/proto"

	"saffronquay/internal/system/consensus"
	"saffronquay/internal/system/rpc"
)

// StateMachine is what a group agrees on. Its methods are called by one goroutine, in the order of the log.
type StateMachine interface {
	// Apply carries a command out and returns what its proposer is told.
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(index uint64, state []byte) error
}

// Identity is who a process's replicas are.
type Identity struct {
	ID      string // bound to the disk
	Address string // of the peer service
	Node    string
}

// Config is what a host is made of.
type Config struct {
	Identity Identity
	Store    *Store
	Machine  func(group string) StateMachine // nil for groups that this process doesn't hold
	Send     func(address string, messages []*rpc.Message)
	Log      *slog.Logger
	// SnapshotBytes is the length from which on a group's log is replaced by a snapshot; 0: 16 MB. The log costs no memory, a snapshot of
	// the state does while it is written or sent: it should be as long as the disk allows.
	SnapshotBytes int64
	// Changed is told on the host's goroutine that a group's status or state has changed; it must not block.
	Changed func(group string)
}

const (
	electionMS      = 550
	heartbeatMS     = 110
	queueLength     = 4096
	snapshotBytes   = 16 << 20
	snapshotEntries = 20000
	idle            = 200 * time.Millisecond
	keptEntries     = 64 // whose data stays in memory after they are applied
	diskRetry       = 200 * time.Millisecond
	// leaseMS is how long after its last contact with a majority a leader may answer reads; it is less than the shortest silence after
	// which another one can be elected.
	leaseMS = electionMS * 8 / 10
)

// Host runs the replicas of one process: it tells the cores the time, persists, sends and applies.
type Host struct {
	cfg     Config
	start   time.Time
	in      chan func()
	stop    chan struct{}
	done    chan struct{}
	groups  map[string]*group
	address map[string]string // of replicas, by id
	// statuses can be read by any goroutine.
	statuses *xsync.Map[string, *atomic.Pointer[Status]]
	failed   atomic.Bool
	random   *rand.Rand
}

type group struct {
	name     string
	core     *consensus.Core
	machine  StateMachine
	waiters  map[uint64]waiter
	wanted   []*rpc.Replica
	applied  uint64
	stripped uint64 // entries up to it have their data on disk only
	logBytes int64
	status   *atomic.Pointer[Status]
	dirty    bool
}

type waiter struct {
	epoch uint64
	done  chan<- Proposed
}

// Proposed is what became of a proposal.
type Proposed struct {
	Outcome rpc.Outcome
	Result  []byte
}

// NewHost returns a host that holds what its store holds.
func NewHost(cfg Config) (*Host, error) {
	h := &Host{cfg: cfg, start: time.Now(), in: make(chan func(), queueLength), stop: make(chan struct{}), done: make(chan struct{}),
		groups: map[string]*group{}, address: map[string]string{}, statuses: xsync.NewMap[string, *atomic.Pointer[Status]](), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	for _, name := range cfg.Store.Groups() {
		stored, err := cfg.Store.Load(name)
		if err != nil {
			return nil, err
		}
		if machine := cfg.Machine(name); machine != nil {
			if err := h.open(name, machine, stored); err != nil {
				return nil, err
			}
		}
	}
	return h, nil
}

// Now is the host's clock in milliseconds; it starts far enough above 0 that no age is below it.
func (h *Host) Now() int64 { return time.Since(h.start).Milliseconds() + 1_000_000 }

func (h *Host) open(name string, machine StateMachine, stored consensus.Stored) error {
	g := &group{name: name, machine: machine, waiters: map[uint64]waiter{}, status: &atomic.Pointer[Status]{}}
	if stored.Snapshot != nil {
		if len(stored.Snapshot.State) > 0 {
			if err := machine.Restore(stored.Snapshot.Index, stored.Snapshot.State); err != nil {
				return err
			}
		}
		g.applied = stored.Snapshot.Index
	}
	for _, entry := range stored.Entries {
		g.logBytes += int64(len(entry.Data)) + int64(entry.Stored)
	}
	g.core = consensus.New(consensus.Config{Group: name, ID: h.cfg.Identity.ID, Address: h.cfg.Identity.Address,
		ElectionMS: electionMS, HeartbeatMS: heartbeatMS, Random: h.random}, stored, h.Now())
	g.dirty = true
	h.groups[name] = g
	h.publish(g)
	return nil
}

// Found starts a group with these founders, of whom this replica is one. Where the group exists already, nothing happens.
func (h *Host) Found(name string, founders []*rpc.Replica) {
	h.do(func() {
		if h.groups[name] != nil {
			return
		}
		machine := h.cfg.Machine(name)
		if machine == nil {
			return
		}
		// The founders stand in a snapshot, so that whoever joins later is sent them.
		snapshot := &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: founders}}
		hard := &rpc.HardState{Epoch: 1}
		if h.persist([]Save{{Group: name, Snapshot: snapshot, HardState: hard}}) {
			h.check(h.open(name, machine, consensus.Stored{Snapshot: snapshot, HardState: hard}))
		}
	})
}

// SetWanted says which voters a group should have. The group's leader brings it there, one replica at a time.
func (h *Host) SetWanted(name string, wanted []*rpc.Replica) {
	h.do(func() {
		if g := h.groups[name]; g != nil {
			g.wanted = wanted
			g.dirty = true
		}
	})
}

// Step takes messages of other replicas in. Where the queue is full they are dropped, as a network may.
func (h *Host) Step(messages []*rpc.Message) {
	select {
	case h.in <- func() { h.step(messages) }:
	default:
	}
}

func (h *Host) step(messages []*rpc.Message) {
	for _, m := range messages {
		if m.To != h.cfg.Identity.ID {
			continue
		}
		h.address[m.From] = m.FromAddress
		g := h.groups[m.Group]
		if g == nil {
			if g = h.join(m); g == nil {
				continue
			}
		}
		g.core.Step(h.Now(), m)
		g.dirty = true
	}
}

// join starts an empty replica of a group whose leader addresses this process.
func (h *Host) join(m *rpc.Message) *group {
	if m.Kind != rpc.MessageKind_APPEND && m.Kind != rpc.MessageKind_SNAPSHOT {
		return nil
	}
	machine := h.cfg.Machine(m.Group)
	if machine == nil {
		return nil
	}
	empty := consensus.Stored{Snapshot: &rpc.Snapshot{Membership: &rpc.Membership{}}, HardState: &rpc.HardState{}}
	if !h.persist([]Save{{Group: m.Group, Snapshot: empty.Snapshot, HardState: empty.HardState}}) {
		return nil
	}
	h.check(h.open(m.Group, machine, empty))
	return h.groups[m.Group]
}

// Propose has a command agreed on by a group that this replica leads.
func (h *Host) Propose(ctx context.Context, name string, command []byte) Proposed {
	done := make(chan Proposed, 1)
	h.do(func() {
		g := h.groups[name]
		if g == nil {
			done <- Proposed{Outcome: rpc.Outcome_UNAVAILABLE}
			return
		}
		index, epoch, err := g.core.Propose(command)
		if err != nil {
			done <- Proposed{Outcome: rpc.Outcome_NOT_LEADER}
			return
		}
		g.waiters[index] = waiter{epoch, done}
		g.dirty = true
	})
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
	case <-h.done:
	}
	return Proposed{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
}

func (h *Host) do(f func()) {
	select {
	case h.in <- f:
	case <-h.done:
	}
}

// Run works until Stop.
func (h *Host) Run() {
	defer close(h.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-h.in:
			f()
			h.drain()
		case <-timer.C:
		case <-h.stop:
			return
		}
		if h.failed.Load() {
			return
		}
		timer.Reset(h.turn())
	}
}

// drain takes in what else waits, so that one sync serves it all.
func (h *Host) drain() {
	for range 256 {
		select {
		case f := <-h.in:
			f()
		default:
			return
		}
	}
}

// turn ticks the cores, does what they want done, and tells how long there is nothing to do.
func (h *Host) turn() time.Duration {
	now := h.Now()
	for _, g := range h.groups {
		if now >= g.core.NextAt() {
			g.core.Tick(now)
			g.dirty = true
		}
		if g.dirty && len(g.wanted) > 0 {
			h.steer(g)
		}
	}
	for h.carryOut() {
	}
	next := now + idle.Milliseconds()
	for _, g := range h.groups {
		next = min(next, g.core.NextAt())
	}
	return time.Duration(max(next-h.Now(), 1)) * time.Millisecond
}

// steer makes the next change of membership that leads to the wanted one.
func (h *Host) steer(g *group) {
	next := g.core.NextMembership(g.wanted)
	if next == nil {
		return
	}
	if err := g.core.ProposeMembership(next); err == nil {
		h.cfg.Log.Info("membership change", "group", g.name, "epoch", g.core.Epoch(), "voters", names(next.Voters), "learners", names(next.Learners))
	}
}

func names(replicas []*rpc.Replica) (list []string) {
	for _, replica := range replicas {
		list = append(list, replica.Node)
	}
	return list
}

// carryOut does one round of what the cores want done; it tells whether there was anything.
func (h *Host) carryOut() bool {
	var saves []Save
	type work struct {
		g *group
		r consensus.Ready
	}
	var works []work
	for _, g := range h.groups {
		if !g.dirty {
			continue
		}
		g.dirty = false
		r := g.core.Ready()
		if r.Empty() {
			h.publish(g)
			continue
		}
		works = append(works, work{g, r})
		if r.MustSync() {
			saves = append(saves, h.save(g, &r))
		}
	}
	if len(saves) > 0 && !h.persist(saves) {
		return false
	}
	outgoing := map[string][]*rpc.Message{}
	for _, w := range works {
		for _, replica := range w.g.core.Membership().GetVoters() {
			h.address[replica.Id] = replica.Address
		}
		for _, replica := range w.g.core.Membership().GetLearners() {
			h.address[replica.Id] = replica.Address
		}
		for _, m := range w.r.Messages {
			if !h.fill(w.g, m) {
				continue
			}
			if address := h.address[m.To]; address != "" {
				outgoing[address] = append(outgoing[address], m)
			}
		}
	}
	for address, messages := range outgoing {
		h.cfg.Send(address, messages)
	}
	for _, w := range works {
		h.apply(w.g, &w.r)
		w.g.dirty = true
		h.publish(w.g)
	}
	return len(works) > 0
}

func (h *Host) save(g *group, r *consensus.Ready) Save {
	if r.Snapshot != nil {
		g.logBytes = 0
	}
	for _, entry := range r.Entries {
		g.logBytes += int64(len(entry.Data))
	}
	return Save{Group: g.name, HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}
}

// persist stores what the cores have promised. While the disk takes nothing it tries again: the leases of this process run out
// meanwhile, and its replicas say nothing. It returns false where the host is stopped before.
func (h *Host) persist(saves []Save) bool {
	for {
		err := h.cfg.Store.Persist(saves)
		if err == nil {
			return true
		}
		h.cfg.Log.Error("the disk takes nothing", "error", err)
		select {
		case <-time.After(diskRetry):
		case <-h.stop:
			return false
		}
	}
}

// check ends the host where its state can't be read: what it would say from then on would be wrong.
func (h *Host) check(err error) bool {
	if err != nil {
		h.cfg.Log.Error("replica state can't be read", "error", err)
		h.failed.Store(true)
	}
	return err == nil
}

// Failed tells whether the host has ended because its state could not be read.
func (h *Host) Failed() bool { return h.failed.Load() }

// Done is closed when the host has ended.
func (h *Host) Done() <-chan struct{} { return h.done }

// Stop ends Run.
func (h *Host) Stop() {
	close(h.stop)
	<-h.done
}

// Marshal encodes a command; commands of this package's users always can be.
func Marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic("replica: command can't be encoded: " + err.Error())
	}
	return b
}
