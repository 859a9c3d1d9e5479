package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"
)

// The same seed gives the recorded day. A history is the result of a day without field names.
func TestRecordedHistories(t *testing.T) {
	played := map[string]string{}
	for name, day := range map[string]func(uint64, int, int) Day{"calm": Fleet, "burst": Burst, "zone": ZoneLost, "herd": GathererRestarts, "join": ServerRestarts} {
		d := day(5, 4, 8)
		d.Length = 7 * second
		r, err := Play(d)
		played[name] = fmt.Sprintf("%v %v", r, err)
	}
	harness.CheckHistories(t, played)
}
