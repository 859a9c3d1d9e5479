package simulation

import (
	"saffronquay/internal/testing/faults"
)

// perform does the work that a core requested, and schedules its next tick.
func (w *simulator) perform(p *process) {
	o := p.core.TakeOutput()
	for _, d := range o.Datagrams {
		w.countTraffic(p, len(d.Bytes), 0, true)
		to := w.byAddr[d.To]
		if to == nil {
			continue
		}
		w.sendDatagram(p, to, d.Bytes)
	}
	for _, x := range o.Exchanges {
		if to := w.byAddr[x.To]; to != nil && to.up {
			w.sendFrame(p, to, x.Frame, 2)
		}
	}
	for _, e := range o.Events {
		w.recordEvent(e)
	}
	next := p.core.NextTick() + p.slow
	if p.wakeAt == 0 || next < p.wakeAt {
		p.wakeAt, p.wakeGeneration = next, p.wakeGeneration+1
		w.schedule(occurrence{at: max(next, w.now), kind: occurWake, target: p, wakeGeneration: p.wakeGeneration})
	}
}

// sendDatagram sends a datagram over the link between two processes, which may lose, delay or
// duplicate it.
func (w *simulator) sendDatagram(from, to *process, b []byte) {
	link := w.links.Between(from.index, to.index)
	copies := 1
	if link.Repeat > 0 && w.rng.Float64() < link.Repeat {
		copies = 2
	}
	for i := range copies {
		if link.Cut || link.Loss > 0 && w.rng.Float64() < link.Loss || w.Loss > 0 && w.rng.Float64() < w.Loss {
			continue
		}
		delay := w.linkDelay(link)
		if i > 0 {
			delay += w.rng.Int64N(maxRepeatDelay.Microseconds())
		}
		w.schedule(occurrence{at: w.now + delay + to.slow, kind: occurDatagram, target: to, bytes: b})
	}
}

// linkDelay returns the delay of one message over a link, in microseconds.
func (w *simulator) linkDelay(k faults.Link) int64 {
	d := w.Delay.Microseconds()
	delay := d + w.rng.Int64N(d+1)
	if k.Delay > 0 {
		delay += k.Delay.Microseconds() + w.rng.Int64N(k.Delay.Microseconds())
	}
	return delay
}

// sendFrame sends a frame over a stream. crossings is the number of link crossings that opening
// the connection takes.
func (w *simulator) sendFrame(from, to *process, b []byte, crossings int) {
	there, back := w.links.Between(from.index, to.index), w.links.Between(to.index, from.index)
	if there.Cut || back.Cut {
		return
	}
	w.countTraffic(from, len(b), 0, false)
	delay := to.slow
	for range crossings + 1 {
		delay += w.linkDelay(there)
	}
	for range 5 {
		if lost := 1 - (1-w.Loss)*(1-there.Loss); w.rng.Float64() >= lost {
			break
		}
		delay += retransmitDelay.Microseconds()
	}
	w.schedule(occurrence{at: w.now + delay, kind: occurFrame, target: to, sender: from, bytes: b})
}
