package peering

import (
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/cluster/swim/gossip"
	"sync/atomic"
)

// Traffic is what a node has sent and received.
type Traffic = gossip.Traffic

// trafficCounter counts messages of the agreement. It is safe for concurrent use; bytes are counted by the connections.
type trafficCounter struct {
	gossip.Counter
	quotaBytes atomic.Int64 // of the division of budgets
}

func (c *trafficCounter) countSent(m *wire.Message) {
	c.CountMessages(1, 0)
	c.countQuotaBytes(m)
}

func (c *trafficCounter) countReceived(m *wire.Message) {
	c.CountMessages(0, 1)
	c.countQuotaBytes(m)
}

func (c *trafficCounter) countQuotaBytes(m *wire.Message) {
	c.quotaBytes.Add(int64(len(m.Ask.GetShare()) + len(m.Word.GetShare())))
}

// Traffic returns what was sent and received for the agreement on the policy, and for dividing budgets.
func (p *PolicyNode) Traffic() Traffic {
	t := p.traffic.Snapshot()
	t.QuotaBytes = p.traffic.quotaBytes.Load()
	t.Links = p.openLinks.Load()
	return t
}
