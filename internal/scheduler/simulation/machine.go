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

// stop ends a machine's process; power also takes what was not synced.
func (m *machine) stopProcess(power bool, down int64) {
	w := m.world
	m.up, m.restartAt = false, w.now+down
	if power {
		m.powerlessUntil = m.restartAt
		m.disk = m.disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(w.options.Seed, uint64(w.random.Uint32()))))
	} else {
		m.disk = m.disk.Clone(&simdisk.FaultPlan{})
	}
	w.extendFault(m.restartAt)
	w.trace("%s is down until %d (power %v)", m.name, m.restartAt, power)
}

type machineKind string

const (
	controllerKind machineKind = "steward"
	storageKind    machineKind = "store"
)

const (
	// snapshotEntries is the length of a log from which on a snapshot takes its place: an ordinary matter here.
	snapshotEntries    = 30
	rewriteBytes       = 24 << 10
	controlIntervalMS  = 150
	announceIntervalMS = 300
	// deadAfter is how long a machine may be silent before others hold it for dead.
	failureTimeoutMS    = 1500
	heartbeatIntervalMS = 1200
	// freshWithin is as the stewards have it.
	feedFreshMS = 700
)

// machine is a computer with a disk that holds replicas.
type machine struct {
	world       *world
	kind        machineKind
	name        string // and its address: a replacement has another one
	zone        string
	identity    string
	disksUsed   int // that it has had
	incarnation int

	disk           *simdisk.Disk
	up             bool
	starting       bool
	restartAt      int64 // when it starts again
	powerlessUntil int64 // it has no power: nothing is heard of it
	frozenUntil    int64
	removed        bool
	clockOffset    int64 // of its time of day

	engine       *replica.Engine
	nextTickAt   int64
	heardAt      map[string]int64 // when others were heard last
	announcedAt  int64            // when it sent its last signs of life
	controlRanAt int64            // when its control loop ran last

	feed              *feed.Table
	directory         *directory.Directory
	registries        map[string]*registry.Registry
	heartbeatHandlers map[string]*registry.HeartbeatHandler
	dispatchEpochs    map[string]uint64 // by registry shard: the epoch under which it sends orders
	jobStates         map[string]*batchjobs.State
	schedulers        map[string]*batchjobs.Scheduler
	rotation          feed.Rotation
	watching          bool // a watch of the feed is under way
	takingOver        bool // it is being recorded as the holder of a shard
}

func (m *machine) isPowerless() bool { return m.world.now < m.powerlessUntil }

func (m *machine) isRunning() bool { return m.up && m.world.now >= m.frozenUntil }

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

// wallClock is the machine's time of day in milliseconds.
func (m *machine) wallClock() int64 { return 1_700_000_000_000 + m.world.now + m.clockOffset }
