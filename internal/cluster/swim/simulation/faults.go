package simulation

import (
	"saffronquay/internal/testing/faults"
)

// applyFault applies one step of the fault script.
func (w *simulator) applyFault(x faults.Step) {
	w.links.Begin(x)
	for i, p := range w.latest {
		if x.A != nil && !x.A.Has(i) || p == nil {
			continue
		}
		switch x.Do {
		case faults.Kill:
			w.kill(p)
		case faults.Start, faults.Move:
			if !p.up {
				w.startProcess(i, x.Do == faults.Move)
			}
		case faults.Twin:
			w.startProcess(i, true)
		case faults.Leave:
			p.core.Leave(w.now)
			w.perform(p)
			w.awaitLeave(p)
		case faults.Stop:
			p.stopped, p.disturbed = true, true
			w.after(x.For.Microseconds(), func() { w.resume(p) })
		case faults.Slow:
			p.slow, p.disturbed = x.Delay.Microseconds(), true
			if x.For > 0 {
				w.after(x.For.Microseconds(), func() { p.slow = 0 })
			}
		}
	}
	if x.For > 0 {
		w.after(x.For.Microseconds(), func() { w.links.Expire(x.At + x.For) })
	}
}
