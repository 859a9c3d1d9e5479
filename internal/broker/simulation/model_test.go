package simulation

import (
	"reflect"
	"testing"
)

// On each of the days at size the fleet keeps to what its module's rules say, as a sum: a cold server that was told of is not sent more
// than it may be, nothing runs twice that must not, and the same seed gives the same day.
func TestDaysAtSizeKeepTheRules(t *testing.T) {
	for name, tc := range map[string]struct {
		day   func(uint64, int, int) Day
		least float64 // of the worth that is served in time
		told  bool    // the list tells of servers that are gone before they are back
	}{"calm": {Fleet, 0.99, true}, "burst": {Burst, 0.98, true}, "zone": {ZoneLost, 0.7, true}, "join": {Join, 0.6, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := tc.day(3, 24, 24)
			d.Length = 14 * second
			r, err := Play(d)
			if err != nil {
				t.Fatal(err)
			}
			if r.Served < tc.least || r.RunTwice > 0 || tc.told && r.Overloaded > 0 {
				t.Errorf("served %.3f, want %v; %d run twice; %d toppled, the worst %.2f of what it may be sent", r.Served, tc.least, r.RunTwice,
					r.Overloaded, r.WorstLoad)
			}
			if name != "calm" {
				return
			}
			again, err := Play(d)
			if err != nil || !reflect.DeepEqual(r, again) {
				t.Errorf("the same day came out otherwise: %v %v", again.Served, err)
			}
		})
	}
}
