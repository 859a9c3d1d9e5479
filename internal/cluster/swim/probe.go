package swim

import (
	"container/heap"
	"math"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// probe is the one that is under way.
type probe struct {
	m     *member
	start uint64 // of the member when it was probed
	seq   uint32
	began int64
	at    int64 // of its next stage
	stage int   // 0 asked once, 1 twice, 2 through helpers
	asked int
	nacks int
	all   int64 // its whole time
}

// relay is a probe for another.
type relay struct {
	asker  netip.AddrPort
	seq    uint32
	target string
	until  int64
}

// observe notices that this process did not run when it wanted to: it was stopped, or starved. What would have ended meanwhile is given
// that time again, and the process doubts itself until it has had answers.
func (c *Core) observe(now int64) {
	if c.cfg.Disabled.Awareness {
		return
	}
	late := now - c.NextTick()
	if late <= c.cfg.ProbePeriod/2 {
		return
	}
	c.counts.Stalls++
	c.out.Events = append(c.out.Events, Event{Kind: EventStalled, Record: c.self.Record, Late: late})
	c.probe = nil
	c.probeAt, c.newsAt = now, now
	c.exchangeAt += late
	for _, m := range c.suspects { // all by as much: their order stays
		m.began += late
		m.end += late
		m.due += late
	}
	clear(c.relays)
	c.relayed = c.relayed[:0]
	c.worse(2)
	c.doubts, c.doubtEnd = afterNap, now+c.cfg.ExchangePeriod
}

// worse lowers this process's trust in itself, or raises it.
func (c *Core) worse(by int) {
	if !c.cfg.Disabled.Awareness {
		c.ill = min(max(c.ill+by, 0), mostIll)
	}
}

func (c *Core) doubting(now int64) bool { return c.doubts > 0 && now < c.doubtEnd }

// Next is when Tick wants to be called; a call that comes much later is taken for a stop of this process.
func (c *Core) NextTick() int64 {
	at := min(c.probeAt, c.newsAt, c.exchangeAt)
	if c.probe != nil {
		at = min(at, c.probe.at)
	}
	if len(c.suspects) > 0 {
		at = min(at, c.suspects[0].due)
	}
	if !c.joined {
		at = min(at, c.joinAt)
	}
	return at
}

// Tick does what is due.
func (c *Core) Tick(now int64) {
	c.observe(now)
	if c.probe != nil && now >= c.probe.at {
		c.press(now)
	}
	if now >= c.probeAt {
		c.begone(now)
		c.probeNext(now)
	}
	for len(c.suspects) > 0 && now >= c.suspects[0].due {
		c.judge(now, c.suspects[0])
	}
	if now >= c.newsAt {
		c.newsAt = now + c.cfg.ProbePeriod/2
		c.spread(now)
	}
	if now >= c.exchangeAt {
		c.exchangeAt = now + c.cfg.ExchangePeriod*3/4 + c.rng.Int64N(c.cfg.ExchangePeriod/2)
		c.exchangeSome(now)
	}
	if !c.joined && now >= c.joinAt {
		c.join(now)
	}
}

// spread tells news to some members by chance.
func (c *Core) spread(now int64) {
	n := fanout
	if c.leaving != 0 && now-c.leaving < 5*c.cfg.ProbePeriod {
		n = 2 * fanout
	} else if c.news.count == 0 || c.leaving != 0 {
		return
	}
	for range min(n, len(c.present)) {
		var extra *member
		if c.leaving != 0 && !c.later {
			extra = c.self
		}
		c.packet(now, c.likely().Address, &wire.Packet{Kind: tell}, extra)
	}
}

// likely is a member by chance, rather one that is not suspected: news to those that are gone is wasted.
func (c *Core) likely() *member {
	m := c.present[c.rng.IntN(len(c.present))]
	for range 2 {
		if m.State == Alive && m.dead == nil {
			break
		}
		m = c.present[c.rng.IntN(len(c.present))]
	}
	return m
}

// probeNext begins a probe of the next member of the round; a round meets every member once, in an order by chance.
func (c *Core) probeNext(now int64) {
	all := c.cfg.ProbePeriod * int64(1+c.ill)
	c.probeAt = now + all
	if c.probe != nil { // it has had its whole time
		c.failed(now)
	}
	if c.leaving != 0 {
		return
	}
	for {
		if c.next >= len(c.round) {
			if len(c.present) == 0 {
				c.round, c.next = c.round[:0], 0
				return
			}
			c.round, c.next = append(c.round[:0], c.present...), 0
			c.rng.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
		}
		m := c.round[c.next]
		if c.next++; m.at < 0 || !m.present() {
			continue // gone meanwhile
		}
		c.seq++
		c.probe = &probe{m: m, start: m.Start, seq: c.seq, began: now, at: now + all/4, all: all}
		c.counts.Probes++
		c.ping(now, m, c.seq)
		return
	}
}

func (c *Core) ping(now int64, m *member, seq uint32) {
	var about *member
	if m.State == Suspected {
		about = m // it should know, and refute
	}
	c.packet(now, m.Address, &wire.Packet{Kind: ping, Seq: seq}, about)
}

// press takes an unanswered probe to its next stage.
func (c *Core) press(now int64) {
	p := c.probe
	switch p.stage {
	case 0:
		c.ping(now, p.m, p.seq)
		p.stage, p.at = 1, p.began+p.all/2
	case 1:
		c.ping(now, p.m, p.seq)
		for range 4 * helpers {
			if p.asked == helpers || p.asked+1 >= len(c.present) {
				break
			}
			h := c.present[c.rng.IntN(len(c.present))]
			if h == p.m || h.State != Alive {
				continue
			}
			p.asked++
			c.packet(now, h.Address, &wire.Packet{Kind: ask, Seq: p.seq, Target: p.m.Name}, nil)
		}
		p.stage, p.at = 2, p.began+p.all
	default:
		p.at = p.began + p.all // probeNext ends it
		if p.at <= now {
			c.failed(now)
		}
	}
}

// failed ends a probe without an answer.
func (c *Core) failed(now int64) {
	p := c.probe
	c.probe = nil
	c.counts.FailedProbes++
	if p.nacks == 0 {
		c.worse(1) // helpers are silent too, or there are none: it may be this process that is slow
	}
	if p.m.at < 0 || !p.m.present() || p.m.dead != nil || p.m.Start != p.start || p.m.heard >= p.began || c.later || c.leaving != 0 || c.doubting(now) {
		return
	}
	if p.m.State == Suspected {
		c.confirm(now, p.m, []string{c.self.Name})
		return
	}
	r := p.m.Record
	r.State, r.Accusers = Suspected, []string{c.self.Name}
	c.put(now, p.m, r, 0)
	c.ping(now, p.m, p.seq) // the accused hears of it first
}

// answered takes an answer to a probe in, of this process's or of one that it helps.
func (c *Core) answered(now int64, p *wire.Packet, from *member) {
	if r, ok := c.relays[p.Seq]; ok && p.Target == "" && r.target == p.From {
		delete(c.relays, p.Seq)
		c.packet(now, r.asker, &wire.Packet{Kind: ack, Seq: r.seq, Target: r.target}, nil)
	}
	if c.probe == nil || c.probe.seq != p.Seq {
		return
	}
	who := p.Target
	if who == "" {
		who = p.From
	}
	if who != c.probe.m.Name {
		return
	}
	c.probe = nil
	c.worse(-1)
	c.doubts = max(0, c.doubts-1)
}

// help probes for another.
func (c *Core) help(now int64, p *wire.Packet, asker netip.AddrPort) {
	for len(c.relayed) > 0 {
		r, open := c.relays[c.relayed[0]]
		if open && r.until > now && len(c.relays) < mostRelay {
			break
		}
		if open {
			delete(c.relays, c.relayed[0])
		}
		c.relayed = c.relayed[1:]
	}
	m := c.members[p.Target]
	if m == nil || !m.present() {
		c.packet(now, asker, &wire.Packet{Kind: nack, Seq: p.Seq, Target: p.Target}, m)
		return
	}
	c.seq++
	c.relays[c.seq] = relay{asker: asker, seq: p.Seq, target: p.Target, until: now + c.cfg.ProbePeriod*mostIll}
	c.relayed = append(c.relayed, c.seq)
	c.ping(now, m, c.seq)
	c.ping(now, m, c.seq)
	// That this one is there is worth saying by itself: an asker that hears from no helper has to doubt itself.
	c.packet(now, asker, &wire.Packet{Kind: nack, Seq: p.Seq, Target: p.Target}, nil)
}

// suspects are the suspected members by the ends of their times.
type suspects []*member

func (s suspects) Len() int           { return len(s) }
func (s suspects) Less(i, j int) bool { return s[i].due < s[j].due }
func (s suspects) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heap, s[j].heap = i, j
}

func (s *suspects) Push(x any) {
	m := x.(*member)
	m.heap = len(*s)
	*s = append(*s, m)
}

func (s *suspects) Pop() any {
	m := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	m.heap = -1
	return m
}

// patience is how long a suspicion with so many accusers lasts: from the longest time, with one, to the shortest, with confirms more.
func (c *Core) patience(accusers int) int64 {
	n := float64(max(c.size(), 10))
	least := c.cfg.SuspicionFactor * math.Log10(n) * float64(c.cfg.ProbePeriod)
	k := min(confirms, c.size()-2)
	if k < 1 || c.cfg.Disabled.Confirmation {
		return int64(least)
	}
	share := math.Log(float64(min(max(accusers-1, 0), k)+1)) / math.Log(float64(k+1))
	return int64(least * (longest - (longest-1)*share))
}

// begin begins a suspicion, or goes on with it under a new incarnation.
func (c *Core) begin(now int64, m *member) {
	m.began, m.checks, m.extended, m.dead = now, 0, false, nil
	m.end = now + c.patience(len(m.Accusers))
	m.due = m.stage()
	if m.heap < 0 {
		heap.Push(&c.suspects, m)
	} else {
		heap.Fix(&c.suspects, m.heap)
	}
}

func (c *Core) clear(m *member) {
	if m.dead = nil; m.heap >= 0 {
		heap.Remove(&c.suspects, m.heap)
	}
}

// confirm adds accusers to a suspicion, and has that told where one was new.
func (c *Core) confirm(now int64, m *member, by []string) bool {
	added := false
	for _, name := range by {
		if len(m.Accusers) > confirms {
			break
		}
		if !contains(m.Accusers, name) {
			m.Accusers = append(m.Accusers[:len(m.Accusers):len(m.Accusers)], name)
			added = true
		}
	}
	if added {
		m.end = max(m.began+c.patience(len(m.Accusers)), now)
		m.due = max(m.stage(), now)
		heap.Fix(&c.suspects, m.heap)
		c.news.add(now, m, c.limit()*3/4)
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
func (m *member) stage() int64 {
	return m.end - (m.end-m.began)*int64(max(0, 2-m.checks))/4
}

// judge ends a suspicion whose time is over. Before, twice, the accused is told once more by everybody who holds it: guards against
// holding it for dead where its word, which the others have, was lost.
func (c *Core) judge(now int64, m *member) {
	switch {
	case m.dead != nil && m.checks == 0:
		m.checks, m.due = 1, now+6*c.cfg.ProbePeriod
		for range 2 {
			c.packet(now, m.Address, &wire.Packet{Kind: ping}, &member{Record: *m.dead, since: now})
		}
	case m.dead == nil && m.checks < 2:
		m.checks++
		m.due = max(m.stage(), now+1)
		c.ping(now, m, 0)
	case c.doubting(now) || c.later || c.leaving != 0:
		m.due = now + c.cfg.ProbePeriod
	case m.heard > m.began && !m.extended && !c.cfg.Disabled.Awareness:
		m.extended = true // it was heard itself since: its answer may be on the way
		m.checks, m.began, m.end = 0, now, now+c.patience(1)
		m.due = m.stage()
	case m.dead != nil:
		c.put(now, m, *m.dead, 0)
		return
	default:
		r := m.Record
		r.State = Dead
		c.put(now, m, r, 0)
		return
	}
	heap.Fix(&c.suspects, m.heap)
}

// begone drops one of those that have been gone for long, from time to time.
func (c *Core) begone(now int64) {
	for range min(len(c.gone), 2) {
		m := c.gone[c.rng.IntN(len(c.gone))]
		keep := c.cfg.ForgetAfter
		if m.State == Left {
			keep = min(keep, c.cfg.CountDeadFor)
		}
		if now-m.since > keep {
			c.forgetMember(m)
			return
		}
	}
}
