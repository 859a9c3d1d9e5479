package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
)

const (
	// recoveryMS is how long a machine still counts as failed after it has recovered.
	recoveryMS = 3500

	faultChance = 60 // reciprocal of the probability of a fault in each tick
	faultKinds  = 10 // see injectFault
)

// mayFail reports whether a machine may fail now: one failed machine at a time is tolerated.
func (w *world) mayFail(m *machine) bool {
	return w.failedMachine == m.name || w.now-w.failedUntil > recoveryMS
}

// recordFailure records which machine has failed, and until when.
func (w *world) recordFailure(m *machine, until int64) {
	w.failedMachine, w.failedUntil = m.name, max(w.failedUntil, until)
}

// injectFault injects a random fault with probability 1/faultChance.
func (w *world) injectFault() {
	if w.random.IntN(faultChance) != 0 {
		return
	}
	m := w.machines[w.random.IntN(len(w.machines))]
	kind := w.random.IntN(faultKinds)
	if kind == 0 {
		w.crashAll()
		return
	}
	if !w.mayFail(m) {
		return
	}
	switch kind {
	case 1, 2:
		w.loseDisk(m)
	case 3, 4:
		w.crash(m)
	case 5, 6:
		w.partition(m)
	case 7:
		w.freeze(m)
	}
}

// randomUntil returns a time between leastMS (inclusive) and mostMS (exclusive) from now.
func (w *world) randomUntil(leastMS, mostMS int) int64 {
	return w.now + int64(leastMS+w.random.IntN(mostMS-leastMS))
}

// stop stops a machine's process.
func (m *machine) stop(restartAt int64) { m.up, m.restartAt = false, restartAt }

// crash stops a machine's process; its disk is retained.
func (w *world) crash(m *machine) {
	w.report.Crashes++
	m.stop(w.randomUntil(100, 2600))
	w.trace("crash %s until %d", m.id, m.restartAt)
	w.recordFailure(m, m.restartAt)
}

// crashAll stops all processes; their disks are retained, and all must catch up before another
// machine may fail.
func (w *world) crashAll() {
	for _, m := range w.machines {
		if m.up {
			w.report.Crashes++
			m.stop(w.randomUntil(50, 650))
			w.recordFailure(m, m.restartAt)
		}
	}
	w.failedMachine = ""
}

// loseDisk empties a machine's disk. With probability 1/2 all other machines lose power at the same
// time.
func (w *world) loseDisk(m *machine) {
	w.report.DiskLosses++
	w.trace("wipe %s", m.id)
	oldSnapshot := m.disk.snapshot
	m.disk, m.synced = disk{}, disk{}
	if w.options.Bug != KeepIdentity {
		m.id = fmt.Sprintf("%s/%d", m.name, m.starts)
	}
	if w.options.Bug == FoundTwice && oldSnapshot != nil && oldSnapshot.Membership != nil {
		m.id = m.name + "/0"
		m.disk.snapshot = &rpc.Snapshot{Index: 1, Epoch: 1, Membership: oldSnapshot.Membership}
	}
	w.crash(m)
	if w.random.IntN(2) != 0 {
		return
	}
	for _, other := range w.machines {
		if other != m && other.up {
			other.stop(w.randomUntil(100, 1000))
		}
	}
}

// freeze pauses a machine's process. Its clock keeps running.
func (w *world) freeze(m *machine) {
	m.frozenUntil = w.randomUntil(300, 3300)
	w.trace("freeze %s until %d", m.id, m.frozenUntil)
	w.recordFailure(m, m.frozenUntil)
}

// Directions in which partition drops a machine's messages.
const (
	incomingOnly = iota
	outgoingOnly
	bothDirections
	directions // number of directions
)

// partition partitions a machine from the others, in one direction or both.
func (w *world) partition(m *machine) {
	until := w.randomUntil(500, 4500)
	direction := w.random.IntN(directions)
	for _, other := range w.machines {
		if direction != incomingOnly {
			w.partitionedUntil[link{m.name, other.name}] = until
		}
		if direction != outgoingOnly {
			w.partitionedUntil[link{other.name, m.name}] = until
		}
	}
	w.trace("isolate %s way %d until %d", m.id, direction, until)
	w.recordFailure(m, until)
}
