package membership

import (
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"testing"

	"github.com/matryer/is"
)

// Live members come first, in their order; a seed that is a live member is not listed twice.
func TestControlPlaneAddresses(t *testing.T) {
	is := is.New(t)
	s := &settings.Settings{PortRange: []int{7000, 7010}, Seeds: []string{"10.0.0.1:7000", "10.0.0.2:7000"}}
	first, second := s.PeerAddressOf(s.Seeds[0]), s.PeerAddressOf(s.Seeds[1])
	is.True(first != "" && second != "")
	is.Equal(ControlPlaneAddresses(nil, s), []string{first, second})
	alive := []*rpc.Member{{Address: "10.0.0.9:7000"}, {Address: second}}
	is.Equal(ControlPlaneAddresses(alive, s), []string{"10.0.0.9:7000", second, first})
}
