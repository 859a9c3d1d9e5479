package swim

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member in a view.
type State uint8

// The states, from the best to the worst. The numbers are on the wire.
const (
	Alive State = 1 + iota
	Suspected
	Dead
	Left
)

// String returns the name of the state.
func (s State) String() string {
	if s < Alive || s > Left {
		return "unknown"
	}
	return [...]string{"alive", "suspected", "dead", "left"}[s-1]
}

// Metadata is the state that a member announces about itself besides its identity and address.
type Metadata struct {
	Draining, Standby bool
	PolicyVersion     uint64         // the version of the policy that the member has in force
	PolicyAddress     netip.AddrPort // the member's address for the policy agreement; not valid if it does not take part
}

// Record is the unit of gossip: the state of one member.
type Record struct {
	Name                  string
	Start                 uint64 // identity of the start; a later start has a greater one
	Incarnation, Revision uint32 // raised only by the member itself: to refute, and when its metadata changes
	State                 State
	Address               netip.AddrPort
	Zone, Version         string
	Metadata              Metadata
	Accusers              []string // the members that accuse it, if it is suspected or was when it was declared dead
}

// prevailsOver reports whether r replaces other, a record of the same name. The order is total: the
// later start, then the state Left, then the higher incarnation, then the worse state.
func (r Record) prevailsOver(other Record) bool {
	switch left, otherLeft := r.State == Left, other.State == Left; {
	case r.Start != other.Start:
		return r.Start > other.Start
	case left != otherLeft:
		return left
	case r.Incarnation != other.Incarnation:
		return r.Incarnation > other.Incarnation
	}
	return r.State > other.State
}

// present reports whether the member is alive or suspected.
func (r Record) present() bool { return r.State == Alive || r.State == Suspected }

// hash returns the record's contribution to a digest. All members of a fleet must agree on it.
func (r Record) hash() uint64 {
	var b [96]byte
	x := append(b[:0], r.Name...)
	x = binary.BigEndian.AppendUint64(x, r.Start)
	return xxhash.Sum64(binary.BigEndian.AppendUint32(x, r.Revision))
}

// CheckName returns an error if name is not valid as the name of a member, a zone or a version: if
// it is empty, too long, or contains a space or an unprintable character.
func CheckName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("want 1 to %d bytes, not %d", maxNameBytes, len(name))
	}
	for _, r := range name {
		if r == utf8.RuneError || !unicode.IsPrint(r) || r == ' ' {
			return fmt.Errorf("%q contains a space or an unprintable character", name)
		}
	}
	return nil
}
