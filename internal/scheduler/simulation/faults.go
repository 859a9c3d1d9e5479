package simulation

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/storage/simdisk"
)

const (
	// firstFaultMS is when troubles begin: all groups are placed by then.
	firstFaultMS = startMS + 4000
	// quietMS is the time at the end in which nothing goes wrong.
	quietMS = 7000
	// emptiedIn is how long a machine may take to be emptied in calm.
	emptiedIn = 12_000
)

// end is when the history ends; it is set once the last trouble is over.
func (w *world) end() int64 { return w.endAt }

// scheduleFaults begins the first trouble.
func (w *world) scheduleFaults() {
	w.endAt = 1 << 60
	w.after(firstFaultMS, func() { w.phase(0) })
}

// phase plays one trouble. The next begins as soon as the tolerance allows.
func (w *world) phase(n int) {
	if n >= w.options.Phases {
		w.endAt = w.now + 2*quietMS
		w.after(quietMS, w.wholeAgain)
		return
	}
	w.eventAt = w.now
	w.troubleUntil = w.now
	w.trouble()
	w.after(w.troubleUntil-w.now+tickMS, func() { w.over(n) })
}

// over ends a trouble, once all that belongs to it has ended.
func (w *world) over(n int) {
	if w.now < w.troubleUntil || w.emptying != "" {
		w.after(max(w.troubleUntil-w.now, 10*tickMS), func() { w.over(n) })
		return
	}
	w.eventAt = w.now
	w.after(catchUpMS, w.led)
	w.after(catchUpMS+w.between(0, 1500), func() { w.phase(n + 1) })
}

// lasts notes that a trouble goes on until a time.
func (w *world) lasts(until int64) { w.troubleUntil = max(w.troubleUntil, until) }

// victim is a machine by chance, or one that leads a group.
func (w *world) victim(kinds ...kind) *machine {
	var list, leaders []*machine
	for _, m := range w.machines {
		if m.removed || len(kinds) > 0 && m.kind != kinds[0] {
			continue
		}
		list = append(list, m)
		for _, group := range m.engine.Groups() {
			if m.leased(group) {
				leaders = append(leaders, m)
				break
			}
		}
	}
	if len(leaders) > 0 && w.chance(2) {
		list = leaders
	}
	return list[w.random.IntN(len(list))]
}

// trouble has something go wrong, within what the tolerance allows.
func (w *world) trouble() {
	if w.chance(3) { // machines without a disk may be lost in any number
		w.gatherers[w.random.IntN(len(w.gatherers))].kill()
	}
	if w.chance(4) {
		m := w.victim()
		m.clockStep += w.between(-7_200_000, 7_200_000)
		w.report.ClockStep++
		w.trace("the clock of %s steps", m.name)
	}
	switch kind := w.random.IntN(14); kind {
	case 0:
		w.allDown()
	case 1, 2:
		w.emptyOne(w.chance(2))
	case 12:
		w.halve()
	case 13:
		w.overlap()
	default:
		count := 1 + w.random.IntN(w.options.Tolerance)
		for i := range count {
			w.lose(w.victim(), kind, i == 0)
		}
	}
}

// lose has one machine be lost for a while, or for good.
func (w *world) lose(m *machine, how int, first bool) {
	if !m.up || m.removed || m.frozenUntil > w.now {
		return
	}
	switch how {
	case 3:
		w.report.Kills++
		m.stop(false, w.between(100, 1000))
	case 4:
		w.report.Kills++
		m.stop(true, w.between(200, 4000))
	case 5, 6:
		w.wipe(m)
		if first && w.chance(2) {
			for _, other := range w.machines {
				if other != m && !other.removed && other.up {
					other.stop(true, w.between(200, 900))
				}
			}
		}
	case 7:
		m.frozenUntil = w.now + w.between(300, 5000)
		w.lasts(m.frozenUntil)
		w.trace("%s stands still until %d", m.name, m.frozenUntil)
	case 8, 9:
		w.isolate(m)
	case 10:
		w.replace(m)
	default:
		m.disk.Faults().SetWriteBudget(-1)
		until := w.now + w.between(500, 4000)
		w.lasts(until)
		w.trace("the disk of %s takes nothing until %d", m.name, until)
		w.after(until-w.now, func() { m.disk.Faults().SetWriteBudget(0) })
	}
}

// stop ends a machine's process; power also takes what was not synced.
func (m *machine) stop(power bool, down int64) {
	w := m.w
	m.up, m.upAt = false, w.now+down
	if power {
		m.darkUntil = m.upAt
		m.disk = m.disk.Crash(&simdisk.FaultPlan{}, rand.New(rand.NewPCG(w.options.Seed, uint64(w.random.Uint32()))))
	} else {
		m.disk = m.disk.Clone(&simdisk.FaultPlan{})
	}
	w.lasts(m.upAt)
	w.trace("%s is down until %d (power %v)", m.name, m.upAt, power)
}

func (w *world) wipe(m *machine) {
	w.report.Wipes++
	m.stop(true, w.between(300, 3000))
	m.newDisk()
	w.trace("%s loses its disk", m.name)
}

func (w *world) allDown() {
	power := w.chance(2)
	for _, m := range w.machines {
		if !m.removed && m.up {
			w.report.Kills++
			m.stop(power, w.between(50, 900))
		}
	}
}

// isolate cuts a machine off from the other counted ones, in one direction or both; sometimes from everybody, or from all but some who would
// be misled by it.
func (w *world) isolate(m *machine) {
	w.report.Cuts++
	until := w.now + w.between(800, 6000)
	if w.chance(4) {
		until = w.now + 20_000
	}
	way, reach := w.random.IntN(3), w.random.IntN(3)
	apart := func(a, b string) {
		if way != 0 {
			w.cuts[link{a, b}] = until
		}
		if way != 1 {
			w.cuts[link{b, a}] = until
		}
	}
	for _, other := range w.machines {
		if other != m {
			apart(m.name, other.name)
		}
	}
	lured := w.gatherers[w.random.IntN(len(w.gatherers))]
	for _, g := range w.gatherers {
		if reach == 1 {
			apart(m.name, g.name)
		}
	}
	if reach == 2 { // this one reaches the others no longer
		lured.apartUntil = until
		for _, other := range w.machines {
			if other != m {
				w.cuts[link{lured.name, other.name}], w.cuts[link{other.name, lured.name}] = until, until
			}
		}
	}
	w.lasts(until)
	w.trace("%s is cut off until %d (way %d, reach %d)", m.name, until, way, reach)
	if w.chance(3) { // it is started anew, and knows only what its disk and those tell that it reaches
		m.stop(false, w.between(100, 600))
	}
	if m.kind == steward && w.chance(2) {
		w.after(w.between(500, 2500), func() { w.emptyOne(false) })
	}
}

// halve cuts the counted machines into two halves, whatever the tolerance. All others reach both.
func (w *world) halve() {
	w.report.Halves++
	until := w.now + w.between(800, 7000)
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
				w.cuts[link{a, b}] = until
			}
		}
	}
	w.lasts(until)
	w.trace("the counted machines are cut into halves until %d", until)
}

// disturbed notes that the counted machines are not stable now: nobody is in touch for a while.
func (w *world) disturbed() { w.eventAt = w.now }

// overlap has more machines lose power than the tolerance allows, one after the other while the ones before are down; no more disks are lost than it
// allows.
func (w *world) overlap() {
	w.report.Overlaps++
	disks := w.random.IntN(w.options.Tolerance + 1)
	for range 2*w.options.Tolerance + 1 {
		w.after(w.between(0, 1500), func() {
			m := w.machines[w.random.IntN(len(w.machines))]
			switch {
			case m.removed || !m.up:
			case disks > 0:
				disks--
				w.wipe(m)
			default:
				m.stop(true, w.between(500, 2500))
			}
			w.disturbed()
			w.after(max(m.upAt-w.now, 0), w.disturbed)
		})
	}
	w.lasts(w.now + 1500)
}

// replace has a machine go for good; an empty one comes at another address.
func (w *world) replace(m *machine) {
	w.report.Replacements++
	m.up, m.removed = false, true
	w.trace("%s is gone for good", m.name)
	w.after(1000, func() {
		fresh := w.addMachine(m.kind, w.random.IntN(3))
		fresh.start()
	})
	w.lasts(w.now + 1000)
}

// emptyOne has an operator ask for a store to be emptied. Once that is completed the machine is taken away with its disk; sometimes another
// store loses its disk at that moment.
func (w *world) emptyOne(wipe bool) {
	stores := w.of(store)
	if len(stores) <= w.groupSize() || w.emptying != "" {
		return
	}
	m := stores[w.random.IntN(len(stores))]
	w.emptying = m.name
	w.report.Retirements++
	w.trace("%s is to be emptied", m.name)
	w.orderRetire(m.name, w.now, wipe)
}

func (w *world) orderRetire(node string, begun int64, wipe bool) {
	to := w.stewardFor()
	call(w, "operator0", to, operatorPatience, func(answer func(int)) { to.retire(node, w.now+passMS, answer) }, func(status int, ok bool) {
		switch {
		case !ok || status == 503:
			w.after(150, func() { w.orderRetire(node, begun, wipe) })
		case status == 200:
			w.awaitEmptied(node, w.now, wipe)
		default:
			w.fail(Refused, "%s refused with %d to have %s emptied", to.name, status, node)
		}
	})
}

// awaitEmptied looks whether a machine is emptied, as an operator does.
func (w *world) awaitEmptied(node string, since int64, wipe bool) {
	for _, m := range w.of(steward) {
		if !m.up || !m.leased(directory.Shard) || !m.directory.Retirements()[node] {
			continue
		}
		gone := w.machine(node)
		gone.up, gone.removed = false, true
		w.emptying = ""
		w.eventAt = w.now
		w.trace("%s is emptied and taken away", node)
		if wipe && w.now >= w.troubleUntil {
			others := w.of(store)
			w.wipe(others[w.random.IntN(len(others))])
		}
		w.after(1000, func() { w.addMachine(store, w.random.IntN(3)).start() })
		w.lasts(w.now + 1000)
		return
	}
	if since = max(since, w.troubleUntil); w.now-since > emptiedIn {
		w.fail(Stuck, "%s is not emptied %d ms after that was asked", node, emptiedIn)
	}
	w.after(100, func() { w.awaitEmptied(node, since, wipe) })
}
