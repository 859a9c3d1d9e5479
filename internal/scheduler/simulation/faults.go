package simulation

const (
	// firstFaultMS is when troubles begin: all groups are placed by then.
	firstFaultMS = startMS + 4000
	// quietMS is the time at the end in which nothing goes wrong.
	quietMS = 7000
	// emptiedIn is how long a machine may take to be emptied in calm.
	maxRetirementMS = 12_000
)

// end is when the history ends; it is set once the last trouble is over.
func (w *world) end() int64 { return w.endAt }

// scheduleFaults begins the first trouble.
func (w *world) scheduleFaults() {
	w.endAt = 1 << 60
	w.schedule(firstFaultMS, func() { w.beginPhase(0) })
}

// phase plays one trouble. The next begins as soon as the tolerance allows.
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

// over ends a trouble, once all that belongs to it has ended.
func (w *world) endPhase(n int) {
	if w.now < w.faultUntil || w.retiring != "" {
		w.schedule(max(w.faultUntil-w.now, 10*tickMS), func() { w.endPhase(n) })
		return
	}
	w.lastFaultAt = w.now
	w.schedule(recoveryMS, w.checkLeaders)
	w.schedule(recoveryMS+w.randomBetween(0, 1500), func() { w.beginPhase(n + 1) })
}

// lasts notes that a trouble goes on until a time.
func (w *world) extendFault(until int64) { w.faultUntil = max(w.faultUntil, until) }

// victim is a machine by chance, or one that leads a group.
func (w *world) pickMachine(kinds ...machineKind) *machine {
	var list, leaders []*machine
	for _, m := range w.machines {
		if m.removed || len(kinds) > 0 && m.kind != kinds[0] {
			continue
		}
		list = append(list, m)
		for _, group := range m.engine.Groups() {
			if m.hasLease(group) {
				leaders = append(leaders, m)
				break
			}
		}
	}
	if len(leaders) > 0 && w.oneIn(2) {
		list = leaders
	}
	return list[w.random.IntN(len(list))]
}

// trouble has something go wrong, within what the tolerance allows.
func (w *world) injectFault() {
	if w.oneIn(3) { // machines without a disk may be lost in any number
		w.gatherers[w.random.IntN(len(w.gatherers))].kill()
	}
	if w.oneIn(4) {
		m := w.pickMachine()
		m.clockOffset += w.randomBetween(-7_200_000, 7_200_000)
		w.report.ClockStep++
		w.trace("the clock of %s steps", m.name)
	}
	switch kind := w.random.IntN(14); kind {
	case 0:
		w.stopAll()
	case 1, 2:
		w.retireStore(w.oneIn(2))
	case 12:
		w.partitionHalves()
	case 13:
		w.overlap()
	default:
		count := 1 + w.random.IntN(w.options.Tolerance)
		for i := range count {
			w.failMachine(w.pickMachine(), kind, i == 0)
		}
	}
}

// lose has one machine be lost for a while, or for good.
func (w *world) failMachine(m *machine, how int, first bool) {
	if !m.up || m.removed || m.frozenUntil > w.now {
		return
	}
	switch how {
	case 3:
		w.report.Kills++
		m.stopProcess(false, w.randomBetween(100, 1000))
	case 4:
		w.report.Kills++
		m.stopProcess(true, w.randomBetween(200, 4000))
	case 5, 6:
		w.loseDisk(m)
		if first && w.oneIn(2) {
			for _, other := range w.machines {
				if other != m && !other.removed && other.up {
					other.stopProcess(true, w.randomBetween(200, 900))
				}
			}
		}
	case 7:
		m.frozenUntil = w.now + w.randomBetween(300, 5000)
		w.extendFault(m.frozenUntil)
		w.trace("%s stands still until %d", m.name, m.frozenUntil)
	case 8, 9:
		w.isolate(m)
	case 10:
		w.replaceMachine(m)
	default:
		m.disk.Faults().SetWriteBudget(-1)
		until := w.now + w.randomBetween(500, 4000)
		w.extendFault(until)
		w.trace("the disk of %s takes nothing until %d", m.name, until)
		w.schedule(until-w.now, func() { m.disk.Faults().SetWriteBudget(0) })
	}
}

func (w *world) loseDisk(m *machine) {
	w.report.Wipes++
	m.stopProcess(true, w.randomBetween(300, 3000))
	m.replaceDisk()
	w.trace("%s loses its disk", m.name)
}

func (w *world) stopAll() {
	power := w.oneIn(2)
	for _, m := range w.machines {
		if !m.removed && m.up {
			w.report.Kills++
			m.stopProcess(power, w.randomBetween(50, 900))
		}
	}
}

// isolate cuts a machine off from the other counted ones, in one direction or both; sometimes from everybody, or from all but some who would
// be misled by it.
func (w *world) isolate(m *machine) {
	w.report.Cuts++
	until := w.now + w.randomBetween(800, 6000)
	if w.oneIn(4) {
		until = w.now + 20_000
	}
	way, reach := w.random.IntN(3), w.random.IntN(3)
	partition := func(a, b string) {
		if way != 0 {
			w.partitionedUntil[link{a, b}] = until
		}
		if way != 1 {
			w.partitionedUntil[link{b, a}] = until
		}
	}
	for _, other := range w.machines {
		if other != m {
			partition(m.name, other.name)
		}
	}
	misled := w.gatherers[w.random.IntN(len(w.gatherers))]
	for _, g := range w.gatherers {
		if reach == 1 {
			partition(m.name, g.name)
		}
	}
	if reach == 2 { // this one reaches the others no longer
		misled.partitionedUntil = until
		for _, other := range w.machines {
			if other != m {
				w.partitionedUntil[link{misled.name, other.name}], w.partitionedUntil[link{other.name, misled.name}] = until, until
			}
		}
	}
	w.extendFault(until)
	w.trace("%s is cut off until %d (way %d, reach %d)", m.name, until, way, reach)
	if w.oneIn(3) { // it is started anew, and knows only what its disk and those tell that it reaches
		m.stopProcess(false, w.randomBetween(100, 600))
	}
	if m.kind == controllerKind && w.oneIn(2) {
		w.schedule(w.randomBetween(500, 2500), func() { w.retireStore(false) })
	}
}

// halve cuts the counted machines into two halves, whatever the tolerance. All others reach both.
func (w *world) partitionHalves() {
	w.report.Halves++
	until := w.now + w.randomBetween(800, 7000)
	half := map[string]bool{}
	var names []string
	for _, m := range w.machines {
		if !m.removed {
			names = append(names, m.name)
		}
	}
	for i, at := range w.random.Perm(len(names)) {
		half[names[at]] = i < len(names)/2
	}
	for _, a := range names {
		for _, b := range names {
			if half[a] != half[b] {
				w.partitionedUntil[link{a, b}] = until
			}
		}
	}
	w.extendFault(until)
	w.trace("the counted machines are cut into halves until %d", until)
}

// disturbed notes that the counted machines are not stable now: nobody is in touch for a while.
func (w *world) markUnstable() { w.lastFaultAt = w.now }

// overlap has more machines lose power than the tolerance allows, one after the other while the ones before are down; no more disks are lost than it
// allows.
func (w *world) overlap() {
	w.report.Overlaps++
	disks := w.random.IntN(w.options.Tolerance + 1)
	for range 2*w.options.Tolerance + 1 {
		w.schedule(w.randomBetween(0, 1500), func() {
			m := w.machines[w.random.IntN(len(w.machines))]
			switch {
			case m.removed || !m.up:
			case disks > 0:
				disks--
				w.loseDisk(m)
			default:
				m.stopProcess(true, w.randomBetween(500, 2500))
			}
			w.markUnstable()
			w.schedule(max(m.restartAt-w.now, 0), w.markUnstable)
		})
	}
	w.extendFault(w.now + 1500)
}

// replace has a machine go for good; an empty one comes at another address.
func (w *world) replaceMachine(m *machine) {
	w.report.Replacements++
	m.up, m.removed = false, true
	w.trace("%s is gone for good", m.name)
	w.schedule(1000, func() {
		fresh := w.addMachine(m.kind, w.random.IntN(3))
		fresh.start()
	})
	w.extendFault(w.now + 1000)
}
