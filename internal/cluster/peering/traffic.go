package peering

import (
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/cluster/swim/gossip"
	"sync/atomic"
)

// Traffic counts what a node has sent and received.
type Traffic = gossip.Traffic

// trafficCounter counts the messages of the agreement; the wrapped connections count bytes. It is
// safe for concurrent use.
type trafficCounter struct {
	gossip.Counter
	quotaBytes atomic.Int64 // of the division of budgets, in messages sent and received
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

// Traffic returns the counters of the agreement on the policy, including the division of budgets.
func (p *PolicyNode) Traffic() Traffic {
	t := p.traffic.Snapshot()
	t.QuotaBytes = p.traffic.quotaBytes.Load()
	t.Links = p.openLinks.Load()
	return t
}
