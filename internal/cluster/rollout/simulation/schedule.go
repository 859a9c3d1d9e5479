package simulation

import "container/heap"

// task is a scheduled function call or wake-up of a node.
type task struct {
	at         int64
	seq        int // order of scheduling, which breaks ties
	run        func()
	generation int // a wake-up of an earlier generation than the node's is ignored
	wake       *node
}

// taskQueue is a heap of tasks ordered by time.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *taskQueue) Push(x any) {
	if t, ok := x.(task); ok {
		*q = append(*q, t)
	}
}

// Pop implements heap.Interface.
func (q *taskQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule schedules a call of run after the given time.
func (w *world) schedule(after int64, run func()) {
	w.taskSeq++
	heap.Push(&w.tasks, task{at: w.now + max(after, 0), seq: w.taskSeq, run: run})
}

// scheduleWake schedules a wake-up of a node for its next tick, unless an earlier wake-up is
// scheduled.
func (w *world) scheduleWake(x *node) {
	next := w.worldTime(x, x.core.NextTick())
	if x.wakeAt != 0 && next >= x.wakeAt {
		return
	}
	x.wakeAt, x.wakeGeneration = next, x.wakeGeneration+1
	w.taskSeq++
	heap.Push(&w.tasks, task{at: max(next, w.now+1), seq: w.taskSeq, wake: x, generation: x.wakeGeneration})
}

// runUntil runs all tasks that are due until end.
func (w *world) runUntil(end int64) {
	for len(w.tasks) > 0 && w.tasks[0].at <= end {
		t, ok := heap.Pop(&w.tasks).(task)
		if !ok {
			return
		}
		w.now = t.at
		if x := t.wake; x == nil {
			t.run()
		} else if x.runs() && t.generation == x.wakeGeneration {
			x.wakeAt = 0
			x.core.Tick(w.localTime(x))
			w.execute(x)
		}
	}
}

// localTime returns the time of a node's own clock.
func (w *world) localTime(x *node) int64 {
	return x.clockOffset + int64(float64(w.now-epoch)*x.clockRate) + second
}

// worldTime returns the virtual time at which a node's own clock shows the given time.
func (w *world) worldTime(x *node, at int64) int64 {
	return epoch + int64(float64(at-second-x.clockOffset)/x.clockRate) + 1
}
