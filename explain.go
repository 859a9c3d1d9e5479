// Reports on the decisions that a Scheduler would make. This file makes no decisions.

package saffronquay

import (
	"cmp"
	"slices"
)

// Option is a candidate replica of an open part: one holder of its shard, with its current prediction.
// Times are microseconds. Commands write it as JSON, so keys that differ from the field names stay for
// compatibility.
type Option struct {
	Server     ServerID
	Zone       string
	Health     Health
	Listed     bool
	Excluded   bool    `json:"Barred"` // the part is in flight or was rejected there, or the shard has moved
	WarmingUp  bool    `json:"Cold"`   // the server warms up and has no capacity for the part
	Predicted  float64 // predicted latency of the part
	ZoneCharge float64 `json:"Crossing"` // delay added in the comparison for a server in another zone
}

// Rotation returns the number of servers in the list, and how many of those are avoided at present: not
// ready, mostly failing, or unresponsive for longer than the shortest latency target.
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

// Holders returns the servers that hold a shard and may be sent to, which are the candidates of
// chooseReplica.
func (s *Scheduler) Holders(shard int) []ServerID {
	rs := s.holders(shard)
	ids := make([]ServerID, len(rs))
	for i, r := range rs {
		ids[i] = r.ID
	}
	return ids
}

// Options returns the holders of an open part's shard, the best candidate first. It returns nil if the part
// is not open. A server where the part is in flight is reported as of the send.
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
