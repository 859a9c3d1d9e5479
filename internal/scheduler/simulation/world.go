package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

func (w *world) buildClients() {
	for n := range 3 {
		w.addGatherer(n)
	}
	for n := range 4 {
		w.addWorker(n)
	}
	for n := range 2 {
		o := &operator{world: w, name: fmt.Sprint("operator", n)}
		w.operators = append(w.operators, o)
		w.schedule(startMS, o.nextOrder)
	}
	t := &trainer{world: w, name: "trainer", leaders: map[string]string{}}
	w.trainers = append(w.trainers, t)
	w.schedule(startMS, t.nextJob)
	w.schedule(startMS+500, t.nextVersion)
}

// stewardFor is a steward that a caller may reach, one by chance.
func (w *world) randomController() *machine {
	stewards := w.machinesOf(controllerKind)
	return stewards[w.random.IntN(len(stewards))]
}

func allGroups() []string {
	groups := controllerGroups()
	for n := range jobShards {
		groups = append(groups, batchjobs.ShardName(n))
	}
	return groups
}

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

const (
	tickMS = 10
	// startMS is when clients begin: the machines have found each other by then.
	startMS = 4000
	// catchUpMS is how long a machine still counts as lost once it is back; every group has to be whole again by then.
	recoveryMS = 4700
	// propagationMS bounds the age of what a gatherer in touch acts on.
	propagationMS = 2000
	// contactMS is how long all has to have been well for machines to count as in touch.
	contactMS = 3000
)

// world is one history as it is played.
type world struct {
	options      Options
	random       *rand.Rand
	now          int64
	events       eventQueue
	lastSequence int64
	violation    *ViolationError
	report       Report

	machines  []*machine // stewards and stores
	gatherers []*gatherer
	workers   []*worker
	operators []*operator
	trainers  []*trainer

	partitionedUntil map[link]int64 // one-way links that are cut, until when
	lastFaultAt      int64          // when a trouble began or ended last
	// troubleUntil is the end of the trouble that goes on now.
	faultUntil         int64
	retiring           string // the machine that is to be emptied
	endAt              int64
	addresses          int // given out so far
	appliedAt          map[string]string
	history            history
	acknowledgedOrders map[uint64]string // by version: the order that was acknowledged
	dispatchers        map[string]map[uint64]string
	jobs               map[string]*jobRecord
	versions           map[string]uint64 // named and acknowledged, by model
	executions         map[string]int    // of calls that may not be repeated
}

// Play plays one history and checks it.
func Play(o Options) (Report, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 11)), partitionedUntil: map[link]int64{}, appliedAt: map[string]string{}, acknowledgedOrders: map[uint64]string{},
		dispatchers: map[string]map[uint64]string{}, jobs: map[string]*jobRecord{}, versions: map[string]uint64{}, executions: map[string]int{},
	}
	w.buildMachines()
	w.scheduleFaults()
	for w.violation == nil && w.now < w.end() {
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

// step plays the next tick.
func (w *world) step() {
	w.now += tickMS
	for len(w.events) > 0 && w.events[0].at <= w.now && w.violation == nil {
		heap.Pop(&w.events).(event).run()
	}
	for _, m := range w.machines {
		m.tick()
	}
	w.checkGatherers()
}

// fail notes the first broken rule.
func (w *world) reportViolation(rule Rule, format string, values ...any) {
	if w.violation == nil {
		w.violation = &ViolationError{rule, w.now, fmt.Sprintf(format, values...)}
	}
}

func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}

func (w *world) bug(b Bug) bool { return w.options.Bug == b }

// machine returns the machine with a name, or with the address of its present place; nil where there is none.
func (w *world) machine(name string) *machine {
	i := slices.IndexFunc(w.machines, func(m *machine) bool { return m.name == name && !m.removed })
	if i < 0 {
		return nil
	}
	return w.machines[i]
}

// of returns the machines of a kind that are part of the system.
func (w *world) machinesOf(kind machineKind) (list []*machine) {
	for _, m := range w.machines {
		if m.kind == kind && !m.removed {
			list = append(list, m)
		}
	}
	return list
}
