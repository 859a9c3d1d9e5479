package simulation

import (
	"fmt"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"testing"
	"time"
)

// The same seed gives the run that was recorded: every look at the views, every crash that was noticed, every second's traffic. Names of
// fields are left out, and the cores that run at the end.
func TestRecordedHistories(t *testing.T) {
	played := map[string]string{}
	for seed := range uint64(6) {
		script, after, _ := trial(seed, 20)
		parsed, err := faults.Parse(script, 20)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(Config{Members: 20, Seed: seed, WarmStart: seed%2 == 0, SeedMembers: 3, Delay: 500 * time.Microsecond, Loss: 0.02, Duration: after + soon, Script: parsed})
		r.Cores = nil
		played[fmt.Sprint("seed-", seed)] = fmt.Sprintf("%v %v", r, err)
	}
	harness.CheckHistories(t, played)
}
