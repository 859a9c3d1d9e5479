package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"
)

// A seed gives the recorded result, with faults and without. A history is the complete result,
// without the names of fields.
func TestRecordedHistories(t *testing.T) {
	histories := map[string]string{}
	for seed := range uint64(2) {
		cfg := defaultConfig(seed)
		cfg.Gatherers = 15
		r, err := Run(cfg)
		histories[fmt.Sprint("seed-", seed)] = fmt.Sprintf("%v %v", r, err)
	}
	harness.CheckHistories(t, histories)
}
