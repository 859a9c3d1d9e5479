package swim

import (
	"math"
	"saffronquay/internal/cluster/swim/wire"
)

// gossip sends the queued records to random members. A process that is leaving sends its own
// record, to twice as many.
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

// gossipTarget returns a random member, preferring one that is not suspected: gossip to a dead
// process is wasted.
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

// transmitLimit returns the number of times that this process sends each record.
func (c *Core) transmitLimit() int { return 4 * int(math.Ceil(math.Log10(float64(c.size()+1)))) }
