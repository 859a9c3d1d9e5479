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

type kind string

const (
	steward kind = "steward"
	store   kind = "store"
)

const (
	// snapshotEntries is the length of a log from which on a snapshot takes its place: an ordinary matter here.
	snapshotEntries = 30
	rewriteFrom     = 24 << 10
	controlEach     = 150
	heardEach       = 300
	// deadAfter is how long a machine may be silent before others hold it for dead.
	deadAfter   = 1500
	heartbeatMS = 1200
	// freshWithin is as the stewards have it.
	freshWithin = 700
)

// machine is a computer with a disk that holds replicas.
type machine struct {
	w        *world
	kind     kind
	name     string // and its address: a replacement has another one
	zone     string
	identity string
	disks    int // that it has had
	life     int

	disk        *simdisk.Disk
	up          bool
	starting    bool
	upAt        int64 // when it starts again
	darkUntil   int64 // it has no power: nothing is heard of it
	frozenUntil int64
	removed     bool
	clockStep   int64 // of its time of day

	engine *replica.Engine
	turnAt int64
	heard  map[string]int64 // when others were heard last
	seenAt int64            // when it sent its last signs of life
	doneAt int64            // when its control loop ran last

	feed      *feed.Table
	directory *directory.Directory
	registry  map[string]*registry.Registry
	desks     map[string]*registry.HeartbeatHandler
	held      map[string]uint64 // by registry shard: the epoch under which it sends orders
	ledgers   map[string]*batchjobs.State
	schedule  map[string]*batchjobs.Scheduler
	tail      feed.Rotation
	watching  bool // a watch of the feed is under way
	holding   bool // it is being recorded as the holder of a shard
}

func (m *machine) dark() bool { return m.w.now < m.darkUntil }

func (m *machine) alive() bool { return m.up && m.w.now >= m.frozenUntil }

// build makes the machines, with the first stewards as founders, and everybody else.
func (w *world) build() {
	size := w.groupSize()
	for i := range size {
		w.addMachine(steward, i)
	}
	for i := range size + 1 { // one more than needed, so that a machine can be emptied
		w.addMachine(store, i)
	}
	for _, m := range w.machines {
		m.start()
	}
	founders := w.founders()
	for _, m := range w.of(steward) {
		for _, group := range stewardGroups() {
			m.engine.CreateGroup(group, founders)
		}
	}
	w.buildClients()
}

func (w *world) groupSize() int { return 2*w.options.Tolerance + 1 }

func (w *world) founders() (founders []*rpc.Replica) {
	for _, m := range w.of(steward) {
		founders = append(founders, &rpc.Replica{Id: m.identity, Address: m.name, Node: m.name})
	}
	return founders
}

func stewardGroups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

func (w *world) addMachine(kind kind, i int) *machine {
	w.addresses++
	m := &machine{w: w, kind: kind, name: fmt.Sprintf("%s%d", kind, w.addresses), zone: fmt.Sprintf("z%d", i%3)}
	w.machines = append(w.machines, m)
	m.newDisk()
	return m
}

// newDisk gives the machine an empty disk, and so a new identity.
func (m *machine) newDisk() {
	m.disk = simdisk.New(m.name, &simdisk.FaultPlan{})
	m.disks++
	if !m.w.bug(DiskForgiven) || m.identity == "" {
		m.identity = fmt.Sprintf("%s/%d", m.name, m.disks)
	}
}

// start begins a process on what the disk holds.
func (m *machine) start() {
	w := m.w
	w.count(m) // of the life before
	m.life++
	m.starting = true
	defer func() { m.starting = false }()
	m.up, m.heard, m.seenAt, m.tail = true, map[string]int64{}, 0, feed.Rotation{}
	m.feed = feed.NewTable()
	m.directory = directory.New(m.feed)
	m.registry, m.desks, m.held = map[string]*registry.Registry{}, map[string]*registry.HeartbeatHandler{}, map[string]uint64{}
	for n := range registry.ShardCount {
		name := registry.ShardName(n)
		m.registry[name] = registry.New(name, m.feed)
		m.desks[name] = registry.NewHeartbeatHandler(m.registry[name], heartbeatMS)
	}
	m.ledgers, m.schedule = map[string]*batchjobs.State{}, map[string]*batchjobs.Scheduler{}
	for n := range ledgerShards {
		name := batchjobs.ShardName(n)
		m.ledgers[name] = batchjobs.NewState(m.ledgerChanged(name), func() int64 { return w.now })
	}
	opened, err := replica.OpenStoreOn(m.replicaDisk(), rewriteFrom)
	if err == nil {
		err = m.disk.Sync()
	}
	if err != nil {
		w.fail(Lost, "%s can't open its store: %v", m.name, err)
		return
	}
	m.engine, err = replica.NewEngine(replica.Config{
		Identity: replica.Identity{ID: m.identity, Address: m.name, Node: m.name}, Store: opened,
		Machine: m.machineOf, Send: m.send, Log: slog.New(slog.DiscardHandler), Random: rand.New(rand.NewPCG(w.options.Seed, uint64(w.random.Uint32()))),
		Options: replica.Options{SnapshotEntries: snapshotEntries},
	}, w.now)
	if err != nil {
		w.fail(Lost, "%s can't start on its disk: %v", m.name, err)
		return
	}
	m.turnAt, m.doneAt = 0, w.now
	m.watching, m.holding = false, false
	w.trace("start %s as %s", m.name, m.identity)
}

// machineOf is the state machine of a group.
func (m *machine) machineOf(group string) replica.StateMachine {
	if m.kind == store {
		if l := m.ledgers[group]; l != nil {
			return m.watched(group, l)
		}
		return nil
	}
	if group == directory.Shard {
		return m.watched(group, m.directory)
	}
	if r := m.registry[group]; r != nil {
		return m.watched(group, r)
	}
	return nil
}

// send carries messages to the replica at an address.
func (m *machine) send(address string, messages []*rpc.Message) {
	w := m.w
	to := w.machine(address)
	if to == nil {
		return
	}
	for range 1 + w.random.IntN(40)/39 { // now and then twice
		if w.chance(60) || w.cut(m.name, address) {
			return
		}
		w.after(w.latency(), func() {
			if to.alive() && !w.cut(m.name, address) {
				to.engine.Step(w.now, messages)
				to.turnAt = 0
			}
		})
	}
}

// tick runs the machine for a moment.
func (m *machine) tick() {
	w := m.w
	switch {
	case m.removed:
		return
	case !m.up:
		if w.now >= m.upAt {
			m.start()
		}
		return
	case w.now < m.frozenUntil:
		return
	}
	if w.now >= m.turnAt {
		m.turnAt = m.engine.Tick(w.now)
		if err := m.engine.Err(); err != nil {
			w.fail(Lost, "%s ended: %v", m.name, err)
		}
	}
	m.signs()
	if w.now-m.doneAt >= controlEach {
		m.doneAt = w.now
		m.control()
	}
}

// signs tells the others that this machine is alive, as the membership protocol does in its way.
func (m *machine) signs() {
	w := m.w
	if w.now-m.seenAt < heardEach {
		return
	}
	m.seenAt = w.now
	for _, other := range w.machines {
		if other != m && !other.removed && other.up && !w.isCut(m.name, other.name) {
			other.heard[m.name] = w.now
		}
	}
}

// knows lists the machines of a kind as this one sees them.
func (m *machine) knows(kind kind) (list []placement.Machine) {
	for _, other := range m.w.of(kind) {
		at, heard := m.heard[other.name]
		if other == m {
			at, heard = m.w.now, true
		}
		if !heard {
			continue
		}
		seen := placement.Machine{Node: other.name, Identity: other.identity, Address: other.name, Zone: other.zone, Alive: m.w.now-at < deadAfter}
		if !seen.Alive {
			seen.DeadMS = m.w.now - at - deadAfter
		}
		_, seen.Retiring = m.directory.Retirements()[other.name]
		list = append(list, seen)
	}
	return list
}

// submit has a command agreed on by whoever leads a group, as replica.Submit does, until a time.
func (m *machine) submit(group string, command []byte, until int64, done func(replica.ProposalResult)) {
	const retryPause, proposeTimeout = 60, 2000
	w, life := m.w, m.life
	last := replica.ProposalResult{Outcome: rpc.Outcome_UNAVAILABLE}
	var try func()
	again := func(p replica.ProposalResult) {
		if last = p; p.Outcome == rpc.Outcome_DONE {
			done(p)
			return
		}
		w.after(retryPause, try)
	}
	try = func() {
		if m.life != life || w.now >= until {
			done(last)
			return
		}
		self, address := m.engine.Status(group).NextHop()
		switch {
		case self:
			m.propose(group, command, again)
		case address != "":
			answered := false
			once := func(p replica.ProposalResult) {
				if !answered {
					answered = true
					again(p)
				}
			}
			var look func()
			look = func() {
				if _, now := m.engine.Status(group).NextHop(); now != address {
					once(replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN})
				} else if !answered && m.life == life {
					w.after(retryPause, look)
				}
			}
			w.after(retryPause, look)
			to := w.machine(address)
			call(w, m.name, to, min(proposeTimeout, until-w.now), func(answer func(replica.ProposalResult)) { to.propose(group, command, answer) },
				func(p replica.ProposalResult, ok bool) {
					if !ok {
						p = replica.ProposalResult{Outcome: rpc.Outcome_OUTCOME_UNKNOWN}
					}
					once(p)
				})
		default:
			w.after(retryPause, try)
		}
	}
	try()
}

// propose has a command agreed on by a group that this machine leads.
func (m *machine) propose(group string, command []byte, done func(replica.ProposalResult)) {
	if self, _ := m.engine.Status(group).NextHop(); m.w.bug(AckOnPropose) && self && group == directory.Shard && isReplace(command) {
		m.engine.Propose(group, command, func(replica.ProposalResult) {})
		m.turnAt = 0
		done(replica.ProposalResult{Outcome: rpc.Outcome_DONE, Result: replica.Marshal(&rpc.DirectoryResult{})})
		return
	}
	m.engine.Propose(group, command, done)
	m.turnAt = 0
}

// leased tells whether this machine leads a group and no other can by now.
func (m *machine) leased(group string) bool {
	status := m.engine.Status(group)
	return status != nil && status.HasLease(m.w.now)
}

// inTouch tells whether this machine had lately all that a group has agreed on.
func (m *machine) inTouch(group string, within int64) bool {
	status := m.engine.Status(group)
	if status != nil && m.w.bug(HeardOnly) && !status.Leader && status.LeaderID != "" && m.w.now-status.LeaderContactAt < within {
		return true
	}
	return status != nil && status.InTouch(m.w.now, within)
}

// fresh tells whether this steward is in touch with the leaders of all groups.
func (m *machine) fresh() bool {
	if m.w.bug(StaleFeed) {
		return true
	}
	return !slices.ContainsFunc(stewardGroups(), func(group string) bool { return !m.inTouch(group, freshWithin) })
}

// wallClock is the machine's time of day in milliseconds.
func (m *machine) wallClock() int64 { return 1_700_000_000_000 + m.w.now + m.clockStep }
