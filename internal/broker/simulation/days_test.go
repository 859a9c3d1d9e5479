package simulation

import (
	"reflect"
	"testing"
)

// The fleet as a whole keeps the rules of its module on each day: a warming server whose restart
// was listed does not get more work than it may, nothing that must not run twice does so, and the
// same seed gives the same day.
func TestPlay_FleetKeepsRules(t *testing.T) {
	for name, tc := range map[string]struct {
		day       func(uint64, int, int) Day
		minServed float64 // minimum fraction of the value that is served in time
		listed    bool    // the list shows that servers are gone before they are back
	}{"calm": {Fleet, 0.99, true}, "burst": {Burst, 0.98, true}, "zone": {ZoneLost, 0.7, true}, "join": {ServerRestarts, 0.6, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := tc.day(3, 24, 24)
			d.Length = 14 * second
			r, err := Play(d)
			if err != nil {
				t.Fatal(err)
			}
			if r.Served < tc.minServed || r.RunTwice > 0 || tc.listed && r.Overloaded > 0 {
				t.Errorf("served %.3f, want at least %v; %d run twice; %d servers overloaded, at most %.2f of the allowed work", r.Served, tc.minServed, r.RunTwice,
					r.Overloaded, r.WorstLoad)
			}
			if name != "calm" {
				return
			}
			again, err := Play(d)
			if err != nil || !reflect.DeepEqual(r, again) {
				t.Errorf("second run of the same day differs: served %v, error %v", again.Served, err)
			}
		})
	}
}
