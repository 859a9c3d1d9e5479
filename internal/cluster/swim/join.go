package swim

import (
	"net/netip"
)

// join requests exchanges with some of the join addresses, with exponential backoff.
func (c *Core) join(now int64) {
	c.nextJoinAt = now + c.joinBackoff/2 + c.rng.Int64N(c.joinBackoff)
	c.joinBackoff = min(2*c.joinBackoff, c.cfg.ExchangePeriod)
	some := c.joinAddresses(indirectProbes)
	if len(some) == 0 {
		return
	}
	if c.joinAttempts++; c.joinAttempts == 4 && !c.isolated {
		c.isolated = true
		c.emit(EventIsolated, c.self.Record)
	}
	for _, to := range some {
		c.requestExchange(now, to)
	}
}

// joinAddresses returns random join addresses at which no live member is known, at most limit of
// them.
func (c *Core) joinAddresses(limit int) (some []netip.AddrPort) {
	if len(c.cfg.Join) == 0 {
		return nil
	}
	known := map[netip.AddrPort]bool{c.self.Address: true}
	for _, m := range c.present {
		known[m.Address] = true
	}
	for _, i := range c.rng.Perm(len(c.cfg.Join)) {
		if a := c.cfg.Join[i]; !known[a] && len(some) < limit {
			some = append(some, a)
		}
	}
	return some
}
