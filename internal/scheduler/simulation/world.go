package simulation

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	tickMS        = 10
	startMS       = 4000 // when clients begin: the machines have heard of each other by then
	recoveryMS    = 4700 // how long a machine counts as failed after it is back; every group has a leader by then
	propagationMS = 2000 // a gatherer in touch acts on nothing older
	contactMS     = 3000 // without a fault, after which machines count as in touch

	randomStream = 11 // second half of the seed of each history

	gathererCount = 3
	workerCount   = 4
	operatorCount = 2
)

// world is one history while it is played: the machines, their clients, the links between them, and what is recorded for the checks.
type world struct {
	options      Options
	random       *rand.Rand
	now          int64 // virtual milliseconds
	queue        eventQueue
	lastSequence int64 // of an event
	violation    *ViolationError
	report       Report

	machines  []*machine // controllers and storage nodes, also removed ones
	addresses int        // given out so far
	gatherers []*gatherer
	workers   []*worker

	partitionedUntil map[link]int64
	lastFaultAt      int64  // when a fault began or ended last
	faultUntil       int64  // end of the present fault
	retiring         string // name of the machine that is being retired
	endAt            int64  // of the history; set when the last fault is over

	history            history
	appliedAt          map[string]string            // by group and index: the command that was applied there first
	acknowledgedOrders map[uint64]string            // by version of the configuration: the acknowledged order
	dispatchers        map[string]map[uint64]string // by registry shard and epoch: the process that sent orders
	jobs               map[string]*jobRecord
	versions           map[string]uint64          // by model: the newest acknowledged version
	executions         map[string]int             // by call: how many times it ran
	failingItems       map[string]bool            // ids of the items that fail at each run
	failuresMade       map[string]int             // by item: runs that failed
	failuresTaken      map[string]map[uint64]bool // by item: leases of the failed runs that an owner has acknowledged
}

// Play plays one history and checks it. The error is nil or a *ViolationError.
func Play(options Options) (Report, error) {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, randomStream)), partitionedUntil: map[link]int64{},
		appliedAt: map[string]string{}, acknowledgedOrders: map[uint64]string{}, dispatchers: map[string]map[uint64]string{},
		jobs: map[string]*jobRecord{}, versions: map[string]uint64{}, executions: map[string]int{},
		failingItems: map[string]bool{}, failuresMade: map[string]int{}, failuresTaken: map[string]map[uint64]bool{},
	}
	w.startMachines()
	w.startClients()
	w.scheduleFaults()
	for w.violation == nil && w.now < w.endAt {
		w.step()
	}
	if w.violation == nil {
		w.checkEnd()
	}
	for _, m := range w.machines {
		w.countSnapshots(m)
	}
	if w.violation != nil {
		return w.report, w.violation
	}
	return w.report, nil
}

// step plays one tick: due events, then each machine, then the checks.
func (w *world) step() {
	w.now += tickMS
	w.runDueEvents()
	for _, m := range w.machines {
		m.tick()
	}
	w.checkGatherers()
}

// startMachines starts all machines; the first controllers are the founders of the controllers' groups.
func (w *world) startMachines() {
	size := w.groupSize()
	for i := range size {
		w.addMachine(controllerKind, i)
	}
	for i := range size + 1 { // one more than needed, so that a machine can be retired
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
}

// startClients starts gatherers and workers immediately, operators and the trainer at startMS.
func (w *world) startClients() {
	for n := range gathererCount {
		w.addGatherer(n)
	}
	for n := range workerCount {
		w.addWorker(n)
	}
	for n := range operatorCount {
		o := &operator{world: w, name: fmt.Sprint("operator", n)}
		w.schedule(startMS, o.nextOrder)
	}
	t := &trainer{world: w, name: "trainer", leaders: map[string]string{}}
	w.schedule(startMS, t.nextJob)
	w.schedule(startMS+500, t.nextVersion)
}

// groupSize returns how many replicas a group has.
func (w *world) groupSize() int { return 2*w.options.Tolerance + 1 }

// founders returns the first replicas of the controllers' groups.
func (w *world) founders() (founders []*rpc.Replica) {
	for _, m := range w.machinesOf(controllerKind) {
		founders = append(founders, &rpc.Replica{Id: m.identity, Address: m.name, Node: m.name})
	}
	return founders
}

// controllerGroups returns the groups of which controllers have replicas: the directory and the registry's shards.
func controllerGroups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

// allGroups returns the controllers' groups and the job shards.
func allGroups() []string {
	groups := controllerGroups()
	for n := range jobShards {
		groups = append(groups, batchjobs.ShardName(n))
	}
	return groups
}

// machine returns the machine with a name, which is also its address; nil if there is none any more.
func (w *world) machine(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name && !m.removed })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// machinesOf returns the machines of a kind that are not removed.
func (w *world) machinesOf(kind machineKind) (list []*machine) {
	for _, m := range w.machines {
		if m.kind == kind && !m.removed {
			list = append(list, m)
		}
	}
	return list
}

// machineNames returns the names of machinesOf.
func (w *world) machineNames(kind machineKind) (names []string) {
	for _, m := range w.machinesOf(kind) {
		names = append(names, m.name)
	}
	return names
}

// randomMachineOf draws a machine of a kind.
func (w *world) randomMachineOf(kind machineKind) *machine {
	list := w.machinesOf(kind)
	return list[w.random.IntN(len(list))]
}

// bug reports whether a bug is seeded.
func (w *world) bug(b Bug) bool { return w.options.Bug == b }

// reportViolation records the first broken rule, with which the history ends.
func (w *world) reportViolation(rule Rule, format string, values ...any) {
	if w.violation == nil {
		w.violation = &ViolationError{rule, w.now, fmt.Sprintf(format, values...)}
	}
}

// trace passes what happens, with the virtual time, to the history's observer. The texts are part of the recorded histories.
func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}
