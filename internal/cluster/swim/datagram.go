package swim

import (
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"

	"google.golang.org/protobuf/proto"
)

// Kinds of datagrams. The numbers are on the wire.
const (
	packetPing = 1 + iota
	packetAck
	packetIndirectPing
	packetNack
	packetGossip
)

// HandleDatagram processes a received datagram. If the datagram is dropped, it returns the reason,
// one of the Err variables of this package, and the view does not change.
func (c *Core) HandleDatagram(now int64, b []byte) error {
	c.detectStall(now)
	c.counts.Received++
	p := &wire.Packet{}
	from, err := c.decodePacket(b, p)
	if err != nil {
		c.counts.Dropped++
		return err
	}
	if p.From == c.self.Name {
		c.handleNamesake(now, p.Start, from)
		return nil
	}
	c.challengesLeft, c.accusedAgain = maxChallenges, false
	for _, b := range p.News {
		c.mergeEncoded(now, b)
	}
	to, known, subject := c.subjectOf(now, p, from)
	if known && (p.Kind == packetPing || p.Kind == packetAck) {
		c.compareDigest(now, p.Digest, to)
	}
	c.answer(now, p, to, known, subject)
	if p.Unknown && (p.Kind == packetPing || p.Kind == packetAck) && !c.superseded {
		c.send(now, to, &wire.Packet{Kind: packetGossip}, c.self)
	}
	return nil
}

// subjectOf updates the sender's lastHeard. It returns the address to answer to, whether the sender
// is a live member of this view, and the record that the answer must carry because it accuses the
// sender, or nil.
func (c *Core) subjectOf(now int64, p *wire.Packet, from netip.AddrPort) (to netip.AddrPort, known bool, subject *member) {
	m := c.members[p.From]
	known = m != nil && m.Start == p.Start && m.present()
	switch {
	case known:
		m.lastHeard = now
		if m.State == Suspected {
			subject = m
		}
		return m.Address, true, subject
	case m != nil && !p.Unknown:
		return from, false, m
	}
	return from, false, nil
}

// answer handles a datagram according to its kind: pings are acked, acks and nacks go to the probe,
// and indirect pings are relayed.
func (c *Core) answer(now int64, p *wire.Packet, to netip.AddrPort, known bool, subject *member) {
	switch p.Kind {
	case packetPing:
		if c.accusedAgain && subject == nil {
			subject = c.self
		}
		c.send(now, to, &wire.Packet{Kind: packetAck, Seq: p.Seq, Unknown: !known}, subject)
	case packetAck:
		c.handleAck(now, p)
	case packetIndirectPing:
		c.handleIndirectPing(now, p, to)
	case packetNack:
		if c.probe != nil && c.probe.seq == p.Seq {
			c.probe.nacks++
		}
	}
}

// decodePacket decodes a datagram and returns the sender's advertised address.
func (c *Core) decodePacket(b []byte, p *wire.Packet) (from netip.AddrPort, err error) {
	if err = unseal(b, MaxDatagram, p); err != nil {
		return from, err
	}
	if p.Fleet != c.cfg.Fleet {
		return from, ErrFleet
	}
	return c.checkSender(p.From, p.Start, p.Address, len(p.News))
}

// checkSender validates the sender fields of a message and its number of records, and returns the
// sender's address.
func (c *Core) checkSender(name string, start uint64, address string, records int) (from netip.AddrPort, err error) {
	if CheckName(name) != nil || start == 0 || records > c.cfg.MaxMembers {
		return from, ErrMalformed
	}
	if from, err = netip.ParseAddrPort(address); err != nil || from.Port() == 0 {
		return from, ErrMalformed
	}
	if !c.cfg.Allowed(from.Addr()) {
		return from, ErrAddress
	}
	return from, nil
}

// send sends a datagram with as many queued records as fit. The record of subject, if not nil,
// comes first even if it is no longer queued.
func (c *Core) send(now int64, to netip.AddrPort, p *wire.Packet, subject *member) {
	p.Fleet, p.From, p.Start, p.Address, p.Digest = c.cfg.Fleet, c.self.Name, c.self.Start, c.self.Address.String(), c.digest
	if subject != nil {
		p.News = append(p.News, encodeRecord(subject.Record, now-subject.since))
	}
	if c.broadcasts.count > 0 {
		p.News = c.broadcasts.take(p.News, MaxDatagram-headerBytes-proto.Size(p), c.transmitLimit(), subject)
	}
	sealed := seal(p)
	if sealed == nil {
		return
	}
	c.counts.Sent++
	c.counts.SentBytes += int64(len(sealed))
	c.output.Datagrams = append(c.output.Datagrams, Datagram{to, sealed})
}
