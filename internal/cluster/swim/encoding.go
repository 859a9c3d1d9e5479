package swim

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Bits of wire.Member.Flags.
const (
	flagDraining = 1 << iota
	flagStandby
)

// Limits of messages.
const (
	// MaxDatagram is the maximum size of a datagram in bytes, below the usual MTU.
	MaxDatagram = 1400
	// MaxFrame is the maximum size of a frame of an exchange in bytes.
	MaxFrame = 1 << 20

	maxNameBytes     = 64
	maxAccusers      = 8
	maxGossipRecords = 64 // in a datagram
	maxRecordBytes   = 1024
	formatVersion    = 1 // on the wire
	headerBytes      = 5 // checksum and format version
)

// Reasons why a message was dropped.
var (
	ErrLength    = errors.New("swim: message length out of range")
	ErrChecksum  = errors.New("swim: message checksum mismatch")
	ErrVersion   = errors.New("swim: unsupported message format version")
	ErrFleet     = errors.New("swim: message of another fleet")
	ErrMalformed = errors.New("swim: malformed message")
	ErrAddress   = errors.New("swim: address not allowed")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of b.
func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// seal encodes a message after a header of checksum and format version. It returns nil if encoding
// fails.
func seal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headerBytes, 256), m)
	if err != nil { // not expected: strings are validated on receipt
		return nil
	}
	b[4] = formatVersion
	binary.BigEndian.PutUint32(b, checksum(b[4:]))
	return b
}

// unseal verifies and decodes a message encoded by seal, of at most limit bytes.
func unseal(b []byte, limit int, m proto.Message) error {
	switch {
	case len(b) <= headerBytes || len(b) > limit:
		return ErrLength
	case binary.BigEndian.Uint32(b) != checksum(b[4:]):
		return ErrChecksum
	case b[4] != formatVersion:
		return ErrVersion
	}
	if err := proto.Unmarshal(b[headerBytes:], m); err != nil {
		return ErrMalformed
	}
	return nil
}

// encodeRecord encodes a record for gossip. It returns nil if encoding fails.
func encodeRecord(r Record, age int64) []byte {
	b, err := proto.Marshal(toWire(r, age))
	if err != nil { // not expected: strings are validated on receipt
		return nil
	}
	return b
}

// toWire converts a record to its wire format. age is the time since its death or departure, in
// microseconds.
func toWire(r Record, age int64) *wire.Member {
	m := &wire.Member{
		Name: r.Name, Start: r.Start, Incarnation: r.Incarnation, Revision: r.Revision, State: uint32(r.State),
		Address: r.Address.String(), Zone: r.Zone, Version: r.Version, Policy: r.Metadata.PolicyVersion, By: r.Accusers,
	}
	if r.Metadata.PolicyAddress.IsValid() {
		m.Agrees = r.Metadata.PolicyAddress.String()
	}
	if r.Metadata.Draining {
		m.Flags |= flagDraining
	}
	if r.Metadata.Standby {
		m.Flags |= flagStandby
	}
	if !r.present() {
		m.AgeMs = uint32(min(max(age, 0)/1000, 1<<31))
	}
	return m
}

// fromWire converts a record from its wire format and validates it. The only error is ErrMalformed.
func fromWire(m *wire.Member) (r Record, err error) {
	r = Record{
		Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Revision: m.Revision, State: State(min(m.State, 255)),
		Zone: m.Zone, Version: m.Version, Metadata: Metadata{Draining: m.Flags&flagDraining != 0, Standby: m.Flags&flagStandby != 0, PolicyVersion: m.Policy},
	}
	if CheckName(r.Name) != nil || r.Start == 0 || r.State < Alive || r.State > Left || len(m.By) > maxAccusers {
		return r, ErrMalformed
	}
	for _, text := range []string{r.Zone, r.Version} {
		if text != "" && CheckName(text) != nil {
			return r, ErrMalformed
		}
	}
	if r.Address, err = netip.ParseAddrPort(m.Address); err != nil || r.Address.Port() == 0 {
		return r, ErrMalformed
	}
	if m.Agrees != "" {
		if r.Metadata.PolicyAddress, err = netip.ParseAddrPort(m.Agrees); err != nil {
			return r, ErrMalformed
		}
	}
	if slices.ContainsFunc(m.By, func(by string) bool { return CheckName(by) != nil }) {
		return r, ErrMalformed
	}
	r.Accusers = m.By
	return r, nil
}
