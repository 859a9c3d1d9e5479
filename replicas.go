// The list of servers and what is known of each. Nothing in this file decides.

package saffronquay

import (
	"cmp"
	"slices"
)

// replica is what a Scheduler knows of one server, listed or not.
type replica struct {
	Server
	listed bool

	ownWork         float64      // predicted work of this aggregator's parts in flight there
	foreignWork     float64      // work of others, as the latest report showed
	foreignWorkAt   int64        // when it did
	meanForeignWork decayingMean // mean of foreignWork over its reports

	latencyRatio   float64 // observed latency over predicted; 0 before the first sample
	latencyRatioAt int64   // when it was last observed

	failureRate       decayingMean             // of its attempts
	classFailureRates map[string]*decayingMean // the same, by class
	mostlyFailing     bool                     // as last logged

	latestServedSend int64      // send time of the latest attempt that it has served
	lastUsedAt       int64      // when anything last came back over its connections
	lastCallAt       int64      // when a call last left for it
	lastCallParts    int        // parts that left then
	attempts         []*attempt // in flight, oldest first

	warmUpSends       []warmUpSend // work sent within the window of the overload rule
	warmUpCredit      float64      // work it may be sent while it warms up; at most 0, in debt below
	warmUpCreditAt    int64        // when that was last brought up to date
	warmUpCreditStart int64        // start time of the process that it is for
}

// warmUpSend is work that was sent to a warming server.
type warmUpSend struct {
	at   int64
	work float64
}

// updateFleet applies a change of the list of servers. Servers of a cell that the settings do not have are
// ignored.
func (s *Scheduler) updateFleet(e FleetChanged) {
	if e.Kind == FleetFailed {
		s.retryMembership()
		return
	}
	s.watchAt = 0
	s.medianLatencyRatio() // of the list before the change
	for _, r := range s.servers {
		r.listed = r.listed && e.Kind == FleetDelta
	}
	for _, v := range e.Servers {
		if v.Cell < 0 || v.Cell >= s.cfg.Cells {
			continue
		}
		r := s.servers[v.ID]
		if r == nil {
			r = &replica{
				Server:            Server{ID: v.ID, Cell: v.Cell, Health: Ready},
				classFailureRates: map[string]*decayingMean{},
			}
			s.servers[v.ID] = r
			s.addToCell(r)
		} else if r.Cell != v.Cell {
			s.cells[r.Cell] = slices.DeleteFunc(s.cells[r.Cell], func(o *replica) bool { return o == r })
			r.Cell = v.Cell
			s.addToCell(r)
		}
		r.resetIfRestarted(v.StartedAt)
		if s.zones[v.Zone] == nil {
			s.zones[v.Zone] = &decayingMean{}
		}
		r.Server, r.listed = v, v.Health != Gone
	}
	for i, cell := range s.cells {
		s.cells[i] = slices.DeleteFunc(cell, s.forgetReplica)
	}
	s.countReady()
}

// holders lists the servers that hold a shard, by the table where there is one, and may be sent to. Their
// order is that of the table, or by cell and id: chooseReplica's random choice among equals depends on it.
func (s *Scheduler) holders(shard int) []*replica {
	var hs []*replica
	if s.table != nil {
		for _, id := range s.table.Of(shard) {
			if r := s.servers[id]; r != nil && r.Health == Ready {
				hs = append(hs, r)
			}
		}
		return hs
	}
	for j := 0; j < min(s.cfg.CellsPerShard, s.cfg.Cells); j++ {
		for _, r := range s.cells[(shard+j)%s.cfg.Cells] {
			if r.Health == Ready {
				hs = append(hs, r)
			}
		}
	}
	return hs
}

// hasHolder reports whether a table names a holder of a part's shard that may be sent to. Guards a shard all
// of whose holders drain against queries that wait for nothing. Without a table it is true: the list may be
// late.
func (s *Scheduler) hasHolder(p *part) bool {
	return s.table == nil || slices.ContainsFunc(s.table.Of(p.Shard), func(id ServerID) bool {
		r := s.servers[id]
		return r != nil && r.Health == Ready
	})
}

// isExcluded reports whether a part is in flight at a server, was rejected there a moment ago, or was found
// not to be there under the table in force.
func (s *Scheduler) isExcluded(p *part, r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		if a.replica != r {
			return false
		}
		return !a.ended || s.now < a.retryAt ||
			a.misplaced && s.table != nil && a.holdersSince == s.table.Since(p.Shard)
	})
}

// addToCell adds a server to its cell, which stays in the order of ids.
func (s *Scheduler) addToCell(r *replica) {
	s.cells[r.Cell] = append(s.cells[r.Cell], r)
	slices.SortFunc(s.cells[r.Cell], func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// countReady counts the servers that may be sent to, after the list has changed.
func (s *Scheduler) countReady() {
	s.readyCount = 0
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready {
				s.readyCount++
			}
		}
	}
}

// forgetReplica marks a server that has left the list as gone. It reports whether it dropped it, which it
// does when nothing is in flight there and it was not sent to within the warm-up time: releases under new
// names must not fill the memory.
func (s *Scheduler) forgetReplica(r *replica) bool {
	if r.listed {
		return false
	}
	r.Health = Gone
	if len(r.attempts) > 0 || s.isRecent(r.lastCallAt) {
		return false
	}
	delete(s.servers, r.ID)
	return true
}

// resetIfRestarted forgets what a server's former process showed, where one has started since: none of it is
// evidence of the new one.
func (r *replica) resetIfRestarted(started int64) {
	if started <= r.StartedAt {
		return
	}
	r.failureRate, r.classFailureRates, r.mostlyFailing = decayingMean{}, map[string]*decayingMean{}, false
	r.meanForeignWork, r.foreignWork, r.foreignWorkAt = decayingMean{}, 0, 0
	r.latencyRatio, r.latencyRatioAt = 0, 0
	r.lastUsedAt, r.latestServedSend = 0, 0
}

// classFailureRate is the failure rate of a class at the server; it is made when missing.
func (r *replica) classFailureRate(c *Class) *decayingMean {
	e := r.classFailureRates[c.Name]
	if e == nil {
		e = &decayingMean{}
		r.classFailureRates[c.Name] = e
	}
	return e
}

// decayedRatio is a server's latency ratio as last observed, on its way back to another value since.
func (r *replica) decayedRatio(now, span int64, rest float64) float64 {
	return rest + (r.latencyRatio-rest)*decay(now-r.latencyRatioAt, span)
}

// medianLatencyRatio is the median of the ready servers' latency ratios as of the last step, each on its way
// back to 1 since it was observed; 1 when none was observed. It is computed on first use in a step, and
// before anything that it depends on changes: most steps need none, and it costs O(servers).
func (s *Scheduler) medianLatencyRatio() float64 {
	if !s.medianDue {
		return s.medianRatio
	}
	ps := s.ratioBuffer[:0]
	for _, cell := range s.cells {
		for _, r := range cell {
			if r.Health == Ready && r.latencyRatio > 0 {
				ps = append(ps, r.decayedRatio(s.medianAt, s.medianSpan, 1))
			}
		}
	}
	s.replicasScanned += int64(len(ps))
	s.medianRatio, s.ratioBuffer, s.medianDue = 1, ps, false
	if len(ps) > 0 {
		s.medianRatio = selectNth(ps, len(ps)/2)
	}
	return s.medianRatio
}
