package vrrp

import (
	"encoding/hex"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// goldenAdvertisement was sent by an earlier build, with which this one has to interoperate.
const goldenAdvertisement = "3107c8020019f1ca0a0000090a000109"

func TestGoldenAdvertisement(t *testing.T) {
	is := is.New(t)
	a := Advertisement{VRID: 7, Priority: 200, Interval: 25, Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.9"), netip.MustParseAddr("10.0.1.9")}}
	sent, err := a.Append(nil)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(sent), goldenAdvertisement)
	packet, err := hex.DecodeString(goldenAdvertisement)
	is.NoErr(err)
	read, err := Parse(packet)
	is.NoErr(err)
	is.Equal(read, a)
}
