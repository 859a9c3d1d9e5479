package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
)

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

// event is something that happens at a time.
type event struct {
	at, sequence int64
	run        func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(k any)   { *e = append(*e, k.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one history as it is played.
type world struct {
	options Options
	random  *rand.Rand
	now     int64
	events   eventQueue
	lastSequence   int64
	violation  *ViolationError
	report  Report

	machines  []*machine // stewards and stores
	gatherers []*gatherer
	workers   []*worker
	operators []*operator
	trainers  []*trainer

	partitionedUntil    map[link]int64 // one-way links that are cut, until when
	lastFaultAt int64          // when a trouble began or ended last
	// troubleUntil is the end of the trouble that goes on now.
	faultUntil int64
	retiring     string // the machine that is to be emptied
	endAt        int64
	addresses    int // given out so far
	appliedAt       map[string]string
	history      history
	acknowledgedOrders      map[uint64]string // by version: the order that was acknowledged
	dispatchers       map[string]map[uint64]string
	jobs         map[string]*jobRecord
	versions     map[string]uint64 // named and acknowledged, by model
	executions         map[string]int    // of calls that may not be repeated
}

type link struct{ from, to string }

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

// after has something happen later.
func (w *world) schedule(delay int64, do func()) {
	w.lastSequence++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.lastSequence, do})
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

// chance is true once in so many times.
func (w *world) oneIn(in int) bool { return w.random.IntN(in) == 0 }

// between returns a number from low to below high.
func (w *world) randomBetween(low, high int64) int64 { return low + w.random.Int64N(high-low) }

func (w *world) isPartitionedOneWay(from, to string) bool { return w.now < w.partitionedUntil[link{from, to}] }

// isCut tells whether two ends are apart in either direction.
func (w *world) isPartitioned(a, b string) bool { return w.isPartitionedOneWay(a, b) || w.isPartitionedOneWay(b, a) }

// latency is how long a message takes.
func (w *world) latency() int64 {
	if w.oneIn(80) {
		return w.randomBetween(50, 600)
	}
	return w.randomBetween(1, 12)
}

// call has a machine answer a question. serve is given the means to answer, once; done is called once, with the answer or, after a reset or the
// time-out, without. Bytes that a cut holds up are lost.
func call[A any](w *world, from string, to *machine, timeout int64, serve func(answer func(A)), done func(answer A, ok bool)) {
	finished := false
	finish := func(a A, ok bool) {
		if !finished {
			finished = true
			done(a, ok)
		}
	}
	var none A
	w.schedule(timeout, func() { finish(none, false) })
	if to == nil || w.isPartitionedOneWay(from, to.name) {
		return
	}
	incarnation := 0
	answer := func(a A) {
		if to.incarnation != incarnation || w.isPartitionedOneWay(to.name, from) || w.oneIn(200) {
			return
		}
		w.schedule(w.latency(), func() {
			if !w.isPartitionedOneWay(to.name, from) {
				finish(a, true)
			}
		})
	}
	var arrive func()
	arrive = func() {
		switch {
		case w.isPartitionedOneWay(from, to.name) || to.isPowerless():
		case !to.up:
			w.schedule(w.latency(), func() { finish(none, false) }) // a dead port resets
		case w.now < to.frozenUntil:
			w.schedule(to.frozenUntil-w.now, arrive)
		default:
			incarnation = to.incarnation
			serve(answer)
		}
	}
	w.schedule(w.latency(), arrive)
}

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
