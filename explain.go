package saffronquay

import (
	"cmp"
	"slices"
)

// What a Scheduler would do, told without doing it. Nothing here decides: it asks what decides.

// Option is one server that holds a shard, as a part would find it now. Times are microseconds.
type Option struct {
	Server     ServerID
	Zone       string
	Health     Health
	Listed     bool
	Excluded   bool    `json:"Barred"` // it has been tried for the part, or is silent, or lost the shard
	WarmingUp  bool    `json:"Cold"`   // it has no room for the part while it warms up
	Predicted  float64 // latency of the part there
	ZoneCharge float64 `json:"Crossing"` // what its zone adds in the comparison
}

// Holders lists the servers that hold a shard and may be sent to now, in no order that matters. It is what pick chooses from.
func (s *Scheduler) Holders(shard int) []ServerID {
	rs := s.holders(shard)
	ids := make([]ServerID, len(rs))
	for i, r := range rs {
		ids[i] = r.ID
	}
	return ids
}

// Options tells of each server that holds an open part's shard how it stands, the best first. One that the part is out at is told as
// it was at the send.
func (s *Scheduler) Options(part ID) []Option {
	p := s.parts[part]
	if p == nil {
		return nil
	}
	var out []Option
	for _, r := range s.holders(p.Shard) {
		o := Option{
			Server: r.ID, Zone: r.Zone, Health: r.Health, Listed: r.listed, Excluded: s.isExcluded(p, r), WarmingUp: !s.hasWarmUpCapacity(p, r),
			Predicted: s.predict(p, r),
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
		return cmp.Or(cmp.Compare(boolToInt(a.Excluded || a.WarmingUp), boolToInt(b.Excluded || b.WarmingUp)), cmp.Compare(a.Predicted+a.ZoneCharge, b.Predicted+b.ZoneCharge),
			cmp.Compare(a.Server, b.Server))
	})
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
