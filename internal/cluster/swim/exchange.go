package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// compare holds a digest against this view's. One that differs again and again is looked into by an exchange.
func (c *Core) compare(now int64, digest uint64, m *member) {
	if digest == c.digest {
		c.unlike = 0
		return
	}
	if c.unlike++; c.unlike >= unlike && now-c.exchanged >= c.cfg.ExchangePeriod/5 {
		c.unlike = 0
		c.counts.DigestMismatches++
		c.exchange(now, m.Address)
	}
}

// exchange asks for a full exchange with a member.
func (c *Core) exchange(now int64, to netip.AddrPort) {
	c.exchanged = now
	c.counts.Exchanges++
	c.out.Exchanges = append(c.out.Exchanges, Exchange{to, c.OpeningFrame(now)})
}

// Hello is the frame by which this process begins an exchange.
func (c *Core) OpeningFrame(now int64) []byte {
	return c.frame(now, &wire.Frame{Kind: sums, Sums: c.sums[:], Dead: c.deadDigest(now), First: !c.joined}, nil)
}

// frame words a frame with this process's own record and others.
func (c *Core) frame(now int64, f *wire.Frame, members []*member) []byte {
	f.Fleet, f.From, f.Start, f.Address = c.cfg.Fleet, c.self.Name, c.self.Start, c.self.Address.String()
	if !c.later {
		f.Members = append(f.Members, words(c.self.Record, now-c.self.since))
	}
	for _, m := range members {
		f.Members = append(f.Members, words(m.Record, now-m.since))
	}
	b := seal(f)
	c.counts.FrameBytes += int64(len(b))
	return b
}

// join tries one of the addresses to join at, rarer and rarer.
func (c *Core) join(now int64) {
	c.joinAt = now + c.joinWait/2 + c.rng.Int64N(c.joinWait)
	c.joinWait = min(2*c.joinWait, c.cfg.ExchangePeriod)
	some := c.joinAddresses(helpers)
	if len(some) == 0 {
		return
	}
	if c.tries++; c.tries == 4 && !c.alone {
		c.alone = true
		c.event(EventIsolated, c.self.Record)
	}
	for _, to := range some {
		c.exchange(now, to)
	}
}

// joinAddresses are some of those to join at where no live member is known to be, by chance.
func (c *Core) joinAddresses(most int) (some []netip.AddrPort) {
	if len(c.cfg.Join) == 0 {
		return nil
	}
	known := map[netip.AddrPort]bool{c.self.Address: true}
	for _, m := range c.present {
		known[m.Address] = true
	}
	for _, i := range c.rng.Perm(len(c.cfg.Join)) {
		if a := c.cfg.Join[i]; !known[a] && len(some) < most {
			some = append(some, a)
		}
	}
	return some
}

// exchangeSome begins the regular exchanges: with a member by chance, with one held for dead and with an address to join at where nobody
// is known, since both may be the way to the other half of a fleet that was split.
func (c *Core) exchangeSome(now int64) {
	if c.leaving != 0 {
		return
	}
	if len(c.present) > 0 {
		c.exchange(now, c.present[c.rng.IntN(len(c.present))].Address)
	}
	if c.later { // its twin should know of it
		if m := c.members[c.self.Name]; m != nil {
			c.packet(now, m.Address, &wire.Packet{Kind: tell}, nil)
		}
	}
	if c.cfg.Disabled.DeadExchanges {
		return
	}
	for range 4 {
		if len(c.gone) == 0 {
			break
		}
		if m := c.gone[c.rng.IntN(len(c.gone))]; m.State == Dead {
			c.exchange(now, m.Address)
			break
		}
	}
	if c.joined {
		for _, to := range c.joinAddresses(1) {
			c.exchange(now, to)
		}
	}
}

// Frame takes a frame of an exchange in, from whichever side, and returns what to answer; nil: the exchange is over.
func (c *Core) HandleFrame(now int64, b []byte) (reply []byte, err error) {
	c.observe(now)
	f := &wire.Frame{}
	if err := unseal(b, MaxFrame, f); err != nil {
		c.counts.Dropped++
		return nil, err
	}
	if f.Fleet != c.cfg.Fleet {
		c.counts.Dropped++
		return nil, ErrFleet
	}
	from, err := c.sender(f.From, f.Start, f.Address, len(f.Members))
	if err != nil {
		c.counts.Dropped++
		return nil, err
	}
	if f.From == c.self.Name {
		c.namesake(now, f.Start, from)
		if f.Start == c.self.Start {
			return nil, nil
		}
	}
	c.challenges = mostCalls
	told := map[string]bool{} // what the other side has just as this one does
	c.newcomer = f.Kind == difference && !c.joined
	defer func() { c.newcomer = false }()
	for _, x := range f.Members {
		c.learn(now, x)
		if m := c.members[x.Name]; m != nil && m.Start == x.Start && m.Incarnation == x.Incarnation && uint32(m.State) == x.State {
			told[x.Name] = true
		}
	}
	switch f.Kind {
	case sums:
		d := &wire.Frame{Kind: difference}
		differ := [buckets]bool{}
		for i := range differ {
			if differ[i] = f.First || len(f.Sums) != buckets || f.Sums[i] != c.sums[i]; differ[i] {
				d.Differ = append(d.Differ, uint32(i))
			}
		}
		d.DeadDiffer = f.Dead != c.deadDigest(now)
		return c.frame(now, d, c.within(differ, d.DeadDiffer, told)), nil
	case difference:
		differ := [buckets]bool{}
		for _, i := range f.Differ {
			if i < buckets {
				differ[i] = true
			}
		}
		if len(f.Differ) == 0 && !f.DeadDiffer {
			return nil, nil
		}
		return c.frame(now, &wire.Frame{Kind: rest}, c.within(differ, f.DeadDiffer, told)), nil
	}
	return nil, nil
}

// within are the members whose names fall into some of the sums, and all that are gone where wanted, but for some.
func (c *Core) within(differ [buckets]bool, gone bool, but map[string]bool) (out []*member) {
	for _, m := range c.present {
		if differ[bucket(m.Name)] && !but[m.Name] {
			out = append(out, m)
		}
	}
	for _, m := range c.gone {
		if (gone || differ[bucket(m.Name)]) && !but[m.Name] {
			out = append(out, m)
		}
	}
	return out
}

// deadDigest is a digest of the members held for dead that are reckoned with. The digest of the view leaves the dead out, so a word that
// one of them has left, or was forgotten, could be lost for good: exchanges compare this one too. It costs O(gone).
func (c *Core) deadDigest(now int64) (digest uint64) {
	for _, m := range c.gone {
		if c.reckoned(now, m) {
			digest ^= m.hash()
		}
	}
	return digest
}
