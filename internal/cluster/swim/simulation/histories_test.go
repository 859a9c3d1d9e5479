package simulation

import (
	"fmt"
	"saffronquay/internal/testing/faults"
	"saffronquay/internal/testing/harness"
	"testing"
	"time"
)

// A seed gives the recorded run: every sample, every detected crash, the traffic of every second.
// The names of fields, and the cores that run at the end, are not compared.
func TestRecordedHistories(t *testing.T) {
	histories := map[string]string{}
	for seed := range uint64(6) {
		script, after, _ := scenario(seed, 20)
		parsed, err := faults.Parse(script, 20)
		if err != nil {
			t.Fatal(err)
		}
		r, err := Run(Config{Members: 20, Seed: seed, WarmStart: seed%2 == 0, SeedMembers: 3, Delay: 500 * time.Microsecond, Loss: 0.02, Duration: after + convergenceLimit, Script: parsed})
		r.Cores = nil
		histories[fmt.Sprint("seed-", seed)] = fmt.Sprintf("%v %v", r, err)
	}
	harness.CheckHistories(t, histories)
}
