package simulation

// Directions of a partition, as seen by the isolated machine.
const (
	incomingOnly = iota // messages of the others do not arrive
	outgoingOnly
	bothDirections
	directions // number of directions
)

// Endpoints that isolate partitions in addition to the machine from the other machines.
const (
	machinesOnly     = iota
	withGatherers    // also the machine from all gatherers
	withOneGatherer  // also one gatherer from all other machines, so that it reaches only the isolated one
	isolationReaches // number of the values above
)

const (
	longIsolationMS = 20_000

	// Each event has probability 1/chance.
	longIsolationChance      = 4
	isolatedRestartChance    = 3
	isolatedRetirementChance = 2
)

// isolate partitions a machine from the others for a random time. Sometimes its process restarts, so
// that it only has the state of its disk and of the machines that it reaches. While a controller is
// isolated, an operator may retire a storage node.
func (w *world) isolate(m *machine) {
	w.report.Cuts++
	until := w.now + w.randomBetween(800, 6000)
	if w.oneIn(longIsolationChance) {
		until = w.now + longIsolationMS
	}
	direction, reach := w.random.IntN(directions), w.random.IntN(isolationReaches)
	for _, other := range w.machines {
		if other != m {
			w.partition(m.name, other.name, direction, until)
		}
	}
	isolatedGatherer := w.gatherers[w.random.IntN(len(w.gatherers))]
	switch reach {
	case withGatherers:
		for _, g := range w.gatherers {
			w.partition(m.name, g.name, direction, until)
		}
	case withOneGatherer:
		isolatedGatherer.partitionedUntil = until
		for _, other := range w.machines {
			if other != m {
				w.partition(isolatedGatherer.name, other.name, bothDirections, until)
			}
		}
	}
	w.extendFault(until)
	w.trace("%s is cut off until %d (way %d, reach %d)", m.name, until, direction, reach)
	if w.oneIn(isolatedRestartChance) {
		m.stopProcess(false, w.randomBetween(100, 600))
	}
	if m.kind == controllerKind && w.oneIn(isolatedRetirementChance) {
		w.schedule(w.randomBetween(500, 2500), func() { w.retireStore(false) })
	}
}

// partition partitions two endpoints until a time. direction is as seen by end.
func (w *world) partition(end, other string, direction int, until int64) {
	if direction != incomingOnly {
		w.partitionedUntil[link{end, other}] = until
	}
	if direction != outgoingOnly {
		w.partitionedUntil[link{other, end}] = until
	}
}

// partitionHalves partitions the machines into two random halves, which exceeds the tolerance. Clients
// reach both halves.
func (w *world) partitionHalves() {
	w.report.Halves++
	until := w.now + w.randomBetween(800, 7000)
	var names []string
	for _, m := range w.machines {
		if !m.removed {
			names = append(names, m.name)
		}
	}
	firstHalf := map[string]bool{}
	for i, position := range w.random.Perm(len(names)) {
		firstHalf[names[position]] = i < len(names)/2
	}
	for _, a := range names {
		for _, b := range names {
			if firstHalf[a] != firstHalf[b] {
				w.partitionedUntil[link{a, b}] = until
			}
		}
	}
	w.extendFault(until)
	w.trace("the counted machines are cut into halves until %d", until)
}
