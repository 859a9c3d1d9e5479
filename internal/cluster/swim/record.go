package swim

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net/netip"
	"saffronquay/internal/cluster/swim/wire"
	"slices"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// State is how a member stands in a view.
type State uint8

// The states, from the best to the worst.
const (
	Alive State = 1 + iota
	Suspected
	Dead
	Left
)

func (s State) String() string {
	if s < Alive || s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspected", "dead", "left"}[s-1]
}

// Facts are what a member tells of itself beside where it is.
type Metadata struct {
	Draining, Standby bool
	PolicyVersion     uint64         // version in force there
	PolicyAddress     netip.AddrPort // where it agrees on versions of the policy; not valid: it does not
}

// Record is what is told of one member.
type Record struct {
	Name                  string
	Start                 uint64 // identity of the start: of a later one it is greater
	Incarnation, Revision uint32 // raised by the member alone: to refute, and when what it tells of itself changes
	State                 State
	Address               netip.AddrPort
	Zone, Version         string
	Metadata              Metadata
	Accusers              []string // who accuses it, where it is suspected or was when it was declared dead
}

// over tells whether a prevails over b, a record of the same name.
func (a Record) over(b Record) bool {
	switch al, bl := a.State == Left, b.State == Left; {
	case a.Start != b.Start:
		return a.Start > b.Start
	case al != bl:
		return al
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

func (r Record) present() bool { return r.State == Alive || r.State == Suspected }

// hash is the record's part in a digest.
func (r Record) hash() uint64 {
	var b [96]byte
	x := append(b[:0], r.Name...)
	x = binary.BigEndian.AppendUint64(x, r.Start)
	return xxhash.Sum64(binary.BigEndian.AppendUint32(x, r.Revision))
}

const (
	// MaxDatagram bounds a datagram, MaxFrame a frame of an exchange, in bytes.
	MaxDatagram = 1400
	MaxFrame    = 1 << 20

	mostName   = 64 // bytes
	mostBy     = 8
	mostNews   = 64   // records in a datagram
	mostRecord = 1024 // bytes
	form       = 1    // version of the datagrams' and frames' form
	headBytes  = 5    // checksum and form
)

// Why something that came in was dropped.
var (
	ErrLength    = errors.New("too long or too short")
	ErrChecksum  = errors.New("checksum")
	ErrVersion   = errors.New("another version of the form")
	ErrFleet     = errors.New("another fleet")
	ErrMalformed = errors.New("it can't be read")
	ErrAddress   = errors.New("address is not allowed")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// seal puts a message behind its head.
func seal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headBytes, 256), m)
	if err != nil { // strings are checked where they come in
		return nil
	}
	b[4] = form
	binary.BigEndian.PutUint32(b, checksum(b[4:]))
	return b
}

// unseal reads what seal made.
func unseal(b []byte, most int, m proto.Message) error {
	switch {
	case len(b) <= headBytes || len(b) > most:
		return ErrLength
	case binary.BigEndian.Uint32(b) != checksum(b[4:]):
		return ErrChecksum
	case b[4] != form:
		return ErrVersion
	}
	if err := proto.Unmarshal(b[headBytes:], m); err != nil {
		return ErrMalformed
	}
	return nil
}

// CheckName tells what is wrong with a member's name, a zone or a version.
func CheckName(name string) error {
	if name == "" || len(name) > mostName {
		return fmt.Errorf("want 1 to %d bytes, not %d", mostName, len(name))
	}
	for _, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) || r == ' ' {
			return fmt.Errorf("%q has what can't be printed, or a space", name)
		}
	}
	return nil
}

func words(r Record, age int64) *wire.Member {
	m := &wire.Member{
		Name: r.Name, Start: r.Start, Incarnation: r.Incarnation, Revision: r.Revision, State: uint32(r.State),
		Address: r.Address.String(), Zone: r.Zone, Version: r.Version, Policy: r.Metadata.PolicyVersion, By: r.Accusers,
	}
	if r.Metadata.PolicyAddress.IsValid() {
		m.Agrees = r.Metadata.PolicyAddress.String()
	}
	if r.Metadata.Draining {
		m.Flags |= 1
	}
	if r.Metadata.Standby {
		m.Flags |= 2
	}
	if !r.present() {
		m.AgeMs = uint32(min(max(age, 0)/1000, 1<<31))
	}
	return m
}

// read reads a record; an error says that it is none.
func read(m *wire.Member) (r Record, err error) {
	r = Record{
		Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Revision: m.Revision, State: State(min(m.State, 255)),
		Zone: m.Zone, Version: m.Version, Metadata: Metadata{Draining: m.Flags&1 != 0, Standby: m.Flags&2 != 0, PolicyVersion: m.Policy},
	}
	if CheckName(r.Name) != nil || r.Start == 0 || r.State < Alive || r.State > Left || len(m.By) > mostBy {
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
