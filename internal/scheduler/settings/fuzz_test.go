package settings

import "testing"

// FuzzParse parses settings of arbitrary bytes. If there is no error, the addresses of the settings
// must be valid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("portRange = []\n[decisions]\nnearbyWorkers = 3"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		for _, address := range append(s.Seeds, s.PeerAddress(), s.GossipAddress(), s.AgentAddress()) {
			if s.PeerAddressOf(address) == "" {
				t.Errorf("no peer address for %q", address)
			}
		}
		s.GroupSize()
	})
}
