package vrrp

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Advertisement is the only message of the protocol.
type Advertisement struct {
	VRID      byte
	Priority  byte  // 0: the sender stops being Active
	Interval  int64 // centiseconds, 12 bits
	Addresses []netip.Addr
}

const (
	versionType  = 3<<4 | 1 // version 3, type ADVERTISEMENT
	headLen      = 8
	addressLen   = 4
	checksumAt   = 6
	maxInterval  = 1<<12 - 1
	maxAddresses = 255
)

// Append appends an advertisement of IPv4 addresses with its checksum. If it returns an error, it
// appends nothing.
func (a Advertisement) Append(dst []byte) ([]byte, error) {
	if a.Interval < 1 || a.Interval > maxInterval || len(a.Addresses) == 0 || len(a.Addresses) > maxAddresses {
		return dst, fmt.Errorf("vrrp: append advertisement: interval %d or number of addresses %d out of range", a.Interval, len(a.Addresses))
	}
	start := len(dst)
	dst = append(dst, versionType, a.VRID, a.Priority, byte(len(a.Addresses)))
	dst = binary.BigEndian.AppendUint16(dst, uint16(a.Interval))
	dst = append(dst, 0, 0)
	for _, ip := range a.Addresses {
		if !ip.Is4() {
			return dst[:start], fmt.Errorf("vrrp: append advertisement: %s is not an IPv4 address", ip)
		}
		four := ip.As4()
		dst = append(dst, four[:]...)
	}
	binary.BigEndian.PutUint16(dst[start+checksumAt:], ^sum(dst[start:]))
	return dst, nil
}

// sum returns the one's complement sum of 16-bit words. Over a message with a correct checksum all
// its bits are set.
func sum(b []byte) uint16 {
	var s uint32
	for i := 0; i+1 < len(b); i += 2 {
		s += uint32(b[i])<<8 | uint32(b[i+1])
	}
	for s > 0xffff {
		s = s>>16 + s&0xffff
	}
	return uint16(s)
}

// Parse parses an advertisement. It returns an error for another version or type, a wrong length or
// checksum, or a missing router ID or interval.
func Parse(b []byte) (Advertisement, error) {
	if len(b) < headLen {
		return Advertisement{}, errors.New("vrrp: parse advertisement: packet too short")
	}
	if b[0] != versionType {
		return Advertisement{}, fmt.Errorf("vrrp: parse advertisement: unsupported version and type %#x", b[0])
	}
	n := int(b[3])
	if n == 0 || len(b) != headLen+addressLen*n {
		return Advertisement{}, fmt.Errorf("vrrp: parse advertisement: %d addresses do not match a length of %d bytes", n, len(b))
	}
	if sum(b) != 0xffff {
		return Advertisement{}, errors.New("vrrp: parse advertisement: wrong checksum")
	}
	a := Advertisement{VRID: b[1], Priority: b[2], Interval: int64(binary.BigEndian.Uint16(b[4:]) & maxInterval)}
	if a.VRID == 0 || a.Interval == 0 {
		return Advertisement{}, errors.New("vrrp: parse advertisement: router ID or interval is 0")
	}
	for i := range n {
		a.Addresses = append(a.Addresses, netip.AddrFrom4([addressLen]byte(b[headLen+addressLen*i:])))
	}
	return a, nil
}
