package swim

import (
	"container/heap"
	"math"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// probe is the one that is under way.
type probe struct {
	target      *member
	start       uint64 // of the member when it was probed
	seq         uint32
	startedAt   int64
	nextStageAt int64 // of its next stage
	stage       int   // 0 asked once, 1 twice, 2 through helpers
	indirect    int
	nacks       int
	duration    int64 // its whole time
}

// relay is a probe for another.
type relay struct {
	requester netip.AddrPort
	seq       uint32
	target    string
	until     int64
}

// observe notices that this process did not run when it wanted to: it was stopped, or starved. What would have ended meanwhile is given
// that time again, and the process doubts itself until it has had answers.
func (c *Core) detectStall(now int64) {
	if c.cfg.Disabled.Awareness {
		return
	}
	late := now - c.NextTick()
	if late <= c.cfg.ProbePeriod/2 {
		return
	}
	c.counts.Stalls++
	c.output.Events = append(c.output.Events, Event{Kind: EventStalled, Record: c.self.Record, Late: late})
	c.probe = nil
	c.nextProbeAt, c.nextGossipAt = now, now
	c.nextExchangeAt += late
	for _, m := range c.suspicions { // all by as much: their order stays
		m.suspectedAt += late
		m.suspicionEnd += late
		m.checkAt += late
	}
	clear(c.relays)
	c.relayOrder = c.relayOrder[:0]
	c.adjustHealth(2)
	c.acksToTrust, c.distrustUntil = acksAfterStall, now+c.cfg.ExchangePeriod
}

// worse lowers this process's trust in itself, or raises it.
func (c *Core) adjustHealth(by int) {
	if !c.cfg.Disabled.Awareness {
		c.healthScore = min(max(c.healthScore+by, 0), maxHealthScore)
	}
}

func (c *Core) distrustsItself(now int64) bool { return c.acksToTrust > 0 && now < c.distrustUntil }

// Next is when Tick wants to be called; a call that comes much later is taken for a stop of this process.
func (c *Core) NextTick() int64 {
	at := min(c.nextProbeAt, c.nextGossipAt, c.nextExchangeAt)
	if c.probe != nil {
		at = min(at, c.probe.nextStageAt)
	}
	if len(c.suspicions) > 0 {
		at = min(at, c.suspicions[0].checkAt)
	}
	if !c.joined {
		at = min(at, c.nextJoinAt)
	}
	return at
}

// Tick does what is due.
func (c *Core) Tick(now int64) {
	c.detectStall(now)
	if c.probe != nil && now >= c.probe.nextStageAt {
		c.escalateProbe(now)
	}
	if now >= c.nextProbeAt {
		c.forgetExpired(now)
		c.startNextProbe(now)
	}
	for len(c.suspicions) > 0 && now >= c.suspicions[0].checkAt {
		c.checkSuspicion(now, c.suspicions[0])
	}
	if now >= c.nextGossipAt {
		c.nextGossipAt = now + c.cfg.ProbePeriod/2
		c.gossip(now)
	}
	if now >= c.nextExchangeAt {
		c.nextExchangeAt = now + c.cfg.ExchangePeriod*3/4 + c.rng.Int64N(c.cfg.ExchangePeriod/2)
		c.startExchanges(now)
	}
	if !c.joined && now >= c.nextJoinAt {
		c.join(now)
	}
}

// spread tells news to some members by chance.
func (c *Core) gossip(now int64) {
	n := gossipFanout
	if c.leavingSince != 0 && now-c.leavingSince < 5*c.cfg.ProbePeriod {
		n = 2 * gossipFanout
	} else if c.broadcasts.count == 0 || c.leavingSince != 0 {
		return
	}
	for range min(n, len(c.present)) {
		var extra *member
		if c.leavingSince != 0 && !c.superseded {
			extra = c.self
		}
		c.send(now, c.gossipTarget().Address, &wire.Packet{Kind: packetGossip}, extra)
	}
}

// likely is a member by chance, rather one that is not suspected: news to those that are gone is wasted.
func (c *Core) gossipTarget() *member {
	m := c.present[c.rng.IntN(len(c.present))]
	for range 2 {
		if m.State == Alive && m.reportedDead == nil {
			break
		}
		m = c.present[c.rng.IntN(len(c.present))]
	}
	return m
}

// probeNext begins a probe of the next member of the round; a round meets every member once, in an order by chance.
func (c *Core) startNextProbe(now int64) {
	all := c.cfg.ProbePeriod * int64(1+c.healthScore)
	c.nextProbeAt = now + all
	if c.probe != nil { // it has had its whole time
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
			continue // gone meanwhile
		}
		c.lastSeq++
		c.probe = &probe{target: m, start: m.Start, seq: c.lastSeq, startedAt: now, nextStageAt: now + all/4, duration: all}
		c.counts.Probes++
		c.ping(now, m, c.lastSeq)
		return
	}
}

func (c *Core) ping(now int64, m *member, seq uint32) {
	var about *member
	if m.State == Suspected {
		about = m // it should know, and refute
	}
	c.send(now, m.Address, &wire.Packet{Kind: packetPing, Seq: seq}, about)
}

// press takes an unanswered probe to its next stage.
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
		p.nextStageAt = p.startedAt + p.duration // probeNext ends it
		if p.nextStageAt <= now {
			c.failProbe(now)
		}
	}
}

// failed ends a probe without an answer.
func (c *Core) failProbe(now int64) {
	p := c.probe
	c.probe = nil
	c.counts.FailedProbes++
	if p.nacks == 0 {
		c.adjustHealth(1) // helpers are silent too, or there are none: it may be this process that is slow
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
	c.ping(now, p.target, p.seq) // the accused hears of it first
}

// answered takes an answer to a probe in, of this process's or of one that it helps.
func (c *Core) handleAck(now int64, p *wire.Packet, from *member) {
	if r, ok := c.relays[p.Seq]; ok && p.Target == "" && r.target == p.From {
		delete(c.relays, p.Seq)
		c.send(now, r.requester, &wire.Packet{Kind: packetAck, Seq: r.seq, Target: r.target}, nil)
	}
	if c.probe == nil || c.probe.seq != p.Seq {
		return
	}
	who := p.Target
	if who == "" {
		who = p.From
	}
	if who != c.probe.target.Name {
		return
	}
	c.probe = nil
	c.adjustHealth(-1)
	c.acksToTrust = max(0, c.acksToTrust-1)
}

// help probes for another.
func (c *Core) handleIndirectPing(now int64, p *wire.Packet, asker netip.AddrPort) {
	for len(c.relayOrder) > 0 {
		r, open := c.relays[c.relayOrder[0]]
		if open && r.until > now && len(c.relays) < maxRelays {
			break
		}
		if open {
			delete(c.relays, c.relayOrder[0])
		}
		c.relayOrder = c.relayOrder[1:]
	}
	m := c.members[p.Target]
	if m == nil || !m.present() {
		c.send(now, asker, &wire.Packet{Kind: packetNack, Seq: p.Seq, Target: p.Target}, m)
		return
	}
	c.lastSeq++
	c.relays[c.lastSeq] = relay{requester: asker, seq: p.Seq, target: p.Target, until: now + c.cfg.ProbePeriod*maxHealthScore}
	c.relayOrder = append(c.relayOrder, c.lastSeq)
	c.ping(now, m, c.lastSeq)
	c.ping(now, m, c.lastSeq)
	// That this one is there is worth saying by itself: an asker that hears from no helper has to doubt itself.
	c.send(now, asker, &wire.Packet{Kind: packetNack, Seq: p.Seq, Target: p.Target}, nil)
}

// suspects are the suspected members by the ends of their times.
type suspicionHeap []*member

func (s suspicionHeap) Len() int           { return len(s) }
func (s suspicionHeap) Less(i, j int) bool { return s[i].checkAt < s[j].checkAt }
func (s suspicionHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heapIndex, s[j].heapIndex = i, j
}

func (s *suspicionHeap) Push(x any) {
	m := x.(*member)
	m.heapIndex = len(*s)
	*s = append(*s, m)
}

func (s *suspicionHeap) Pop() any {
	m := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	m.heapIndex = -1
	return m
}

// patience is how long a suspicion with so many accusers lasts: from the longest time, with one, to the shortest, with confirms more.
func (c *Core) suspicionTimeout(accusers int) int64 {
	n := float64(max(c.size(), 10))
	least := c.cfg.SuspicionFactor * math.Log10(n) * float64(c.cfg.ProbePeriod)
	k := min(confirmations, c.size()-2)
	if k < 1 || c.cfg.Disabled.Confirmation {
		return int64(least)
	}
	share := math.Log(float64(min(max(accusers-1, 0), k)+1)) / math.Log(float64(k+1))
	return int64(least * (maxSuspicionFactor - (maxSuspicionFactor-1)*share))
}

// begin begins a suspicion, or goes on with it under a new incarnation.
func (c *Core) startSuspicion(now int64, m *member) {
	m.suspectedAt, m.checks, m.extended, m.reportedDead = now, 0, false, nil
	m.suspicionEnd = now + c.suspicionTimeout(len(m.Accusers))
	m.checkAt = m.nextCheck()
	if m.heapIndex < 0 {
		heap.Push(&c.suspicions, m)
	} else {
		heap.Fix(&c.suspicions, m.heapIndex)
	}
}

func (c *Core) endSuspicion(m *member) {
	if m.reportedDead = nil; m.heapIndex >= 0 {
		heap.Remove(&c.suspicions, m.heapIndex)
	}
}

// confirm adds accusers to a suspicion, and has that told where one was new.
func (c *Core) addAccusers(now int64, m *member, by []string) bool {
	added := false
	for _, name := range by {
		if len(m.Accusers) > confirmations {
			break
		}
		if !contains(m.Accusers, name) {
			m.Accusers = append(m.Accusers[:len(m.Accusers):len(m.Accusers)], name)
			added = true
		}
	}
	if added {
		m.suspicionEnd = max(m.suspectedAt+c.suspicionTimeout(len(m.Accusers)), now)
		m.checkAt = max(m.nextCheck(), now)
		heap.Fix(&c.suspicions, m.heapIndex)
		c.broadcasts.add(now, m, c.transmitLimit()*3/4)
	}
	return added
}

func contains(list []string, name string) bool {
	for _, x := range list {
		if x == name {
			return true
		}
	}
	return false
}

// stage is when a suspicion is looked at next: at half of its time, at three quarters, at its end.
func (m *member) nextCheck() int64 {
	return m.suspicionEnd - (m.suspicionEnd-m.suspectedAt)*int64(max(0, 2-m.checks))/4
}

// judge ends a suspicion whose time is over. Before, twice, the accused is told once more by everybody who holds it: guards against
// holding it for dead where its word, which the others have, was lost.
func (c *Core) checkSuspicion(now int64, m *member) {
	switch {
	case m.reportedDead != nil && m.checks == 0:
		m.checks, m.checkAt = 1, now+6*c.cfg.ProbePeriod
		for range 2 {
			c.send(now, m.Address, &wire.Packet{Kind: packetPing}, &member{Record: *m.reportedDead, since: now})
		}
	case m.reportedDead == nil && m.checks < 2:
		m.checks++
		m.checkAt = max(m.nextCheck(), now+1)
		c.ping(now, m, 0)
	case c.distrustsItself(now) || c.superseded || c.leavingSince != 0:
		m.checkAt = now + c.cfg.ProbePeriod
	case m.lastHeard > m.suspectedAt && !m.extended && !c.cfg.Disabled.Awareness:
		m.extended = true // it was heard itself since: its answer may be on the way
		m.checks, m.suspectedAt, m.suspicionEnd = 0, now, now+c.suspicionTimeout(1)
		m.checkAt = m.nextCheck()
	case m.reportedDead != nil:
		c.setRecord(now, m, *m.reportedDead, 0)
		return
	default:
		r := m.Record
		r.State = Dead
		c.setRecord(now, m, r, 0)
		return
	}
	heap.Fix(&c.suspicions, m.heapIndex)
}

// begone drops one of those that have been gone for long, from time to time.
func (c *Core) forgetExpired(now int64) {
	for range min(len(c.gone), 2) {
		m := c.gone[c.rng.IntN(len(c.gone))]
		keep := c.cfg.ForgetAfter
		if m.State == Left {
			keep = min(keep, c.cfg.CountDeadFor)
		}
		if now-m.since > keep {
			c.removeMember(m)
			return
		}
	}
}
