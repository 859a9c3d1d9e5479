package simulation

import (
	"container/heap"
)

// occurrence is an event in virtual time: a timer, the arrival of a message, or an action of the
// run itself.
type occurrence struct {
	at             int64
	seq            int
	kind           int
	target         *process // process that handles it
	sender         *process // the other end of the stream
	bytes          []byte
	wakeGeneration int
	do             func()
}

// Kinds of occurrences.
const (
	occurWake = iota
	occurDatagram
	occurFrame
	occurAction
)

// occurrenceHeap orders occurrences by time, and occurrences of the same time by the order in which
// they were scheduled.
type occurrenceHeap []occurrence

// Len implements heap.Interface.
func (a occurrenceHeap) Len() int { return len(a) }

// Less implements heap.Interface.
func (a occurrenceHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

// Swap implements heap.Interface.
func (a occurrenceHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *occurrenceHeap) Push(x any) {
	if o, ok := x.(occurrence); ok { // always true: schedule pushes nothing else
		*a = append(*a, o)
	}
}

// Pop implements heap.Interface.
func (a *occurrenceHeap) Pop() any {
	o := *a
	e := o[len(o)-1]
	o[len(o)-1] = occurrence{}
	*a = o[:len(o)-1]
	return e
}

// schedule adds an occurrence.
func (w *simulator) schedule(h occurrence) {
	w.seq++
	h.seq = w.seq
	heap.Push(&w.pending, h)
}

// next removes the earliest occurrence. There must be one.
func (w *simulator) next() occurrence {
	h, _ := heap.Pop(&w.pending).(occurrence) // occurrenceHeap.Pop returns nothing else
	return h
}

// after schedules an action after a delay in microseconds.
func (w *simulator) after(delay int64, do func()) {
	w.schedule(occurrence{at: w.now + delay, kind: occurAction, do: do})
}

// handle processes an occurrence.
func (w *simulator) handle(h occurrence) {
	switch h.kind {
	case occurAction:
		h.do()
	case occurWake:
		if h.target.up && !h.target.stopped && h.wakeGeneration == h.target.wakeGeneration {
			h.target.wakeAt = 0
			h.target.core.Tick(w.now)
			w.perform(h.target)
		}
	case occurDatagram:
		w.handleDatagram(h.target, h.bytes)
	case occurFrame:
		if !h.target.up || h.target.stopped || !h.sender.up {
			return
		}
		w.countTraffic(h.target, 0, len(h.bytes), false)
		reply, err := h.target.core.HandleFrame(w.now, h.bytes)
		w.perform(h.target)
		if err == nil && reply != nil {
			w.sendFrame(h.target, h.sender, reply, 0)
		}
	}
}

// handleDatagram delivers a datagram to a process, or to its socket buffer if the process is
// stopped.
func (w *simulator) handleDatagram(p *process, b []byte) {
	if !p.up {
		return
	}
	w.countTraffic(p, 0, len(b), true)
	if p.stopped {
		if len(p.bufferedDatagrams) < maxBufferedDatagrams {
			p.bufferedDatagrams = append(p.bufferedDatagrams, b)
		}
		return
	}
	p.receive(w.now, b)
	w.perform(p)
}

// receive passes a datagram to the process's core.
func (p *process) receive(now int64, b []byte) {
	_ = p.core.HandleDatagram(now, b) // the core counts what it drops
}
