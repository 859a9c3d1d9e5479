package simulation

import (
	"fmt"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"strings"
)

// recoverMS is how long a machine counts as lost after it has come back.
const recoverMS = 3500

// mayLose tells whether a machine may be lost now: one at a time is borne, and one that came back still counts for a while.
func (w *world) mayLose(m *machine) bool {
	return w.lost == m.name || w.now-w.lastLoss > recoverMS
}

func (w *world) crash(m *machine) {
	w.report.Crashes++
	m.up, m.upAt = false, w.now+int64(100+w.random.IntN(2500))
	w.trace("crash %s until %d", m.id, m.upAt)
	w.lose(m, m.upAt)
}

// lose notes which machine is lost, and until when.
func (w *world) lose(m *machine, until int64) {
	w.lost, w.lastLoss = m.name, max(w.lastLoss, until)
}

// fault has something go wrong now and then.
func (w *world) fault() {
	if w.random.IntN(60) != 0 {
		return
	}
	m := w.machines[w.random.IntN(len(w.machines))]
	switch kind := w.random.IntN(10); {
	case kind == 0: // all processes are killed; their disks stay, and each of them has to catch up before another one may be lost
		for _, x := range w.machines {
			if x.up {
				w.report.Crashes++
				x.up, x.upAt = false, w.now+int64(50+w.random.IntN(600))
				w.lose(x, x.upAt)
			}
		}
		w.lost = ""
	case kind <= 2 && w.mayLose(m):
		w.wipe(m)
	case kind <= 4 && w.mayLose(m):
		w.crash(m)
	case kind <= 6 && w.mayLose(m):
		w.isolate(m)
	case kind == 7 && w.mayLose(m):
		m.frozen = w.now + int64(300+w.random.IntN(3000))
		w.trace("freeze %s until %d", m.id, m.frozen)
		w.lose(m, m.frozen)
	}
}

// wipe takes a machine's disk. Sometimes all others lose power at the same moment.
func (w *world) wipe(m *machine) {
	w.report.Wipes++
	w.trace("wipe %s", m.id)
	founded := m.disk.snapshot
	m.disk, m.synced = disk{}, disk{}
	if w.options.Bug != KeepIdentity {
		m.id = fmt.Sprintf("%s/%d", m.name, m.lives)
	}
	if w.options.Bug == FoundTwice && founded != nil && founded.Membership != nil {
		m.id = m.name + "/0"
		m.disk.snapshot = &rpc.Snapshot{Index: 1, Epoch: 1, Membership: founded.Membership}
	}
	w.crash(m)
	if w.random.IntN(2) == 0 {
		for _, x := range w.machines {
			if x != m && x.up {
				x.up, x.upAt = false, w.now+int64(100+w.random.IntN(900))
			}
		}
	}
}

// isolate cuts a machine off from the others, in one direction or both.
func (w *world) isolate(m *machine) {
	until := w.now + int64(500+w.random.IntN(4000))
	way := w.random.IntN(3)
	for _, x := range w.machines {
		if way != 0 {
			w.cut[[2]string{m.name, x.name}] = until
		}
		if way != 1 {
			w.cut[[2]string{x.name, m.name}] = until
		}
	}
	w.trace("isolate %s way %d until %d", m.id, way, until)
	w.lose(m, until)
}

// commandsInPiece is the number of commands in one piece of a snapshot.
const commandsInPiece = 16

func encode(commands []string) (pieces [][]byte) {
	for some := range slices.Chunk(commands, commandsInPiece) {
		pieces = append(pieces, []byte(strings.Join(some, ",")))
	}
	return pieces
}

func decode(pieces [][]byte) (commands []string) {
	for _, piece := range pieces {
		commands = append(commands, strings.Split(string(piece), ",")...)
	}
	return commands
}
