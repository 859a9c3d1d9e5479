package simulation

const (
	firstFaultMS   = startMS + 4000 // time of the first fault; all groups are placed by then
	quietMS        = 7000           // period without faults at the end of a history
	replaceDelayMS = 1000           // delay until a new machine replaces a removed one
	overlapMS      = 1500           // period in which the faults of an overlap begin
	maxClockStepMS = 7_200_000
	handOverMS     = 200 // maximum duration of a graceful shutdown

	endUnknown = 1 << 60 // value of endAt until the last fault is over
)

// Each fault has probability 1/chance.
const (
	gathererKillChance = 3
	clockStepChance    = 4
)

// faultKind is the kind of a phase's fault. Some kinds have two values, so that injectFault draws them
// twice as often.
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
	faultKinds // number of kinds
)

// scheduleFaults schedules the first phase.
func (w *world) scheduleFaults() {
	w.endAt = endUnknown
	w.schedule(firstFaultMS, func() { w.beginPhase(0) })
}

// beginPhase injects the fault of a phase. After the last phase it schedules the end of the history and
// the check of the replica groups.
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

// endPhase waits until the fault and a retirement in progress are over. It schedules the next phase for
// the time when the failed machines have recovered.
func (w *world) endPhase(n int) {
	if w.now < w.faultUntil || w.retiring != "" {
		w.schedule(max(w.faultUntil-w.now, 10*tickMS), func() { w.endPhase(n) })
		return
	}
	w.lastFaultAt = w.now
	w.schedule(recoveryMS, w.checkLeaders)
	w.schedule(recoveryMS+w.randomBetween(0, 1500), func() { w.beginPhase(n + 1) })
}

// extendFault records that the current fault lasts at least until a time.
func (w *world) extendFault(until int64) { w.faultUntil = max(w.faultUntil, until) }

// recordFault records a fault at the current time: no machine counts as in touch for contactMS.
func (w *world) recordFault() { w.lastFaultAt = w.now }

// pickMachine returns a random machine, with probability 1/2 one that leads a group.
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

// leadsAnyGroup reports whether the machine has the leader lease of any group.
func (m *machine) leadsAnyGroup() bool {
	for _, group := range m.engine.Groups() {
		if m.hasLease(group) {
			return true
		}
	}
	return false
}

// injectFault injects the fault of a phase. The fault is within the tolerance or loses no disks. In
// addition a gatherer may fail, of which any number is tolerated because they have no disks, and a
// clock may step, which is tolerated at any time.
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

// failMachine makes a machine fail, temporarily or permanently, with the kind of fault that injectFault
// has drawn. It has no effect on a machine that has already failed. After the disk loss of the first
// machine the other machines may lose power.
func (w *world) failMachine(m *machine, kind faultKind, first bool) {
	if !m.up || m.removed || m.frozenUntil > w.now {
		return
	}
	switch kind {
	case faultKill:
		w.report.Kills++
		if w.oneIn(2) {
			w.stopGracefully(m)
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

// loseDisk stops a machine's process and replaces its disk by an empty one.
func (w *world) loseDisk(m *machine) {
	w.report.Wipes++
	m.stopProcess(true, w.randomBetween(300, 3000))
	m.replaceDisk()
	w.trace("%s loses its disk", m.name)
}

// cutPowerExcept makes all machines except m lose power.
func (w *world) cutPowerExcept(m *machine) {
	for _, other := range w.machines {
		if other != m && !other.removed && other.up {
			other.stopProcess(true, w.randomBetween(200, 900))
		}
	}
}

// freeze suspends a machine's process for a random time.
func (w *world) freeze(m *machine) {
	m.frozenUntil = w.now + w.randomBetween(300, 5000)
	w.extendFault(m.frozenUntil)
	w.trace("%s stands still until %d", m.name, m.frozenUntil)
}

// failWrites makes the writes of a machine's disk fail for a random time.
func (w *world) failWrites(m *machine) {
	m.disk.Faults().SetWriteBudget(-1)
	until := w.now + w.randomBetween(500, 4000)
	w.extendFault(until)
	w.trace("the disk of %s takes nothing until %d", m.name, until)
	w.schedule(until-w.now, func() { m.disk.Faults().SetWriteBudget(0) })
}

// stopGracefully makes a machine transfer its leaderships before its process ends, as after a SIGTERM.
// The process may end before the transfers are complete.
func (w *world) stopGracefully(m *machine) {
	if m.engine.TransferLeadership() > 0 {
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

// stopAll stops the processes of all machines, with probability 1/2 by a power loss. No disks are lost.
func (w *world) stopAll() {
	powerLoss := w.oneIn(2)
	for _, m := range w.machines {
		if !m.removed && m.up {
			w.report.Kills++
			m.stopProcess(powerLoss, w.randomBetween(50, 900))
		}
	}
}

// overlap makes more machines lose power than the tolerance allows, at random times, so that their
// downtimes may overlap. It loses at most as many disks as the tolerance allows.
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

// replaceMachine removes a machine permanently and schedules the start of an empty one of the same kind
// at another address.
func (w *world) replaceMachine(m *machine) {
	w.report.Replacements++
	m.up, m.removed = false, true
	w.trace("%s is gone for good", m.name)
	w.addMachineLater(m.kind)
	w.extendFault(w.now + replaceDelayMS)
}

// addMachineLater schedules the start of a new machine of a kind, in a random zone, after
// replaceDelayMS.
func (w *world) addMachineLater(kind machineKind) {
	w.schedule(replaceDelayMS, func() { w.addMachine(kind, w.random.IntN(zones)).start() })
}
