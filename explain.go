// What a Scheduler would do, reported without doing it. Nothing in this file decides.

package saffronquay

import (
	"cmp"
	"slices"
)

// Option is one server that has a shard, as a part would find it now. Times are microseconds. Commands write
// it as JSON; keys that differ from the field's name are kept for their readers.
type Option struct {
	Server     ServerID
	Zone       string
	Health     Health
	Listed     bool
	Excluded   bool    `json:"Barred"` // in flight or rejected there, or the server lost the shard
	WarmingUp  bool    `json:"Cold"`   // it has no capacity for the part while it warms up
	Predicted  float64 // latency of the part there
	ZoneCharge float64 `json:"Crossing"` // delay that its zone is charged as, in the comparison
}

// Rotation reports how many servers are in the list, and how many of those are avoided now: not ready,
// failing most of the time, or unresponsive for longer than the shortest latency target.
func (s *Scheduler) Rotation() (listed, out int) {
	for _, r := range s.servers {
		if !r.listed {
			continue
		}
		listed++
		if r.Health != Ready || r.mostlyFailing || s.unresponsiveFor(r) > float64(s.shortestTarget) {
			out++
		}
	}
	return listed, out
}

// Holders lists the servers that hold a shard and may be sent to now. It is what chooseReplica chooses from.
func (s *Scheduler) Holders(shard int) []ServerID {
	rs := s.holders(shard)
	ids := make([]ServerID, len(rs))
	for i, r := range rs {
		ids[i] = r.ID
	}
	return ids
}

// Options reports how each server that holds an open part's shard stands, the best first; nil when the part
// is not open. A server where the part is in flight is reported as it was at the send.
func (s *Scheduler) Options(part ID) []Option {
	p := s.parts[part]
	if p == nil {
		return nil
	}
	var out []Option
	for _, r := range s.holders(p.Shard) {
		o := Option{
			Server: r.ID, Zone: r.Zone, Health: r.Health, Listed: r.listed,
			Excluded: s.isExcluded(p, r), WarmingUp: !s.hasWarmUpCapacity(p, r), Predicted: s.predict(p, r),
		}
		for _, a := range p.attempts {
			if a.replica == r && !a.ended {
				o.Excluded, o.WarmingUp, o.Predicted = false, false, a.predicted
			}
		}
		if r.Zone != s.cfg.Zone {
			o.ZoneCharge = zoneChargeTargets * s.cfg.Prices.CrossZone * float64(p.query.class.LatencyTarget)
		}
		out = append(out, o)
	}
	slices.SortStableFunc(out, func(a, b Option) int {
		return cmp.Or(
			cmp.Compare(boolToInt(a.Excluded || a.WarmingUp), boolToInt(b.Excluded || b.WarmingUp)),
			cmp.Compare(a.Predicted+a.ZoneCharge, b.Predicted+b.ZoneCharge),
			cmp.Compare(a.Server, b.Server),
		)
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
