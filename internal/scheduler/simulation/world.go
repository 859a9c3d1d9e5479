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
	catchUpMS = 4700
	// propagationMS bounds the age of what a gatherer in touch acts on.
	propagationMS = 2000
	// contactMS is how long all has to have been well for machines to count as in touch.
	contactMS = 3000
)

// event is something that happens at a time.
type event struct {
	at, order int64
	do        func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is one history as it is played.
type world struct {
	options Options
	random  *rand.Rand
	now     int64
	queue   events
	order   int64
	failed  *Violation
	report  Report

	machines  []*machine // stewards and stores
	gatherers []*gatherer
	workers   []*worker
	operators []*operator
	trainers  []*trainer

	cuts    map[link]int64 // one-way links that are cut, until when
	eventAt int64          // when a trouble began or ended last
	// troubleUntil is the end of the trouble that goes on now.
	troubleUntil int64
	emptying     string // the machine that is to be emptied
	endAt        int64
	addresses    int // given out so far
	chosen       map[string]string
	history      history
	winners      map[uint64]string // by version: the order that was acknowledged
	fences       map[string]map[uint64]string
	jobs         map[string]*jobRecord
	versions     map[string]uint64 // named and acknowledged, by model
	runs         map[string]int    // of calls that may not be repeated
}

type link struct{ from, to string }

// Play plays one history and checks it.
func Play(o Options) (Report, error) {
	w := &world{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 11)), cuts: map[link]int64{}, chosen: map[string]string{}, winners: map[uint64]string{},
		fences: map[string]map[uint64]string{}, jobs: map[string]*jobRecord{}, versions: map[string]uint64{}, runs: map[string]int{},
	}
	w.build()
	w.scheduleFaults()
	for w.failed == nil && w.now < w.end() {
		w.step()
	}
	if w.failed == nil {
		w.judge()
	}
	for _, m := range w.machines {
		w.count(m)
	}
	if w.failed != nil {
		return w.report, w.failed
	}
	return w.report, nil
}

// step plays the next tick.
func (w *world) step() {
	w.now += tickMS
	for len(w.queue) > 0 && w.queue[0].at <= w.now && w.failed == nil {
		heap.Pop(&w.queue).(event).do()
	}
	for _, m := range w.machines {
		m.tick()
	}
	w.observe()
}

// after has something happen later.
func (w *world) after(delay int64, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + max(delay, 0), w.order, do})
}

// fail notes the first broken rule.
func (w *world) fail(rule Rule, format string, values ...any) {
	if w.failed == nil {
		w.failed = &Violation{rule, w.now, fmt.Sprintf(format, values...)}
	}
}

func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}

func (w *world) bug(b Bug) bool { return w.options.Bug == b }

// chance is true once in so many times.
func (w *world) chance(in int) bool { return w.random.IntN(in) == 0 }

// between returns a number from low to below high.
func (w *world) between(low, high int64) int64 { return low + w.random.Int64N(high-low) }

func (w *world) cut(from, to string) bool { return w.now < w.cuts[link{from, to}] }

// isCut tells whether two ends are apart in either direction.
func (w *world) isCut(a, b string) bool { return w.cut(a, b) || w.cut(b, a) }

// latency is how long a message takes.
func (w *world) latency() int64 {
	if w.chance(80) {
		return w.between(50, 600)
	}
	return w.between(1, 12)
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
	w.after(timeout, func() { finish(none, false) })
	if to == nil || w.cut(from, to.name) {
		return
	}
	life := 0
	answer := func(a A) {
		if to.life != life || w.cut(to.name, from) || w.chance(200) {
			return
		}
		w.after(w.latency(), func() {
			if !w.cut(to.name, from) {
				finish(a, true)
			}
		})
	}
	var arrive func()
	arrive = func() {
		switch {
		case w.cut(from, to.name) || to.dark():
		case !to.up:
			w.after(w.latency(), func() { finish(none, false) }) // a dead port resets
		case w.now < to.frozenUntil:
			w.after(to.frozenUntil-w.now, arrive)
		default:
			life = to.life
			serve(answer)
		}
	}
	w.after(w.latency(), arrive)
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
func (w *world) of(kind kind) (list []*machine) {
	for _, m := range w.machines {
		if m.kind == kind && !m.removed {
			list = append(list, m)
		}
	}
	return list
}
