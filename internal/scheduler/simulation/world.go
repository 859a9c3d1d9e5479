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
	startMS       = 4000 // start of the clients, when the machines have discovered each other
	recoveryMS    = 4700 // time for which a restarted machine counts as failed; all groups have a leader afterwards
	propagationMS = 2000 // maximum staleness of a gatherer in touch
	contactMS     = 3000 // time without a fault after which machines count as in touch

	randomStream = 11 // second seed of the random generator of each history

	gathererCount = 3
	workerCount   = 4
	operatorCount = 2
)

// world is the state of one history: the machines, their clients, the links between them, and the
// records for the checks.
type world struct {
	options      Options
	random       *rand.Rand
	now          int64 // virtual milliseconds
	queue        eventQueue
	lastSequence int64 // of an event
	violation    *ViolationError
	report       Report

	machines  []*machine // controllers and storage nodes, including removed ones
	addresses int        // number of assigned addresses
	gatherers []*gatherer
	workers   []*worker

	partitionedUntil map[link]int64
	lastFaultAt      int64  // when a fault last began or ended
	faultUntil       int64  // end of the current fault
	retiring         string // name of the machine that is being retired
	endAt            int64  // end of the history; set after the last fault

	history            history
	appliedAt          map[string]string            // by group and index: the command that was first applied there
	acknowledgedOrders map[uint64]string            // by version of the configuration: the acknowledged order
	dispatchers        map[string]map[uint64]string // by registry shard and epoch: the process that sent orders
	jobs               map[string]*jobRecord
	versions           map[string]uint64          // by model: the newest acknowledged version
	executions         map[string]int             // by call: the number of its runs
	failingItems       map[string]bool            // ids of the items that always fail
	failuresMade       map[string]int             // by item: the number of failed runs
	failuresTaken      map[string]map[uint64]bool // by item: leases of the failed runs that an owner has acknowledged
}

// Play runs and checks one history. The error is nil or a *ViolationError.
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

// step advances the history by one tick: it runs due events, then each machine, then the checks.
func (w *world) step() {
	w.now += tickMS
	w.runDueEvents()
	for _, m := range w.machines {
		m.tick()
	}
	w.checkGatherers()
}

// startMachines starts all machines and bootstraps the controllers' groups on the first controllers.
func (w *world) startMachines() {
	size := w.groupSize()
	for i := range size {
		w.addMachine(controllerKind, i)
	}
	for i := range size + 1 { // a spare one, so that a machine can be retired
		w.addMachine(storageKind, i)
	}
	for _, m := range w.machines {
		m.start()
	}
	members := w.initialMembers()
	for _, m := range w.machinesOf(controllerKind) {
		for _, group := range controllerGroups() {
			m.engine.CreateGroup(group, members)
		}
	}
}

// startClients starts the gatherers and workers immediately, and the operators and the trainer at
// startMS.
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

// groupSize returns the number of replicas of a group.
func (w *world) groupSize() int { return 2*w.options.Tolerance + 1 }

// initialMembers returns the initial replicas of the controllers' groups.
func (w *world) initialMembers() (members []*rpc.Replica) {
	for _, m := range w.machinesOf(controllerKind) {
		members = append(members, &rpc.Replica{Id: m.identity, Address: m.name, Node: m.name})
	}
	return members
}

// controllerGroups returns the groups with replicas on controllers: the directory and the registry
// shards.
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

// machine returns the machine with a name, which is also its address, or nil if it was removed or never
// existed.
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

// machineNames returns the names of the machines of a kind that are not removed.
func (w *world) machineNames(kind machineKind) (names []string) {
	for _, m := range w.machinesOf(kind) {
		names = append(names, m.name)
	}
	return names
}

// randomMachineOf returns a random machine of a kind.
func (w *world) randomMachineOf(kind machineKind) *machine {
	list := w.machinesOf(kind)
	return list[w.random.IntN(len(list))]
}

// bug reports whether b is the seeded bug.
func (w *world) bug(b Bug) bool { return w.options.Bug == b }

// reportViolation records a violation, which ends the history. Only the first one is recorded.
func (w *world) reportViolation(rule Rule, format string, values ...any) {
	if w.violation == nil {
		w.violation = &ViolationError{rule, w.now, fmt.Sprintf(format, values...)}
	}
}

// trace passes an event with its virtual time to Options.Trace. The texts must not change: they are
// part of the recorded histories.
func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}
