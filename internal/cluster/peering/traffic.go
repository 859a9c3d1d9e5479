package peering

import (
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/cluster/swim/gossip"
	"sync/atomic"
)

// Traffic is what a part has sent and taken in.
type Traffic = gossip.Traffic

// counter counts the traffic of messages on the policy; any goroutine may.
type counter struct {
	gossip.Counter
	shareBytes atomic.Int64
}

// said and heard count a message on the policy; its bytes are counted by the connection.
func (c *counter) said(m *wire.Message) {
	c.CountMessages(1, 0)
	c.shareBytes.Add(int64(len(m.Ask.GetShare()) + len(m.Word.GetShare())))
}

func (c *counter) heard(m *wire.Message) {
	c.CountMessages(0, 1)
	c.shareBytes.Add(int64(len(m.Ask.GetShare()) + len(m.Word.GetShare())))
}

// Traffic is what was sent and taken in for agreeing on the policy, and for dividing budgets.
func (p *Policy) Traffic() Traffic {
	t := p.counts.Snapshot()
	t.QuotaBytes = p.counts.shareBytes.Load()
	t.Links = p.links.Load()
	return t
}
