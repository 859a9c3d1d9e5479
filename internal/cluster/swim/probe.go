package swim

import (
	"saffronquay/internal/cluster/swim/wire"
)

// probe is the probe in progress. There is at most one at a time.
type probe struct {
	target      *member
	start       uint64 // the start of the target when the probe began
	seq         uint32
	startedAt   int64
	nextStageAt int64
	stage       int // 0: one ping sent, 1: two, 2: indirect pings too
	indirect    int
	nacks       int
	duration    int64
}

// startNextProbe starts a probe of the next member in probeOrder. The order is shuffled after each
// round, so every member is probed once per round.
func (c *Core) startNextProbe(now int64) {
	duration := c.cfg.ProbePeriod * int64(1+c.healthScore)
	c.nextProbeAt = now + duration
	if c.probe != nil { // it timed out
		c.failProbe(now)
	}
	if c.leavingSince != 0 {
		return
	}
	for {
		if c.probeIndex >= len(c.probeOrder) {
			if len(c.present) == 0 {
				c.probeOrder, c.probeIndex = c.probeOrder[:0], 0
				return
			}
			c.probeOrder, c.probeIndex = append(c.probeOrder[:0], c.present...), 0
			c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
		}
		m := c.probeOrder[c.probeIndex]
		if c.probeIndex++; m.listIndex < 0 || !m.present() {
			continue // it died or left meanwhile
		}
		c.probeSeq++
		c.probe = &probe{target: m, start: m.Start, seq: c.probeSeq, startedAt: now, nextStageAt: now + duration/4, duration: duration}
		c.counts.Probes++
		c.ping(now, m, c.probeSeq)
		return
	}
}

// ping sends a ping. A suspected member also gets the record that accuses it, so that it can
// refute.
func (c *Core) ping(now int64, m *member, seq uint32) {
	var subject *member
	if m.State == Suspected {
		subject = m
	}
	c.send(now, m.Address, &wire.Packet{Kind: packetPing, Seq: seq}, subject)
}

// escalateProbe advances an unanswered probe to its next stage: a second ping, then indirect pings
// through other members.
func (c *Core) escalateProbe(now int64) {
	p := c.probe
	switch p.stage {
	case 0:
		c.ping(now, p.target, p.seq)
		p.stage, p.nextStageAt = 1, p.startedAt+p.duration/2
	case 1:
		c.ping(now, p.target, p.seq)
		for range 4 * indirectProbes {
			if p.indirect == indirectProbes || p.indirect+1 >= len(c.present) {
				break
			}
			h := c.present[c.rng.IntN(len(c.present))]
			if h == p.target || h.State != Alive {
				continue
			}
			p.indirect++
			c.send(now, h.Address, &wire.Packet{Kind: packetIndirectPing, Seq: p.seq, Target: p.target.Name}, nil)
		}
		p.stage, p.nextStageAt = 2, p.startedAt+p.duration
	default:
		p.nextStageAt = p.startedAt + p.duration // startNextProbe ends it
		if p.nextStageAt <= now {
			c.failProbe(now)
		}
	}
}

// failProbe ends a probe without an ack. The member becomes suspected, or this process is added to
// its accusers, unless the result is no evidence against the member: a datagram arrived from it
// meanwhile, or this process distrusts itself, is leaving or is superseded.
func (c *Core) failProbe(now int64) {
	p := c.probe
	c.probe = nil
	c.counts.FailedProbes++
	if p.nacks == 0 {
		c.adjustHealth(1) // no relaying member answered, or there is none, so this process may be the slow one
	}
	if p.target.listIndex < 0 || !p.target.present() || p.target.reportedDead != nil || p.target.Start != p.start || p.target.lastHeard >= p.startedAt || c.superseded || c.leavingSince != 0 || c.distrustsItself(now) {
		return
	}
	if p.target.State == Suspected {
		c.addAccusers(now, p.target, []string{c.self.Name})
		return
	}
	r := p.target.Record
	r.State, r.Accusers = Suspected, []string{c.self.Name}
	c.setRecord(now, p.target, r, 0)
	c.ping(now, p.target, p.seq) // the member receives the accusation before the others
}

// handleAck handles an ack of this process's own probe or of a ping that it relayed.
func (c *Core) handleAck(now int64, p *wire.Packet) {
	if r, ok := c.relays[p.Seq]; ok && p.Target == "" && r.target == p.From {
		delete(c.relays, p.Seq)
		c.send(now, r.requester, &wire.Packet{Kind: packetAck, Seq: r.seq, Target: r.target}, nil)
	}
	if c.probe == nil || c.probe.seq != p.Seq {
		return
	}
	name := p.Target
	if name == "" {
		name = p.From
	}
	if name != c.probe.target.Name {
		return
	}
	c.probe = nil
	c.adjustHealth(-1)
	c.acksToTrust = max(0, c.acksToTrust-1)
}
