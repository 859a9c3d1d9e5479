package simulation

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/storage/simdisk"
	"slices"
)

type machineKind string

const (
	controllerKind machineKind = "steward"
	storageKind   machineKind = "store"
)

const (
	// snapshotEntries is the length of a log from which on a snapshot takes its place: an ordinary matter here.
	snapshotEntries = 30
	rewriteBytes     = 24 << 10
	controlIntervalMS     = 150
	announceIntervalMS       = 300
	// deadAfter is how long a machine may be silent before others hold it for dead.
	failureTimeoutMS   = 1500
	heartbeatIntervalMS = 1200
	// freshWithin is as the stewards have it.
	feedFreshMS = 700
)

// machine is a computer with a disk that holds replicas.
type machine struct {
	world        *world
	kind     machineKind
	name     string // and its address: a replacement has another one
	zone     string
	identity string
	disksUsed    int // that it has had
	incarnation     int

	disk        *simdisk.Disk
	up          bool
	starting    bool
	restartAt        int64 // when it starts again
	powerlessUntil   int64 // it has no power: nothing is heard of it
	frozenUntil int64
	removed     bool
	clockOffset   int64 // of its time of day

	engine *replica.Engine
	nextTickAt int64
	heardAt  map[string]int64 // when others were heard last
	announcedAt int64            // when it sent its last signs of life
	controlRanAt int64            // when its control loop ran last

	feed      *feed.Table
	directory *directory.Directory
	registries  map[string]*registry.Registry
	heartbeatHandlers     map[string]*registry.HeartbeatHandler
	dispatchEpochs      map[string]uint64 // by registry shard: the epoch under which it sends orders
	jobStates   map[string]*batchjobs.State
	schedulers  map[string]*batchjobs.Scheduler
	rotation      feed.Rotation
	watching  bool // a watch of the feed is under way
	takingOver   bool // it is being recorded as the holder of a shard
}

func (m *machine) isPowerless() bool { return m.world.now < m.powerlessUntil }

func (m *machine) isRunning() bool { return m.up && m.world.now >= m.frozenUntil }

// build makes the machines, with the first stewards as founders, and everybody else.
func (w *world) buildMachines() {
	size := w.groupSize()
	for i := range size {
		w.addMachine(controllerKind, i)
	}
	for i := range size + 1 { // one more than needed, so that a machine can be emptied
		w.addMachine(storageKind, i)
	}
	for _, m := range w.machines {
		m.start()
	}
	founders := w.founders()
	for _, m := range w.machinesOf(controllerKind) {
		for _, group := range controllerGroups() {
			m.engine.CreateGroup(group, founders)
		}
	}
	w.buildClients()
}

func (w *world) groupSize() int { return 2*w.options.Tolerance + 1 }

func (w *world) founders() (founders []*rpc.Replica) {
	for _, m := range w.machinesOf(controllerKind) {
		founders = append(founders, &rpc.Replica{Id: m.identity, Address: m.name, Node: m.name})
	}
	return founders
}

func controllerGroups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

func (w *world) addMachine(kind machineKind, i int) *machine {
	w.addresses++
	m := &machine{world: w, kind: kind, name: fmt.Sprintf("%s%d", kind, w.addresses), zone: fmt.Sprintf("z%d", i%3)}
	w.machines = append(w.machines, m)
	m.replaceDisk()
	return m
}

// newDisk gives the machine an empty disk, and so a new identity.
func (m *machine) replaceDisk() {
	m.disk = simdisk.New(m.name, &simdisk.FaultPlan{})
	m.disksUsed++
	if !m.world.bug(KeepIdentity) || m.identity == "" {
		m.identity = fmt.Sprintf("%s/%d", m.name, m.disksUsed)
	}
}

// start begins a process on what the disk holds.
func (m *machine) start() {
	w := m.world
	w.countSnapshots(m) // of the life before
	m.incarnation++
	m.starting = true
	defer func() { m.starting = false }()
	m.up, m.heardAt, m.announcedAt, m.rotation = true, map[string]int64{}, 0, feed.Rotation{}
	m.feed = feed.NewTable()
	m.directory = directory.New(m.feed)
	m.registries, m.heartbeatHandlers, m.dispatchEpochs = map[string]*registry.Registry{}, map[string]*registry.HeartbeatHandler{}, map[string]uint64{}
	for n := range registry.ShardCount {
		name := registry.ShardName(n)
		m.registries[name] = registry.New(name, m.feed)
		m.heartbeatHandlers[name] = registry.NewHeartbeatHandler(m.registries[name], heartbeatIntervalMS)
	}
	m.jobStates, m.schedulers = map[string]*batchjobs.State{}, map[string]*batchjobs.Scheduler{}
	for n := range jobShards {
		name := batchjobs.ShardName(n)
		m.jobStates[name] = batchjobs.NewState(m.jobsChanged(name), func() int64 { return w.now })
	}
	opened, err := replica.OpenStoreOn(m.replicaDisk(), rewriteBytes)
	if err == nil {
		err = m.disk.Sync()
	}
	if err != nil {
		w.reportViolation(Lost, "%s can't open its store: %v", m.name, err)
		return
	}
	m.engine, err = replica.NewEngine(replica.Config{
		Identity: replica.Identity{ID: m.identity, Address: m.name, Node: m.name}, Store: opened,
		Machine: m.stateMachineOf, Send: m.send, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(w.options.Seed, uint64(w.random.Uint32()))),
		Options: replica.Options{SnapshotEntries: snapshotEntries},
	}, w.now)
	if err != nil {
		w.reportViolation(Lost, "%s can't start on its disk: %v", m.name, err)
		return
	}
	m.nextTickAt, m.controlRanAt = 0, w.now
	m.watching, m.takingOver = false, false
	w.trace("start %s as %s", m.name, m.identity)
}

// machineOf is the state machine of a group.
func (m *machine) stateMachineOf(group string) replica.StateMachine {
	if m.kind == storageKind {
		if l := m.jobStates[group]; l != nil {
			return m.checkedStateMachine(group, l)
		}
		return nil
	}
	if group == directory.Shard {
		return m.checkedStateMachine(group, m.directory)
	}
	if r := m.registries[group]; r != nil {
		return m.checkedStateMachine(group, r)
	}
	return nil
}

// send carries messages to the replica at an address.
func (m *machine) send(address string, messages []*rpc.Message) {
	w := m.world
	to := w.machine(address)
	if to == nil {
		return
	}
	for range 1 + w.random.IntN(40)/39 { // now and then twice
		if w.oneIn(60) || w.isPartitionedOneWay(m.name, address) {
			return
		}
		w.schedule(w.latency(), func() {
			if to.isRunning() && !w.isPartitionedOneWay(m.name, address) {
				to.engine.Step(w.now, messages)
				to.nextTickAt = 0
			}
		})
	}
}

// tick runs the machine for a moment.
func (m *machine) tick() {
	w := m.world
	switch {
	case m.removed:
		return
	case !m.up:
		if w.now >= m.restartAt {
			m.start()
		}
		return
	case w.now < m.frozenUntil:
		return
	}
	if w.now >= m.nextTickAt {
		m.nextTickAt = m.engine.Tick(w.now)
		if err := m.engine.Err(); err != nil {
			w.reportViolation(Lost, "%s ended: %v", m.name, err)
		}
	}
	m.announce()
	if w.now-m.controlRanAt >= controlIntervalMS {
		m.controlRanAt = w.now
		m.runControlLoop()
	}
}

// signs tells the others that this machine is alive, as the membership protocol does in its way.
func (m *machine) announce() {
	w := m.world
	if w.now-m.announcedAt < announceIntervalMS {
		return
	}
	m.announcedAt = w.now
	for _, other := range w.machines {
		if other != m && !other.removed && other.up && !w.isPartitioned(m.name, other.name) {
			other.heardAt[m.name] = w.now
		}
	}
}

// knows lists the machines of a kind as this one sees them.
func (m *machine) visibleMachines(kind machineKind) (list []placement.Machine) {
	for _, other := range m.world.machinesOf(kind) {
		at, heard := m.heardAt[other.name]
		if other == m {
			at, heard = m.world.now, true
		}
		if !heard {
			continue
		}
		seen := placement.Machine{Node: other.name, Identity: other.identity, Address: other.name, Zone: other.zone, Alive: m.world.now-at < failureTimeoutMS}
		if !seen.Alive {
			seen.DeadMS = m.world.now - at - failureTimeoutMS
		}
		_, seen.Retiring = m.directory.Retirements()[other.name]
		list = append(list, seen)
	}
	return list
}

// submit has a command agreed on by whoever leads a group, as replica.Submit does, until a time.
func (m *machine) submit(group string, command []byte, until int64, done func(replica.ProposalResult)) {
	const retryPause, proposeTimeout = 60, 2000
	w, incarnation := m.world, m.incarnation
	last := replica.ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	var attempt func()
	retry := func(p replica.ProposalResult) {
		if last = p; p.Outcome == rpc.Outcome_DONE {
			done(p)
			return
		}
		w.schedule(retryPause, attempt)
	}
	attempt = func() {
		if m.incarnation != incarnation || w.now >= until {
			done(last)
			return
		}
		self, address := m.engine.Status(group).NextHop()
		switch {
		case self:
			m.propose(group, command, retry)
		case address != "":
			answered := false
			once := func(p replica.ProposalResult) {
				if !answered {
					answered = true
					retry(p)
				}
			}
			var look func()
			look = func() {
				if _, now := m.engine.Status(group).NextHop(); now != address {
					once(replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
				} else if !answered && m.incarnation == incarnation {
					w.schedule(retryPause, look)
				}
			}
			w.schedule(retryPause, look)
			to := w.machine(address)
			call(w, m.name, to, min(proposeTimeout, until-w.now), func(answer func(replica.ProposalResult)) { to.propose(group, command, answer) },
				func(p replica.ProposalResult, ok bool) {
					if !ok {
						p = replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
					}
					once(p)
				})
		default:
			w.schedule(retryPause, attempt)
		}
	}
	attempt()
}

// propose has a command agreed on by a group that this machine leads.
func (m *machine) propose(group string, command []byte, done func(replica.ProposalResult)) {
	if self, _ := m.engine.Status(group).NextHop(); m.world.bug(AckOnPropose) && self && group == directory.Shard && isReplace(command) {
		m.engine.Propose(group, command, func(replica.ProposalResult) {})
		m.nextTickAt = 0
		done(replica.ProposalResult{Outcome: rpc.Outcome_DONE, Result: replica.Marshal(&rpc.DirectoryResult{})})
		return
	}
	m.engine.Propose(group, command, done)
	m.nextTickAt = 0
}

// leased tells whether this machine leads a group and no other can by now.
func (m *machine) hasLease(group string) bool {
	status := m.engine.Status(group)
	return status != nil && status.HasLease(m.world.now)
}

// inTouch tells whether this machine had lately all that a group has agreed on.
func (m *machine) isInTouch(group string, within int64) bool {
	status := m.engine.Status(group)
	if status != nil && m.world.bug(CountContactOnly) && !status.Leader && status.LeaderID != "" && m.world.now-status.LeaderContactAt < within {
		return true
	}
	return status != nil && status.InTouch(m.world.now, within)
}

// fresh tells whether this steward is in touch with the leaders of all groups.
func (m *machine) isFresh() bool {
	if m.world.bug(StaleFeed) {
		return true
	}
	return !slices.ContainsFunc(controllerGroups(), func(group string) bool { return !m.isInTouch(group, feedFreshMS) })
}

// wallClock is the machine's time of day in milliseconds.
func (m *machine) wallClock() int64 { return 1_700_000_000_000 + m.world.now + m.clockOffset }
