package simulation

import (
	"fmt"
	"saffronquay/internal/testing/harness"
	"strings"
	"testing"
)

// runTraced returns the trace of a seed's history, its report without the names of the fields, and its
// violation.
func runTraced(seed uint64, bug Bug) string {
	var text strings.Builder
	options := OptionsForSeed(seed, bug)
	options.Trace = func(format string, values ...any) { fmt.Fprintf(&text, format+"\n", values...) }
	report, err := Play(options)
	fmt.Fprintf(&text, "%v\n%v\n", report, err)
	return text.String()
}

// TestRecordedHistories compares histories with and without a seeded bug with the recorded ones.
func TestRecordedHistories(t *testing.T) {
	played := map[string]string{}
	for seed := uint64(1); seed <= 2; seed++ {
		played[fmt.Sprint("seed-", seed)] = runTraced(seed, NoBug)
		played[fmt.Sprint("mistake/seed-", seed)] = runTraced(seed, Bugs[(seed*3)%uint64(len(Bugs))])
	}
	harness.CheckHistories(t, played)
}
