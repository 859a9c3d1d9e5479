package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"testing"
)

// The same seed gives the history that was recorded: in a fleet without regions, and in two regions that are partitioned. A history is the complete
// result of a run, each change and pause included, without the names of fields.
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
