package simulation

const (
	firstFaultMS   = startMS + 4000 // all groups are placed by then
	quietMS        = 7000           // at the end of a history, in which there are no faults
	replaceDelayMS = 1000           // after which a new machine takes the place of a removed one
	overlapMS      = 1500           // in which the faults of an overlap begin
	maxClockStepMS = 7_200_000
	handOverMS     = 200 // within which a process that stops in order has ended

	endUnknown = 1 << 60 // endAt before the last fault is over
)

// Chances of a fault are 1 to these numbers.
const (
	gathererKillChance = 3
	clockStepChance    = 4
)

// faultKind is what injectFault draws. Some kinds stand twice, so that they are twice as frequent.
type faultKind int

const (
	faultStopAll faultKind = iota
	faultRetirement
	faultRetirementAgain
	faultKill
	faultPowerLoss
	faultDiskLoss
	faultDiskLossAgain
	faultFreeze
	faultIsolation
	faultIsolationAgain
	faultReplacement
	faultWrites
	faultHalves
	faultOverlap
	faultKinds // their number
)

// scheduleFaults schedules the first phase.
func (w *world) scheduleFaults() {
	w.endAt = endUnknown
	w.schedule(firstFaultMS, func() { w.beginPhase(0) })
}

// beginPhase injects the fault of a phase. After the last phase it schedules the end of the history and the check of the replica groups.
func (w *world) beginPhase(n int) {
	if n >= w.options.Phases {
		w.endAt = w.now + 2*quietMS
		w.schedule(quietMS, w.checkReplicaGroups)
		return
	}
	w.lastFaultAt = w.now
	w.faultUntil = w.now
	w.injectFault()
	w.schedule(w.faultUntil-w.now+tickMS, func() { w.endPhase(n) })
}

// endPhase waits until the fault and all that belongs to it are over. The next phase begins when the failed machines have recovered.
func (w *world) endPhase(n int) {
	if w.now < w.faultUntil || w.retiring != "" {
		w.schedule(max(w.faultUntil-w.now, 10*tickMS), func() { w.endPhase(n) })
		return
	}
	w.lastFaultAt = w.now
	w.schedule(recoveryMS, w.checkLeaders)
	w.schedule(recoveryMS+w.randomBetween(0, 1500), func() { w.beginPhase(n + 1) })
}

// extendFault records that the present fault lasts until a time at least.
func (w *world) extendFault(until int64) { w.faultUntil = max(w.faultUntil, until) }

// recordFault records a fault now: no machine counts as in touch for a while.
func (w *world) recordFault() { w.lastFaultAt = w.now }

// pickMachine draws a machine, half of the time among those that lead a group.
func (w *world) pickMachine() *machine {
	var list, leaders []*machine
	for _, m := range w.machines {
		if m.removed {
			continue
		}
		list = append(list, m)
		if m.leadsAnyGroup() {
			leaders = append(leaders, m)
		}
	}
	if len(leaders) > 0 && w.oneIn(2) {
		list = leaders
	}
	return list[w.random.IntN(len(list))]
}

// leadsAnyGroup reports whether the machine has the lease of a group.
func (m *machine) leadsAnyGroup() bool {
	for _, group := range m.engine.Groups() {
		if m.hasLease(group) {
			return true
		}
	}
	return false
}

// injectFault injects the fault of a phase, within the tolerance or without loss of disks. Gatherers have no disk, so any number may fail; a
// step of a clock is tolerated at any time.
func (w *world) injectFault() {
	if w.oneIn(gathererKillChance) {
		w.gatherers[w.random.IntN(len(w.gatherers))].kill()
	}
	if w.oneIn(clockStepChance) {
		m := w.pickMachine()
		m.clockOffset += w.randomBetween(-maxClockStepMS, maxClockStepMS)
		w.report.ClockStep++
		w.trace("the clock of %s steps", m.name)
	}
	switch kind := faultKind(w.random.IntN(int(faultKinds))); kind {
	case faultStopAll:
		w.stopAll()
	case faultRetirement, faultRetirementAgain:
		w.retireStore(w.oneIn(2))
	case faultHalves:
		w.partitionHalves()
	case faultOverlap:
		w.overlap()
	default:
		count := 1 + w.random.IntN(w.options.Tolerance)
		for i := range count {
			w.failMachine(w.pickMachine(), kind, i == 0)
		}
	}
}

// failMachine has one machine fail for a while, or for good, in the way that injectFault has drawn. A machine that has already failed is left
// as it is. After a loss of the first machine's disk the others may lose power.
func (w *world) failMachine(m *machine, kind faultKind, first bool) {
	if !m.up || m.removed || m.frozenUntil > w.now {
		return
	}
	switch kind {
	case faultKill:
		w.report.Kills++
		if w.oneIn(2) {
			w.stopInOrder(m)
			return
		}
		m.stopProcess(false, w.randomBetween(100, 1000))
	case faultPowerLoss:
		w.report.Kills++
		m.stopProcess(true, w.randomBetween(200, 4000))
	case faultDiskLoss, faultDiskLossAgain:
		w.loseDisk(m)
		if first && w.oneIn(2) {
			w.cutPowerExcept(m)
		}
	case faultFreeze:
		w.freeze(m)
	case faultIsolation, faultIsolationAgain:
		w.isolate(m)
	case faultReplacement:
		w.replaceMachine(m)
	default:
		w.failWrites(m)
	}
}

// loseDisk ends a machine's process and replaces its disk by an empty one.
func (w *world) loseDisk(m *machine) {
	w.report.Wipes++
	m.stopProcess(true, w.randomBetween(300, 3000))
	m.replaceDisk()
	w.trace("%s loses its disk", m.name)
}

// cutPowerExcept has all machines but one lose power.
func (w *world) cutPowerExcept(m *machine) {
	for _, other := range w.machines {
		if other != m && !other.removed && other.up {
			other.stopProcess(true, w.randomBetween(200, 900))
		}
	}
}

// freeze stops a machine's process for a time. Virtual time goes on.
func (w *world) freeze(m *machine) {
	m.frozenUntil = w.now + w.randomBetween(300, 5000)
	w.extendFault(m.frozenUntil)
	w.trace("%s stands still until %d", m.name, m.frozenUntil)
}

// failWrites has a machine's disk refuse writes for a time.
func (w *world) failWrites(m *machine) {
	m.disk.Faults().SetWriteBudget(-1)
	until := w.now + w.randomBetween(500, 4000)
	w.extendFault(until)
	w.trace("the disk of %s takes nothing until %d", m.name, until)
	w.schedule(until-w.now, func() { m.disk.Faults().SetWriteBudget(0) })
}

// stopInOrder has a machine hand its leaderships over before its process ends, as at a SIGTERM. The transfers may be cut off by the end.
func (w *world) stopInOrder(m *machine) {
	if m.engine.HandOver() > 0 {
		w.report.HandOvers++
	}
	stopsAt := w.now + w.randomBetween(tickMS, handOverMS)
	w.extendFault(stopsAt)
	w.schedule(stopsAt-w.now, func() {
		if m.up && !m.removed {
			m.stopProcess(false, w.randomBetween(100, 1000))
		}
	})
}

// stopAll ends the processes of all machines, half of the time by a loss of power. Their disks stay.
func (w *world) stopAll() {
	powerLoss := w.oneIn(2)
	for _, m := range w.machines {
		if !m.removed && m.up {
			w.report.Kills++
			m.stopProcess(powerLoss, w.randomBetween(50, 900))
		}
	}
}

// overlap has more machines lose power than the tolerance allows, at random times of which the downtimes may overlap. No more disks are lost
// than the tolerance allows.
func (w *world) overlap() {
	w.report.Overlaps++
	disks := w.random.IntN(w.options.Tolerance + 1)
	for range 2*w.options.Tolerance + 1 {
		w.schedule(w.randomBetween(0, overlapMS), func() {
			m := w.machines[w.random.IntN(len(w.machines))]
			switch {
			case m.removed || !m.up:
			case disks > 0:
				disks--
				w.loseDisk(m)
			default:
				m.stopProcess(true, w.randomBetween(500, 2500))
			}
			w.recordFault()
			w.schedule(max(m.restartAt-w.now, 0), w.recordFault)
		})
	}
	w.extendFault(w.now + overlapMS)
}

// replaceMachine removes a machine for good. An empty one of its kind comes at another address.
func (w *world) replaceMachine(m *machine) {
	w.report.Replacements++
	m.up, m.removed = false, true
	w.trace("%s is gone for good", m.name)
	w.addMachineLater(m.kind)
	w.extendFault(w.now + replaceDelayMS)
}

// addMachineLater starts a new machine of a kind, in a random zone, after replaceDelayMS.
func (w *world) addMachineLater(kind machineKind) {
	w.schedule(replaceDelayMS, func() { w.addMachine(kind, w.random.IntN(zones)).start() })
}
