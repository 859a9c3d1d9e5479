package simulation

import (
	"reflect"
	"testing"
)

// On each of the days at size the fleet as a whole keeps the rules of its module: a warming server whose restart was listed does not
// get more than it may, nothing runs twice that must not, and the same seed gives the same day.
func TestDaysAtSizeKeepTheRules(t *testing.T) {
	for name, tc := range map[string]struct {
		day    func(uint64, int, int) Day
		least  float64 // of the value that is served in time
		listed bool    // the list shows that servers are gone before they are back
	}{"calm": {Fleet, 0.99, true}, "burst": {Burst, 0.98, true}, "zone": {ZoneLost, 0.7, true}, "join": {Join, 0.6, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := tc.day(3, 24, 24)
			d.Length = 14 * second
			r, err := Play(d)
			if err != nil {
				t.Fatal(err)
			}
			if r.Served < tc.least || r.RunTwice > 0 || tc.listed && r.Overloaded > 0 {
				t.Errorf("served %.3f, want %v; %d run twice; %d overloaded, the worst %.2f of what it may get", r.Served, tc.least, r.RunTwice,
					r.Overloaded, r.WorstLoad)
			}
			if name != "calm" {
				return
			}
			again, err := Play(d)
			if err != nil || !reflect.DeepEqual(r, again) {
				t.Errorf("the same day had another result: %v %v", again.Served, err)
			}
		})
	}
}
