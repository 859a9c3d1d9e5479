// The server list and the state of each server. This file makes no decisions.

package saffronquay

import (
	"cmp"
	"slices"
)

// replica is the state of one server, listed or not.
type replica struct {
	Server
	listed bool

	ownWork         float64      // predicted work of this aggregator's parts in flight at the server
	foreignWork     float64      // work of other aggregators according to the latest report
	foreignWorkAt   int64        // time of the latest report
	meanForeignWork decayingMean // mean of foreignWork over the server's reports

	latencyRatio   float64 // observed latency divided by predicted latency; 0: no sample
	latencyRatioAt int64   // time of the latest sample

	failureRate       decayingMean             // of all attempts
	classFailureRates map[string]*decayingMean // of the attempts of each class
	mostlyFailing     bool                     // the server was last logged as failing

	latestServedSend int64      // latest send time of an attempt that was served
	lastUsedAt       int64      // time at which an attempt last ended
	lastCallAt       int64      // time of the latest call
	lastCallParts    int        // number of parts sent at lastCallAt
	attempts         []*attempt // in flight, oldest first

	warmUpSends       []warmUpSend // work sent within the window of the overload rule
	warmUpCredit      float64      // at most 0; a part may be sent when it is 0, see hasWarmUpCredit
	warmUpCreditAt    int64        // time of the latest update of warmUpCredit
	warmUpCreditStart int64        // start time of the server process that the credit belongs to
}

// warmUpSend is work that was sent to a warming server.
type warmUpSend struct {
	at   int64
	work float64
}

// updateFleet applies a change of the server list. Servers of a cell that the settings do not have are
// ignored.
func (s *Scheduler) updateFleet(e FleetChanged) {
	if e.Kind == FleetFailed {
		s.retryMembership()
		return
	}
	s.watchAt = 0
	s.medianLatencyRatio() // computed from the list before the change
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

// holders returns the servers that hold a shard and may be sent to, in the order of the table or, without
// one, by cell and ID. The random choice among equals in chooseReplica depends on the order.
func (s *Scheduler) holders(shard int) []*replica {
	var hs []*replica
	if s.table != nil {
		for _, id := range s.table.Holders(shard) {
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

// hasHolder reports whether the table names a holder of a part's shard that may be sent to. Otherwise
// queries would wait in vain for a shard whose holders are all draining. Without a table it returns true,
// since the list may be incomplete.
func (s *Scheduler) hasHolder(p *part) bool {
	return s.table == nil || slices.ContainsFunc(s.table.Holders(p.Shard), func(id ServerID) bool {
		r := s.servers[id]
		return r != nil && r.Health == Ready
	})
}

// isExcluded reports whether a part may not be sent to a server: it is in flight there, it was rejected
// there recently, or the server did not have its shard under the table in force.
func (s *Scheduler) isExcluded(p *part, r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
		if a.replica != r {
			return false
		}
		return !a.ended || s.now < a.retryAt ||
			a.misplaced && s.table != nil && a.holdersSince == s.table.Since(p.Shard)
	})
}

// addToCell adds a server to its cell, which is ordered by ID.
func (s *Scheduler) addToCell(r *replica) {
	s.cells[r.Cell] = append(s.cells[r.Cell], r)
	slices.SortFunc(s.cells[r.Cell], func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// countReady counts the Ready servers after a change of the list.
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

// forgetReplica marks an unlisted server as Gone and removes it if no attempt is in flight there and it was
// not sent to within the warm-up time, so that repeated releases under new names do not fill the memory. It
// reports whether the server was removed.
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

// resetIfRestarted clears the statistics of a server whose process has been replaced: they are no evidence
// about the new process.
func (r *replica) resetIfRestarted(started int64) {
	if started <= r.StartedAt {
		return
	}
	r.failureRate, r.classFailureRates, r.mostlyFailing = decayingMean{}, map[string]*decayingMean{}, false
	r.meanForeignWork, r.foreignWork, r.foreignWorkAt = decayingMean{}, 0, 0
	r.latencyRatio, r.latencyRatioAt = 0, 0
	r.lastUsedAt, r.latestServedSend = 0, 0
}

// classFailureRate returns the failure rate of a class at the server, which it creates if missing.
func (r *replica) classFailureRate(c *Class) *decayingMean {
	e := r.classFailureRates[c.Name]
	if e == nil {
		e = &decayingMean{}
		r.classFailureRates[c.Name] = e
	}
	return e
}

// decayedRatio returns a server's latency ratio, decayed from the latest sample towards a resting value.
func (r *replica) decayedRatio(now, span int64, rest float64) float64 {
	return rest + (r.latencyRatio-rest)*decay(now-r.latencyRatioAt, span)
}

// medianLatencyRatio returns the median of the ready servers' latency ratios as of the last step, each
// decayed towards 1 since its latest sample; 1 without samples. It is computed on first use in a step, and
// before a change of anything that it depends on, because most steps do not need it and it takes
// O(servers).
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
