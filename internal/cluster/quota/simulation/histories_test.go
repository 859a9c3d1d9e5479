package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"
)

// The same seed gives the day that was recorded, with faults and without. A history is all that came of a day, without the names of fields.
func TestRecordedHistories(t *testing.T) {
	played := map[string]string{}
	for seed := range uint64(2) {
		cfg := usual(seed)
		cfg.Gatherers = 15
		r, err := Run(cfg)
		played[fmt.Sprint("seed-", seed)] = fmt.Sprintf("%v %v", r, err)
	}
	harness.CheckHistories(t, played)
}
