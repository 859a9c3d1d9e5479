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

// handleIndirectPing pings a member on behalf of another. Its nack tells the requester that this process is there: a requester that hears from no helper
// lowers its own health. The oldest relays are dropped beyond maxRelays.
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
	c.lastSeq++
	c.relays[c.lastSeq] = relay{requester: requester, seq: p.Seq, target: p.Target, until: now + c.cfg.ProbePeriod*maxHealthScore}
	c.relayOrder = append(c.relayOrder, c.lastSeq)
	c.ping(now, m, c.lastSeq)
	c.ping(now, m, c.lastSeq)
	c.send(now, requester, &wire.Packet{Kind: packetNack, Seq: p.Seq, Target: p.Target}, nil)
}
