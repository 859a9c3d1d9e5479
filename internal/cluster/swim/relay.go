package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// relay is a ping that this process sends on behalf of another member.
type relay struct {
	requester netip.AddrPort
	seq       uint32
	target    string
	until     int64
}

// handleIndirectPing pings a member on behalf of another. The nack shows the requester that this
// process is reachable: a requester that receives no nack from any relaying member lowers its own
// health. The oldest relays are dropped beyond maxRelays.
func (c *Core) handleIndirectPing(now int64, p *wire.Packet, requester netip.AddrPort) {
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
		c.send(now, requester, &wire.Packet{Kind: packetNack, Seq: p.Seq, Target: p.Target}, m)
		return
	}
	c.probeSeq++
	c.relays[c.probeSeq] = relay{requester: requester, seq: p.Seq, target: p.Target, until: now + c.cfg.ProbePeriod*maxHealthScore}
	c.relayOrder = append(c.relayOrder, c.probeSeq)
	c.ping(now, m, c.probeSeq)
	c.ping(now, m, c.probeSeq)
	c.send(now, requester, &wire.Packet{Kind: packetNack, Seq: p.Seq, Target: p.Target}, nil)
}
