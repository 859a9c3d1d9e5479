package swim

import (
	"container/heap"
	"math"
	"saffronquay/internal/cluster/swim/wire"
	"slices"
)

// suspicionHeap contains the members that are suspected or reported dead, ordered by the time of
// their next check.
type suspicionHeap []*member

// Len implements heap.Interface.
func (s suspicionHeap) Len() int { return len(s) }

// Less implements heap.Interface.
func (s suspicionHeap) Less(i, j int) bool { return s[i].checkAt < s[j].checkAt }

// Swap implements heap.Interface.
func (s suspicionHeap) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].heapIndex, s[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (s *suspicionHeap) Push(x any) {
	m, ok := x.(*member)
	if !ok {
		return // heap.Push is called with members only
	}
	m.heapIndex = len(*s)
	*s = append(*s, m)
}

// Pop implements heap.Interface.
func (s *suspicionHeap) Pop() any {
	m := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	m.heapIndex = -1
	return m
}

// suspicionTimeout returns the duration of a suspicion by its number of accusers: from
// maxSuspicionFactor times the minimum with one accuser, down to the minimum with confirmations
// further accusers (Lifeguard).
func (c *Core) suspicionTimeout(accusers int) int64 {
	n := float64(max(c.size(), 10))
	minimum := c.cfg.SuspicionFactor * math.Log10(n) * float64(c.cfg.ProbePeriod)
	k := min(confirmations, c.size()-2)
	if k < 1 || c.cfg.Disabled.Confirmation {
		return int64(minimum)
	}
	share := math.Log(float64(min(max(accusers-1, 0), k)+1)) / math.Log(float64(k+1))
	return int64(minimum * (maxSuspicionFactor - (maxSuspicionFactor-1)*share))
}

// startSuspicion starts a suspicion, or restarts it under a new incarnation.
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

// endSuspicion ends a suspicion and discards a reported death.
func (c *Core) endSuspicion(m *member) {
	if m.reportedDead = nil; m.heapIndex >= 0 {
		heap.Remove(&c.suspicions, m.heapIndex)
	}
}

// addAccusers adds accusers to a suspicion, which shortens it, and gossips the record if any of
// them is new.
func (c *Core) addAccusers(now int64, m *member, accusers []string) {
	added := false
	for _, name := range accusers {
		if len(m.Accusers) > confirmations {
			break
		}
		if !slices.Contains(m.Accusers, name) {
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
}

// nextCheck returns the time of a suspicion's next check: at half of its duration, at three
// quarters, and at its end.
func (m *member) nextCheck() int64 {
	return m.suspicionEnd - (m.suspicionEnd-m.suspectedAt)*int64(max(0, 2-m.checks))/4
}

// checkSuspicion runs when a suspicion's next check is due. The first two checks ping the member
// again, since its refutation may have reached other members but not this process. The last check
// declares the member dead.
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
		m.extended = true // a datagram arrived from it since, so its refutation may be in flight
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
