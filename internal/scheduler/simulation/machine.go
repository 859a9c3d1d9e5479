package simulation

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/storage/simdisk"
)

// machineKind is the role of a machine. It is the prefix of the machine's name, also in traces.
type machineKind string

const (
	controllerKind machineKind = "steward"
	storageKind    machineKind = "store"
)

const (
	snapshotEntries     = 30       // log entries after which a snapshot is created; small, so that snapshots are frequent
	rewriteBytes        = 24 << 10 // size of the store's file above which it is rewritten
	controlIntervalMS   = 150
	announceIntervalMS  = 300
	failureTimeoutMS    = 1500 // time without an announcement after which a machine counts as failed
	heartbeatIntervalMS = 1200
	feedFreshMS         = 700 // see isFresh

	epochStartMS = 1_700_000_000_000 // wall clock at virtual time 0, in Unix milliseconds
	zones        = 3
)

// machine is a computer with a disk for replicas, and the process that runs on it.
type machine struct {
	world       *world
	kind        machineKind
	name        string // also its address; a replacement has a different one
	zone        string
	identity    string // identity of the disk
	disksUsed   int
	incarnation int // number of the process, from 1

	disk           *simdisk.Disk
	up             bool
	starting       bool  // the process reads its disk
	restartAt      int64 // set while it is down
	powerlessUntil int64 // until then it neither answers calls nor resets connections
	frozenUntil    int64 // until then the process does not run
	removed        bool  // permanently
	clockOffset    int64 // offset of its wall clock in milliseconds

	engine       *replica.Engine
	nextTickAt   int64 // of the engine
	heardAt      map[string]int64
	announcedAt  int64
	controlRanAt int64

	feed              *feed.Table
	directory         *directory.Directory
	registries        map[string]*registry.Registry
	heartbeatHandlers map[string]*registry.HeartbeatHandler
	dispatchEpochs    map[string]uint64 // by registry shard: the epoch under which it may send orders
	jobStates         map[string]*batchjobs.State
	schedulers        map[string]*batchjobs.Scheduler // of the job shards that it owns
	rotation          feed.Rotation
	watching          bool // a read of the feed is in flight
	takingOver        bool // a proposal to make it a shard's holder is in flight
}

// isPowerless reports whether the machine is without power.
func (m *machine) isPowerless() bool { return m.world.now < m.powerlessUntil }

// isRunning reports whether the machine's process is up and not frozen.
func (m *machine) isRunning() bool { return m.up && m.world.now >= m.frozenUntil }

// wallClock returns the machine's wall clock in Unix milliseconds.
func (m *machine) wallClock() int64 { return epochStartMS + m.world.now + m.clockOffset }

// addMachine adds a machine with an empty disk and a new name. It does not start the process.
func (w *world) addMachine(kind machineKind, zone int) *machine {
	w.addresses++
	m := &machine{world: w, kind: kind, name: fmt.Sprintf("%s%d", kind, w.addresses), zone: fmt.Sprintf("z%d", zone%zones)}
	w.machines = append(w.machines, m)
	m.replaceDisk()
	return m
}

// replaceDisk gives the machine an empty disk and, except with KeepIdentity, a new identity.
func (m *machine) replaceDisk() {
	m.disk = simdisk.New(m.name, &simdisk.FaultPlan{})
	m.disksUsed++
	if !m.world.bug(KeepIdentity) || m.identity == "" {
		m.identity = fmt.Sprintf("%s/%d", m.name, m.disksUsed)
	}
}

// start starts a process from the disk. It reports a violation if the store cannot be opened.
func (m *machine) start() {
	w := m.world
	w.countSnapshots(m) // of the previous process
	m.incarnation++
	m.starting = true
	defer func() { m.starting = false }()
	m.up = true
	m.resetState()
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
		Machine: m.stateMachineOf, Send: m.send, Log: slog.New(slog.DiscardHandler), Random: w.newRandom(),
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

// newRandom returns a generator that is seeded from the history's generator.
func (w *world) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, uint64(w.random.Uint32())))
}

// resetState resets the in-memory state of the process.
func (m *machine) resetState() {
	now := func() int64 { return m.world.now }
	m.heardAt, m.announcedAt, m.rotation = map[string]int64{}, 0, feed.Rotation{}
	m.feed = feed.NewTable()
	m.directory = directory.New(m.feed)
	m.registries = map[string]*registry.Registry{}
	m.heartbeatHandlers = map[string]*registry.HeartbeatHandler{}
	m.dispatchEpochs = map[string]uint64{}
	for n := range registry.ShardCount {
		name := registry.ShardName(n)
		m.registries[name] = registry.New(name, m.feed)
		m.heartbeatHandlers[name] = registry.NewHeartbeatHandler(m.registries[name], heartbeatIntervalMS)
	}
	m.jobStates, m.schedulers = map[string]*batchjobs.State{}, map[string]*batchjobs.Scheduler{}
	for n := range jobShards {
		name := batchjobs.ShardName(n)
		m.jobStates[name] = batchjobs.NewState(m.jobsChanged(name), now)
	}
}

// stopProcess stops the machine's process for downMS milliseconds. A power loss also loses the data
// that the disk has not synced.
func (m *machine) stopProcess(powerLoss bool, downMS int64) {
	w := m.world
	m.up, m.restartAt = false, w.now+downMS
	if powerLoss {
		m.powerlessUntil = m.restartAt
		m.disk = m.disk.Crash(&simdisk.FaultPlan{}, w.newRandom())
	} else {
		m.disk = m.disk.Clone(&simdisk.FaultPlan{})
	}
	w.extendFault(m.restartAt)
	w.trace("%s is down until %d (power %v)", m.name, m.restartAt, powerLoss)
}

// tick advances the machine by one tick: it restarts the process, and runs the engine and the control
// loop, when they are due.
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
