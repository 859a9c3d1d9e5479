package settings

import (
	"saffronquay/internal/scheduler/featuregate"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// validFile has the required keys and an unknown one.
const validFile = `
nodeName = "edge-a-1"
ip = "10.1.0.38"
zone = "a"
portRange = [7380,7395]
seeds = ["10.1.0.41:8144"]
somethingNew = { x = 1 }
[listen]
frontend = "10.1.0.38:8149"
[bounds]
graceS = 8
leaseMs = 3000
fencing = true
`

// Addresses, group size and feature gates of a valid file.
func TestParseSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validFile))
	is.NoErr(err)
	is.Equal(s.PeerAddress(), "10.1.0.38:7380")
	is.Equal(s.GossipAddressOf("10.9.0.1:8144"), "10.9.0.1:7381")
	is.Equal(s.GroupSize(), 3)
	is.True(s.Bounds.Fencing)
	is.Equal(s.FeatureGates, featuregate.All())
}

// A key of the section decisions disables one feature gate and leaves the others as they are.
func TestParseSettings_DisablesOneFeatureGate(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validFile + "[decisions]\nnearbyWorkers = false\n"))
	is.NoErr(err)
	want := featuregate.All()
	want.NearbyWorkers = false
	is.Equal(s.FeatureGates, want)
}

// All problems are reported together, each with its key, and a value of the wrong type with its key.
func TestParseSettings_ErrorsNameKeys(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte(`
nodeName = ""
ip = "nowhere"
portRange = [7380]
seeds = ["10.1.0.41"]
[listen]
frontend = "x"
[bounds]
graceS = 0
[decisions]
policy = "luck"
`))
	is.True(err != nil)
	for _, key := range []string{"nodeName", "ip", "portRange", "seeds[0]", "listen.frontend", "bounds.graceS", "decisions.policy"} {
		if !strings.Contains(err.Error(), key+":") {
			t.Errorf("%s is not in the error: %v", key, err)
		}
	}
	_, err = Parse([]byte("nodeName = 3\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nodeName"))
}
