package simulation

import "saffronquay/internal/scheduler/directory"

// emptyOne has an operator ask for a store to be emptied. Once that is completed the machine is taken away with its disk; sometimes another
// store loses its disk at that moment.
func (w *world) retireStore(wipe bool) {
	stores := w.machinesOf(storageKind)
	if len(stores) <= w.groupSize() || w.retiring != "" {
		return
	}
	m := stores[w.random.IntN(len(stores))]
	w.retiring = m.name
	w.report.Retirements++
	w.trace("%s is to be emptied", m.name)
	w.requestRetirement(m.name, w.now, wipe)
}

func (w *world) requestRetirement(node string, begun int64, wipe bool) {
	to := w.randomController()
	call(w, "operator0", to, operatorTimeoutMS, func(answer func(int)) { to.handleRetirement(node, w.now+forwardTimeoutMS, answer) }, func(status int, ok bool) {
		switch {
		case !ok || status == 503:
			w.schedule(150, func() { w.requestRetirement(node, begun, wipe) })
		case status == 200:
			w.awaitRetirement(node, w.now, wipe)
		default:
			w.reportViolation(Refused, "%s refused with %d to have %s emptied", to.name, status, node)
		}
	})
}

// awaitEmptied looks whether a machine is emptied, as an operator does.
func (w *world) awaitRetirement(node string, since int64, wipe bool) {
	for _, m := range w.machinesOf(controllerKind) {
		if !m.up || !m.hasLease(directory.Shard) || !m.directory.Retirements()[node] {
			continue
		}
		gone := w.machine(node)
		gone.up, gone.removed = false, true
		w.retiring = ""
		w.lastFaultAt = w.now
		w.trace("%s is emptied and taken away", node)
		if wipe && w.now >= w.faultUntil {
			others := w.machinesOf(storageKind)
			w.loseDisk(others[w.random.IntN(len(others))])
		}
		w.schedule(1000, func() { w.addMachine(storageKind, w.random.IntN(3)).start() })
		w.extendFault(w.now + 1000)
		return
	}
	if since = max(since, w.faultUntil); w.now-since > maxRetirementMS {
		w.reportViolation(Stuck, "%s is not emptied %d ms after that was asked", node, maxRetirementMS)
	}
	w.schedule(100, func() { w.awaitRetirement(node, since, wipe) })
}
