package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
)

// Kinds of frames of an exchange, in their order. The numbers are on the wire.
const (
	frameDigests     = 1
	frameDifferences = 2
	frameRest        = 3
)

// compareDigest compares a member's digest with this view's, and requests an exchange after
// mismatchLimit consecutive differences.
func (c *Core) compareDigest(now int64, digest uint64, from netip.AddrPort) {
	if digest == c.digest {
		c.mismatches = 0
		return
	}
	if c.mismatches++; c.mismatches >= mismatchLimit && now-c.lastExchangeAt >= c.cfg.ExchangePeriod/5 {
		c.mismatches = 0
		c.counts.DigestMismatches++
		c.requestExchange(now, from)
	}
}

// requestExchange requests an exchange with a member.
func (c *Core) requestExchange(now int64, to netip.AddrPort) {
	c.lastExchangeAt = now
	c.counts.Exchanges++
	c.output.Exchanges = append(c.output.Exchanges, Exchange{to, c.OpeningFrame(now)})
}

// startExchanges starts the periodic exchanges: with a random member, with a dead one, and with a
// join address at which no live member is known. The last two may reach the other side of a network
// partition.
func (c *Core) startExchanges(now int64) {
	if c.leavingSince != 0 {
		return
	}
	if len(c.present) > 0 {
		c.requestExchange(now, c.present[c.rng.IntN(len(c.present))].Address)
	}
	if c.superseded { // let the process with the later start detect the name conflict
		if m := c.members[c.self.Name]; m != nil {
			c.send(now, m.Address, &wire.Packet{Kind: packetGossip}, nil)
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
			c.requestExchange(now, m.Address)
			break
		}
	}
	if c.joined {
		for _, to := range c.joinAddresses(1) {
			c.requestExchange(now, to)
		}
	}
}

// OpeningFrame returns the first frame of an exchange: the digests of this view.
func (c *Core) OpeningFrame(now int64) []byte {
	return c.encodeFrame(now, &wire.Frame{Kind: frameDigests, Sums: c.bucketDigests[:], Dead: c.deadDigest(now), First: !c.joined}, nil)
}

// HandleFrame processes a frame of an exchange, on either side, and returns the reply. A nil reply
// ends the exchange. If the frame is dropped, the error is the reason, one of the Err variables of
// this package.
func (c *Core) HandleFrame(now int64, b []byte) (reply []byte, err error) {
	c.detectStall(now)
	f := &wire.Frame{}
	from, err := c.decodeFrame(b, f)
	if err != nil {
		c.counts.Dropped++
		return nil, err
	}
	if f.From == c.self.Name {
		c.handleNamesake(now, f.Start, from)
		if f.Start == c.self.Start {
			return nil, nil
		}
	}
	c.challengesLeft = maxChallenges
	c.bootstrapping = f.Kind == frameDifferences && !c.joined
	defer func() { c.bootstrapping = false }()
	same := c.mergeMembers(now, f.Members)
	switch f.Kind {
	case frameDigests:
		return c.answerDigests(now, f, same), nil
	case frameDifferences:
		return c.answerDifferences(now, f, same), nil
	}
	return nil, nil
}

// decodeFrame decodes a frame and returns the sender's advertised address.
func (c *Core) decodeFrame(b []byte, f *wire.Frame) (from netip.AddrPort, err error) {
	if err := unseal(b, MaxFrame, f); err != nil {
		return from, err
	}
	if f.Fleet != c.cfg.Fleet {
		return from, ErrFleet
	}
	return c.checkSender(f.From, f.Start, f.Address, len(f.Members))
}

// mergeMembers merges the records of a frame. It returns the names of the members that are equal on
// both sides, which need not be sent back.
func (c *Core) mergeMembers(now int64, members []*wire.Member) (same map[string]bool) {
	same = map[string]bool{}
	for _, x := range members {
		c.mergeWire(now, x)
		m := c.members[x.Name]
		if m != nil && m.Start == x.Start && m.Incarnation == x.Incarnation && uint32(m.State) == x.State {
			same[x.Name] = true
		}
	}
	return same
}

// answerDigests returns the answer to the opening frame: the indices of the buckets that differ,
// and the records in them.
func (c *Core) answerDigests(now int64, f *wire.Frame, same map[string]bool) []byte {
	reply := &wire.Frame{Kind: frameDifferences}
	differ := [digestBuckets]bool{}
	for i := range differ {
		differ[i] = f.First || len(f.Sums) != digestBuckets || f.Sums[i] != c.bucketDigests[i]
		if differ[i] {
			reply.Differ = append(reply.Differ, uint32(i))
		}
	}
	reply.DeadDiffer = f.Dead != c.deadDigest(now)
	return c.encodeFrame(now, reply, c.membersIn(differ, reply.DeadDiffer, same))
}

// answerDifferences returns the answer to the second frame: this view's records in the buckets that
// differ. It returns nil if no bucket differs.
func (c *Core) answerDifferences(now int64, f *wire.Frame, same map[string]bool) []byte {
	if len(f.Differ) == 0 && !f.DeadDiffer {
		return nil
	}
	differ := [digestBuckets]bool{}
	for _, i := range f.Differ {
		if i < digestBuckets {
			differ[i] = true
		}
	}
	return c.encodeFrame(now, &wire.Frame{Kind: frameRest}, c.membersIn(differ, f.DeadDiffer, same))
}

// membersIn returns the members in the buckets that differ, and if gone is set all dead and left
// members, except those named in same.
func (c *Core) membersIn(differ [digestBuckets]bool, gone bool, same map[string]bool) (out []*member) {
	for _, m := range c.present {
		if differ[bucketOf(m.Name)] && !same[m.Name] {
			out = append(out, m)
		}
	}
	for _, m := range c.gone {
		if (gone || differ[bucketOf(m.Name)]) && !same[m.Name] {
			out = append(out, m)
		}
	}
	return out
}

// deadDigest returns a digest of the dead members that count in the effective size. The digest of
// the view excludes dead members, so without this one a lost record that such a member has left or
// was forgotten would never be repaired. It costs O(dead and left members).
func (c *Core) deadDigest(now int64) (digest uint64) {
	for _, m := range c.gone {
		if c.countsWhileDead(now, m) {
			digest ^= m.hash()
		}
	}
	return digest
}

// encodeFrame encodes a frame with this process's own record, unless it is superseded, and those of
// members.
func (c *Core) encodeFrame(now int64, f *wire.Frame, members []*member) []byte {
	f.Fleet, f.From, f.Start, f.Address = c.cfg.Fleet, c.self.Name, c.self.Start, c.self.Address.String()
	if !c.superseded {
		f.Members = append(f.Members, toWire(c.self.Record, now-c.self.since))
	}
	for _, m := range members {
		f.Members = append(f.Members, toWire(m.Record, now-m.since))
	}
	b := seal(f)
	c.counts.FrameBytes += int64(len(b))
	return b
}
