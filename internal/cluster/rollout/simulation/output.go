package simulation

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"strconv"
	"strings"
)

const (
	// duplicateOneIn: until the faults end, one message in this many is delivered twice on average.
	duplicateOneIn = 50
	// maxUndelivered is the maximum number of messages that are buffered for a suspended node.
	// Further messages are dropped.
	maxUndelivered = 500
)

// execute executes a node's output.
func (w *world) execute(x *node) {
	out := x.core.TakeOutput()
	// A node whose disk is full crashes and restarts later, since it must not send what it can't
	// store.
	if x.diskFull && (out.Save != nil || out.Global.Save != nil) {
		w.kill(x, 300*ms+w.rng.Int64N(second))
		return
	}
	if out.Save != nil {
		w.save(x, x.disk.localDisk, out.Save, x.core.Saved)
	}
	if out.Global.Save != nil {
		w.save(x, x.disk.globalDisk, out.Global.Save, x.core.SavedGlobal)
	}
	if s := out.Global.Snapshot; s != nil {
		x.disk.global.compact(s)
	}
	if out.Roster != nil {
		x.disk.roster = out.Roster
	}
	if s := out.Snapshot; s != nil {
		x.disk.compact(s)
	}
	for _, d := range out.Install {
		w.install(x, d)
	}
	for _, p := range out.Validate {
		w.validate(x, p)
	}
	for _, m := range out.Messages {
		if m.Ask != nil && !m.Global && m.Ask.Ready > x.readyAttempt {
			x.readyAttempt = m.Ask.Ready
		}
		w.send(x, m)
	}
	w.checkAdmission(x)
	w.scheduleWake(x)
}

// save writes to one of the node's disks after a delay, and confirms it to the node. A crash before
// that loses the write.
func (w *world) save(x *node, target func() *disk, s *rollout.Save, confirm func(now int64) error) {
	incarnation := x.incarnation
	w.schedule(500+w.rng.Int64N(2000), func() {
		if x.incarnation != incarnation || !x.running {
			return
		}
		target().write(s)
		w.whenRunning(x, incarnation, func() {
			if err := confirm(w.localTime(x)); err != nil {
				w.violation(&w.result.Lost, "%s: %v", x.name, err)
			}
		})
	})
}

// localDisk returns the storage of the region's agreement, or the fleet's.
func (d *disk) localDisk() *disk { return d }

// globalDisk returns the storage of the global agreement.
func (d *disk) globalDisk() *disk {
	if d.global == nil {
		d.global = &disk{}
	}
	return d.global
}

// install stores a version that is in force, and checks that all nodes have the same text under its
// number.
func (w *world) install(x *node, d *wire.Document) {
	if hash, ok := w.hashes[d.Number]; ok && hash != string(d.Hash) {
		w.violation(&w.result.Resurrected, "version %d stands for two texts", d.Number)
	}
	w.hashes[d.Number] = string(d.Hash)
	x.disk.current = d
	w.checkParts(d)
}

// validate validates and stages a proposal after a delay, and reports the result to the node.
func (w *world) validate(x *node, p *wire.Proposal) {
	fault := ""
	if w.RejectSome && len(p.Document.Text) > 0 && int(p.Document.Text[0]) == x.index+1 {
		fault = "contracts.teams: it can't be read"
	}
	if x.diskFull {
		fault = "the disk is full"
	}
	incarnation := x.incarnation
	w.schedule(500+w.rng.Int64N(3000), func() {
		if x.incarnation != incarnation || !x.running {
			return
		}
		if fault == "" && (x.disk.staged == nil || x.disk.staged.Attempt < p.Attempt) {
			x.disk.staged = p
		}
		w.whenRunning(x, incarnation, func() { x.core.Validated(w.localTime(x), p.Attempt, fault) })
	})
}

// whenRunning calls do for a node once it is not suspended. After a crash of the node it drops the
// call.
func (w *world) whenRunning(x *node, incarnation int, do func()) {
	switch {
	case x.incarnation != incarnation || !x.running:
	case x.suspended:
		w.schedule(10*ms, func() { w.whenRunning(x, incarnation, do) })
	default:
		do()
		w.execute(x)
	}
}

// send sends a message over the simulated network, which may lose, delay or duplicate it. Answers
// to operators are handled at once.
func (w *world) send(x *node, m *wire.Message) {
	i, err := strconv.Atoi(strings.TrimPrefix(m.To, "n"))
	if err != nil || i < 0 || i >= len(w.nodes) {
		if m.Answer != nil {
			w.handleAnswer(m.Answer)
		}
		return
	}
	w.result.Messages++
	w.result.QuotaBytes += len(m.GetAsk().GetShare()) + len(m.GetWord().GetShare())
	to := w.nodes[i]
	if to.region != x.region && w.cutRegions[[2]int{x.region, to.region}] > 0 {
		return
	}
	if w.cutLinks[[2]int{x.index, i}] > 0 || w.loss > 0 && w.rng.Float64() < w.loss {
		return
	}
	delay := w.drawDelay(x, to)
	copies := 1
	if w.now < epoch+w.FaultsEnd && w.rng.IntN(duplicateOneIn) == 0 {
		copies = 2
	}
	for c := range copies {
		w.schedule(delay+int64(c)*w.rng.Int64N(500*ms), func() { w.deliver(to, m) })
	}
}

// drawDelay returns a random delay for a message.
func (w *world) drawDelay(from, to *node) int64 {
	delay := 200 + w.rng.Int64N(1800)
	if w.extraDelay > 0 {
		delay += w.rng.Int64N(w.extraDelay)
	}
	delay += to.extraDelay
	if to.region != from.region {
		delay += w.RegionDelay/2 + w.rng.Int64N(w.RegionDelay/2+1)
	}
	return delay
}

// deliver delivers a message to a node. Up to maxUndelivered messages to a suspended node are
// buffered until it resumes.
func (w *world) deliver(to *node, m *wire.Message) {
	switch {
	case !to.running:
	case to.suspended:
		if len(to.undelivered) < maxUndelivered {
			to.undelivered = append(to.undelivered, m)
		}
	default:
		to.core.Receive(w.localTime(to), m)
		w.execute(to)
	}
}
