package simulation

import "saffronquay/internal/scheduler/rpc"

// Each event has probability 1/chance.
const (
	slowChance        = 80  // a message is slow
	answerLossChance  = 200 // an answer is lost
	messageLossChance = 60  // a message between replicas is lost
	repeatChance      = 40  // a message between replicas is sent twice
)

const (
	ownerAttemptTimeoutMS = 900 // timeout of one attempt of an ownerCall
	ownerRetryMS          = 40  // delay between two attempts of an ownerCall
)

// link is one direction between two endpoints, which are given by their names.
type link struct{ from, to string }

// isPartitionedOneWay reports whether messages from one endpoint do not reach the other.
func (w *world) isPartitionedOneWay(from, to string) bool {
	return w.now < w.partitionedUntil[link{from, to}]
}

// isPartitioned reports whether two endpoints are partitioned in either direction.
func (w *world) isPartitioned(a, b string) bool {
	return w.isPartitionedOneWay(a, b) || w.isPartitionedOneWay(b, a)
}

// latency returns a random message latency in milliseconds.
func (w *world) latency() int64 {
	if w.oneIn(slowChance) {
		return w.randomBetween(50, 600)
	}
	return w.randomBetween(1, 12)
}

// call sends a request to a machine. If the request arrives, serve runs there with the function that
// sends the answer. done runs exactly once: with the answer, or with ok false after a reset or the
// timeout in milliseconds. A request that reaches a frozen machine waits until the machine resumes. The
// answer is lost if the process that received the request has ended or the link is partitioned.
func call[A any](w *world, from string, to *machine, timeout int64, serve func(answer func(A)), done func(answer A, ok bool)) {
	finished := false
	finish := func(answer A, ok bool) {
		if !finished {
			finished = true
			done(answer, ok)
		}
	}
	var none A
	w.schedule(timeout, func() { finish(none, false) })
	if to == nil || w.isPartitionedOneWay(from, to.name) {
		return
	}
	incarnation := 0
	answer := func(a A) {
		if to.incarnation != incarnation || w.isPartitionedOneWay(to.name, from) || w.oneIn(answerLossChance) {
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
		case w.isPartitionedOneWay(from, to.name) || to.isPowerless(): // lost
		case !to.up:
			w.schedule(w.latency(), func() { finish(none, false) }) // connection reset by the machine
		case w.now < to.frozenUntil:
			w.schedule(to.frozenUntil-w.now, arrive)
		default:
			incarnation = to.incarnation
			serve(answer)
		}
	}
	w.schedule(w.latency(), arrive)
}

// ownerCall is a client's request to the owner of a job shard. It is retried at other storage nodes
// until the owner answers or the time is over, like package batchclient.
type ownerCall struct {
	world   *world
	from    string // name of the client
	shard   string
	until   int64             // virtual milliseconds
	leaders map[string]string // by shard: the storage node that the client believes to be the owner; attempts update it
	serve   func(to *machine, answer func(ownerAnswer))
	done    func(answer ownerAnswer, ok bool) // called exactly once
}

// attempt sends the request to the node that is believed to be the owner, or to a random storage
// node if none is known.
func (c *ownerCall) attempt() {
	w := c.world
	if w.now >= c.until {
		c.done(ownerAnswer{}, false)
		return
	}
	to := w.machine(c.leaders[c.shard])
	if to == nil {
		to = w.randomMachineOf(storageKind)
	}
	call(w, c.from, to, min(ownerAttemptTimeoutMS, c.until-w.now), func(answer func(ownerAnswer)) { c.serve(to, answer) }, func(answer ownerAnswer, ok bool) {
		if ok && answer.outcome == rpc.Outcome_DONE {
			c.leaders[c.shard] = to.name
			c.done(answer, true)
			return
		}
		delete(c.leaders, c.shard)
		if ok && answer.outcome != rpc.Outcome_OUTCOME_UNKNOWN && answer.leader != "" && answer.leader != to.name {
			c.leaders[c.shard] = answer.leader
		}
		w.schedule(ownerRetryMS, c.attempt)
	})
}

// send sends messages to the replica at an address. They may be lost or duplicated.
func (m *machine) send(address string, messages []*rpc.Message) {
	w := m.world
	to := w.machine(address)
	if to == nil {
		return
	}
	copies := 1 + w.random.IntN(repeatChance)/(repeatChance-1)
	for range copies {
		if w.oneIn(messageLossChance) || w.isPartitionedOneWay(m.name, address) {
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

// announce notifies the reachable machines that this one is alive. It replaces the membership protocol.
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
