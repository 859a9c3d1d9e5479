package membership

import (
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"slices"
)

// ControlPlaneAddresses returns the peer addresses of controllers in order of preference: those of
// live members, in their order, then those of seeds that are not among them. A seed may be down.
func ControlPlaneAddresses(alive []*rpc.Member, s *settings.Settings) (addresses []string) {
	for _, m := range alive {
		addresses = append(addresses, m.Address)
	}
	for _, seed := range s.Seeds {
		if address := s.PeerAddressOf(seed); address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
