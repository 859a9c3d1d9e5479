package simulation

import "saffronquay/internal/scheduler/rpc"

// toOwner calls the owner of a shard until one has answered or the time is over, as package ledgerclient does. unsure tells whether a call may
// have taken effect although none answered.
func (w *world) callOwner(from string, until int64, leaders map[string]string, shard string, serve func(*machine, func(ownerAnswer)), done func(a ownerAnswer, ok, unsure bool)) {
	const tryTimeout, retryPause = 900, 40
	unsure := false
	var attempt func()
	retry := func() { w.schedule(retryPause, attempt) }
	attempt = func() {
		if w.now >= until {
			done(ownerAnswer{}, false, unsure)
			return
		}
		to := w.machine(leaders[shard])
		if to == nil {
			stores := w.machinesOf(storageKind)
			to = stores[w.random.IntN(len(stores))]
		}
		call(w, from, to, min(tryTimeout, until-w.now), func(answer func(ownerAnswer)) { serve(to, answer) }, func(a ownerAnswer, ok bool) {
			switch {
			case ok && a.outcome == rpc.Outcome_DONE:
				leaders[shard] = to.name
				done(a, true, unsure)
			case !ok || a.outcome == rpc.Outcome_OUTCOME_UNKNOWN:
				unsure = true
				delete(leaders, shard)
				retry()
			default:
				delete(leaders, shard)
				if a.leader != "" && a.leader != to.name {
					leaders[shard] = a.leader
				}
				retry()
			}
		})
	}
	attempt()
}

// send carries messages to the replica at an address.
func (m *machine) send(address string, messages []*rpc.Message) {
	w := m.world
	to := w.machine(address)
	if to == nil {
		return
	}
	for range 1 + w.random.IntN(40)/39 { // now and then twice
		if w.oneIn(60) || w.isPartitionedOneWay(m.name, address) {
			return
		}
		w.schedule(w.latency(), func() {
			if to.isRunning() && !w.isPartitionedOneWay(m.name, address) {
				to.engine.Step(w.now, messages)
				to.nextTickAt = 0
			}
		})
	}
}

// signs tells the others that this machine is alive, as the membership protocol does in its way.
func (m *machine) announce() {
	w := m.world
	if w.now-m.announcedAt < announceIntervalMS {
		return
	}
	m.announcedAt = w.now
	for _, other := range w.machines {
		if other != m && !other.removed && other.up && !w.isPartitioned(m.name, other.name) {
			other.heardAt[m.name] = w.now
		}
	}
}

type link struct{ from, to string }

func (w *world) isPartitionedOneWay(from, to string) bool {
	return w.now < w.partitionedUntil[link{from, to}]
}

// isCut tells whether two ends are apart in either direction.
func (w *world) isPartitioned(a, b string) bool {
	return w.isPartitionedOneWay(a, b) || w.isPartitionedOneWay(b, a)
}

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
