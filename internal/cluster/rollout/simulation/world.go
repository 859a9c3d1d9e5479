package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"
)

// node is a simulated gatherer: its process, clock and disk.
type node struct {
	index          int
	name           string
	region         int
	core           *rollout.Node
	incarnation    int
	running        bool
	suspended      bool
	undelivered    []*wire.Message // arrived while it was suspended
	disk           disk
	clockRate      float64
	clockOffset    int64
	wakeAt         int64 // 0: no wake-up is scheduled
	wakeGeneration int
	pausedSince    int64  // 0: queries are not paused
	pausedQueries  int    // number of waiting queries
	readyAttempt   uint64 // the newest proposal that it reported itself ready for
	diskFull       bool
	extraDelay     int64 // additional delay of messages to it
}

// runs reports whether a node's process handles messages and queries now.
func (x *node) runs() bool { return x.running && !x.suspended }

// proposal is an operator's request, which is repeated until its outcome is known.
type proposal struct {
	request    *wire.Propose
	proposedAt int64
	target     int // the node that the request is sent to next
	resolved   bool
	onEnd      func(made bool, reason string) // of a roster or voter change; nil: a change of policy
}

// world is the state of a run.
type world struct {
	Config
	rng     *rand.Rand
	now     int64
	taskSeq int
	tasks   taskQueue
	nodes   []*node
	result  Result

	cutLinks   map[[2]int]int // number of current cuts of a link, by sender and receiver
	extraDelay int64          // maximum additional delay of messages
	loss       float64

	newest       uint64 // the newest version that a query was admitted under
	hashes       map[uint64]string
	outcomes     map[uint64]bool // by attempt: whether it was committed
	proposals    map[uint64]*proposal
	lastNonce    uint64
	acknowledged uint64 // the newest version that a proposer was told is in force
	recordedAt   int64  // when a query was last recorded in the history

	regions        []*region
	partTexts      map[uint64]string // the division of the budgets by version, as text
	versionParts   map[uint64][]*wire.Part
	globalOutcomes map[uint64]bool // by attempt: whether it was committed
	partitionFrom  int64           // start of the first partition; 0: none yet
	partitionUntil int64
	cutRegions     map[[2]int]int // number of current cuts between regions, by sender and receiver
}

// Run executes a run. It fails if a node can't be started at the beginning.
func Run(cfg Config) (Result, error) {
	w := &world{
		Config: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, runSeedStream)), now: epoch, cutLinks: map[[2]int]int{}, hashes: map[uint64]string{},
		outcomes: map[uint64]bool{}, proposals: map[uint64]*proposal{}, loss: cfg.Loss,
	}
	w.makeNodes()
	for _, x := range w.nodes {
		if err := w.start(x); err != nil {
			return w.result, err
		}
	}
	w.scheduleFaults()
	w.scheduleLoad()
	if cfg.script != nil {
		cfg.script(w)
	}
	w.runUntil(epoch + cfg.Length)
	w.checkEnd()
	return w.result, nil
}

// makeNodes creates all nodes, the regions and the witness.
func (w *world) makeNodes() {
	total := w.Voters + w.Others + w.Spares
	for i := range total {
		w.nodes = append(w.nodes, &node{
			region: i % max(w.Regions, 1), index: i, name: fmt.Sprintf("n%03d", i),
			clockRate: 1 + maxClockError*(2*w.rng.Float64()-1), clockOffset: w.rng.Int64N(100 * second),
		})
	}
	w.startRegions()
	if w.Witness {
		w.nodes = append(w.nodes, &node{region: w.Regions, index: total, name: fmt.Sprintf("n%03d", total), clockRate: 1})
	}
}

// scheduleFaults schedules random faults, roster and voter changes, proposals, the end of all
// faults and the nodes that are killed for good.
func (w *world) scheduleFaults() {
	for range w.Faults {
		w.schedule(w.rng.Int64N(w.FaultsEnd*8/10), w.injectFault)
	}
	if w.OperatorInterval > 0 {
		w.schedule(w.OperatorInterval, w.operatorAction)
	}
	if w.ProposeInterval > 0 {
		w.schedule(max(w.ProposeInterval, w.StartAt), w.propose)
	}
	w.schedule(w.FaultsEnd, w.endFaults)
	w.schedule(w.StartAt, func() {
		for _, x := range w.nodes[len(w.nodes)-w.Down:] {
			x.running = false
		}
	})
}

// scheduleLoad schedules queries, the configured events and the updates of demand and quotas.
func (w *world) scheduleLoad() {
	for _, x := range w.nodes {
		w.schedule(w.rng.Int64N(w.QueryInterval), func() { w.query(x) })
	}
	for _, e := range w.Events {
		w.schedule(e.At, func() { w.applyEvent(e) })
	}
	if w.DivideBudgets {
		w.schedule(quotaPeriod, w.exchangeQuotas)
	}
}

// start starts a node from its disk.
func (w *world) start(x *node) error {
	x.incarnation++
	if x.disk.identity == 0 {
		x.disk.identity = w.rng.Uint64() | 1
	}
	d := x.disk
	if w.Bugs.ForgetVote && d.hardState != nil {
		d.hardState = proto.CloneOf(d.hardState)
		d.hardState.Vote = proto.Uint64(0)
		d.hardState.Term = proto.Uint64(max(1, d.hardState.GetTerm()-1))
	}
	rng := rand.New(rand.NewPCG(w.Seed, uint64(x.index)<<20+uint64(x.incarnation)))
	core, err := rollout.New(w.nodeConfig(x), w.localTime(x), rng, d.persistentState())
	if err != nil {
		return err
	}
	if x.readyAttempt != 0 && (d.staged == nil || d.staged.Attempt < x.readyAttempt) {
		w.violation(&w.result.ReadyNotStored, "%s said ready for %d, and returns without it", x.name, x.readyAttempt)
	}
	x.core, x.running, x.suspended, x.undelivered = core, true, false, nil
	x.wakeAt, x.pausedSince, x.pausedQueries = 0, 0, 0
	w.execute(x)
	return nil
}

// nodeConfig returns a node's configuration.
func (w *world) nodeConfig(x *node) rollout.Config {
	first := w.nodes[:w.Voters+w.Others]
	cfg := rollout.Config{
		Name: x.name, Region: w.regionName(x), Bugs: w.Bugs, CompactAfter: w.CompactAfter, DivideBudgets: w.DivideBudgets,
		Slots: cmp.Or(w.Slots, uint64(len(first))),
	}
	for i, y := range first {
		cfg.Members = append(cfg.Members, rollout.Member{
			Name: y.name, Address: y.name, Voter: i < w.Voters, Region: w.regionName(y), Global: w.hasRegions() && i < w.GlobalVoters,
		})
	}
	if w.Witness {
		y := w.nodes[len(w.nodes)-1]
		cfg.Members[w.GlobalVoters-1].Global = false
		cfg.Members = append(cfg.Members, rollout.Member{Name: y.name, Address: y.name, Region: w.regionName(y), Global: true})
	}
	return cfg
}

// nodeIndex returns the index of the named node, or -1.
func (w *world) nodeIndex(name string) int {
	return slices.IndexFunc(w.nodes, func(x *node) bool { return x.name == name })
}

// findMember returns the named member of a list, or nil.
func findMember(members []*wire.Member, name string) *wire.Member {
	for _, m := range members {
		if m.Name == name {
			return m
		}
	}
	return nil
}

// disk is the stored state of a node.
type disk struct {
	identity        uint64
	id              uint64 // of the voter; 0: no voter has used it
	voterIdentities map[string]uint64
	roster          *wire.State
	current         *wire.Document
	staged          *wire.Proposal
	hardState       *pb.HardState
	entries         []*pb.Entry
	snapshot        *pb.Snapshot
	global          *disk // of the global agreement
}

// persistentState returns the stored state that a node starts from.
func (d *disk) persistentState() rollout.PersistentState {
	state := rollout.PersistentState{
		Identity: d.identity, VoterIdentities: d.voterIdentities, Members: d.roster.GetMembers(), MembersIndex: d.roster.GetMembersIndex(),
		Current: d.current, Staged: d.staged, Disk: d.voterDisk(),
	}
	if g := d.global; g != nil {
		state.Global = rollout.PersistentGlobalState{VoterIdentities: g.voterIdentities, Disk: g.voterDisk()}
	}
	return state
}

func (d *disk) voterDisk() rollout.Disk {
	return rollout.Disk{ID: d.id, HardState: d.hardState, Entries: slices.Clone(d.entries), Snapshot: d.snapshot}
}

// write stores a voter's save. Stored data of another voter id is deleted.
func (d *disk) write(s *rollout.Save) {
	if s.VoterIdentities != nil {
		d.voterIdentities = s.VoterIdentities
		return
	}
	if s.ID != d.id {
		d.id, d.hardState, d.entries, d.snapshot = s.ID, nil, nil, nil
	}
	if s.Snapshot != nil {
		d.snapshot, d.entries = s.Snapshot, nil
	}
	for _, e := range s.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries[:len(d.entries):len(d.entries)], e)
	}
	if s.HardState != nil {
		d.hardState = s.HardState
	}
}

// compact replaces the stored log up to a snapshot's index by the snapshot.
func (d *disk) compact(s *pb.Snapshot) {
	d.snapshot = s
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Metadata.GetIndex() })
}
