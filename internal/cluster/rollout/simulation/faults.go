package simulation

// applyEvent applies a configured fault.
func (w *world) applyEvent(e Event) {
	x := w.nodes[e.Node]
	switch e.Action {
	case Kill:
		w.kill(x, e.Duration)
	case Suspend:
		w.suspend(x, e.Duration)
	case Isolate:
		w.isolate(x, e.Duration)
	}
}

// injectFault applies a random fault. Voters and leaders are chosen more often than other nodes.
func (w *world) injectFault() {
	duration := 100*ms + w.rng.Int64N(3*second)
	x := w.randomTarget()
	switch w.rng.IntN(9) {
	case 0:
		w.kill(x, duration)
	case 1:
		w.leaveOrKill(x, duration)
	case 2:
		w.suspend(x, duration)
	case 3:
		if w.rng.IntN(2) == 0 {
			w.isolate(x, duration)
		} else {
			w.cutOutgoing(x, duration)
		}
	case 4:
		w.split(duration)
	case 5:
		w.extraDelay = w.rng.Int64N(1500 * ms)
		w.schedule(duration/2, func() { w.extraDelay = 0 })
	case 6:
		w.killOneOrAll(x, duration)
	case 7:
		x.diskFull = true
		w.schedule(duration, func() { x.diskFull = false })
	case 8:
		w.delayThenIsolate(x, duration)
	}
}

// randomTarget returns the node that a random fault applies to.
func (w *world) randomTarget() *node {
	x := w.nodes[w.rng.IntN(len(w.nodes))]
	if w.rng.IntN(2) == 0 {
		x = w.nodes[w.rng.IntN(w.Voters)]
	}
	if w.rng.IntN(3) != 0 {
		return x
	}
	for _, y := range w.nodes[:w.Voters] {
		if y.running && y.core.IsLeader() {
			x = y
		}
	}
	return x
}

// leaveOrKill kills a node, in half of the cases after an orderly leave.
func (w *world) leaveOrKill(x *node, duration int64) {
	if x.runs() && w.rng.IntN(2) == 0 {
		x.core.Leave()
		w.execute(x)
	}
	w.kill(x, duration)
}

// killOneOrAll kills a node or, in a quarter of the cases, all nodes at the same time.
func (w *world) killOneOrAll(x *node, duration int64) {
	if w.rng.IntN(4) != 0 {
		w.kill(x, duration)
		return
	}
	for _, y := range w.nodes {
		w.kill(y, duration/2+w.rng.Int64N(duration/2))
	}
}

// delayThenIsolate delays messages to a node and then isolates it, so that its last state is
// outdated.
func (w *world) delayThenIsolate(x *node, duration int64) {
	x.extraDelay = 300*ms + w.rng.Int64N(900*ms)
	w.schedule(duration, func() {
		x.extraDelay = 0
		w.isolate(x, 2*second)
	})
}

// isolate cuts all links of a node.
func (w *world) isolate(x *node, duration int64) {
	for i := range w.nodes {
		w.cutLink(x.index, i, duration)
		w.cutLink(i, x.index, duration)
	}
}

// cutOutgoing cuts the links from a node to all others.
func (w *world) cutOutgoing(x *node, duration int64) {
	for i := range w.nodes {
		w.cutLink(x.index, i, duration)
	}
}

// split partitions the nodes into two random parts.
func (w *world) split(duration int64) {
	var parts [2][]int
	for i := range w.nodes {
		k := w.rng.IntN(2)
		parts[k] = append(parts[k], i)
	}
	for _, i := range parts[0] {
		for _, j := range parts[1] {
			w.cutLink(i, j, duration)
			w.cutLink(j, i, duration)
		}
	}
}

// cutLink makes a link lose all messages in one direction for the given time.
func (w *world) cutLink(from, to int, duration int64) {
	if w.now >= epoch+w.FaultsEnd {
		return
	}
	link := [2]int{from, to}
	w.cutLinks[link]++
	w.schedule(duration, func() { w.cutLinks[link]-- })
}

// kill ends a node's process, and restarts it after the given time.
func (w *world) kill(x *node, duration int64) {
	if !x.running {
		return
	}
	x.running = false
	w.schedule(duration, func() { w.restart(x) })
}

// restart starts a node unless it is running.
func (w *world) restart(x *node) {
	if x.running {
		return
	}
	if err := w.start(x); err != nil {
		w.violation(&w.result.Lost, "%s does not start: %v", x.name, err)
	}
}

// suspend suspends a node's process, and resumes it after the given time.
func (w *world) suspend(x *node, duration int64) {
	if !x.runs() {
		return
	}
	x.suspended = true
	incarnation := x.incarnation
	w.schedule(duration, func() { w.resume(x, incarnation) })
}

// resume resumes a suspended node. A query is checked first, before the messages that arrived
// meanwhile are delivered.
func (w *world) resume(x *node, incarnation int) {
	if !x.running || x.incarnation != incarnation || !x.suspended {
		return
	}
	x.suspended = false
	w.checkAdmission(x)
	messages := x.undelivered
	x.undelivered = nil
	for _, m := range messages {
		x.core.Receive(w.localTime(x), m)
	}
	x.core.Tick(w.localTime(x))
	x.wakeAt = 0
	w.execute(x)
}

// endFaults ends all faults.
func (w *world) endFaults() {
	w.loss, w.extraDelay = 0, 0
	clear(w.cutLinks) // cuts that end later make the count negative, which has no effect
	clear(w.cutRegions)
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		x.diskFull, x.extraDelay = false, 0
		if x.suspended {
			w.resume(x, x.incarnation)
		}
		w.restart(x)
	}
}
