package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"
)

// Each run must reproduce the history recorded for its seed, in a fleet without regions and in two
// partitioned regions. A history is the complete result of a run, including each change and pause,
// printed without field names.
func TestRecordedHistories(t *testing.T) {
	played := map[string]string{}
	play := func(name string, cfg Config) {
		cfg.History = true
		r, err := Run(cfg)
		played[name] = fmt.Sprintf("%v %v", r, err)
	}
	for seed := range uint64(2) {
		play(fmt.Sprint("one-region/seed-", seed), standardRun(seed))
		play(fmt.Sprint("two-regions/seed-", seed), regionFaultRun(seed))
	}
	harness.CheckHistories(t, played)
}
